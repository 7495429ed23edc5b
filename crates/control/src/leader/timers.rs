//! Time-driven work of the leader, and when it is due.

use super::Leader;
use crate::effects::Effects;
use constants::{HOUSEKEEPING_INTERVAL_MS, ROUND_INTERVAL_MAX_MS, ROUND_INTERVAL_MIN_MS};

impl Leader {
    /// Does the time-driven work that is due. `active` tells whether the leader's lease is valid and the state service
    /// answers; otherwise no decisions are made.
    pub fn tick(&mut self, active: bool, effects: &mut Effects) {
        if !self.is_ready() {
            return self.request_next_list(effects);
        }
        self.open_job_watch(effects);
        self.send_wanted_change_read(effects);
        self.process_dependencies(effects);
        self.run_housekeeping(active, effects);
        let now = effects.now.mono;
        if active && self.round_due && now >= self.next_round_at {
            self.next_round_at = now + ROUND_INTERVAL_MIN_MS;
            self.run_round(effects);
        }
        self.flush(effects);
    }

    fn run_housekeeping(&mut self, active: bool, effects: &mut Effects) {
        let now = effects.now.mono;
        if now < self.next_housekeeping_at {
            return;
        }
        self.next_housekeeping_at = now + HOUSEKEEPING_INTERVAL_MS;
        // Backoffs expire, and uncertain states become certain, without any event, so rounds also run at intervals.
        self.round_due |= now >= self.next_round_at + ROUND_INTERVAL_MAX_MS;
        self.check_machines_and_gangs(active, effects);
        if active {
            self.maintain_fleet(effects);
        }
    }

    /// When [`Leader::tick`] is to be called next.
    ///
    /// A due round counts only if `active`. Otherwise a leader that is cut off would wake up over and over for a round
    /// that it cannot run, and use a whole core.
    pub fn next_wake(&self, active: bool) -> u64 {
        if !self.is_ready() {
            return self.loading.next_wake();
        }
        let next_round = (active && self.round_due).then_some(self.next_round_at);
        let next_watch = (!self.job_watch.in_flight).then_some(self.job_watch.retry_at);
        let next_retry = self.transactions.next_retry();
        let next_change_read = self.change_read.next_wake();
        [next_round, next_watch, next_change_read, next_retry]
            .into_iter()
            .flatten()
            .chain([self.next_housekeeping_at, self.next_dependency_wake()])
            .min()
            .unwrap_or(u64::MAX)
    }
}
