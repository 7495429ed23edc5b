//! Execution of orders by a worker: start, stop and forget.

use super::{FakeTask, FakeWorker, TaskBehaviour};
use crate::jobs::job_of;
use wire::workers::{EndCause, Order, TaskPhase};

/// Maximum delay in milliseconds until a worker reports a change of its tasks.
pub(super) const CHANGE_REPORT_DELAY_MS: u64 = 100;

impl FakeWorker {
    /// Executes orders in sequence. Returns task and attempt of each start that took effect.
    pub fn execute_orders(
        &mut self,
        orders: &[Order],
        behaviour_of: impl Fn(&str) -> Option<TaskBehaviour>,
        now: u64,
    ) -> Vec<(String, u64)> {
        let mut started = Vec::new();
        for order in orders {
            match order {
                Order::Start { task, attempt } => {
                    if self.start(task, *attempt, behaviour_of(task), now) {
                        started.push((task.clone(), *attempt));
                    }
                }
                Order::Stop {
                    task,
                    attempt,
                    grace_s,
                } => {
                    let checkpoint_write_ms =
                        behaviour_of(task).map_or(0, |behaviour| behaviour.checkpoint_write_ms);
                    let may_write_checkpoint =
                        checkpoint_write_ms > 0 && *grace_s * 1000.0 >= checkpoint_write_ms as f64;
                    self.stop(
                        task,
                        *attempt,
                        may_write_checkpoint.then_some(checkpoint_write_ms),
                        now,
                    );
                }
                Order::Forget { task, attempt } => self.forget(task, *attempt),
            }
        }
        started
    }

    /// Starts an attempt unless it is known already. Returns false if the start was refused or the attempt is known.
    fn start(
        &mut self,
        task: &str,
        attempt: u64,
        behaviour: Option<TaskBehaviour>,
        now: u64,
    ) -> bool {
        let key = (task.to_string(), attempt);
        if self.tasks.contains_key(&key) {
            return false;
        }
        let mut tasks = self.tasks.iter();
        let is_busy =
            tasks.any(|((name, _), state)| name == task && state.phase != TaskPhase::Ended);
        let refusal = match (is_busy, behaviour) {
            (true, _) => Some(EndCause::Busy),
            (false, None) => Some(EndCause::Unknown),
            (false, Some(_)) => None,
        };
        let (phase, next_at) = match behaviour.filter(|_| refusal.is_none()) {
            Some(behaviour) => {
                let has_image = self.cached_images.contains(job_of(task));
                let fetch_ms = if has_image {
                    0
                } else {
                    behaviour.image_fetch_ms
                };
                (TaskPhase::Fetching, now + fetch_ms)
            }
            None => (TaskPhase::Ended, u64::MAX),
        };
        if refusal.is_none() {
            self.started_attempts.push(key.clone());
        }
        let state = FakeTask {
            phase,
            cause: refusal,
            next_phase_at: next_at,
            incomplete_since: None,
        };
        self.tasks.insert(key, state);
        refusal.is_none()
    }

    /// Stops an attempt. It writes a checkpoint first if `checkpoint_write_ms` is given.
    fn stop(&mut self, task: &str, attempt: u64, checkpoint_write_ms: Option<u64>, now: u64) {
        let Some(state) = self.tasks.get_mut(&(task.to_string(), attempt)) else {
            return;
        };
        match (state.phase, checkpoint_write_ms) {
            (TaskPhase::Ended, _) | (TaskPhase::Saving, Some(_)) => {}
            (TaskPhase::Running, Some(checkpoint_write_ms)) => {
                state.phase = TaskPhase::Saving;
                state.next_phase_at = now + checkpoint_write_ms;
            }
            _ => state.end(EndCause::Stopped),
        }
        self.next_report_at = self.next_report_at.min(now + CHANGE_REPORT_DELAY_MS);
    }

    /// Removes an attempt that has ended.
    fn forget(&mut self, task: &str, attempt: u64) {
        let key = (task.to_string(), attempt);
        let state = self.tasks.get(&key);
        if state.is_some_and(|state| state.phase == TaskPhase::Ended) {
            self.tasks.remove(&key);
        }
    }
}
