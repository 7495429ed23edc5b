//! Detection of jobs that keep failing or waiting, and the backoff between their attempts.

use super::Job;
use crate::leader::model::Assignment;

/// Maximum number of doublings of the backoff, which has reached its maximum by then.
const BACKOFF_DOUBLINGS_MAX: u32 = 5;
/// Number of assignments up to which an array counts as idle: one may be its current attempt.
const IDLE_ASSIGNMENTS_MAX: u32 = 1;

impl Job {
    /// Whether the job is a gang that has waited so long for its first assignment that it is backed off.
    ///
    /// Reserving or renting machines and stopping tasks for a gang that may never start takes resources from other
    /// jobs. The gang is tried again after a while.
    pub fn is_backed_off(&self, now_unix: u64) -> bool {
        let waited_s = now_unix.saturating_sub(self.ready_at) / 1000;
        // A gang that has been assigned before, perhaps by an earlier leader, can be assigned again.
        let never_assigned = self.is_gang() && self.highest_attempt() == 0;
        never_assigned
            && waited_s % (2 * constants::GANG_ATTEMPT_TIMEOUT_S)
                >= constants::GANG_ATTEMPT_TIMEOUT_S
    }

    /// Whether a task of the job has completed, or one whose assignment satisfies `counts` has been running for
    /// a while.
    pub fn is_sound(&self, now: u64, counts: impl Fn(&Assignment) -> bool) -> bool {
        let runs_well = |assignment: &Assignment| {
            counts(assignment) && assignment.has_run_for(constants::HEALTHY_TASK_RUN_MS, now)
        };
        self.done_count > 0
            || self
                .assignments()
                .any(|(_, assignment)| runs_well(assignment))
    }

    /// Whether the job has failed on so many machines, or in so many attempts under earlier leaders, that it most
    /// likely fails on every machine.
    pub fn seems_to_fail_everywhere(&self) -> bool {
        self.failed_under_earlier_leaders
            || self.failed_machines.len() > constants::FAULTY_MACHINE_FAILED_JOBS
    }

    /// Whether the job's records show several ended attempts and no completed task.
    ///
    /// The records do not say why the attempts ended. If they failed, the job must not start again with a short backoff
    /// under each new leader.
    pub fn has_failed_under_earlier_leaders(&self) -> bool {
        let (attempts, current_attempts) = match self.is_gang() {
            true => (self.highest_attempt(), u64::from(self.assigned_count > 0)),
            false => (
                self.sum_of_highest_attempts(),
                u64::from(self.assigned_count),
            ),
        };
        let ended_attempts = attempts.saturating_sub(current_attempts);
        let is_idle = self.is_gang() || self.assigned_count <= IDLE_ASSIGNMENTS_MAX;
        self.done_count == 0 && is_idle && ended_attempts >= constants::FAILING_JOB_ATTEMPTS_MIN
    }

    fn sum_of_highest_attempts(&self) -> u64 {
        self.chunks
            .values()
            .map(|chunk| chunk.highest_attempt)
            .sum()
    }

    /// Backoff after a failure, in milliseconds.
    pub fn failure_backoff_ms(&self) -> u64 {
        if self.failed_under_earlier_leaders {
            return constants::JOB_FAILURE_BACKOFF_MAX_MS;
        }
        let pause_ms = constants::JOB_FAILURE_BACKOFF_MS
            << self.consecutive_failures.min(BACKOFF_DOUBLINGS_MAX);
        pause_ms.min(constants::JOB_FAILURE_BACKOFF_MAX_MS)
    }
}
