//! What the leader knows of jobs and machines.

use sched::{RangeSet, Resources};
use std::collections::{BTreeMap, BTreeSet};
use wire::partitions::PartitionId;
use wire::records::*;
use wire::users::{Priority, Shape, Submission};
use wire::workers::TaskPhase;

/// How far a place has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AssignmentStage {
    /// Found in the records: an earlier leader may have started it.
    Recorded,
    /// Ours; `launch` is sent once the record is safe.
    Ready,
    /// `launch` went out in the answer to this report.
    Sent { incarnation: u64, seq: u64 },
    /// The worker has reported it.
    Seen,
}

/// A task that is being stopped.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Stop {
    pub since: u64,
    pub grace_s: f64,
    pub why: &'static str,
}

/// Where a task is or may be.
#[derive(Debug, Clone)]
pub(crate) struct Assignment {
    pub machine: String,
    pub attempt: u64,
    /// Number of the chunk's change that made it.
    pub seq: u64,
    pub stage: AssignmentStage,
    pub phase: Option<TaskPhase>,
    pub running_since: Option<u64>,
    pub pilot: bool,
    pub stop: Option<Stop>,
    /// When it was decided on, 0 if by an earlier leader.
    pub at: u64,
}

/// A part of a job's tasks, kept in one record.
#[derive(Debug, Clone, Default)]
pub(crate) struct Chunk {
    /// Page that holds what was last recorded of it.
    pub home: Option<u32>,
    pub done: RangeSet,
    pub assignments: BTreeMap<u32, Assignment>,
    pub hi: u64,
    pub secs: f64,
    pub timed: u32,
    /// Number of the last change, and of the last one known to be recorded.
    pub seq: u64,
    pub saved: u64,
}

impl Chunk {
    pub fn record(&self) -> ChunkRecord {
        ChunkRecord {
            done: self.done.to_string(),
            at: self
                .assignments
                .iter()
                .map(|(t, p)| (*t, p.attempt, p.machine.clone()))
                .collect(),
            hi: self.hi,
            secs: self.secs,
            timed: self.timed,
        }
    }

    pub fn is_unsaved(&self) -> bool {
        self.seq > self.saved
    }

    /// Whether it has places that are not recorded yet: their record must fail once the job is cancelled.
    pub fn has_new_assignments(&self) -> bool {
        let new = |p: &Assignment| p.stage == AssignmentStage::Ready && p.seq > self.saved;
        self.is_unsaved() && self.assignments.values().any(new)
    }

    /// A cautious guess at the bytes of its record, in the form that limits count in.
    pub fn bytes(&self, dense: bool) -> usize {
        let done = self.done.to_string().len();
        if !dense {
            let assignment = |p: &Assignment| 26 + p.machine.len();
            return 150 + done + self.assignments.values().map(assignment).sum::<usize>();
        }
        // The names' common part is counted once; attempts other than the highest are written out.
        let names = self.assignments.values().map(|p| p.machine.as_bytes());
        let first = self.assignments.values().next().map_or("", |p| &p.machine);
        let same = |name: &[u8]| {
            name.iter()
                .zip(first.as_bytes())
                .take_while(|(a, b)| a == b)
                .count()
        };
        let common = names.map(same).min().unwrap_or(0);
        let assignment = |p: &Assignment| {
            let attempt = if p.attempt == self.hi && !p.machine.contains(':') {
                0
            } else {
                6
            };
            10 + attempt + p.machine.len() - common
        };
        125 + common + done + self.assignments.values().map(assignment).sum::<usize>()
    }

