//! What users and workers observed, and whether it is consistent.

use std::collections::{BTreeMap, BTreeSet};
use wire::users::Phase;

/// What a user knows of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Known {
    phase: Phase,
    cancelled: bool,
}

/// The history of a cluster. Broken rules are collected as they are observed.
#[derive(Default)]
pub struct History {
    jobs: BTreeMap<String, Known>,
    /// Tasks that are on machines now, by machine.
    live: BTreeMap<String, BTreeSet<String>>,
    /// Tasks that have completed.
    completed: BTreeSet<String>,
    /// When requests of users were answered successfully, in milliseconds.
    answers: Vec<u64>,
    /// When tasks were started, in milliseconds.
    starts: Vec<u64>,
    refused: u64,
    /// Leases of workers that have expired.
    lapses: u64,
    breaches: Vec<String>,
    /// Whether no more jobs are submitted.
    has_ended: bool,
}

/// The longest times without an answer or a start, and the number of refused requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Gaps {
    /// Milliseconds without a successful answer to any user.
    pub answers_ms: u64,
    /// Milliseconds without the start of a task.
    pub starts_ms: u64,
    /// Requests that were refused, or not answered.
    pub refused: u64,
}

impl History {
    /// No more jobs are to be submitted.
    pub(crate) fn submissions_end(&mut self) {
        self.has_ended = true;
    }

    /// Whether jobs may still be submitted.
    pub(crate) fn takes_jobs(&self) -> bool {
        !self.has_ended
    }

    /// A submission was accepted.
    pub(crate) fn accepted(&mut self, job: &str, now: u64) {
        self.answers.push(now);
        self.jobs.entry(job.to_string()).or_insert(Known {
            phase: Phase::Queued,
            cancelled: false,
        });
    }

    /// A request was refused or not answered.
    pub(crate) fn refused(&mut self) {
        self.refused += 1;
    }

    /// A worker's lease has expired.
    pub(crate) fn lease_expired(&mut self) {
        self.lapses += 1;
    }

    /// Leases of workers that have expired.
    pub fn lapses(&self) -> u64 {
        self.lapses
    }

    /// Machines that run tasks now.
    pub fn busy_machines(&self) -> usize {
        self.live.values().filter(|tasks| !tasks.is_empty()).count()
    }

    /// A user was answered with a job's phase, or with `None` if there is no such job.
    pub(crate) fn answered(&mut self, job: &str, phase: Option<Phase>, now: u64) {
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
    pub(crate) fn cancel_requested(&mut self, job: &str) {
        if let Some(known) = self.jobs.get_mut(job) {
            known.cancelled = true;
        }
    }

    /// Jobs whose users do not know yet how they ended.
    pub(crate) fn open_job_names(&self) -> Vec<String> {
        let is_open = |known: &Known| !matches!(known.phase, Phase::Done | Phase::Aborted);
        let jobs = self.jobs.iter().filter(|(_, known)| is_open(known));
        jobs.map(|(job, _)| job.clone()).collect()
    }

    /// Number of those jobs.
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
                .find(|(name, tasks)| *name != machine && tasks.contains(task));
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

    /// The tasks on a machine now, and those that have just completed there.
    pub(crate) fn on_machine(
        &mut self,
        machine: &str,
        live: BTreeSet<String>,
        completed: Vec<String>,
    ) {
        for task in completed {
            if !self.completed.insert(task.clone()) {
                self.breaches.push(format!("{task} completed twice"));
            }
        }
        self.live.insert(machine.to_string(), live);
    }

    /// Rules that were broken.
    pub fn breaches(&self) -> &[String] {
        &self.breaches
    }

    /// Jobs that were accepted, and tasks that were started.
    pub fn counts(&self) -> (usize, usize) {
        (self.jobs.len(), self.starts.len())
    }

    /// The longest times without an answer or a start between two moments, and the requests refused since there were
    /// `refused`.
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
