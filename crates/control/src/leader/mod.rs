//! The leader's state: open jobs, machines and rentals. Only the leader assigns tasks to machines.
//!
//! Records are level-triggered: memory holds the desired state, and transactions bring the store to it. Nothing that
//! depends on a record (`launch`, `reap`, `done`, a rental) is sent before the record is known to be saved. Machines
//! have no records: the leader learns of them from their workers, the cloud's list and recent rental requests.

mod authority;
mod cancellation;
mod consolidation;
mod delegation;
mod dependencies;
mod fleet;
mod job_records;
mod job_updates;
mod job_watch;
mod loading;
mod machine_health;
mod model;
mod pages;
mod planning;
mod releases;
mod rental;
mod start_latencies;
mod start_proofs;
mod store;
#[cfg(test)]
mod tests;
mod timers;
mod watch;
mod worker_heartbeats;
mod worker_silence;

pub(crate) use authority::Authority;
pub(crate) use delegation::AnsweredHeartbeat;
pub(crate) use watch::direct_call;
pub(crate) use worker_heartbeats::{DeferredAnswer, HeartbeatOutcome};

use crate::effects::{Effects, Now};
use crate::recent_map::RecentMap;
use crate::requests::{
    CloudOp, CloudPurpose, CloudReply, CloudTag, Priority, StateOp, StatePurpose, StateReply,
    StateTag,
};
use crate::settings::{Operator, Settings};
use crate::token_bucket::TokenBucket;
use constants::OUTCOME_CACHE_ENTRIES;
use job_watch::JobWatch;
use loading::Loading;
use model::{BootTimes, Job, Machine, RecordCell};
use rental::{OfferBackoff, OfferKey, Rental};
use start_latencies::StartLatencies;
use start_proofs::ChangeRead;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use wire::cloud::MachineType;
use wire::records::JobOutcome;

/// Direct calls to workers per second. Orders beyond this rate are sent in the answers to the workers' heartbeats.
const DIRECT_CALLS_PER_S: f64 = 20.0;
/// Largest burst of direct calls to workers.
const DIRECT_CALLS_BURST: f64 = 40.0;

/// The leader of one term. Times are on the monotonic clock, in milliseconds.
pub(crate) struct Leader {
    /// Number of the term, which serves as fencing token.
    pub term: u64,
    /// Version of the leader key in this term. Every write is conditional on it.
    leader_key_version: u64,
    settings: Settings,
    operator: Operator,
    stopwatch: crate::Stopwatch,

    // Loading the records.
    loading: Loading,
    /// When the term began.
    elected_at: u64,
    /// When the last record had been read.
    ready_at: u64,
    /// When this process last resumed after a stall. Missing heartbeats up to then do not show that a machine is
    /// silent.
    resumed_at: u64,

    // Jobs.
    /// Open jobs, by id.
    jobs: BTreeMap<String, Job>,
    /// The watch that reports changes of open jobs.
    job_watch: JobWatch,
    /// The read of changed jobs that precedes a start.
    change_read: ChangeRead,
    /// Dependencies among jobs.
    dependencies: dependencies::Dependencies,
    /// Outcomes of the jobs archived in this term.
    archived_jobs: RecentMap<JobOutcome>,
    /// Jobs that a peer or this node has reported as cancelled and that the leader does not know, or not yet.
    cancellation_notices: RecentMap<()>,
    /// Last job in the latest message to the peers, if the next message has to continue after it.
    job_update_cursor: String,

    // Machines.
    /// Known machines, by name.
    machines: BTreeMap<String, Machine>,
    /// Machines that are certainly gone, with the time at which this became known.
    departed_machines: HashMap<String, u64>,
    /// Statistics of the boot times seen in this term, by machine type.
    boot_times: HashMap<String, BootTimes>,
    start_latencies: StartLatencies,
    /// Rate limit of direct calls to workers.
    direct_order_budget: TokenBucket,
    /// Set when something happened that a deferred answer may be waiting for.
    pub has_new_decisions: bool,
    /// Tracks which answers of partition owners may be under way; `None` if partitions are off.
    delegation: Option<::partitions::Delegation>,
    /// Machines that have new pending orders and whose heartbeats an owner may be answering.
    machines_with_new_orders: Vec<String>,

    // Store.
    /// Pages that store assignments and progress.
    pages: pages::PageTable,
    /// Records that are to be written.
    write_queue: store::WriteQueue,
    /// Transactions in flight.
    transactions: store::PendingTransactions,

    // Planning.
    /// Something has changed that may call for a scheduling round.
    round_due: bool,
    /// Earliest start of the next round.
    next_round_at: u64,
    next_housekeeping_at: u64,
    next_consolidation_at: u64,
    /// Jobs for which the last round, cut short by its time budget, found no room. The next round leaves them out, to
    /// get to the jobs behind them.
    skipped_jobs: BTreeSet<String>,
    /// Number of rounds so far.
    rounds: u64,

