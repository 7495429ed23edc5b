//! The leader's books: open jobs, machines and rentals; the only place where tasks are placed.
//!
//! Everything recorded is level-triggered: memory holds what is wanted, transactions bring the store there, and
//! nothing leaves the node (`launch`, `reap`, `done`, a rental) before its record is known to be safe. Machines have
//! no records: their workers, the cloud's list and recent rental requests name them.

mod blame;
mod books;
mod delegation;
pub(crate) use delegation::AnsweredReport;
mod fleet;
mod pages;
mod pipelines;
mod planning;
mod reports;
pub(crate) use reports::{Heard, Held};
pub(crate) use watch::direct_call;
mod consolidation;
mod store;
#[cfg(test)]
mod tests;
mod watch;

use crate::mail::{Mail, News, Now};
use crate::recent_map::RecentMap;
use crate::requests::{
    CloudOp, CloudReply, CloudRequest, CloudTag, LeaderRequest, Priority, RecordId, Reread,
    StateOp, StateReply, StateTag,
};
use crate::settings::{Operator, Settings};
use crate::token_bucket::TokenBucket;
use books::*;
use constants::*;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::ops::Bound;
use wire::cloud::MachineType;
use wire::peers::JobNews;
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
    record: Cell<RentalRecord>,
    /// The cloud was asked.
    sent: bool,
    retry_at: u64,
    since: u64,
    /// When the cloud named its machines; the record outlives that until the list certainly shows them.
    got_at: Option<u64>,
}

/// Mean and worst of a time, in milliseconds.
#[derive(Debug, Clone, Copy, Default)]
struct Lag {
    sum: u64,
    n: u64,
    most: u64,
}

impl Lag {
    fn add(&mut self, ms: u64) {
        self.sum += ms;
        self.n += 1;
        self.most = self.most.max(ms);
    }
}

impl std::fmt::Display for Lag {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}", self.sum / self.n.max(1), self.most)
    }
}

