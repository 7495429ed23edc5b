//! The leader's knowledge of a machine and its worker.

use constants::{CLOCK_DRIFT_FACTOR, WORKER_REPORT_TIMEOUT_MS};
use std::collections::{BTreeMap, BTreeSet};
use wire::partitions::PartitionId;

/// Milliseconds after which a worker takes no copy of an answer any more, by its own clock.
const ANSWER_LIFETIME_MS: u64 = (WORKER_REPORT_TIMEOUT_MS as f64 * CLOCK_DRIFT_FACTOR) as u64 + 1;

/// Number of completed tasks from which a machine can be judged to be slow.
const MIN_RUN_TIME_SAMPLES: u32 = 2;

/// A machine of the fleet. Times are on the monotonic clock, in milliseconds.
#[derive(Debug, Clone)]
pub(crate) struct Machine {
    /// Name of the machine type.
    pub type_name: String,
    /// Zone.
    pub zone: String,
    /// Whether the machine is a spot instance.
    pub spot: bool,
    /// Whether type, zone and `spot` are known yet.
    pub is_described: bool,
    /// Address of the worker, for direct calls.
    pub addr: Option<String>,
    /// The machine is to be returned to the cloud, or the return has been requested.
    pub returning: bool,
    /// Current incarnation of the worker.
    pub incarnation: u64,
    /// Sequence number of the last heartbeat within the incarnation.
    pub heartbeat_seq: u64,
    /// Latest incarnation whose lease has certainly expired. Heartbeats of it or of an earlier one are outdated.
    pub expired_incarnation: u64,
    /// The worker is known to have seen this leader's term.
    pub fencing_token_seen: bool,
    /// A heartbeat that carries this leader's term has been processed.
    pub is_reconciled: bool,
    /// When the worker's last heartbeat arrived.
    pub last_heartbeat: Option<u64>,
    /// When this leader last answered a heartbeat of the worker.
    pub last_answer: Option<u64>,
    /// When the machine was created, by its age in the cloud's list; otherwise when this leader learned of it.
    pub known_since: u64,
    /// When the cloud will reclaim the machine, if it has announced that.
    pub reclaim_at: Option<u64>,
    /// Reason for draining the machine, if it is drained.
    pub draining: Option<&'static str>,
    /// The machine has appeared in the cloud's list.
    pub listed: bool,
    /// The machine has failed and no longer runs any task.
    pub failed: bool,
    /// Number of consecutive listings without the machine.
    pub missed_listings: u32,
    /// A task on the machine has been ordered to stop.
    pub has_stopping_tasks: bool,
    /// The cloud has granted or listed the machine, so that it is expected to come up.
    pub confirmed_by_cloud: bool,
    /// This leader rented the machine, so that its age is known.
    pub rented_by_this_leader: bool,
    /// When the current incarnation was first seen.
    pub incarnation_since: u64,
    /// Number of consecutive starts that were sent in answers without effect.
    pub undelivered_starts: u32,
    /// Number of consecutive incarnations that ended less than a lease after this leader's last answer.
    pub early_expiries: u32,
    /// Since when this leader's answers seem not to reach the worker, although its heartbeats arrive.
    pub unreachable_since: Option<u64>,
    /// A heartbeat of the worker has been received whose answer is deferred.
    pub has_deferred_answer: bool,
    /// Images in the machine's cache: when each was last used, and its size in GB.
    pub cached_images: BTreeMap<String, (u64, f64)>,
    /// Tasks assigned to the machine, by job and number.
    pub assignments: BTreeSet<(String, u32)>,
    /// When starts were sent to the worker in answers that it may still take, by task name and attempt.
    pub recent_starts: BTreeMap<(String, u64), u64>,
    /// Tasks that the machine runs without a record, by job, number and attempt.
    pub orphans: BTreeSet<(String, u32, u64)>,
    /// Jobs that failed on the machine, with none completing there since.
    pub failed_jobs: BTreeSet<String>,
    /// Sum and number of the ratios (run time / job's mean) of tasks completed on the machine.
    pub relative_run_times: (f64, u32),
    /// Since when the machine has had no assignments.
    pub idle_since: u64,
    /// When the return to the cloud was last requested.
    pub return_requested_at: Option<u64>,
    /// When orders were last sent to the worker directly, outside the answers to its heartbeats.
    pub last_direct_order_at: u64,
    /// New orders have been decided since the machine was last found steady.
    pub has_pending_orders: bool,
    /// Permit under which the owner of the machine's partition may answer its heartbeats.
    pub permit: Option<OwnerPermit>,
}