    // Fleet.
    /// Rental requests, by name.
    rentals: BTreeMap<String, Rental>,
    /// Machine types that the cloud offers.
    machine_types: RecordCell<Vec<MachineType>>,
    /// Number in the name of the last rental request.
    last_rental_number: u64,
    /// Backoff of the offers that the cloud had no capacity for.
    offer_backoff: HashMap<OfferKey, OfferBackoff>,
    /// Offers whose last request was filled completely. Such an offer may have several requests at a time.
    filled_offers: BTreeSet<OfferKey>,
    machine_listing: fleet::MachineListing,
    type_listing: fleet::TypeListing,
    next_rental_at: u64,
    next_summary_at: u64,
    next_cost_account_at: u64,
    costs: fleet::CostAccount,
}

impl Leader {
    /// A newly elected leader that has not read its records yet.
    pub fn new(
        settings: &Settings,
        operator: &Operator,
        stopwatch: crate::Stopwatch,
        term: u64,
        leader_key_version: u64,
        dense: bool,
        now: Now,
    ) -> Self {
        Leader {
            term,
            leader_key_version,
            settings: settings.clone(),
            operator: operator.clone(),
            stopwatch,
            loading: Loading::start(),
            elected_at: now.mono,
            ready_at: 0,
            resumed_at: 0,
            jobs: BTreeMap::new(),
            job_watch: JobWatch::default(),
            change_read: ChangeRead::default(),
            dependencies: dependencies::Dependencies::default(),
            archived_jobs: RecentMap::new(OUTCOME_CACHE_ENTRIES),
            cancellation_notices: RecentMap::new(OUTCOME_CACHE_ENTRIES),
            job_update_cursor: String::new(),
            machines: BTreeMap::new(),
            departed_machines: HashMap::new(),
            boot_times: HashMap::new(),
            start_latencies: StartLatencies::default(),
            direct_order_budget: TokenBucket::new(DIRECT_CALLS_PER_S, DIRECT_CALLS_BURST),
            has_new_decisions: false,
            delegation: None,
            machines_with_new_orders: Vec::new(),
            pages: pages::PageTable::new(dense),
            write_queue: store::WriteQueue::default(),
            transactions: store::PendingTransactions::default(),
            round_due: true,
            next_round_at: 0,
            next_housekeeping_at: 0,
            next_consolidation_at: 0,
            skipped_jobs: BTreeSet::new(),
            rounds: 0,
            rentals: BTreeMap::new(),
            machine_types: RecordCell::new(None, 0),
            last_rental_number: 0,
            offer_backoff: HashMap::new(),
            filled_offers: BTreeSet::new(),
            machine_listing: fleet::MachineListing::default(),
            type_listing: fleet::TypeListing::default(),
            next_rental_at: 0,
            next_summary_at: 0,
            next_cost_account_at: 0,
            costs: fleet::CostAccount::default(),
        }
    }

    /// Switches to the dense form of the records: the upgrade is complete, and every node can read it.
    pub fn on_upgrade_complete(&mut self, effects: &mut Effects) {
        if !self.is_ready() {
            // The jobs are converted once all records have been read: only then the form of each chunk is known.
            self.pages.use_dense_layout();
            return;
        }
        self.switch_to_dense_layout();
        self.flush(effects);
    }

    /// Whether all records have been read.
    pub fn is_ready(&self) -> bool {
        self.loading.is_complete()
    }

    /// Handles the reply to a request to the state service.
    pub fn handle_state_reply(
        &mut self,
        request: StatePurpose,
        reply: StateReply,
        effects: &mut Effects,
    ) {
        match request {
            StatePurpose::Load(prefix) => self.on_load_reply(prefix, reply, effects),
            StatePurpose::Watch(sent) => self.on_watch_reply(sent, reply, effects),
            StatePurpose::ReadChanges(sent) => self.on_change_read_reply(sent, reply, effects),
            StatePurpose::PendingTransaction(number) => {
                self.on_transaction_reply(number, reply, effects)
            }
            StatePurpose::Refresh(what, key) => self.on_refresh_reply(what, key, reply, effects),
            StatePurpose::ConfirmRefresh { record, key, item } => {
                self.on_refresh_confirmation(record, key, item, reply, effects)
            }
            StatePurpose::Resync(reread) => self.on_reread_reply(reread, reply, effects),
            StatePurpose::FinalRecord(id) => self.on_final_record_reply(&id, reply, effects),
            StatePurpose::OverflowRecord(id, number) => {
                self.on_overflow_record_reply(id, number, reply, effects)
            }
        }
    }

    /// Handles the reply to a request to the cloud.
    pub fn handle_cloud_reply(
        &mut self,
        request: CloudPurpose,
        op: CloudOp,
        reply: CloudReply,
        effects: &mut Effects,
    ) {
        self.on_cloud_reply(request, op, reply, effects);
        self.flush(effects);
    }

    fn send_state_request(
        &self,
        priority: Priority,
        op: StateOp,
        request: StatePurpose,
        effects: &mut Effects,
    ) {
        let tag = StateTag::Leader {
            term: self.term,
            purpose: request,
        };
        effects.request_state(priority, op, tag);
    }

    fn send_cloud_request(&self, op: CloudOp, request: CloudPurpose, effects: &mut Effects) {
        let tag = CloudTag::Leader {
            term: self.term,
            purpose: request,
        };
        effects.request_cloud(op, tag);
    }
}
