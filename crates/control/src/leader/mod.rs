//! The leader's state: open jobs, machines and rentals; the only place where tasks are assigned.
//!
//! Everything recorded is level-triggered: memory holds what is wanted, and transactions bring the store there.
//! Nothing leaves the node (`launch`, `reap`, `done`, a rental) before its record is known to be saved. Machines have
//! no records: their workers, the cloud's list and recent rental requests name them.

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
mod store;
#[cfg(test)]
mod tests;
mod timers;
mod watch;
mod worker_heartbeats;
mod worker_silence;

pub(crate) use delegation::AnsweredHeartbeat;
pub(crate) use watch::direct_call;
pub(crate) use worker_heartbeats::{DeferredAnswer, HeartbeatOutcome};

use crate::effects::{Effects, Now};
use crate::recent_map::RecentMap;
use crate::requests::{
    CloudOp, CloudReply, CloudRequest, CloudTag, LeaderRequest, Priority, StateOp, StateReply,
    StateTag,
};
use crate::settings::{Operator, Settings};
use crate::token_bucket::TokenBucket;
use constants::FINAL_CACHE;
use job_watch::JobWatch;
use loading::Loading;
use model::{BootTimes, Job, Machine, RecordCell};
use rental::{OfferBackoff, OfferKey, Rental};
use start_latencies::StartLatencies;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use wire::cloud::MachineType;
use wire::records::JobOutcome;

/// Direct calls to workers per second. What they leave out goes with the answers to the workers' reports.
const DIRECT_CALLS_PER_S: f64 = 20.0;
/// Direct calls to workers at once.
const DIRECT_CALLS_BURST: f64 = 40.0;

/// The leader of one term. Times are of the steady clock, in milliseconds.
pub(crate) struct Leader {
    /// Fencing token: the number of the term.
    pub term: u64,
    /// Version of the leader key in this term, which guards every write.
    lead_version: u64,
    settings: Settings,
    operator: Operator,
    stopwatch: crate::Stopwatch,

    // Loading the records.
    loading: Loading,
    /// When the term began.
    elected_at: u64,
    /// When all records had been read.
    ready_at: u64,
    /// When this process last resumed after a stall: silence up to then says nothing about a machine.
    resumed_at: u64,

    // Jobs.
    /// Open jobs, by id.
    jobs: BTreeMap<String, Job>,
    /// The watch that reports changes of open jobs.
    job_watch: JobWatch,
    /// Which jobs wait for which others.
    dependencies: dependencies::Dependencies,
    /// Jobs archived in this term.
    archived: RecentMap<JobOutcome>,
    /// Jobs that peers, or this node, have reported as cancelled and that are not known here, or not yet.
    cancellation_notices: RecentMap<()>,
    /// The job that the last message to the peers ended with, if there are more.
    last_updated_job: String,

    // Machines.
    /// Known machines, by name.
    machines: BTreeMap<String, Machine>,
    /// Machines that are certainly gone, with the time when that became known.
    departed: HashMap<String, u64>,
    /// Boot times seen in this term, by machine type.
    boots: HashMap<String, BootTimes>,
    start_latencies: StartLatencies,
    /// Direct calls that may be made.
    direct_order_budget: TokenBucket,
    /// Something happened that a deferred answer may have waited for.
    pub has_new_decisions: bool,
    /// Which answers of owners may be under way; nothing where partitions are off.
    delegation: Option<::partitions::Delegation>,
    /// Machines for which something has become pending, and which an owner may be answering.
    machines_with_new_orders: Vec<String>,

    // Store.
    /// Pages of assignments and progress.
    pages: pages::PageTable,
    /// Records whose write is wanted.
    write_queue: store::WriteQueue,
    /// Transactions in flight.
    transactions: store::PendingTransactions,

    // Planning.
    /// Something changed that a round of decisions may answer.
    plan_due: bool,
    /// When the next round may begin at the earliest.
    next_round: u64,
    next_housekeeping: u64,
    next_consolidation: u64,
    /// Jobs for which a round that was cut short had found no room: the next one continues behind them.
    skipped_jobs: BTreeSet<String>,
    /// Number of rounds of decisions so far.
    rounds: u64,

