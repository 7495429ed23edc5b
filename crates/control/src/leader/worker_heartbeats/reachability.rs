//! Whether the leader's answers reach a worker whose heartbeats reach the leader, and when a worker's lease has
//! certainly expired.

use super::milliseconds;
use crate::leader::model::Machine;
use crate::leader::Leader;
use constants::{
    CLOCK_DRIFT_FACTOR, EARLY_EXPIRIES_MAX, LEASE_EXPIRY_MARGIN_MS, UNDELIVERED_STARTS_MAX,
};
use wire::workers::WorkerHeartbeat;

impl Leader {
    /// Milliseconds after the leader's last answer at which a worker's lease has certainly expired.
    pub(in crate::leader) fn lease_expiry_ms(&self) -> u64 {
        let lease_s = self.settings.deployment.workers.lease_s;
        milliseconds_with_drift(lease_s) + LEASE_EXPIRY_MARGIN_MS
    }

    /// Concludes from a heartbeat's incarnation whether the leader's answers reach its worker. `previous_answer` is the
    /// time of the answer to the previous heartbeat.
    pub(super) fn update_reachability(
        &mut self,
        heartbeat: &WorkerHeartbeat,
        previous_answer: Option<u64>,
        now: u64,
    ) {
        let expiry_ms = self.lease_expiry_ms();
        let worker_lease_ms =
            milliseconds(self.settings.deployment.workers.lease_s / CLOCK_DRIFT_FACTOR);
        let Some(machine) = self.machines.get_mut(&heartbeat.machine) else {
            return;
        };
        if heartbeat.incarnation > machine.incarnation {
            let is_early = previous_answer.is_some_and(|at| now < at + worker_lease_ms);
            on_new_incarnation(machine, is_early, now);
        }
        if is_reachable_again(machine, expiry_ms, now) {
            machine.unreachable_since = None;
            machine.undelivered_starts = 0;
            machine.early_expiries = 0;
            self.round_due = true;
            log::info!("event=machine_reachable machine={}", heartbeat.machine);
        }
    }

    /// Counts a start that a worker did not execute. Returns whether the machine is unreachable.
    pub(super) fn count_undelivered_start(&mut self, machine: &str, now: u64) -> bool {
        let Some(machine) = self.machines.get_mut(machine) else {
            return false;
        };
        machine.undelivered_starts += 1;
        if machine.undelivered_starts >= UNDELIVERED_STARTS_MAX {
            machine.mark_unreachable(now, "starts do not reach it");
        }
        machine.unreachable_since.is_some()
    }
}

/// Handles a new incarnation, which means that the worker's lease has expired. If it expired sooner than a lease after
/// the leader's last answer (`is_early`), that answer did not reach the worker. This may happen once to any machine,
/// when heartbeats that were delayed by a network partition are answered late.
fn on_new_incarnation(machine: &mut Machine, is_early: bool, now: u64) {
    if machine.fencing_token_seen {
        machine.early_expiries = if is_early {
            machine.early_expiries + 1
        } else {
            0
        };
        if machine.early_expiries >= EARLY_EXPIRIES_MAX {
            machine.mark_unreachable(now, "its leases run out under our answers");
        }
    }
    machine.incarnation_since = now;
}

/// Whether an unreachable machine is reachable again: an incarnation outlives a lease only if answers reach the worker.
fn is_reachable_again(machine: &Machine, expiry_ms: u64, now: u64) -> bool {
    machine
        .unreachable_since
        .is_some_and(|at| now > at.max(machine.incarnation_since) + expiry_ms)
}

/// Milliseconds on the local clock within which a number of seconds has certainly passed on another machine's clock,
/// given the maximum clock drift.
fn milliseconds_with_drift(seconds: f64) -> u64 {
    (seconds * 1000.0 * CLOCK_DRIFT_FACTOR) as u64
}
