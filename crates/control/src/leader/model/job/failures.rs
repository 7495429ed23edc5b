//! Judgements about a job that fails or waits in vain, and the backoff between its attempts.

use super::Job;
use crate::leader::model::Assignment;

/// Doublings of the backoff at most. The pause has reached its maximum by then.
const BACKOFF_DOUBLINGS_MAX: u32 = 5;
/// Assignments up to which an array counts as idle: one may be its present attempt.
const IDLE_ASSIGNMENTS_MAX: u32 = 1;

impl Job {
    /// Whether it is a gang that has waited in vain for so long that it rests.
    ///
    /// What is reserved, rented or stopped for such a gang, perhaps for ever, is needed by others. It is tried again
    /// after a while.
    pub fn is_backed_off(&self, now_unix: u64) -> bool {
        let waited_s = now_unix.saturating_sub(self.ready_at) / 1000;
        // A gang that was assigned before, perhaps by an earlier leader, can be again.
        let never_assigned = self.is_gang() && self.highest_attempt() == 0;
        never_assigned
            && waited_s % (2 * constants::GANG_ATTEMPT_TIMEOUT_S)
                >= constants::GANG_ATTEMPT_TIMEOUT_S
    }

    /// Whether one of its tasks has completed, or has been running for a while on one of the machines that count.
    pub fn is_sound(&self, now: u64, counts: impl Fn(&Assignment) -> bool) -> bool {
        let runs_on = |assignment: &Assignment| {
            counts(assignment) && assignment.has_run_for(constants::HEALTHY_TASK_RUN_MS, now)
        };
        self.done > 0
            || self
                .assignments()
                .any(|(_, assignment)| runs_on(assignment))
    }

    /// Whether it has failed on so many machines that it most likely fails on all of them.
    pub fn seems_to_fail_everywhere(&self) -> bool {
        self.failed_under_earlier_leaders
            || self.failed_machines.len() > constants::FAULTY_MACHINE_FAILED_JOBS
    }

    /// Whether its records show several attempts that have ended and nothing that is done.
    ///
    /// The records do not say why the attempts ended. If they failed, the job must not start again with a short
    /// backoff under each new leader.
    pub fn has_failed_under_earlier_leaders(&self) -> bool {
        let (attempts, present) = match self.is_gang() {
            true => (self.highest_attempt(), u64::from(self.assigned > 0)),
            false => (self.sum_of_highest_attempts(), u64::from(self.assigned)),
        };
        let ended = attempts.saturating_sub(present);
        let is_idle = self.is_gang() || self.assigned <= IDLE_ASSIGNMENTS_MAX;
        self.done == 0 && is_idle && ended >= constants::FAILING_JOB_ATTEMPTS_MIN
    }

    fn sum_of_highest_attempts(&self) -> u64 {
        self.chunks
            .values()
            .map(|chunk| chunk.highest_attempt)
            .sum()
    }

    /// Milliseconds of backoff after a failure.
    pub fn error_pause_ms(&self) -> u64 {
        if self.failed_under_earlier_leaders {
            return constants::JOB_FAILURE_BACKOFF_MAX_MS;
        }
        let pause_ms =
            constants::JOB_FAILURE_BACKOFF_MS << self.failures.min(BACKOFF_DOUBLINGS_MAX);
        pause_ms.min(constants::JOB_FAILURE_BACKOFF_MAX_MS)
    }
}
