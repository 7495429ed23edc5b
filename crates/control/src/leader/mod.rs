//! The leader's state: open jobs, machines and rentals; the only place where tasks are placed.
//!
//! Everything recorded is level-triggered: memory holds what is wanted, transactions bring the store there, and
//! nothing leaves the node (`launch`, `reap`, `done`, a rental) before its record is known to be safe. Machines have
//! no records: their workers, the cloud's list and recent rental requests name them.

mod delegation;
mod machine_health;
mod model;
pub(crate) use delegation::AnsweredHeartbeat;
mod dependencies;
mod fleet;
mod pages;
mod planning;
mod worker_heartbeats;
pub(crate) use watch::direct_call;
pub(crate) use worker_heartbeats::{DeferredAnswer, ReportOutcome};
mod consolidation;
mod store;
#[cfg(test)]
mod tests;
mod watch;

use crate::effects::{Effects, NodeEvent, Now};
use crate::recent_map::RecentMap;
use crate::requests::{
    CloudOp, CloudReply, CloudRequest, CloudTag, LeaderRequest, Priority, RecordId, Reread,
    StateOp, StateReply, StateTag,
};
use crate::settings::{Operator, Settings};
use crate::token_bucket::TokenBucket;
use constants::*;
use model::*;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::ops::Bound;
use wire::cloud::MachineType;
use wire::peers::JobUpdate;
use wire::records::*;
use wire::state::{Change, Item};

#[derive(Debug, Clone, PartialEq)]
enum Loading {
    /// Reading the records under a prefix, from a key on.
    Pages {
        prefix: &'static str,
        from: String,
    },
    Ready,
}

/// A rental request.
#[derive(Debug, Clone)]
struct Rental {
    record: RecordCell<RentalRecord>,
    /// The cloud was asked.
    sent: bool,
    retry_at: u64,
    since: u64,
    /// When the cloud named its machines; the record outlives that until the list certainly shows them.
    got_at: Option<u64>,
}

/// Mean and worst of a time, in milliseconds.
#[derive(Debug, Clone, Copy, Default)]
struct LatencyStats {
    sum: u64,
    n: u64,
    most: u64,
}

impl LatencyStats {
    fn add(&mut self, ms: u64) {
        self.sum += ms;
        self.n += 1;
        self.most = self.most.max(ms);
    }
}

impl std::fmt::Display for LatencyStats {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}", self.sum / self.n.max(1), self.most)
    }
}

/// From the decision to place a task until it was sent, seen and running, since the last summary.
#[derive(Debug, Clone, Copy, Default)]
struct StartLatencies {
    sent: LatencyStats,
    seen: LatencyStats,
    ran: LatencyStats,
}

/// Type, zone and kind of a machine.
type OfferKey = (String, String, bool);