    /// The quarter (or whichever part) of a wide part that holds these tasks. What was timed goes with the first.
    fn part(&self, tasks: std::ops::Range<u32>, first: bool) -> Chunk {
        let mut done = RangeSet::default();
        for t in self.done.iter().filter(|t| tasks.contains(t)) {
            done.insert(t);
        }
        let assignments = self.assignments.range(tasks).map(|(t, p)| (*t, p.clone()));
        Chunk {
            home: self.home,
            done,
            assignments: assignments.collect(),
            hi: self.hi,
            secs: if first { self.secs } else { 0.0 },
            timed: if first { self.timed } else { 0 },
            seq: self.seq,
            saved: self.saved,
        }
    }
}

/// Where a job's results are wanted by jobs that need it: moments (time of day, ms) by which it must be over for the
/// first of them to meet its deadline, and for it to meet the last moment that an aim still counts; and the highest
/// priority among them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct DownstreamDemand {
    pub ends: Option<(u64, u64)>,
    pub priority: Priority,
}

/// A job that is not over.
#[derive(Debug, Clone)]
pub(crate) struct Job {
    pub spec: Submission,
    pub submitted_at: u64,
    pub version: u64,
    pub aborted: bool,
    /// Whether the record of that version says so; a notice may have come ahead of it.
    pub recorded_abort: bool,
    /// Tasks of a part: as the version before the pipelines has them, or few, in the dense form.
    pub span: u32,
    pub chunks: BTreeMap<u32, Chunk>,
    /// Jobs that it needs and that are not known to be filed as done.
    pub needs: BTreeSet<String>,
    /// When the last of them was, by this leader's knowledge (time of day, ms): from then on it waits for a place.
    pub ready_at: u64,
    /// What the jobs that need it make of its deadline and priority.
    pub downstream: Option<DownstreamDemand>,
    /// Tasks that are done or have a place.
    pub busy: RangeSet,
    pub done: u64,
    pub assigned: u32,
    /// Tasks on machines without a record, by (task, machine): not to be started again until they are gone.
    pub orphans: BTreeSet<(u32, String)>,
    /// It is being filed away, or its record is being read again.
    pub in_flight: bool,
    /// Gang: its present attempt has run, or can't be completed any more.
    pub started: bool,
    pub broken: bool,
    /// Gang: some of its tasks waited in vain for others that are still fetching the image.
    pub alone: bool,
    pub failures: u32,
    /// Under earlier leaders all that was started of it ended with nothing done.
    pub failed_under_earlier_leaders: bool,
    pub failed_machines: BTreeSet<String>,
    pub pause_until: u64,
    pub first_run: Option<u64>,
    /// Machines kept from filling up for this gang.
    pub reserved_machines: Vec<String>,
    /// Further records that its submission takes.
    pub more: u32,
}

impl Job {
    pub fn new(record: JobRecord, version: u64) -> Self {
        let more = record.more;
        Job {
            spec: record.spec,
            submitted_at: record.at,
            version,
            aborted: record.aborted,
            recorded_abort: record.aborted,
            span: constants::CHUNK_TASKS,
            chunks: BTreeMap::new(),
            needs: BTreeSet::new(),
            ready_at: record.at,
            downstream: None,
            busy: RangeSet::default(),
            done: 0,
            assigned: 0,
            orphans: BTreeSet::new(),
            in_flight: false,
            started: false,
            broken: false,
            alone: false,
            failures: 0,
            failed_under_earlier_leaders: false,
            failed_machines: BTreeSet::new(),
            pause_until: 0,
            first_run: None,
            reserved_machines: Vec::new(),
            more,
        }
    }

    /// Whether it waits for other jobs: then it is as good as not there.
    pub fn awaits_dependencies(&self) -> bool {
        !self.needs.is_empty()
    }

    /// The highest priority among it and the jobs that need it.
    pub fn priority(&self) -> Priority {
        let reached = self.downstream.map_or(self.spec.priority, |r| r.priority);
        reached.max(self.spec.priority)
    }

    pub fn part_of(&self, task: u32) -> u32 {
        task / self.span
    }

    pub fn chunk(&self, task: u32) -> Option<&Chunk> {
        self.chunks.get(&self.part_of(task))
    }

