//! The fleet: which machines are rented, which are returned, and what they cost.
//!
//! Every rental is recorded before it is requested, so that a next leader knows of it. A return has no record: sent
//! twice it changes nothing.
//!
//! | module | subject |
//! | --- | --- |
//! | `costs` | accounting of what machines cost, by what they did |
//! | `listing` | reconciliation with the cloud's list of machines |
//! | `returns` | scale in: machines to return |
//! | `renting` | scale out: rental requests |
//! | `replies` | replies of the cloud |

mod costs;
mod listing;
mod renting;
mod replies;
mod returns;

pub(super) use costs::CostAccount;

use super::{Leader, StartLatencies};
use crate::effects::{Effects, Now};
use crate::requests::{CloudOp, CloudPurpose};
use constants::{CLOUD_TYPES_S, REMOVED_MACHINE_RETENTION_MS, SILENT_EXTRA_MS};

/// Milliseconds between two summaries in the log.
const SUMMARY_EVERY_MS: u64 = 15_000;

/// Milliseconds, for each second that the cloud's list may lag, for which a machine that is gone is remembered besides
/// [`REMOVED_MACHINE_RETENTION_MS`]: four lags, so that late listings don't bring it back.
const DEPARTED_MS_PER_LAG_S: f64 = 4_000.0;

/// Milliseconds without a report, for each second between reports, after which a machine is silent: two and a half
/// reports.
const SILENT_MS_PER_REPORT_S: f64 = 2_500.0;

impl Leader {
    /// Periodic work on the fleet.
    pub(super) fn maintain_fleet(&mut self, effects: &mut Effects) {
        let now = effects.now;
        self.account_costs(now);
        self.request_types(effects);
        self.request_listing(effects);
        self.consolidate(effects);
        self.return_machines(effects);
        self.maintain_rentals(effects);
        self.rent_machines(effects);
        self.expire_departed(now);
        if now.mono >= self.next_summary {
            self.next_summary = now.mono + SUMMARY_EVERY_MS;
            self.log_costs();
            self.log_summary();
            self.start_latencies = StartLatencies::default();
        }
    }

    /// Milliseconds without a report after which a machine is silent.
    pub(super) fn silent_ms(&self) -> u64 {
        let report_s = self.settings.deployment.workers.report_s;
        (report_s * SILENT_MS_PER_REPORT_S) as u64 + SILENT_EXTRA_MS
    }

    fn request_types(&mut self, effects: &mut Effects) {
        let now = effects.now.mono;
        if now >= self.next_types {
            self.next_types = now + (CLOUD_TYPES_S * 1000.0) as u64;
            self.send_cloud_request(CloudOp::Types, CloudPurpose::Types, effects);
        }
    }

    /// Drops machines that have been gone for so long that nothing late can speak of them.
    fn expire_departed(&mut self, now: Now) {
        let list_lag_s = self.settings.deployment.cloud.list_lag_s;
        let remembered_ms =
            (list_lag_s * DEPARTED_MS_PER_LAG_S) as u64 + REMOVED_MACHINE_RETENTION_MS;
        self.departed
            .retain(|_, removed_at| now.mono < *removed_at + remembered_ms);
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
                let not_done = job.spec.tasks - job.done;
                not_done - u64::from(job.assigned).min(not_done)
            })
            .sum();
        let assigned: u32 = self.jobs.values().map(|job| job.assigned).sum();
        log::info!(
            "event=summary machines={} up={up} jobs={} awaiting_dependencies={} assigned={assigned} \
             waiting={waiting} rentals={} unsaved={} starts={} sent_ms={} seen_ms={} ran_ms={}",
            self.machines.len(),
            self.jobs.len(),
            blocked.len(),
            self.rentals.len(),
            self.write_queue.len(),
            self.start_latencies.sent.n,
            self.start_latencies.sent,
            self.start_latencies.seen,
            self.start_latencies.ran
        );
    }
}
