//! Whether heartbeats of workers reach the leader, and whether its answers reach the workers.
//!
//! A leader that is cut off from all workers resigns if a peer has better connectivity.

use super::model::Machine;
use super::Leader;

/// Heartbeat intervals without a heartbeat after which a worker counts as silent: two heartbeats are overdue by then.
const SILENT_REPORT_INTERVALS: f64 = 2.5;
const MS_PER_S: f64 = 1_000.0;

impl Leader {
    /// Handles the end of a stall of this process, during which heartbeats arrived but were not read.
    pub fn on_stall(&mut self, now: u64) {
        self.resumed_at = now;
    }

    /// Whether all workers that have sent heartbeats to this leader are silent. If none has sent any, whether twice the
    /// silence limit has passed since the leader was ready.
    pub fn all_workers_silent(&self, now: u64) -> bool {
        let silence_ms = self.worker_silence_ms();
        let mut machines = self.reporting_machines().peekable();
        if machines.peek().is_none() {
            return self.is_ready() && now > self.ready_at + 2 * silence_ms;
        }
        let is_silent = |machine: &Machine| {
            let last_heartbeat_at = self.last_heartbeat_at(machine, now);
            last_heartbeat_at.is_none_or(|at| now > at + silence_ms)
        };
        // This check runs at every turn of the node, so it ends at the first worker that is not silent.
        machines.all(is_silent)
    }

    /// Whether there are machines whose workers should send heartbeats.
    pub fn expects_worker_heartbeats(&self) -> bool {
        self.machines.values().any(|machine| !machine.failed)
    }

    /// Whether this leader's answers reach no worker although heartbeats arrive: the previous incarnation of every
    /// worker ended sooner than a lease after the leader's answer, and no present incarnation has outlived a lease yet.
    pub fn no_worker_receives_answers(&self, now: u64) -> bool {
        let lease_ms = self.lease_expiry_ms();
        let mut machines = self.reporting_machines().peekable();
        let receives_nothing = |machine: &Machine| {
            machine.early_expiries > 0 && now <= machine.incarnation_since + lease_ms
        };
        machines.peek().is_some() && machines.all(receives_nothing)
    }

    /// Machines whose workers have sent a heartbeat with this leader's term, without failed machines.
    fn reporting_machines(&self) -> impl Iterator<Item = &Machine> {
        self.machines
            .values()
            .filter(|machine| machine.is_reconciled && !machine.failed)
    }

    /// Milliseconds without a heartbeat after which a worker counts as silent.
    fn worker_silence_ms(&self) -> u64 {
        let report_s = self.settings.deployment.workers.report_s;
        (report_s * (SILENT_REPORT_INTERVALS * MS_PER_S)) as u64
    }
}
