//! What the leader does at certain times, and when that is.

use super::Leader;
use crate::effects::Effects;
use constants::{HOUSEKEEPING_INTERVAL_MS, ROUND_INTERVAL_MAX_MS, ROUND_INTERVAL_MIN_MS};

impl Leader {
    /// Time-driven work. `active` tells whether the leader's lease is valid and the state service answers: without
    /// that nothing is decided.
    pub fn tick(&mut self, active: bool, effects: &mut Effects) {
        if !self.is_ready() {
            return self.request_next_list(effects);
        }
        self.open_job_watch(effects);
        self.maintain_pipelines(effects);
        self.run_housekeeping(active, effects);
        let now = effects.now.mono;
        if active && self.plan_due && now >= self.next_round {
            self.next_round = now + ROUND_INTERVAL_MIN_MS;
            self.run_round(effects);
        }
        self.flush(effects);
    }

    fn run_housekeeping(&mut self, active: bool, effects: &mut Effects) {
        let now = effects.now.mono;
        if now < self.next_housekeeping {
            return;
        }
        self.next_housekeeping = now + HOUSEKEEPING_INTERVAL_MS;
        // Backoffs and rests end, and what was uncertain becomes certain, without any event.
        self.plan_due |= now >= self.next_round + ROUND_INTERVAL_MAX_MS;
        self.check_machines_and_gangs(active, effects);
        if active {
            self.maintain_fleet(effects);
        }
    }

    /// When [`Leader::tick`] is to be called next.
    ///
    /// A round that is due waits for `active`: a leader that was cut off used a whole core by asking for it over and
    /// over.
    pub fn next_wake(&self, active: bool) -> u64 {
        if !self.is_ready() {
            return self.loading.wake();
        }
        let next_round = (active && self.plan_due).then_some(self.next_round);
        let next_watch = (!self.job_watch.open).then_some(self.job_watch.retry_at);
        let next_retry = self.transactions.next_retry();
        [next_round, next_watch, next_retry]
            .into_iter()
            .flatten()
            .chain([self.next_housekeeping, self.pipelines_wake()])
            .min()
            .unwrap_or(u64::MAX)
    }
}
