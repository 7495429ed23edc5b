//! What the leader knows of a machine and its worker.

use std::collections::{BTreeMap, BTreeSet};
use wire::partitions::PartitionId;

/// Completed tasks from which a machine's pace counts.
const PACE_SAMPLES_MIN: u32 = 2;

/// A machine of the fleet. Times are of the steady clock, in milliseconds.
#[derive(Debug, Clone)]
pub(crate) struct Machine {
    /// Machine type.
    pub kind: String,
    /// Zone.
    pub zone: String,
    /// Whether it is a spot instance.
    pub spot: bool,
    /// Whether the three above are known yet.
    pub known: bool,
    /// Address of its worker, for direct calls.
    pub addr: Option<String>,
    /// It is to be returned to the cloud, or the request for that is under way.
    pub returning: bool,
    /// Present incarnation of its worker.
    pub incarnation: u64,
    /// Number of the last report within the incarnation.
    pub seq: u64,
    /// The last incarnation whose lease has certainly expired: reports of it, or of an earlier one, arrive late.
    pub ended_incarnation: u64,
    /// The worker is known to have seen our term.
    pub fencing_token_seen: bool,
    /// A report that carries our term has been processed.
    pub is_reconciled: bool,
    /// When the worker's last heartbeat arrived.
    pub last_heartbeat: Option<u64>,
    /// When this leader last answered a heartbeat of the worker.
    pub last_answer: Option<u64>,
    /// When the machine came into being: by its age in the cloud's list, or else when this leader first knew of it.
    pub known_since: u64,
    /// When the cloud takes the machine away, if it has announced that.
    pub notice_at: Option<u64>,
    /// Why the machine is drained, if it is.
    pub draining: Option<&'static str>,
    /// The cloud's list has shown it.
    pub listed: bool,
    /// The machine has failed and runs nothing any more.
    pub failed: bool,
    /// Listings in a row that did not show it.
    pub missed_listings: u32,
    /// Some task of it has been told to stop.
    pub has_stopping_tasks: bool,
    /// The cloud has named or listed it, so that it may be counted on.
    pub expected: bool,
    /// This leader rented it, so that its age is known.
    pub rented: bool,
    /// When the present incarnation was first seen.
    pub incarnation_since: u64,
    /// Starts in a row that were sent in answers and not acted on.
    pub undelivered_starts: u32,
    /// Incarnations in a row that ended sooner than a lease after our last answer.
    pub early_expiries: u32,
    /// Since when our answers seem not to reach it, though its reports reach us.
    pub unreachable_since: Option<u64>,
    /// A report of it waits for its answer.
    pub has_deferred_answer: bool,
    /// Images in its cache: when each was last used, and its size in GB.
    pub images: BTreeMap<String, (u64, f64)>,
    /// Tasks assigned to it, by job and number.
    pub assignments: BTreeSet<(String, u32)>,
    /// Tasks that it runs without a record, by job, number and attempt.
    pub orphans: BTreeSet<(String, u32, u64)>,
    /// Jobs that failed here, with none completing since.
    pub failed_jobs: BTreeSet<String>,
    /// Sum and number of (run time / job's mean) of tasks completed here.
    pub relative_run_times: (f64, u32),
    /// Since when it has had no assignments.
    pub idle_since: u64,
    /// When its return was last requested of the cloud.
    pub return_sent: Option<u64>,
    /// When orders were last sent to it directly, outside the answers to its reports.
    pub last_direct_order_at: u64,
    /// Something was decided for it since it was last found steady.
    pub has_pending_orders: bool,
    /// Permit under which the owner of its partition may answer it.
    pub permit: Option<OwnerPermit>,
}

/// A permit for the owner of a machine's partition, as far as it concerns the machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct OwnerPermit {
    /// Partition of the machine.
    pub partition: PartitionId,
    /// Until when the owner reports the machine if it stops hearing from it.
    pub watched_until: u64,
}

impl Machine {
    /// A machine that has just become known.
    pub fn new(now: u64) -> Self {
        Machine {
            kind: String::new(),
            zone: String::new(),
            spot: false,
            known: false,
            addr: None,
            returning: false,
            incarnation: 0,
            seq: 0,
            ended_incarnation: 0,
            fencing_token_seen: false,
            is_reconciled: false,
            last_heartbeat: None,
            last_answer: None,
            known_since: now,
            notice_at: None,
            draining: None,
            listed: false,
            failed: false,
            missed_listings: 0,
            has_stopping_tasks: false,
            expected: false,
            rented: false,
            incarnation_since: now,
            undelivered_starts: 0,
            early_expiries: 0,
            unreachable_since: None,
            has_deferred_answer: false,
            images: BTreeMap::new(),
            assignments: BTreeSet::new(),
            orphans: BTreeSet::new(),
            failed_jobs: BTreeSet::new(),
            relative_run_times: (0.0, 0),
            idle_since: now,
            return_sent: None,
            last_direct_order_at: 0,
            has_pending_orders: false,
            permit: None,
        }
    }

    /// Takes type, zone and kind, unless they are known already.
    pub fn describe(&mut self, kind: &str, zone: &str, spot: bool) {
        if self.known {
            return;
        }
        self.kind = kind.to_string();
        self.zone = zone.to_string();
        self.spot = spot;
        self.known = true;
    }

    /// Whether the worker's lease has certainly expired, and with it every task of its incarnation.
    ///
    /// Once the worker has seen our term, only answers under that term extend its lease: ours, and those of an owner,
    /// which may come until `delegated_until`.
    pub fn lease_expired(
        &self,
        now: u64,
        expiry_ms: u64,
        delegated_until: impl Fn() -> Option<u64>,
    ) -> bool {
        let answered_long_ago = |at: u64| now > at + expiry_ms;
        self.fencing_token_seen
            && self.last_answer.is_some_and(answered_long_ago)
            && delegated_until().is_none_or(answered_long_ago)
    }

    /// Whether an owner may go on answering for it: nothing was decided for it, and it is calm.
    pub fn stays_steady(&self) -> bool {
        !self.has_pending_orders && self.is_unchanging()
    }

    /// Whether it is to stay as it is, as far as the machine itself is concerned.
    pub fn is_unchanging(&self) -> bool {
        !self.has_stopping_tasks
            && !self.returning
            && !self.failed
            && self.draining.is_none()
            && self.notice_at.is_none()
            && self.unreachable_since.is_none()
            && self.orphans.is_empty()
    }

    /// Whether a report with these numbers was written before something that is known already.
    pub fn is_outdated(&self, incarnation: u64, seq: u64) -> bool {
        incarnation <= self.ended_incarnation || (incarnation, seq) <= (self.incarnation, self.seq)
    }

    /// Records that answers seem not to reach it: it gets no new work until an incarnation outlives a lease.
    pub fn mark_unreachable(&mut self, now: u64, why: &str) {
        if self.unreachable_since.is_none() {
            log::info!("event=machine_unreachable kind={} why={why:?}", self.kind);
            self.unreachable_since = Some(now);
        }
    }

    /// Whether its tasks take much longer than those of the same jobs elsewhere.
    pub fn is_slow(&self) -> bool {
        let (sum, count) = self.relative_run_times;
        count >= PACE_SAMPLES_MIN && sum / f64::from(count) > constants::SLOW_MACHINE_FACTOR
    }
}