    // Fleet.
    /// Rental requests, by name.
    rentals: BTreeMap<String, Rental>,
    /// Machine types that the cloud offers.
    types: RecordCell<Vec<MachineType>>,
    next_request: u64,
    /// Offers that the cloud had no capacity for: until when they are left alone, and for how long.
    offer_backoff: HashMap<OfferKey, OfferBackoff>,
    /// Offers whose last request was filled in full: several may be requested at once.
    filled_offers: BTreeSet<OfferKey>,
    next_list: u64,
    next_types: u64,
    /// When the listing under way began.
    listing_since: Option<u64>,
    /// Machines that the listing under way has shown.
    listed_machines: BTreeSet<String>,
    /// When the last complete listing was requested.
    last_listing_at: u64,
    listed_once: bool,
    next_rent: u64,
    next_summary: u64,
    next_account: u64,
    costs: fleet::CostAccount,
}

impl Leader {
    /// A leader that has just been elected and has yet to read its records.
    pub fn new(
        settings: &Settings,
        operator: &Operator,
        stopwatch: crate::Stopwatch,
        term: u64,
        lead_version: u64,
        dense: bool,
        now: Now,
    ) -> Self {
        Leader {
            term,
            lead_version,
            settings: settings.clone(),
            operator: operator.clone(),
            stopwatch,
            loading: Loading::start(),
            elected_at: now.mono,
            ready_at: 0,
            resumed_at: 0,
            jobs: BTreeMap::new(),
            job_watch: JobWatch::default(),
            dependencies: dependencies::Dependencies::default(),
            archived: RecentMap::new(FINAL_CACHE),
            cancellation_notices: RecentMap::new(FINAL_CACHE),
            last_updated_job: String::new(),
            machines: BTreeMap::new(),
            departed: HashMap::new(),
            boots: HashMap::new(),
            start_latencies: StartLatencies::default(),
            direct_order_budget: TokenBucket::new(DIRECT_CALLS_PER_S, DIRECT_CALLS_BURST),
            has_new_decisions: false,
            delegation: None,
            machines_with_new_orders: Vec::new(),
            pages: pages::PageTable::new(dense),
            write_queue: store::WriteQueue::default(),
            transactions: store::PendingTransactions::default(),
            plan_due: true,
            next_round: 0,
            next_housekeeping: 0,
            next_consolidation: 0,
            skipped_jobs: BTreeSet::new(),
            rounds: 0,
            rentals: BTreeMap::new(),
            types: RecordCell::new(None, 0),
            next_request: 0,
            offer_backoff: HashMap::new(),
            filled_offers: BTreeSet::new(),
            next_list: 0,
            next_types: 0,
            listing_since: None,
            listed_machines: BTreeSet::new(),
            last_listing_at: 0,
            listed_once: false,
            next_rent: 0,
            next_summary: 0,
            next_account: 0,
            costs: fleet::CostAccount::default(),
        }
    }

    /// The upgrade is over: no node is left that can't read the dense form.
    pub fn upgraded(&mut self, effects: &mut Effects) {
        if !self.is_ready() {
            // The records that are still being read show which chunks are in which form.
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

    /// A request to the state service has ended.
    pub fn on_state(&mut self, request: LeaderRequest, reply: StateReply, effects: &mut Effects) {
        match request {
            LeaderRequest::Load(prefix) => self.on_load(prefix, reply, effects),
            LeaderRequest::Watch(sent) => self.on_watch(sent, reply, effects),
            LeaderRequest::PendingTransaction(number) => {
                self.on_transaction_reply(number, reply, effects)
            }
            LeaderRequest::Refresh(what, key) => self.on_refresh(what, key, reply, effects),
            LeaderRequest::Resync(reread) => self.on_resync(reread, reply, effects),
            LeaderRequest::FinalRecord(id) => self.on_final_record(&id, reply, effects),
            LeaderRequest::FurtherRecord(id, number) => {
                self.on_further_record(id, number, reply, effects)
            }
        }
    }

    /// A request to the cloud has ended.
    pub fn on_cloud(
        &mut self,
        request: CloudRequest,
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
        request: LeaderRequest,
        effects: &mut Effects,
    ) {
        let tag = StateTag::Leader {
            term: self.term,
            request,
        };
        effects.request_state(priority, op, tag);
    }

    fn send_cloud_request(&self, op: CloudOp, request: CloudRequest, effects: &mut Effects) {
        let tag = CloudTag::Leader {
            term: self.term,
            request,
        };
        effects.request_cloud(op, tag);
    }
}