pub(crate) struct Leader {
    pub term: u64,
    lead_version: u64,
    settings: Settings,
    operator: Operator,
    stopwatch: crate::Stopwatch,
    loading: Loading,
    load_busy: bool,
    load_retry_at: u64,
    since: u64,
    ready_at: u64,
    /// When this process last went on after it had stood still: silence up to then says nothing of a machine.
    resumed_at: u64,
    jobs: BTreeMap<String, Job>,
    machines: BTreeMap<String, Machine>,
    /// Machines that are certainly gone, with the time that was learnt.
    departed: HashMap<String, u64>,
    /// Boot times seen in this term, by type.
    boots: HashMap<String, Boots>,
    rentals: BTreeMap<String, Rental>,
    types: RecordCell<Vec<MachineType>>,
    pages: BTreeMap<u32, pages::Page>,
    /// Parts are written in the dense form, which the version before the pipelines can't read.
    dense: bool,
    /// While loading.
    copies: pages::Copies,
    dependencies: dependencies::Dependencies,
    watch_from: u64,
    /// Moment up to which every cancellation that was confirmed to a user is known here: when the reading or the
    /// last watch was sent that came back whole. 0 while nothing has been read.
    informed_until: u64,
    watch_open: bool,
    watch_retry_at: u64,
    /// Watches that failed in a row.
    watch_fails: u32,
    // Store.
    unsaved: BTreeSet<RecordId>,
    write_queue: VecDeque<RecordId>,
    pending_transactions: HashMap<u64, store::PendingTransaction>,
    next_transaction_number: u64,
    retries: Vec<(u64, u64)>,
    refreshing: BTreeSet<RecordId>,
    // Planning.
    plan_due: bool,
    next_round: u64,
    next_housekeeping: u64,
    /// The open job that peers were told of last, if there are more.
    last_told: String,
    // Fleet.
    next_request: u64,
    refused: HashMap<OfferKey, (u64, u64)>,
    /// Offers whose last request was filled in full: several may be asked for at once.
    filled_offers: BTreeSet<OfferKey>,
    next_list: u64,
    next_types: u64,
    list_busy: Option<u64>,
    list_seen: BTreeSet<String>,
    list_asked: u64,
    listed_once: bool,
    next_rent: u64,
    kill_budget: TokenBucket,
    /// Jobs filed away in this term.
    archived: RecentMap<Final>,
    /// Jobs that peers, or this node, have said are cancelled and that are not known here, or not yet.
    cancellation_notices: RecentMap<()>,
    /// Until when nothing is written, after a transaction that the state service called invalid.
    invalid_until: u64,
    next_summary: u64,
    costs: fleet::CostAccount,
    next_consolidation: u64,
    next_account: u64,
    /// Jobs that a round cut short had found no room for: the next one goes on behind them.
    skipped_jobs: BTreeSet<String>,
    start_latencies: StartLatencies,
    /// Number of rounds of decisions so far.
    rounds: u64,
    /// Records whose change may wait, with the time up to which.
    deferred_writes: BTreeMap<RecordId, u64>,
    next_deferred_check: u64,
    /// Something happened that a held answer may have waited for.
    pub has_new_decisions: bool,
    /// Which answers of owners may be out there; nothing where partitions are off.
    delegation: Option<::partitions::Delegation>,
    /// Machines for which something has become pending, and which an owner may be answering.
    machines_with_new_orders: Vec<String>,
}

