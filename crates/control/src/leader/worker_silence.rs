//! Whether the leader hears its workers, and whether they hear it.
//!
//! A leader that is cut off from all workers resigns if a peer can do better.

use super::model::Machine;
use super::Leader;

/// Report intervals after which a worker counts as silent: two reports are overdue by then.
const SILENT_REPORT_INTERVALS: f64 = 2.5;
/// Milliseconds in a second.
const MS_PER_S: f64 = 1_000.0;

impl Leader {
    /// The process stood still until now, and reports waited unread.
    pub fn on_stall(&mut self, now: u64) {
        self.resumed_at = now;
    }

    /// Whether all workers that report here have fallen silent.
    pub fn no_worker_reports(&self, now: u64) -> bool {
        let silent_ms = self.worker_silence_ms();
        let mut machines = self.reporting_machines().peekable();
        if machines.peek().is_none() {
            return self.is_ready() && now > self.ready_at + 2 * silent_ms;
        }
        let is_silent = |machine: &Machine| {
            let last_heartbeat_at = self.last_heartbeat_at(machine, now);
            last_heartbeat_at.is_none_or(|at| now > at + silent_ms)
        };
        // Asked at every turn, so the first worker that is heard ends the search.
        machines.all(is_silent)
    }

    /// Whether there are machines whose workers should report.
    pub fn knows_machines(&self) -> bool {
        self.machines.values().any(|machine| !machine.failed)
    }

    /// Whether answers reach no worker, though reports arrive: every worker's incarnation ended sooner than a lease
    /// after our answer, and none has outlived a lease since.
    pub fn no_worker_receives(&self, now: u64) -> bool {
        let lease_ms = self.lease_expiry_ms();
        let mut machines = self.reporting_machines().peekable();
        let receives_nothing = |machine: &Machine| {
            machine.early_expiries > 0 && now <= machine.incarnation_since + lease_ms
        };
        machines.peek().is_some() && machines.all(receives_nothing)
    }

    /// Machines whose workers have reported under this leader's term.
    fn reporting_machines(&self) -> impl Iterator<Item = &Machine> {
        self.machines
            .values()
            .filter(|machine| machine.is_reconciled && !machine.failed)
    }

    fn worker_silence_ms(&self) -> u64 {
        let report_s = self.settings.deployment.workers.report_s;
        (report_s * (SILENT_REPORT_INTERVALS * MS_PER_S)) as u64
    }
}
