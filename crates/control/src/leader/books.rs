//! What the leader knows of jobs and machines.

use sched::{RangeSet, Res};
use std::collections::{BTreeMap, BTreeSet};
use wire::records::*;
use wire::users::{Shape, Submission};
use wire::workers::{Report, TaskPhase};

/// How far a place has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Found in the records: an earlier leader may have started it.
    Recorded,
    /// Ours; `launch` is sent once the record is safe.
    Ready,
    /// `launch` went out in the answer to this report.
    Sent { session: u64, seq: u64 },
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
pub(crate) struct Place {
    pub machine: String,
    pub attempt: u64,
    /// Number of the chunk's change that made it.
    pub seq: u64,
    pub stage: Stage,
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
    pub places: BTreeMap<u32, Place>,
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
                .places
                .iter()
                .map(|(t, p)| (*t, p.attempt, p.machine.clone()))
                .collect(),
            hi: self.hi,
            secs: self.secs,
            timed: self.timed,
        }
    }

    pub fn dirty(&self) -> bool {
        self.seq > self.saved
    }

    /// Whether it has places that are not recorded yet: their record must fail once the job is cancelled.
    pub fn has_new_places(&self) -> bool {
        let new = |p: &Place| p.stage == Stage::Ready && p.seq > self.saved;
        self.dirty() && self.places.values().any(new)
    }

    /// A cautious guess at the bytes of its record, in the form that limits count in.
    pub fn bytes(&self) -> usize {
        let place = |p: &Place| 26 + p.machine.len();
        150 + self.done.to_string().len() + self.places.values().map(place).sum::<usize>()
    }
}

pub(crate) fn chunk_of(task: u32) -> u32 {
    task / constants::CHUNK_TASKS
}

/// A job that is not over.
#[derive(Debug, Clone)]
pub(crate) struct Job {
    pub spec: Submission,
    pub at: u64,
    pub version: u64,
    pub aborted: bool,
    /// Whether the record of that version says so; a notice may have come ahead of it.
    pub recorded_abort: bool,
    pub chunks: BTreeMap<u32, Chunk>,
    /// Tasks that are done or have a place.
    pub busy: RangeSet,
    pub done: u64,
    pub placed: u32,
    /// Tasks on machines without a record, by (task, machine): not to be started again until they are gone.
    pub strays: BTreeSet<(u32, String)>,
    /// It is being filed away, or its record is being read again.
    pub inflight: bool,
    /// Gang: its present attempt has run, or can't be completed any more.
    pub started: bool,
    pub broken: bool,
    /// Gang: some of its tasks waited in vain for others that are still fetching the image.
    pub alone: bool,
    pub fails: u32,
    pub fail_machines: BTreeSet<String>,
    pub pause_until: u64,
    pub first_run: Option<u64>,
    /// Machines kept from filling up for this gang.
    pub kept: Vec<String>,
}