    fn chunk_mut(&mut self, task: u32) -> Option<&mut Chunk> {
        let part = self.part_of(task);
        self.chunks.get_mut(&part)
    }

    pub fn is_dense(&self) -> bool {
        self.span == constants::SMALL_TASKS
    }

    /// Parts that a copy of a part speaks of: one written before the split speaks of several.
    pub fn parts_in(&self, part: u32, wide: bool) -> std::ops::Range<u32> {
        let parts = match wide {
            true => constants::CHUNK_TASKS / self.span,
            false => 1,
        };
        part * parts..(part + 1) * parts
    }

    /// Goes over to the dense form: each part is split, and what is split from it carries on its change numbers, so
    /// that the copies in both forms can be told apart by them.
    pub fn split(&mut self) {
        if self.is_dense() {
            return;
        }
        self.span = constants::SMALL_TASKS;
        for (wide, chunk) in std::mem::take(&mut self.chunks) {
            let parts = self.parts_in(wide, true);
            for part in parts.clone() {
                let tasks = part * self.span..(part + 1) * self.span;
                if tasks.start >= self.tasks() {
                    break;
                }
                let piece = chunk.part(tasks, part == parts.start);
                self.chunks.insert(part, piece);
            }
        }
    }

    pub fn is_gang(&self) -> bool {
        self.spec.shape == Shape::Gang
    }

    pub fn is_service(&self) -> bool {
        self.spec.shape == Shape::Service
    }

    pub fn tasks(&self) -> u32 {
        self.spec.tasks as u32
    }

    pub fn res(&self) -> Resources {
        Resources {
            cpus: self.spec.cpus,
            gpus: self.spec.gpus,
            memory_gb: self.spec.mem_gb,
        }
    }

    pub fn assignment(&self, task: u32) -> Option<&Assignment> {
        self.chunk(task)?.assignments.get(&task)
    }

    pub fn assignment_mut(&mut self, task: u32) -> Option<&mut Assignment> {
        self.chunk_mut(task)?.assignments.get_mut(&task)
    }

    pub fn assignments(&self) -> impl Iterator<Item = (u32, &Assignment)> {
        self.chunks
            .values()
            .flat_map(|c| c.assignments.iter().map(|(t, p)| (*t, p)))
    }

    /// Whether everything known about a task's chunk is recorded.
    pub fn is_saved(&self, task: u32) -> bool {
        self.chunk(task).is_none_or(|c| !c.is_unsaved())
    }

    /// Whether a task has a place that is recorded and whose start has not been sent.
    pub fn is_startable(&self, task: u32) -> bool {
        let chunk = self.chunk(task);
        let assignment = chunk.and_then(|c| Some((c, c.assignments.get(&task)?)));
        assignment.is_some_and(|(c, p)| {
            p.stage == AssignmentStage::Ready && p.seq <= c.saved && p.stop.is_none()
        })
    }

    /// Takes in a part as a record has it, in the form that the job is in.
    pub fn load_chunk(&mut self, part: u32, seq: u64, record: ChunkRecord, page: u32) {
        let assignment = |(task, attempt, machine)| {
            let assignment = Assignment {
                machine,
                attempt,
                seq: 0,
                stage: AssignmentStage::Recorded,
                phase: None,
                running_since: None,
                pilot: false,
                stop: None,
                at: 0,
            };
            (task, assignment)
        };
        let chunk = Chunk {
            home: Some(page),
            done: RangeSet::parse(&record.done).unwrap_or_default(),
            assignments: record.at.into_iter().map(assignment).collect(),
            hi: record.hi,
            secs: record.secs,
            timed: record.timed,
            seq,
            saved: seq,
        };
        self.chunks.insert(part, chunk);
    }