impl Leader {
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
            loading: Loading::Pages {
                prefix: JOBS,
                from: String::new(),
            },
            load_busy: false,
            load_retry_at: 0,
            since: now.mono,
            ready_at: 0,
            resumed_at: 0,
            jobs: BTreeMap::new(),
            machines: BTreeMap::new(),
            departed: HashMap::new(),
            boots: HashMap::new(),
            rentals: BTreeMap::new(),
            types: RecordCell::new(None, 0),
            pages: BTreeMap::new(),
            dense,
            copies: pages::Copies::default(),
            dependencies: dependencies::Dependencies::default(),
            watch_from: 0,
            informed_until: 0,
            watch_open: false,
            watch_retry_at: 0,
            watch_fails: 0,
            unsaved: BTreeSet::new(),
            write_queue: VecDeque::new(),
            pending_transactions: HashMap::new(),
            next_transaction_number: 0,
            retries: Vec::new(),
            refreshing: BTreeSet::new(),
            plan_due: true,
            next_round: 0,
            next_housekeeping: 0,
            last_told: String::new(),
            next_request: 0,
            refused: HashMap::new(),
            filled_offers: BTreeSet::new(),
            next_list: 0,
            next_types: 0,
            list_busy: None,
            list_seen: BTreeSet::new(),
            list_asked: 0,
            listed_once: false,
            next_rent: 0,
            kill_budget: TokenBucket::new(20.0, 40.0),
            archived: RecentMap::new(FINAL_CACHE),
            cancellation_notices: RecentMap::new(FINAL_CACHE),
            invalid_until: 0,
            next_summary: 0,
            costs: fleet::CostAccount::default(),
            next_consolidation: 0,
            next_account: 0,
            skipped_jobs: BTreeSet::new(),
            start_latencies: StartLatencies::default(),
            rounds: 0,
            deferred_writes: BTreeMap::new(),
            next_deferred_check: 0,
            has_new_decisions: false,
            delegation: None,
            machines_with_new_orders: Vec::new(),
        }
    }

    /// Nobody is left who could not read the dense form.
    pub fn upgraded(&mut self, effects: &mut Effects) {
        // While the records are being read they say themselves which parts are where.
        if self.is_ready() {
            self.go_dense();
            self.flush(effects);
        } else {
            self.dense = true;
        }
    }

    pub fn is_ready(&self) -> bool {
        self.loading == Loading::Ready
    }

    fn send_state_request(
        &self,
        priority: Priority,
        op: StateOp,
        ask: LeaderRequest,
        effects: &mut Effects,
    ) {
        effects
            .state
            .push((priority, op, StateTag::Leader(self.term, ask)));
    }

    fn send_cloud_request(&self, op: CloudOp, ask: CloudRequest, effects: &mut Effects) {
        effects.cloud.push((op, CloudTag::Leader(self.term, ask)));
    }

    /// Time-driven work. `active` tells whether the leader's lease holds and the state service answers:
    /// without that nothing is decided.
    pub fn tick(&mut self, active: bool, effects: &mut Effects) {
        let now = effects.now.mono;
        if let Loading::Pages { prefix, from } = self.loading.clone() {
            if !self.load_busy && now >= self.load_retry_at {
                self.load_busy = true;
                if self.watch_from == 0 {
                    self.informed_until = now;
                }
                let op = StateOp::List { prefix, from };
                self.send_state_request(
                    Priority::Leadership,
                    op,
                    LeaderRequest::Load(prefix),
                    effects,
                );
            }
            return;
        }
        if !self.watch_open && now >= self.watch_retry_at {
            self.watch_open = true;
            let op = StateOp::Watch {
                prefix: JOBS,
                from: self.watch_from,
            };
            // Behind the leader's own writes it could wait for seconds, and cancellations with it.
            self.send_state_request(Priority::Leadership, op, LeaderRequest::Watch(now), effects);
        }
        self.maintain_pipelines(effects);
        if now >= self.next_housekeeping {
            self.next_housekeeping = now + HOUSEKEEPING_MS;
            // Pauses and rests end, and doubts are over, without anything happening.
            self.plan_due |= now >= self.next_round + ROUND_AT_LEAST_MS;
            self.watch_machines(active, effects);
            if active {
                self.maintain_fleet(effects);
            }
        }
        if active && self.plan_due && now >= self.next_round {
            self.next_round = now + ROUND_EVERY_MS;
            self.plan(effects);
        }
        self.flush(effects);
    }

    /// When [`Leader::tick`] wants to be called. A round that is due waits for `active`: a leader that was cut off
    /// used up a whole core by asking for it over and over.
    pub fn next_wake(&self, active: bool) -> u64 {
        if !self.is_ready() {
            return if self.load_busy {
                u64::MAX
            } else {
                self.load_retry_at
            };
        }
        let mut at = self.next_housekeeping.min(self.pipelines_wake());
        if active && self.plan_due {
            at = at.min(self.next_round);
        }
        if !self.watch_open {
            at = at.min(self.watch_retry_at);
        }
        self.retries.iter().fold(at, |at, (t, _)| at.min(*t))
    }

    pub fn on_state(&mut self, ask: LeaderRequest, reply: StateReply, effects: &mut Effects) {
        match ask {
            LeaderRequest::Load(prefix) => self.on_load(prefix, reply, effects),
            LeaderRequest::Watch(sent) => self.on_watch(sent, reply, effects),
            LeaderRequest::PendingTransaction(number) => {
                self.on_transaction_reply(number, reply, effects)
            }
            LeaderRequest::Refresh(what, key) => self.on_refresh(what, key, reply, effects),
            LeaderRequest::Resync(reread) => self.on_resync(reread, reply, effects),
            LeaderRequest::Final(id) => self.on_final(&id, reply, effects),
            LeaderRequest::More(id, number) => self.on_more(id, number, reply, effects),
        }
    }

    fn on_load(&mut self, prefix: &'static str, reply: StateReply, effects: &mut Effects) {
        self.load_busy = false;
        let now = effects.now.mono;
        let StateReply::Page(page) = reply else {
            self.load_retry_at = now + STATE_RETRY_MS;
            return;
        };
        if prefix == JOBS && self.watch_from == 0 {
            self.watch_from = page.revision.max(1);
        }
        let last = page.items.last().map(|i| i.key.clone());
        for item in page.items {
            self.load_item(prefix, item, now);
        }
        if let (true, Some(from)) = (page.more, last) {
            self.loading = Loading::Pages { prefix, from };
            return self.tick(false, effects);
        }
        let next = match prefix {
            JOBS => Some(MORE),
            MORE => Some(PAGES),
            PAGES => Some(RENTALS),
            RENTALS => Some(TYPES),
            _ => None,
        };
        match next {
            Some(prefix) => {
                let from = String::new();
                self.loading = Loading::Pages { prefix, from };
                self.tick(false, effects);
            }
            None => self.loaded(effects),
        }
    }

    fn load_item(&mut self, prefix: &'static str, item: Item, now: u64) {
        let Item {
            key,
            value,
            version,
            ..
        } = item;
        let name = key.strip_prefix(prefix).unwrap_or_default().to_string();
        let ok = match prefix {
            JOBS => value.deserialized::<JobRecord>().map(|r| {
                self.jobs.insert(name, Job::new(r, version));
            }),
            MORE => value.deserialized::<MoreRecord>().map(|r| {
                let job = name
                    .split_once('/')
                    .and_then(|(id, _)| self.jobs.get_mut(id));
                if let Some(job) = job.filter(|j| j.more > 0) {
                    job.spec.types.get_or_insert_with(Vec::new).extend(r.types);
                }
            }),
            PAGES => value.deserialized::<PageRecord>().map(|r| {
                if let Ok(number) = name.parse::<u32>() {
                    self.load_page(number, r, version);
                }
            }),
            RENTALS => value.deserialized::<RentalRecord>().map(|r| {
                let rental = Rental {
                    record: RecordCell::new(Some(r), version),
                    sent: false,
                    retry_at: 0,
                    since: now,
                    got_at: None,
                };
                self.rentals.insert(name, rental);
            }),
            _ if key == TYPES => value.deserialized::<Vec<MachineType>>().map(|types| {
                self.types = RecordCell::new(Some(types), version);
            }),
            _ => Ok(()),
        };
        if let Err(why) = ok {
            log::error!("event=record_unreadable key={key} why={why}");
        }
    }

    fn loaded(&mut self, effects: &mut Effects) {
        let now = effects.now.mono;
        self.loading = Loading::Ready;
        self.ready_at = now;
        self.next_housekeeping = now + HOUSEKEEPING_MS;
        if let Some(types) = &self.types.saved {
            effects.events.push(NodeEvent::Types(types.clone()));
        }
        self.settle_copies();
        for (id, job) in &mut self.jobs {
            job.aborted |= self.cancellation_notices.contains(id);
        }
        let mut assignments = Vec::new();
        for (id, job) in &self.jobs {
            for (task, assignment) in job.assignments() {
                assignments.push((assignment.machine.clone(), id.clone(), task));
            }
        }
        for (machine, id, task) in assignments {
            self.machines
                .entry(machine)
                .or_insert_with(|| Machine::new(now))
                .assignments
                .insert((id, task));
        }
        let ids: Vec<String> = self.jobs.keys().cloned().collect();
        for id in &ids {
            self.track_dependencies(id, effects.now);
        }
        for id in ids {
            if self.jobs.get(&id).is_some_and(|j| j.aborted) {
                self.cancel_assignments(&id, effects.now);
            }
            self.queue_write_if_final(&id);
        }
        log::info!(
            "event=leader_state_loaded term={} jobs={} pages={} machines={} rentals={} took_ms={}",
            self.term,
            self.jobs.len(),
            self.pages.len(),
            self.machines.len(),
            self.rentals.len(),
            now.saturating_sub(self.since)
        );
        self.plan_due = true;
        self.tick(false, effects);
    }

    fn on_watch(&mut self, sent: u64, reply: StateReply, effects: &mut Effects) {
        self.watch_open = false;
        match reply {
            StateReply::Changes(changes) => {
                self.watch_fails = 0;
                for change in changes.events {
                    self.on_change(change, effects);
                }
                self.watch_from = self.watch_from.max(changes.revision);
                self.informed_until = self.informed_until.max(sent);
                self.watch_retry_at = effects.now.mono + WATCH_EVERY_MS;
                self.tick(false, effects);
            }
            StateReply::TooOld => self.resync(effects),
            _ => {
                self.watch_fails += 1;
                self.watch_retry_at = effects.now.mono + STATE_RETRY_MS;
                // Its answer has no size limit: one too large to be read would come again and again.
                if self.watch_fails >= WATCH_TRIES {
                    self.resync(effects);
                }
            }
        }
    }

    /// Reads all open jobs again instead of what has changed.
    fn resync(&mut self, effects: &mut Effects) {
        log::info!(
            "event=resync from={} fails={}",
            self.watch_from,
            self.watch_fails
        );
        self.watch_fails = 0;
        self.watch_open = true;
        let op = StateOp::List {
            prefix: JOBS,
            from: String::new(),
        };
        let reread = Reread {
            since: effects.now.mono,
            revision: 0,
        };
        self.send_state_request(
            Priority::LeaderRecords,
            op,
            LeaderRequest::Resync(reread),
            effects,
        );
    }

    /// The watch had fallen too far behind: all open jobs are read again, page by page.
    fn on_resync(&mut self, reread: Reread, reply: StateReply, effects: &mut Effects) {
        let StateReply::Page(page) = reply else {
            self.watch_open = false;
            self.watch_retry_at = effects.now.mono + STATE_RETRY_MS;
            return;
        };
        let revision = match reread.revision {
            0 => page.revision,
            first => first,
        };
        let last = page.items.last().map(|i| i.key.clone());
        for item in page.items {
            let change = Change {
                put: Some(item.key),
                value: Some(item.value),
                delete: None,
                version: item.version,
            };
            self.on_change(change, effects);
        }
        match (page.more, last) {
            (true, Some(from)) => {
                let op = StateOp::List { prefix: JOBS, from };
                let ask = LeaderRequest::Resync(Reread { revision, ..reread });
                self.send_state_request(Priority::LeaderRecords, op, ask, effects);
            }
            _ => {
                self.watch_from = self.watch_from.max(revision);
                self.informed_until = self.informed_until.max(reread.since);
                self.watch_open = false;
                self.tick(false, effects);
            }
        }
    }

    fn on_change(&mut self, change: Change, effects: &mut Effects) {
        let (Some(key), Some(value)) = (change.put, change.value) else {
            // Only this leader files jobs away, and it knows when it does.
            return;
        };
        let Some(id) = key.strip_prefix(JOBS) else {
            return;
        };
        let Ok(record) = value.deserialized::<JobRecord>() else {
            log::error!("event=record_unreadable key={key}");
            return;
        };
        self.learn_job(id, record, change.version, effects);
    }

    fn learn_job(&mut self, id: &str, record: JobRecord, version: u64, effects: &mut Effects) {
        let now = effects.now;
        let archived = self.archived_as(id).is_some();
        match self.jobs.get_mut(id) {
            Some(job) if version <= job.version => return,
            Some(job) => {
                job.version = version;
                job.recorded_abort = record.aborted;
                if record.aborted && !job.aborted {
                    job.aborted = true;
                    log::info!("event=cancellation_read job={id} placed={}", job.assigned);
                    self.cancel_assignments(id, now);
                    self.cancel_dependents(id);
                }
            }
            // A job that was filed away can't come back: ids are created once.
            None if archived => return,
            // Of a cancelled one the rest is of no interest.
            None if record.more > 0 && !record.aborted => {
                return self.fetch_more(id, record, version, effects);
            }
            None => return self.insert_job(id, record, version, effects),
        }
        self.plan_due = true;
        self.queue_write_if_final(id);
    }

    /// A job that has become known.
    fn insert_job(&mut self, id: &str, record: JobRecord, version: u64, effects: &mut Effects) {
        log::info!(
            "event=job_seen job={id} class={} team={} tasks={} gang={} guess_s={:.0} due_s={:.0} needs={}",
            record.spec.class,
            record.spec.team,
            record.spec.tasks,
            record.spec.shape == wire::users::Shape::Gang,
            record.spec.guess_s,
            record.spec.due_s.unwrap_or(0.0),
            record.spec.needs.len()
        );
        let mut job = Job::new(record, version);
        job.aborted |= self.cancellation_notices.contains(id);
        if self.dense {
            job.split();
        }
        if !job.spec.needs.is_empty() && !self.dense {
            effects
                .events
                .push(NodeEvent::Proven("a job that needs others"));
        }
        self.jobs.insert(id.to_string(), job);
        self.track_dependencies(id, effects.now);
        self.plan_due = true;
        self.queue_write_if_final(id);
    }

    /// A node is about to confirm a cancellation. The record follows by the watch, unless the state service has
    /// gone in between: the tasks must stop all the same.
    ///
    /// A job that is not known yet may be read any moment, in a record older than the cancellation.
    pub fn on_cancellation_notice(&mut self, id: &str, now: Now) {
        let (loading, archived) = (!self.is_ready(), self.archived_as(id).is_some());
        match self.jobs.get_mut(id).filter(|_| !loading) {
            Some(job) if job.aborted => {}
            Some(job) => {
                job.aborted = true;
                log::info!(
                    "event=on_cancellation_notice job={id} placed={}",
                    job.assigned
                );
                self.cancel_assignments(id, now);
                self.cancel_dependents(id);
                self.queue_write_if_final(id);
            }
            None if !archived => self.cancellation_notices.insert(id.to_string(), ()),
            None => {}
        }
    }

    /// Moment up to which every cancellation confirmed to a user is known here; nothing while they are being read.
    pub fn informed_until(&self) -> Option<u64> {
        self.is_ready().then_some(self.informed_until)
    }

    /// Cancelled: what was not sent goes at once, the rest is killed, whatever it had been told before. Called
    /// when an abort is seen and for jobs that were already cancelled when the records were loaded.
    fn cancel_assignments(&mut self, id: &str, now: Now) {
        let Some(job) = self.jobs.get(id) else { return };
        let assignments: Vec<(u32, AssignmentStage)> =
            job.assignments().map(|(t, p)| (t, p.stage)).collect();
        for (task, stage) in assignments {
            if stage == AssignmentStage::Ready {
                self.release_assignment(id, task, "aborted before it was sent", now);
            } else if let Some(assignment) =
                self.jobs.get_mut(id).and_then(|j| j.assignment_mut(task))
            {
                assignment.stop = Some(Stop {
                    since: now.mono,
                    grace_s: 0.0,
                    why: "aborted",
                });
                let machine = assignment.machine.clone();
                if let Some(m) = self.machines.get_mut(&machine) {
                    m.stops = true;
                }
                self.note_pending_orders(machine);
            }
        }
    }

    /// Takes a place away that is certainly free.
    fn release_assignment(&mut self, id: &str, task: u32, why: &str, now: Now) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let Some(assignment) = job.vacate(task) else {
            return;
        };
        let running = matches!(
            assignment.phase,
            Some(TaskPhase::Running | TaskPhase::Saving)
        );
        if job.is_gang() && job.assigned > 0 && (running || job.started) && !job.all_done() {
            job.broken = true;
        }
        log::info!(
            "event=assignment_released task={id}/{task} try={} machine={} why={why:?}",
            assignment.attempt,
            assignment.machine
        );
        if let Some(m) = self.machines.get_mut(&assignment.machine) {
            m.assignments.remove(&(id.to_string(), task));
            if m.assignments.is_empty() {
                m.idle_since = now.mono;
                m.stops = false;
            }
        }
        self.plan_due = true;
        self.defer_write(RecordId::Job(id.to_string()), now);
    }

    fn queue_write_if_final(&mut self, id: &str) {
        if self.jobs.get(id).is_some_and(|j| j.final_due().is_some()) {
            self.queue_write(RecordId::Job(id.to_string()));
        }
    }

    /// What peers need to know of each open job.
    ///
    /// Only jobs that wait for no others are told of, as the version before the pipelines does, which knows no such:
    /// so whoever hears of a job knows that nothing it needs can be cancelled any more.
    ///
    /// Where there are more jobs than a message holds, each message goes on where the last one ended. With the first
    /// ones told again and again, all nodes had to read each of the others by itself.
    pub fn next_job_updates(&mut self) -> Vec<JobUpdate> {
        let last = std::mem::take(&mut self.last_told);
        let after = (Bound::Excluded(last.as_str()), Bound::Unbounded);
        let up_to = (Bound::Unbounded, Bound::Included(last.as_str()));
        let all = self.job_updates(after).chain(self.job_updates(up_to));
        let updates: Vec<JobUpdate> = all.take(JOB_UPDATES_MAX).collect();
        if let Some(last) = updates.last().filter(|_| updates.len() == JOB_UPDATES_MAX) {
            self.last_told = last.id.clone();
        }
        updates
    }

    fn job_updates<'a>(
        &'a self,
        range: (Bound<&str>, Bound<&str>),
    ) -> impl Iterator<Item = JobUpdate> + 'a {
        let jobs = self.jobs.range::<str, _>(range);
        let free = jobs.filter(|(_, job)| !job.awaits_dependencies());
        free.map(|(id, job)| {
            let running = job
                .assignments()
                .filter(|(_, p)| p.phase == Some(TaskPhase::Running))
                .count();
            JobUpdate {
                id: id.clone(),
                done: job.done as u32,
                running: running as u32,
                version: job.version,
                aborted: job.recorded_abort,
            }
        })
    }

    /// The process stood still until now, and reports waited unread.
    pub fn on_stall(&mut self, now: u64) {
        self.resumed_at = now;
    }

    /// Whether workers that report here have all fallen silent.
    pub fn no_worker_reports(&self, now: u64) -> bool {
        let known = self.machines.values();
        let mut known = known.filter(|m| m.synced && !m.failed).peekable();
        let silent_ms = (self.settings.deployment.workers.report_s * 2500.0) as u64;
        if known.peek().is_none() {
            return self.is_ready() && now > self.ready_at + 2 * silent_ms;
        }
        let is_silent = |m: &Machine| {
            let heard_at = self.heard_at(m, now);
            heard_at.is_none_or(|at| now > at + silent_ms)
        };
        // Asked at every turn: the first machine that is heard ends it.
        known.all(is_silent)
    }

    /// Whether there are machines whose workers should report.
    pub fn knows_machines(&self) -> bool {
        self.machines.values().any(|m| !m.failed)
    }

    /// Whether answers reach no worker, though reports arrive: the session of each ended too soon under them, and none
    /// has outlived a lease since.
    pub fn no_worker_receives(&self, now: u64) -> bool {
        let lease_ms = self.lease_expiry_ms();
        let mut known = self.machines.values().filter(|m| m.synced && !m.failed);
        let undelivered_starts =
            |m: &Machine| m.early_expiries > 0 && now <= m.incarnation_since + lease_ms;
        known.clone().next().is_some() && known.all(undelivered_starts)
    }

    pub fn on_cloud(
        &mut self,
        ask: CloudRequest,
        op: CloudOp,
        reply: CloudReply,
        effects: &mut Effects,
    ) {
        self.cloud_answered(ask, op, reply, effects);
        self.flush(effects);
    }
}

use wire::workers::TaskPhase;