impl Job {
    pub fn new(record: JobRecord, version: u64) -> Self {
        Job {
            spec: record.spec,
            at: record.at,
            version,
            aborted: record.aborted,
            recorded_abort: record.aborted,
            chunks: BTreeMap::new(),
            busy: RangeSet::default(),
            done: 0,
            placed: 0,
            strays: BTreeSet::new(),
            inflight: false,
            started: false,
            broken: false,
            alone: false,
            fails: 0,
            fail_machines: BTreeSet::new(),
            pause_until: 0,
            first_run: None,
            kept: Vec::new(),
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

    pub fn res(&self) -> Res {
        Res {
            cpus: self.spec.cpus,
            gpus: self.spec.gpus,
            mem: self.spec.mem_gb,
        }
    }

    pub fn place(&self, task: u32) -> Option<&Place> {
        self.chunks.get(&chunk_of(task))?.places.get(&task)
    }

    pub fn place_mut(&mut self, task: u32) -> Option<&mut Place> {
        self.chunks.get_mut(&chunk_of(task))?.places.get_mut(&task)
    }

    pub fn places(&self) -> impl Iterator<Item = (u32, &Place)> {
        self.chunks
            .values()
            .flat_map(|c| c.places.iter().map(|(t, p)| (*t, p)))
    }

    /// Whether everything known about a task's chunk is recorded.
    pub fn is_saved(&self, task: u32) -> bool {
        self.chunks.get(&chunk_of(task)).is_none_or(|c| !c.dirty())
    }

    /// Whether a task has a place that is recorded and whose start has not been sent.
    pub fn is_startable(&self, task: u32) -> bool {
        let chunk = self.chunks.get(&chunk_of(task));
        let place = chunk.and_then(|c| Some((c, c.places.get(&task)?)));
        place.is_some_and(|(c, p)| p.stage == Stage::Ready && p.seq <= c.saved && p.stop.is_none())
    }

    pub fn load_chunk(&mut self, entry: PageEntry, page: u32) {
        let (number, record) = (entry.part, entry.chunk);
        let done = RangeSet::parse(&record.done).unwrap_or_default();
        for t in done.iter() {
            self.busy.insert(t);
        }
        self.done += done.len();
        let places: BTreeMap<u32, Place> = record
            .at
            .iter()
            .map(|(task, attempt, machine)| {
                let place = Place {
                    machine: machine.clone(),
                    attempt: *attempt,
                    seq: 0,
                    stage: Stage::Recorded,
                    phase: None,
                    running_since: None,
                    pilot: false,
                    stop: None,
                    at: 0,
                };
                (*task, place)
            })
            .collect();
        self.placed += places.len() as u32;
        for t in places.keys() {
            self.busy.insert(*t);
        }
        let chunk = Chunk {
            home: Some(page),
            done,
            places,
            hi: record.hi,
            secs: record.secs,
            timed: record.timed,
            seq: entry.seq,
            saved: entry.seq,
        };
        self.chunks.insert(number, chunk);
    }

    /// Gives a task a place. The caller has checked that it has none.
    pub fn put(&mut self, task: u32, machine: &str, attempt: u64, pilot: bool, now: u64) {
        let chunk = self.chunks.entry(chunk_of(task)).or_default();
        chunk.seq += 1;
        chunk.hi = chunk.hi.max(attempt);
        let place = Place {
            machine: machine.to_string(),
            attempt,
            seq: chunk.seq,
            stage: Stage::Ready,
            phase: None,
            running_since: None,
            pilot,
            stop: None,
            at: now,
        };
        chunk.places.insert(task, place);
        self.placed += 1;
        self.busy.insert(task);
    }

    /// Takes a task's place away, the task not being done.
    pub fn vacate(&mut self, task: u32) -> Option<Place> {
        let chunk = self.chunks.get_mut(&chunk_of(task))?;
        let place = chunk.places.remove(&task)?;
        chunk.seq += 1;
        self.placed -= 1;
        if !chunk.done.contains(task) {
            self.busy.remove(task);
        }
        if self.placed == 0 {
            self.started = false;
            self.broken = false;
            self.alone = false;
        }
        Some(place)
    }

    /// Records a task as done; true if that is new.
    pub fn complete(&mut self, task: u32, secs: Option<f64>) -> bool {
        let chunk = self.chunks.entry(chunk_of(task)).or_default();
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
        let age_s = now_unix.saturating_sub(self.at) / 1000;
        // One that was placed before, perhaps by an earlier leader, can be again.
        let idle = self.is_gang() && self.highest_attempt() == 0;
        idle && age_s % (2 * constants::GANG_TRY_S) >= constants::GANG_TRY_S
    }

    /// Whether it is over and may be filed away.
    pub fn final_due(&self) -> Option<Final> {
        // A user who was told "cancelled" must never hear "done", even if every task completes meanwhile.
        if self.aborted {
            (self.placed == 0 && self.strays.is_empty()).then_some(Final::Aborted)
        } else {
            self.all_done().then_some(Final::Done)
        }
    }
}

/// A record that is to be as wanted, with what is known to be in the store.
#[derive(Debug, Clone)]
pub(crate) struct Cell<T> {
    pub want: Option<T>,
    pub saved: Option<T>,
    pub version: u64,
    pub inflight: bool,
}

impl<T: PartialEq + Clone> Cell<T> {
    pub fn new(saved: Option<T>, version: u64) -> Self {
        Cell {
            want: saved.clone(),
            saved,
            version,
            inflight: false,
        }
    }

    pub fn dirty(&self) -> bool {
        self.want != self.saved
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
    pub session: u64,
    pub seq: u64,
    /// The worker is known to have seen our term.
    pub token_seen: bool,
    /// A report with our term has been worked in.
    pub synced: bool,
    pub last_report: Option<u64>,
    pub last_answer: Option<u64>,
    pub first_known: u64,
    /// When it is taken away.
    pub notice_at: Option<u64>,
    pub draining: Option<&'static str>,
    pub listed: bool,
    pub failed: bool,
    pub missing_lists: u32,
    /// Some task of it has been told to stop.
    pub stops: bool,
    /// The cloud has named or listed it, so that it may be counted on.
    pub expected: bool,
    /// We rented it ourselves, so that its age is known.
    pub rented: bool,
    /// When its present session was first heard of.
    pub session_since: u64,
    /// Starts in a row that were sent in answers and not taken.
    pub unheard: u32,
    /// Sessions in a row that ended sooner than a lease after our last answer.
    pub lapses: u32,
    /// Since when our answers seem not to reach it, though its reports reach us.
    pub doubted: Option<u64>,
    /// A report of it waits for its answer.
    pub held: bool,
    pub images: BTreeMap<String, (u64, f64)>,
    pub places: BTreeSet<(String, u32)>,
    pub strays: BTreeSet<(String, u32, u64)>,
    pub failed_jobs: BTreeSet<String>,
    /// Sum and number of (run time / job's mean) of tasks completed here.
    pub pace: (f64, u32),
    pub idle_since: u64,
    pub return_sent: Option<u64>,
    /// Report that came before the books were loaded.
    pub pending: Option<Report>,
    /// Direct orders are on their way.
    pub direct_at: u64,
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
            session: 0,
            seq: 0,
            token_seen: false,
            synced: false,
            last_report: None,
            last_answer: None,
            first_known: now,
            notice_at: None,
            draining: None,
            listed: false,
            failed: false,
            missing_lists: 0,
            stops: false,
            expected: false,
            rented: false,
            session_since: now,
            unheard: 0,
            lapses: 0,
            doubted: None,
            held: false,
            images: BTreeMap::new(),
            places: BTreeSet::new(),
            strays: BTreeSet::new(),
            failed_jobs: BTreeSet::new(),
            pace: (0.0, 0),
            idle_since: now,
            return_sent: None,
            pending: None,
            direct_at: 0,
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

    /// Answers seem not to reach it: no new work until a session outlives a lease.
    pub fn doubt(&mut self, now: u64, why: &str) {
        if self.doubted.is_none() {
            log::info!("event=machine_unheard kind={} why={why:?}", self.kind);
            self.doubted = Some(now);
        }
    }

    pub fn is_slow(&self) -> bool {
        self.pace.1 >= 2 && self.pace.0 / f64::from(self.pace.1) > constants::SLOW_FACTOR
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Gangs waited for machines of which one in ten takes several times as long as the others.
    #[test]
    fn a_boot_is_late_by_what_was_seen_of_its_type() {
        let mut boots = Boots::default();
        for _ in 0..9 {
            boots.add(45.0);
        }
        assert_eq!(boots.late_s(), None, "too few");
        boots.add(45.0);
        assert_eq!(boots.late_s(), Some(46.0));
        for n in 0..40 {
            boots.add(if n % 2 == 0 { 35.0 } else { 55.0 });
        }
        let late = boots.late_s().expect("seen");
        assert!((60.0..66.0).contains(&late), "{late}");
    }
}