    /// Counts what the loaded parts hold.
    pub fn count_chunks(&mut self) {
        self.busy = RangeSet::default();
        (self.done, self.assigned) = (0, 0);
        for chunk in self.chunks.values() {
            self.done += chunk.done.len();
            self.assigned += chunk.assignments.len() as u32;
            for t in chunk.done.iter().chain(chunk.assignments.keys().copied()) {
                self.busy.insert(t);
            }
        }
    }

    /// Gives a task a place. The caller has checked that it has none.
    pub fn put(&mut self, task: u32, machine: &str, attempt: u64, pilot: bool, now: u64) {
        let part = self.part_of(task);
        let chunk = self.chunks.entry(part).or_default();
        chunk.seq += 1;
        chunk.hi = chunk.hi.max(attempt);
        let assignment = Assignment {
            machine: machine.to_string(),
            attempt,
            seq: chunk.seq,
            stage: AssignmentStage::Ready,
            phase: None,
            running_since: None,
            pilot,
            stop: None,
            at: now,
        };
        chunk.assignments.insert(task, assignment);
        self.assigned += 1;
        self.busy.insert(task);
    }

    /// Takes a task's place away, the task not being done.
    pub fn vacate(&mut self, task: u32) -> Option<Assignment> {
        let part = self.part_of(task);
        let chunk = self.chunks.get_mut(&part)?;
        let assignment = chunk.assignments.remove(&task)?;
        chunk.seq += 1;
        self.assigned -= 1;
        if !chunk.done.contains(task) {
            self.busy.remove(task);
        }
        if self.assigned == 0 {
            self.started = false;
            self.broken = false;
            self.alone = false;
        }
        Some(assignment)
    }

    /// Records a task as done; true if that is new.
    pub fn complete(&mut self, task: u32, secs: Option<f64>) -> bool {
        let part = self.part_of(task);
        let chunk = self.chunks.entry(part).or_default();
        if !chunk.done.insert(task) {
            return false;
        }
        chunk.seq += 1;
        if let Some(secs) = secs {
            chunk.secs += secs;
            chunk.timed += 1;
        }
        self.busy.insert(task);
        self.done += 1;
        true
    }

    pub fn all_done(&self) -> bool {
        self.done >= self.spec.tasks
    }

    /// Highest attempt given out to any task.
    pub fn highest_attempt(&self) -> u64 {
        self.chunks.values().map(|c| c.hi).max().unwrap_or(0)
    }

    /// Mean run time of timed tasks, and their number.
    pub fn sample(&self) -> (f64, u32) {
        let secs: f64 = self.chunks.values().map(|c| c.secs).sum();
        let timed: u32 = self.chunks.values().map(|c| c.timed).sum();
        (secs / f64::from(timed.max(1)), timed)
    }

    /// Whether it is a gang that has waited in vain for so long that it rests: what is kept, rented or stopped for
    /// it, perhaps for ever, is needed by others. It is tried again after a while.
    pub fn is_resting(&self, now_unix: u64) -> bool {
        let age_s = now_unix.saturating_sub(self.ready_at) / 1000;
        // One that was placed before, perhaps by an earlier leader, can be again.
        let idle = self.is_gang() && self.highest_attempt() == 0;
        idle && age_s % (2 * constants::GANG_TRY_S) >= constants::GANG_TRY_S
    }

    /// Whether one of its tasks has completed, or has been running for a while at one of the places that count.
    pub fn is_sound(&self, now: u64, counts: impl Fn(&Assignment) -> bool) -> bool {
        let runs_on = |p: &Assignment| {
            let since = p.running_since;
            since.is_some_and(|at| now >= at + constants::SOUND_RUN_MS)
        };
        self.done > 0 || self.assignments().any(|(_, p)| counts(p) && runs_on(p))
    }

    /// Whether it has failed on so many machines that it most likely fails on all of them.
    pub fn seems_to_fail_everywhere(&self) -> bool {
        self.failed_under_earlier_leaders || self.failed_machines.len() > constants::FAULTY_JOBS
    }

