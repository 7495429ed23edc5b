//! Orders that a worker executes: start, stop and forget.

use super::{Behaviour, FakeTask, FakeWorker};
use crate::jobs::job_of;
use wire::workers::{EndCause, Order, TaskPhase};

/// Milliseconds until a worker reports a change of its tasks at the latest.
pub(super) const CHANGE_REPORT_MS: u64 = 100;

impl FakeWorker {
    /// Executes orders in sequence. Returns the starts that took effect.
    pub fn execute(
        &mut self,
        orders: &[Order],
        behave: impl Fn(&str) -> Option<Behaviour>,
        now: u64,
    ) -> Vec<(String, u64)> {
        let mut started = Vec::new();
        for order in orders {
            match order {
                Order::Start { task, attempt } => {
                    if self.start(task, *attempt, behave(task), now) {
                        started.push((task.clone(), *attempt));
                    }
                }
                Order::Stop {
                    task,
                    attempt,
                    grace_s,
                } => {
                    let save_ms = behave(task).map_or(0, |behaviour| behaviour.save_ms);
                    let may_save = save_ms > 0 && *grace_s * 1000.0 >= save_ms as f64;
                    self.stop(task, *attempt, may_save.then_some(save_ms), now);
                }
                Order::Forget { task, attempt } => self.forget(task, *attempt),
            }
        }
        started
    }

    /// Starts an attempt unless it is known already. Returns false if it was refused or known.
    fn start(&mut self, task: &str, attempt: u64, behaviour: Option<Behaviour>, now: u64) -> bool {
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
                let has_image = self.images.contains(job_of(task));
                let fetch_ms = if has_image { 0 } else { behaviour.fetch_ms };
                (TaskPhase::Fetching, now + fetch_ms)
            }
            None => (TaskPhase::Ended, u64::MAX),
        };
        if refusal.is_none() {
            self.started.push(key.clone());
        }
        let state = FakeTask {
            phase,
            cause: refusal,
            next_at,
            incomplete_since: None,
        };
        self.tasks.insert(key, state);
        refusal.is_none()
    }

    /// Stops an attempt, which saves a checkpoint first if `save_ms` is given.
    fn stop(&mut self, task: &str, attempt: u64, save_ms: Option<u64>, now: u64) {
        let Some(state) = self.tasks.get_mut(&(task.to_string(), attempt)) else {
            return;
        };
        match (state.phase, save_ms) {
            (TaskPhase::Ended, _) | (TaskPhase::Saving, Some(_)) => {}
            (TaskPhase::Running, Some(save_ms)) => {
                state.phase = TaskPhase::Saving;
                state.next_at = now + save_ms;
            }
            _ => state.end(EndCause::Stopped),
        }
        self.report_at = self.report_at.min(now + CHANGE_REPORT_MS);
    }

    /// Drops an attempt that has ended.
    fn forget(&mut self, task: &str, attempt: u64) {
        let key = (task.to_string(), attempt);
        let state = self.tasks.get(&key);
        if state.is_some_and(|state| state.phase == TaskPhase::Ended) {
            self.tasks.remove(&key);
        }
    }
}
