//! The fleet: which machines are rented, which are returned, and what they cost.
//!
//! Every rental is recorded before it is requested, so that the next leader knows of it. A return needs no record
//! because it is idempotent.
//!
//! | module | subject |
//! | --- | --- |
//! | `costs` | accounting of the cost of machines, by what they were used for |
//! | `listing` | reconciliation with the cloud's list of machines |
//! | `type_listing` | listings of the machine types |
//! | `returns` | scale-in: machines to return |
//! | `renting` | scale-out: rental requests |
//! | `replies` | replies from the cloud |

mod costs;
mod listing;
mod renting;
mod replies;
mod returns;
mod type_listing;

pub(super) use costs::CostAccount;
pub(super) use listing::MachineListing;
pub(super) use type_listing::TypeListing;

use super::{Leader, StartLatencies};
use crate::effects::{Effects, Now};
use constants::{REMOVED_MACHINE_RETENTION_MS, SILENCE_MARGIN_MS};

/// Milliseconds between two summaries in the log.
const SUMMARY_INTERVAL_MS: u64 = 15_000;

/// Milliseconds, per second of the list's maximum lag, for which a removed machine is remembered in addition to
/// [`REMOVED_MACHINE_RETENTION_MS`]. This is four times the lag, so that a late listing doesn't add the machine again.
const DEPARTED_RETENTION_MS_PER_LAG_S: f64 = 4_000.0;

/// Milliseconds without a heartbeat, per second of the heartbeat interval, after which a machine is silent: two and a
/// half intervals.
const HEARTBEAT_TIMEOUT_MS_PER_REPORT_S: f64 = 2_500.0;

impl Leader {
    /// Runs the periodic maintenance of the fleet.
    pub(super) fn maintain_fleet(&mut self, effects: &mut Effects) {
        let now = effects.now;
        self.account_costs(now);
        self.request_machine_types(effects);
        self.request_listing(effects);
        self.consolidate(effects);
        self.return_machines(effects);
        self.maintain_rentals(effects);
        self.rent_machines(effects);
        self.expire_departed(now);
        if now.mono >= self.next_summary_at {
            self.next_summary_at = now.mono + SUMMARY_INTERVAL_MS;
            self.log_costs();
            self.log_summary();
            self.start_latencies = StartLatencies::default();
        }
    }

    /// Milliseconds without a heartbeat after which a machine is silent.
    pub(super) fn heartbeat_timeout_ms(&self) -> u64 {
        let report_s = self.settings.deployment.workers.report_s;
        (report_s * HEARTBEAT_TIMEOUT_MS_PER_REPORT_S) as u64 + SILENCE_MARGIN_MS
    }

    /// Forgets machines that were removed so long ago that no delayed heartbeat or listing can still name them.
    fn expire_departed(&mut self, now: Now) {
        let list_lag_s = self.settings.deployment.cloud.list_lag_s;
        let retention_ms =
            (list_lag_s * DEPARTED_RETENTION_MS_PER_LAG_S) as u64 + REMOVED_MACHINE_RETENTION_MS;
        self.departed_machines
            .retain(|_, removed_at| now.mono < *removed_at + retention_ms);
    }

    fn log_summary(&self) {
        let up = self.machines.values().filter(|m| m.is_reconciled).count();
        let (blocked, ready): (Vec<_>, Vec<_>) = self
            .jobs
            .values()
            .partition(|job| job.awaits_dependencies());
        let waiting: u64 = ready
            .iter()
            .map(|job| {
                let not_done = job.spec.tasks - job.done_count;
                not_done - u64::from(job.assigned_count).min(not_done)
            })
            .sum();
        let assigned: u32 = self.jobs.values().map(|job| job.assigned_count).sum();
        log::info!(
            "event=summary machines={} up={up} jobs={} awaiting_dependencies={} assigned={assigned} \
             waiting={waiting} rentals={} unsaved={} starts={} sent_ms={} seen_ms={} ran_ms={}",
            self.machines.len(),
            self.jobs.len(),
            blocked.len(),
            self.rentals.len(),
            self.write_queue.len(),
            self.start_latencies.sent.count,
            self.start_latencies.sent,
            self.start_latencies.seen,
            self.start_latencies.ran
        );
    }
}