/// The part of a partition owner's permit that concerns one machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct OwnerPermit {
    /// Partition of the machine.
    pub partition: PartitionId,
    /// Until when the owner watches the machine and reports it if its heartbeats stop.
    pub watched_until: u64,
}

impl Machine {
    /// A machine that the leader has just learned of.
    pub fn new(now: u64) -> Self {
        Machine {
            type_name: String::new(),
            zone: String::new(),
            spot: false,
            is_described: false,
            addr: None,
            returning: false,
            incarnation: 0,
            heartbeat_seq: 0,
            expired_incarnation: 0,
            fencing_token_seen: false,
            is_reconciled: false,
            last_heartbeat: None,
            last_answer: None,
            known_since: now,
            reclaim_at: None,
            draining: None,
            listed: false,
            failed: false,
            missed_listings: 0,
            has_stopping_tasks: false,
            confirmed_by_cloud: false,
            rented_by_this_leader: false,
            incarnation_since: now,
            undelivered_starts: 0,
            early_expiries: 0,
            unreachable_since: None,
            has_deferred_answer: false,
            cached_images: BTreeMap::new(),
            assignments: BTreeSet::new(),
            recent_starts: BTreeMap::new(),
            orphans: BTreeSet::new(),
            failed_jobs: BTreeSet::new(),
            relative_run_times: (0.0, 0),
            idle_since: now,
            return_requested_at: None,
            last_direct_order_at: 0,
            has_pending_orders: false,
            permit: None,
        }
    }

    /// Sets type, zone and `spot`, unless they are known already.
    pub fn describe(&mut self, type_name: &str, zone: &str, spot: bool) {
        if self.is_described {
            return;
        }
        self.type_name = type_name.to_string();
        self.zone = zone.to_string();
        self.spot = spot;
        self.is_described = true;
    }

    /// Whether the worker's lease has certainly expired, so that every task of its incarnation has ended.
    ///
    /// Once the worker has seen this leader's term, only answers under that term extend its lease: those of the leader,
    /// and those of an owner, which may be given until `delegated_until`.
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

    /// Records that a start is sent now, in an answer to a heartbeat.
    pub fn record_start(&mut self, task: &str, attempt: u64, now: u64) {
        self.recent_starts
            .retain(|_, sent_at| now <= *sent_at + ANSWER_LIFETIME_MS);
        self.recent_starts.insert((task.to_string(), attempt), now);
    }

    /// Whether the worker may still execute a start of the attempt, from a copy of an answer that it has taken. It has no
    /// effect as long as the worker knows the attempt.
    pub fn may_execute_start(&self, task: &str, attempt: u64, now: u64) -> bool {
        let sent_at = self.recent_starts.get(&(task.to_string(), attempt));
        sent_at.is_some_and(|sent_at| now <= *sent_at + ANSWER_LIFETIME_MS)
    }

    /// Whether tasks may be started on the machine: it is neither being drained nor returned.
    pub fn accepts_starts(&self) -> bool {
        self.draining.is_none() && !self.returning
    }

    /// Whether an owner may continue to answer the heartbeats: no orders are pending, and the machine is steady.
    pub fn may_stay_delegated(&self) -> bool {
        !self.has_pending_orders && self.is_steady()
    }

    /// Whether no change is under way that concerns the machine itself, such as a drain, a return or a failure.
    pub fn is_steady(&self) -> bool {
        !self.has_stopping_tasks
            && !self.returning
            && !self.failed
            && self.draining.is_none()
            && self.reclaim_at.is_none()
            && self.unreachable_since.is_none()
            && self.orphans.is_empty()
    }

    /// Whether a heartbeat with these numbers is older than what is known already.
    pub fn is_outdated(&self, incarnation: u64, heartbeat_seq: u64) -> bool {
        incarnation <= self.expired_incarnation
            || (incarnation, heartbeat_seq) <= (self.incarnation, self.heartbeat_seq)
    }

    /// Records that answers seem not to reach the worker. The machine gets no new work until an incarnation outlives a
    /// lease.
    pub fn mark_unreachable(&mut self, now: u64, why: &str) {
        if self.unreachable_since.is_none() {
            log::info!(
                "event=machine_unreachable kind={} why={why:?}",
                self.type_name
            );
            self.unreachable_since = Some(now);
        }
    }

    /// Whether tasks on the machine take much longer than those of the same jobs elsewhere.
    pub fn is_slow(&self) -> bool {
        let (sum, count) = self.relative_run_times;
        count >= MIN_RUN_TIME_SAMPLES && sum / f64::from(count) > constants::SLOW_MACHINE_FACTOR
    }
}