    /// Whether its records show several attempts that have ended and nothing that is done. They do not tell why; if
    /// it was by failures, they must not begin anew with short pauses under each leader.
    pub fn has_failed_under_earlier_leaders(&self) -> bool {
        let (attempts, present) = match self.is_gang() {
            true => (self.highest_attempt(), u64::from(self.assigned > 0)),
            false => (
                self.chunks.values().map(|c| c.hi).sum(),
                u64::from(self.assigned),
            ),
        };
        let ended = attempts.saturating_sub(present);
        let idle = self.is_gang() || self.assigned <= 1;
        self.done == 0 && idle && ended >= constants::FRUITLESS_ATTEMPTS
    }

    /// Milliseconds for which it is left alone after a failure.
    pub fn error_pause_ms(&self) -> u64 {
        let pause = match self.failed_under_earlier_leaders {
            true => constants::ERROR_PAUSE_MAX_MS,
            false => constants::ERROR_PAUSE_MS << self.failures.min(5),
        };
        pause.min(constants::ERROR_PAUSE_MAX_MS)
    }

    /// Whether it is over and may be filed away.
    pub fn final_due(&self) -> Option<Final> {
        // A user who was told "cancelled" must never hear "done", even if every task completes meanwhile.
        if self.aborted {
            (self.assigned == 0 && self.orphans.is_empty()).then_some(Final::Aborted)
        } else {
            self.all_done().then_some(Final::Done)
        }
    }
}

/// A record that is to be as wanted, with what is known to be in the store.
#[derive(Debug, Clone)]
pub(crate) struct RecordCell<T> {
    pub desired: Option<T>,
    pub saved: Option<T>,
    pub version: u64,
    pub in_flight: bool,
}

impl<T: PartialEq + Clone> RecordCell<T> {
    pub fn new(saved: Option<T>, version: u64) -> Self {
        RecordCell {
            desired: saved.clone(),
            saved,
            version,
            in_flight: false,
        }
    }

    pub fn is_unsaved(&self) -> bool {
        self.desired != self.saved
    }
}

/// Boot times of a type of machine, as they were seen: mean and spread.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Boots {
    n: f64,
    mean: f64,
    squares: f64,
}

impl Boots {
    pub fn add(&mut self, secs: f64) {
        self.n += 1.0;
        let off = secs - self.mean;
        self.mean += off / self.n;
        self.squares += off * (secs - self.mean);
    }

    /// Seconds after which a machine that is not up is none of the usual ones; nothing while few were seen.
    pub fn late_s(&self) -> Option<f64> {
        let spread = (self.squares / self.n.max(1.0)).sqrt();
        (self.n >= constants::BOOTS_SEEN).then_some(self.mean + 2.0 * spread + 1.0)
    }
}

