//! What users and workers saw, and whether it fits together.

use std::collections::{BTreeMap, BTreeSet};
use wire::users::Phase;

/// A user's knowledge of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Known {
    phase: Phase,
    cancelled: bool,
}

/// The history of a cluster. Breaches of what was promised are collected as they are seen.
#[derive(Default)]
pub struct History {
    jobs: BTreeMap<String, Known>,
    /// Tasks that are on machines now, by machine.
    live: BTreeMap<String, BTreeSet<String>>,
    /// Tasks that have completed.
    completed: BTreeSet<String>,
    /// When a request of a user was answered well, and when a task was started, in milliseconds.
    answers: Vec<u64>,
    starts: Vec<u64>,
    refused: u64,
    lapses: u64,
    breaches: Vec<String>,
    ends: bool,
}

/// The longest times without something, in milliseconds, and requests refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Gaps {
    /// Without a good answer to any user.
    pub answers_ms: u64,
    /// Without the start of a task.
    pub starts_ms: u64,
    /// Requests that were refused, or not answered.
    pub refused: u64,
}

impl History {
    /// No more jobs are to be submitted.
    pub(crate) fn submissions_end(&mut self) {
        self.ends = true;
    }

    pub(crate) fn takes_jobs(&self) -> bool {
        !self.ends
    }

    /// A submission was answered well.
    pub(crate) fn accepted(&mut self, job: &str, now: u64) {
        self.answers.push(now);
        self.jobs.entry(job.to_string()).or_insert(Known {
            phase: Phase::Queued,
            cancelled: false,
        });
    }

    pub(crate) fn refused(&mut self) {
        self.refused += 1;
    }

    /// A worker's lease has ended.
    pub(crate) fn lapsed(&mut self) {
        self.lapses += 1;
    }

    /// Leases of workers that have ended.
    pub fn lapses(&self) -> u64 {
        self.lapses
    }

    /// Machines on which something runs now.
    pub fn busy_machines(&self) -> usize {
        self.live.values().filter(|tasks| !tasks.is_empty()).count()
    }

    /// A user was told of a job's phase; `None` that there is no such job.
    pub(crate) fn told(&mut self, job: &str, phase: Option<Phase>, now: u64) {
        self.answers.push(now);
        let Some(known) = self.jobs.get_mut(job) else {
            return;
        };
        let Some(phase) = phase else {
            self.breaches.push(format!("{job} is forgotten at {now}"));
            return;
        };
        let final_before = matches!(known.phase, Phase::Done | Phase::Aborted);
        if final_before && phase != known.phase {
            let breach = format!("{job} was {:?} and is {phase:?} at {now}", known.phase);
            self.breaches.push(breach);
        }
        if phase == Phase::Aborted && !known.cancelled {
            self.breaches.push(format!("{job} is cancelled by nobody"));
        }
        known.phase = phase;
    }

    /// A user is about to cancel a job.
    pub(crate) fn cancels(&mut self, job: &str) {
        if let Some(known) = self.jobs.get_mut(job) {
            known.cancelled = true;
        }
    }

    /// Jobs whose users do not know yet how they ended.
    pub(crate) fn open_job_names(&self) -> Vec<String> {
        let open = |known: &Known| !matches!(known.phase, Phase::Done | Phase::Aborted);
        let jobs = self.jobs.iter().filter(|(_, known)| open(known));
        jobs.map(|(job, _)| job.clone()).collect()
    }

    pub(crate) fn open_jobs(&self) -> usize {
        self.open_job_names().len()
    }

    /// Tasks were started on a machine.
    pub(crate) fn started(&mut self, machine: &str, tasks: &[String], now: u64) {
        for task in tasks {
            self.starts.push(now);
            let elsewhere = self
                .live
                .iter()
                .find(|(m, t)| *m != machine && t.contains(task));
            if let Some((other, _)) = elsewhere {
                let breach = format!("{task} starts on {machine} and is on {other}");
                self.breaches.push(breach);
            }
            if self.completed.contains(task) {
                self.breaches
                    .push(format!("{task} starts after it completed"));
            }
        }
    }

    /// What is on a machine now, and what has just completed there.
    pub(crate) fn on_machine(&mut self, machine: &str, live: BTreeSet<String>, done: Vec<String>) {
        for task in done {
            if !self.completed.insert(task.clone()) {
                self.breaches.push(format!("{task} completed twice"));
            }
        }
        self.live.insert(machine.to_string(), live);
    }

    /// What broke a promise.
    pub fn breaches(&self) -> &[String] {
        &self.breaches
    }

    /// Jobs that were accepted, and tasks that were started.
    pub fn counts(&self) -> (usize, usize) {
        (self.jobs.len(), self.starts.len())
    }

    /// The longest times without an answer or a start between two moments, and how much was refused since `refused`.
    pub fn gaps(&self, from: u64, to: u64, refused: u64) -> Gaps {
        let longest = |times: &[u64]| {
            let within = times.iter().copied().filter(|at| (from..=to).contains(at));
            let mut sorted: Vec<u64> = within.chain([from, to]).collect();
            sorted.sort_unstable();
            let gaps = sorted.windows(2).map(|pair| pair[1] - pair[0]);
            gaps.max().unwrap_or(0)
        };
        Gaps {
            answers_ms: longest(&self.answers),
            starts_ms: longest(&self.starts),
            refused: self.refused - refused,
        }
    }

    /// Requests refused so far.
    pub fn refusals(&self) -> u64 {
        self.refused
    }
}