/// From the decision to place a task until it was sent, seen and running, since the last summary.
#[derive(Debug, Clone, Copy, Default)]
struct Lags {
    sent: Lag,
    seen: Lag,
    ran: Lag,
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
    gone: HashMap<String, u64>,
    /// Boot times seen in this term, by type.
    boots: HashMap<String, Boots>,
    rentals: BTreeMap<String, Rental>,
    types: Cell<Vec<MachineType>>,
    pages: BTreeMap<u32, pages::Page>,
    /// Parts are written in the dense form, which the version before the pipelines can't read.
    dense: bool,
    /// While loading.
    copies: pages::Copies,
    pipes: pipelines::Pipes,
    watch_from: u64,
    /// Moment up to which every cancellation that was confirmed to a user is in these books: when the reading or the
    /// last watch was sent that came back whole. 0 while nothing has been read.
    informed_until: u64,
    watch_open: bool,
    watch_retry_at: u64,
    /// Watches that failed in a row.
    watch_fails: u32,
    // Store.
    dirty: BTreeSet<RecordId>,
    dirty_order: VecDeque<RecordId>,
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
    served: BTreeSet<OfferKey>,
    next_list: u64,
    next_types: u64,
    list_busy: Option<u64>,
    list_seen: BTreeSet<String>,
    list_asked: u64,
    listed_once: bool,
    next_rent: u64,
    kill_budget: TokenBucket,
    /// Jobs filed away in this term.
    filed: RecentMap<Final>,
    /// Jobs that peers, or this node, have said are cancelled and that these books don't have, or not yet.
    told: RecentMap<()>,
    /// Until when nothing is written, after a transaction that the state service called invalid.
    invalid_until: u64,
    next_summary: u64,
    spent: fleet::Spent,
    next_consolidation: u64,
    next_account: u64,
    /// Jobs that a round cut short had found no room for: the next one goes on behind them.
    passed: BTreeSet<String>,
    lags: Lags,
    /// Number of rounds of decisions so far.
    rounds: u64,
    /// Records whose change may wait, with the time up to which.
    lazy: BTreeMap<RecordId, u64>,
    next_lazy: u64,
    /// Something happened that a held answer may have waited for.
    pub settled: bool,
    /// Which answers of owners may be out there; nothing where partitions are off.
    delegation: Option<::partitions::Delegation>,
    /// Machines for which something has become pending, and which an owner may be answering.
    unsettled: Vec<String>,
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
            gone: HashMap::new(),
            boots: HashMap::new(),
            rentals: BTreeMap::new(),
            types: Cell::new(None, 0),
            pages: BTreeMap::new(),
            dense,
            copies: pages::Copies::default(),
            pipes: pipelines::Pipes::default(),
            watch_from: 0,
            informed_until: 0,
            watch_open: false,
            watch_retry_at: 0,
            watch_fails: 0,
            dirty: BTreeSet::new(),
            dirty_order: VecDeque::new(),
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
            served: BTreeSet::new(),
            next_list: 0,
            next_types: 0,
            list_busy: None,
            list_seen: BTreeSet::new(),
            list_asked: 0,
            listed_once: false,
            next_rent: 0,
            kill_budget: TokenBucket::new(20.0, 40.0),
            filed: RecentMap::new(FINAL_CACHE),
            told: RecentMap::new(FINAL_CACHE),
            invalid_until: 0,
            next_summary: 0,
            spent: fleet::Spent::default(),
            next_consolidation: 0,
            next_account: 0,
            passed: BTreeSet::new(),
            lags: Lags::default(),
            rounds: 0,
            lazy: BTreeMap::new(),
            next_lazy: 0,
            settled: false,
            delegation: None,
            unsettled: Vec::new(),
        }
    }

    /// Nobody is left who could not read the dense form.
    pub fn upgraded(&mut self, mail: &mut Mail) {
        // While the records are being read they say themselves which parts are where.
        if self.is_ready() {
            self.go_dense();
            self.flush(mail);
        } else {
            self.dense = true;
        }
    }

    pub fn is_ready(&self) -> bool {
        self.loading == Loading::Ready
    }

    fn ask(&self, priority: Priority, op: StateOp, ask: LeaderRequest, mail: &mut Mail) {
        mail.state
            .push((priority, op, StateTag::Leader(self.term, ask)));
    }

    fn ask_cloud(&self, op: CloudOp, ask: CloudRequest, mail: &mut Mail) {
        mail.cloud.push((op, CloudTag::Leader(self.term, ask)));
    }

    /// Time-driven work. `active` tells whether the leader's lease holds and the state service answers:
    /// without that nothing is decided.
    pub fn tick(&mut self, active: bool, mail: &mut Mail) {
        let now = mail.now.mono;
        if let Loading::Pages { prefix, from } = self.loading.clone() {
            if !self.load_busy && now >= self.load_retry_at {
                self.load_busy = true;
                if self.watch_from == 0 {
                    self.informed_until = now;
                }
                let op = StateOp::List { prefix, from };
                self.ask(Priority::Leadership, op, LeaderRequest::Load(prefix), mail);
            }
            return;
        }
        if !self.watch_open && now >= self.watch_retry_at {
            self.watch_open = true;
            let op = StateOp::Watch {
                prefix: JOBS,
                from: self.watch_from,
            };
            // Behind the books' own writes it could wait for seconds, and cancellations with it.
            self.ask(Priority::Leadership, op, LeaderRequest::Watch(now), mail);
        }
        self.mind_pipelines(mail);
        if now >= self.next_housekeeping {
            self.next_housekeeping = now + HOUSEKEEPING_MS;
            // Pauses and rests end, and doubts are over, without anything happening.
            self.plan_due |= now >= self.next_round + ROUND_AT_LEAST_MS;
            self.watch_machines(active, mail);
            if active {
                self.mind_fleet(mail);
            }
        }
        if active && self.plan_due && now >= self.next_round {
            self.next_round = now + ROUND_EVERY_MS;
            self.plan(mail);
        }
        self.flush(mail);
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

    pub fn on_state(&mut self, ask: LeaderRequest, reply: StateReply, mail: &mut Mail) {
        match ask {
            LeaderRequest::Load(prefix) => self.on_load(prefix, reply, mail),
            LeaderRequest::Watch(sent) => self.on_watch(sent, reply, mail),
            LeaderRequest::PendingTransaction(number) => {
                self.on_transaction_reply(number, reply, mail)
            }
            LeaderRequest::Refresh(what, key) => self.on_refresh(what, key, reply, mail),
            LeaderRequest::Resync(reread) => self.on_resync(reread, reply, mail),
            LeaderRequest::Final(id) => self.on_final(&id, reply, mail),
            LeaderRequest::More(id, number) => self.on_more(id, number, reply, mail),
        }
    }

    fn on_load(&mut self, prefix: &'static str, reply: StateReply, mail: &mut Mail) {
        self.load_busy = false;
        let now = mail.now.mono;
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
            return self.tick(false, mail);
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
                self.tick(false, mail);
            }
            None => self.loaded(mail),
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
                    record: Cell::new(Some(r), version),
                    sent: false,
                    retry_at: 0,
                    since: now,
                    got_at: None,
                };
                self.rentals.insert(name, rental);
            }),
            _ if key == TYPES => value.deserialized::<Vec<MachineType>>().map(|types| {
                self.types = Cell::new(Some(types), version);
            }),
            _ => Ok(()),
        };
        if let Err(why) = ok {
            log::error!("event=record_unreadable key={key} why={why}");
        }
    }

    fn loaded(&mut self, mail: &mut Mail) {
        let now = mail.now.mono;
        self.loading = Loading::Ready;
        self.ready_at = now;
        self.next_housekeeping = now + HOUSEKEEPING_MS;
        if let Some(types) = &self.types.saved {
            mail.news.push(News::Types(types.clone()));
        }
        self.settle_copies();
        for (id, job) in &mut self.jobs {
            job.aborted |= self.told.contains(id);
        }
        let mut places = Vec::new();
        for (id, job) in &self.jobs {
            for (task, place) in job.places() {
                places.push((place.machine.clone(), id.clone(), task));
            }
        }
        for (machine, id, task) in places {
            self.machines
                .entry(machine)
                .or_insert_with(|| Machine::new(now))
                .places
                .insert((id, task));
        }
        let ids: Vec<String> = self.jobs.keys().cloned().collect();
        for id in &ids {
            self.await_needs(id, mail.now);
        }
        for id in ids {
            if self.jobs.get(&id).is_some_and(|j| j.aborted) {
                self.abort_places(&id, mail.now);
            }
            self.mark_if_final(&id);
        }
        log::info!(
            "event=books_loaded term={} jobs={} pages={} machines={} rentals={} took_ms={}",
            self.term,
            self.jobs.len(),
            self.pages.len(),
            self.machines.len(),
            self.rentals.len(),
            now.saturating_sub(self.since)
        );
        self.plan_due = true;
        self.tick(false, mail);
    }

    fn on_watch(&mut self, sent: u64, reply: StateReply, mail: &mut Mail) {
        self.watch_open = false;
        match reply {
            StateReply::Changes(changes) => {
                self.watch_fails = 0;
                for change in changes.events {
                    self.on_change(change, mail);
                }
                self.watch_from = self.watch_from.max(changes.revision);
                self.informed_until = self.informed_until.max(sent);
                self.watch_retry_at = mail.now.mono + WATCH_EVERY_MS;
                self.tick(false, mail);
            }
            StateReply::TooOld => self.resync(mail),
            _ => {
                self.watch_fails += 1;
                self.watch_retry_at = mail.now.mono + STATE_RETRY_MS;
                // Its answer has no size limit: one too large to be read would come again and again.
                if self.watch_fails >= WATCH_TRIES {
                    self.resync(mail);
                }
            }
        }
    }

    /// Reads all open jobs again instead of what has changed.
    fn resync(&mut self, mail: &mut Mail) {
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
            since: mail.now.mono,
            revision: 0,
        };
        self.ask(Priority::Books, op, LeaderRequest::Resync(reread), mail);
    }

    /// The watch had fallen too far behind: all open jobs are read again, page by page.
    fn on_resync(&mut self, reread: Reread, reply: StateReply, mail: &mut Mail) {
        let StateReply::Page(page) = reply else {
            self.watch_open = false;
            self.watch_retry_at = mail.now.mono + STATE_RETRY_MS;
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
            self.on_change(change, mail);
        }
        match (page.more, last) {
            (true, Some(from)) => {
                let op = StateOp::List { prefix: JOBS, from };
                let ask = LeaderRequest::Resync(Reread { revision, ..reread });
                self.ask(Priority::Books, op, ask, mail);
            }
            _ => {
                self.watch_from = self.watch_from.max(revision);
                self.informed_until = self.informed_until.max(reread.since);
                self.watch_open = false;
                self.tick(false, mail);
            }
        }
    }

    fn on_change(&mut self, change: Change, mail: &mut Mail) {
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
        self.learn_job(id, record, change.version, mail);
    }

    fn learn_job(&mut self, id: &str, record: JobRecord, version: u64, mail: &mut Mail) {
        let now = mail.now;
        let filed = self.filed_as(id).is_some();
        match self.jobs.get_mut(id) {
            Some(job) if version <= job.version => return,
            Some(job) => {
                job.version = version;
                job.recorded_abort = record.aborted;
                if record.aborted && !job.aborted {
                    job.aborted = true;
                    log::info!("event=abort_seen job={id} placed={}", job.placed);
                    self.abort_places(id, now);
                    self.cascade_from(id);
                }
            }
            // A job that was filed away can't come back: ids are created once.
            None if filed => return,
            // Of a cancelled one the rest is of no interest.
            None if record.more > 0 && !record.aborted => {
                return self.fetch_more(id, record, version, mail);
            }
            None => return self.insert_job(id, record, version, mail),
        }
        self.plan_due = true;
        self.mark_if_final(id);
    }

    /// A job that has become known.
    fn insert_job(&mut self, id: &str, record: JobRecord, version: u64, mail: &mut Mail) {
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
        job.aborted |= self.told.contains(id);
        if self.dense {
            job.split();
        }
        if !job.spec.needs.is_empty() && !self.dense {
            mail.news.push(News::Proven("a job that needs others"));
        }
        self.jobs.insert(id.to_string(), job);
        self.await_needs(id, mail.now);
        self.plan_due = true;
        self.mark_if_final(id);
    }

    /// A node is about to confirm a cancellation. The record follows by the watch, unless the state service has
    /// gone in between: the tasks must stop all the same.
    ///
    /// A job that is not in the books may be read any moment, in a record older than the cancellation.
    pub fn abort_told(&mut self, id: &str, now: Now) {
        let (loading, filed) = (!self.is_ready(), self.filed_as(id).is_some());
        match self.jobs.get_mut(id).filter(|_| !loading) {
            Some(job) if job.aborted => {}
            Some(job) => {
                job.aborted = true;
                log::info!("event=abort_told job={id} placed={}", job.placed);
                self.abort_places(id, now);
                self.cascade_from(id);
                self.mark_if_final(id);
            }
            None if !filed => self.told.insert(id.to_string(), ()),
            None => {}
        }
    }

    /// Moment up to which every cancellation confirmed to a user is in these books; nothing while they are being read.
    pub fn informed_until(&self) -> Option<u64> {
        self.is_ready().then_some(self.informed_until)
    }

    /// Cancelled: what was not sent goes at once, the rest is killed, whatever it had been told before. Called
    /// when an abort is seen and for jobs that were already cancelled when the books were loaded.
    fn abort_places(&mut self, id: &str, now: Now) {
        let Some(job) = self.jobs.get(id) else { return };
        let places: Vec<(u32, Stage)> = job.places().map(|(t, p)| (t, p.stage)).collect();
        for (task, stage) in places {
            if stage == Stage::Ready {
                self.free_place(id, task, "aborted before it was sent", now);
            } else if let Some(place) = self.jobs.get_mut(id).and_then(|j| j.place_mut(task)) {
                place.stop = Some(Stop {
                    since: now.mono,
                    grace_s: 0.0,
                    why: "aborted",
                });
                let machine = place.machine.clone();
                if let Some(m) = self.machines.get_mut(&machine) {
                    m.stops = true;
                }
                self.unsettle(machine);
            }
        }
    }

    /// Takes a place away that is certainly free.
    fn free_place(&mut self, id: &str, task: u32, why: &str, now: Now) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let Some(place) = job.vacate(task) else {
            return;
        };
        let running = matches!(place.phase, Some(TaskPhase::Running | TaskPhase::Saving));
        if job.is_gang() && job.placed > 0 && (running || job.started) && !job.all_done() {
            job.broken = true;
        }
        log::info!(
            "event=place_freed task={id}/{task} try={} machine={} why={why:?}",
            place.attempt,
            place.machine
        );
        if let Some(m) = self.machines.get_mut(&place.machine) {
            m.places.remove(&(id.to_string(), task));
            if m.places.is_empty() {
                m.idle_since = now.mono;
                m.stops = false;
            }
        }
        self.plan_due = true;
        self.mark_lazily(RecordId::Job(id.to_string()), now);
    }

    fn mark_if_final(&mut self, id: &str) {
        if self.jobs.get(id).is_some_and(|j| j.final_due().is_some()) {
            self.mark(RecordId::Job(id.to_string()));
        }
    }

    /// What peers need to know of each open job.
    ///
    /// Only jobs that wait for no others are told of, as the version before the pipelines does, which knows no such:
    /// so whoever hears of a job knows that nothing it needs can be cancelled any more.
    ///
    /// Where there are more jobs than a message holds, each message goes on where the last one ended. With the first
    /// ones told again and again, all nodes had to read each of the others by itself.
    pub fn next_news(&mut self) -> Vec<JobNews> {
        let last = std::mem::take(&mut self.last_told);
        let after = (Bound::Excluded(last.as_str()), Bound::Unbounded);
        let up_to = (Bound::Unbounded, Bound::Included(last.as_str()));
        let all = self.news(after).chain(self.news(up_to));
        let news: Vec<JobNews> = all.take(NEWS_MAX).collect();
        if let Some(last) = news.last().filter(|_| news.len() == NEWS_MAX) {
            self.last_told = last.id.clone();
        }
        news
    }

    fn news<'a>(&'a self, range: (Bound<&str>, Bound<&str>)) -> impl Iterator<Item = JobNews> + 'a {
        let jobs = self.jobs.range::<str, _>(range);
        let free = jobs.filter(|(_, job)| !job.is_held());
        free.map(|(id, job)| {
            let running = job
                .places()
                .filter(|(_, p)| p.phase == Some(TaskPhase::Running))
                .count();
            JobNews {
                id: id.clone(),
                done: job.done as u32,
                running: running as u32,
                version: job.version,
                aborted: job.recorded_abort,
            }
        })
    }

    /// The process stood still until now, and reports waited unread.
    pub fn stood_still(&mut self, now: u64) {
        self.resumed_at = now;
    }

    /// Whether workers that report here have all fallen silent.
    pub fn hears_nobody(&self, now: u64) -> bool {
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
    pub fn is_heard_by_nobody(&self, now: u64) -> bool {
        let lease_ms = self.lease_lapse_ms();
        let mut known = self.machines.values().filter(|m| m.synced && !m.failed);
        let unheard = |m: &Machine| m.lapses > 0 && now <= m.session_since + lease_ms;
        known.clone().next().is_some() && known.all(unheard)
    }

    pub fn on_cloud(&mut self, ask: CloudRequest, op: CloudOp, reply: CloudReply, mail: &mut Mail) {
        self.cloud_answered(ask, op, reply, mail);
        self.flush(mail);
    }
}

use wire::workers::TaskPhase;