/// A machine.
#[derive(Debug, Clone)]
pub(crate) struct Machine {
    pub kind: String,
    pub zone: String,
    pub spot: bool,
    /// Whether type, zone and kind are known yet.
    pub known: bool,
    pub addr: Option<String>,
    /// It is to be given back, or is on its way.
    pub returning: bool,
    pub incarnation: u64,
    pub seq: u64,
    /// The last session whose lease has certainly run out: reports of it, or of an earlier one, arrive late.
    pub ended_incarnation: u64,
    /// The worker is known to have seen our term.
    pub token_seen: bool,
    /// A report with our term has been worked in.
    pub synced: bool,
    pub last_heartbeat: Option<u64>,
    pub last_answer: Option<u64>,
    pub first_known: u64,
    /// When it is taken away.
    pub notice_at: Option<u64>,
    pub draining: Option<&'static str>,
    pub listed: bool,
    pub failed: bool,
    pub missed_listings: u32,
    /// Some task of it has been told to stop.
    pub stops: bool,
    /// The cloud has named or listed it, so that it may be counted on.
    pub expected: bool,
    /// We rented it ourselves, so that its age is known.
    pub rented: bool,
    /// When its present session was first heard of.
    pub incarnation_since: u64,
    /// Starts in a row that were sent in answers and not taken.
    pub undelivered_starts: u32,
    /// Sessions in a row that ended sooner than a lease after our last answer.
    pub early_expiries: u32,
    /// Since when our answers seem not to reach it, though its reports reach us.
    pub unreachable_since: Option<u64>,
    /// A report of it waits for its answer.
    pub held: bool,
    pub images: BTreeMap<String, (u64, f64)>,
    pub assignments: BTreeSet<(String, u32)>,
    pub orphans: BTreeSet<(String, u32, u64)>,
    pub failed_jobs: BTreeSet<String>,
    /// Sum and number of (run time / job's mean) of tasks completed here.
    pub pace: (f64, u32),
    pub idle_since: u64,
    pub return_sent: Option<u64>,
    /// Direct orders are on their way.
    pub direct_at: u64,
    /// Something was decided for it since it was last found steady.
    pub has_pending_orders: bool,
    /// What its owner may answer it by.
    pub permit: Option<OwnerPermit>,
}

/// A permit for the owner of a machine's partition, as far as it concerns the machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct OwnerPermit {
    /// Its partition.
    pub partition: PartitionId,
    /// Until when the owner tells of the machine once it does not hear it.
    pub watched_until: u64,
}

impl Machine {
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
            token_seen: false,
            synced: false,
            last_heartbeat: None,
            last_answer: None,
            first_known: now,
            notice_at: None,
            draining: None,
            listed: false,
            failed: false,
            missed_listings: 0,
            stops: false,
            expected: false,
            rented: false,
            incarnation_since: now,
            undelivered_starts: 0,
            early_expiries: 0,
            unreachable_since: None,
            held: false,
            images: BTreeMap::new(),
            assignments: BTreeSet::new(),
            orphans: BTreeSet::new(),
            failed_jobs: BTreeSet::new(),
            pace: (0.0, 0),
            idle_since: now,
            return_sent: None,
            direct_at: 0,
            has_pending_orders: false,
            permit: None,
        }
    }

    pub fn describe(&mut self, kind: &str, zone: &str, spot: bool) {
        if !self.known {
            self.kind = kind.to_string();
            self.zone = zone.to_string();
            self.spot = spot;
            self.known = true;
        }
    }

    /// Whether the worker's lease has certainly run out, and with it every task of its session. The worker had seen our
    /// term, so only answers under it have counted since: ours, and those of an owner, which may come until
    /// `delegated_until`.
    pub fn lease_expired(
        &self,
        now: u64,
        expiry_ms: u64,
        delegated_until: impl Fn() -> Option<u64>,
    ) -> bool {
        let answered_long_ago = |at: u64| now > at + expiry_ms;
        self.token_seen
            && self.last_answer.is_some_and(answered_long_ago)
            && delegated_until().is_none_or(answered_long_ago)
    }

    /// Whether nothing speaks against an owner that goes on answering for it.
    pub fn stays_steady(&self) -> bool {
        !self.has_pending_orders && self.is_calm()
    }

    /// Whether it is to stay as it is, as far as the machine itself is concerned.
    pub fn is_calm(&self) -> bool {
        !self.stops
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

    /// Answers seem not to reach it: no new work until a session outlives a lease.
    pub fn mark_unreachable(&mut self, now: u64, why: &str) {
        if self.unreachable_since.is_none() {
            log::info!("event=machine_unreachable kind={} why={why:?}", self.kind);
            self.unreachable_since = Some(now);
        }
    }

    pub fn is_slow(&self) -> bool {
        self.pace.1 >= 2 && self.pace.0 / f64::from(self.pace.1) > constants::SLOW_FACTOR
    }
}

#[cfg(test)]
mod tests;
