//! Records what users and workers observe, and collects violations of the consistency rules.

use std::collections::{BTreeMap, BTreeSet};
use wire::users::Phase;

/// The last state of a job that its user observed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ObservedJob {
    phase: Phase,
    /// Whether its user has asked to cancel it.
    cancelled: bool,
}

/// The observations made of a cluster. Violations of rules are collected as they are observed.
#[derive(Default)]
pub struct History {
    jobs: BTreeMap<String, ObservedJob>,
    /// Tasks that are on machines now, by machine name.
    live: BTreeMap<String, BTreeSet<String>>,
    /// Tasks that have completed.
    completed: BTreeSet<String>,
    /// Times of successful answers to users.
    answer_times_ms: Vec<u64>,
    /// Times of task starts.
    start_times_ms: Vec<u64>,
    /// Number of requests that were refused or not answered.
    refused: u64,
    /// Number of worker leases that have expired.
    expired_leases: u64,
    violations: Vec<String>,
    /// Whether users have to stop submitting jobs.
    submissions_ended: bool,
}

/// The longest intervals without an answer or a task start, and the number of refused requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Gaps {
    /// Longest interval without a successful answer to any user, in milliseconds.
    pub answers_ms: u64,
    /// Longest interval without a task start, in milliseconds.
    pub starts_ms: u64,
    /// Number of requests that were refused or not answered.
    pub refused: u64,
}

impl History {
    /// Tells users to stop submitting jobs.
    pub(crate) fn end_submissions(&mut self) {
        self.submissions_ended = true;
    }

    /// Whether users may still submit jobs.
    pub(crate) fn accepts_submissions(&self) -> bool {
        !self.submissions_ended
    }

    /// Records that a submission was accepted.
    pub(crate) fn record_accepted(&mut self, job: &str, now: u64) {
        self.answer_times_ms.push(now);
        self.jobs.entry(job.to_string()).or_insert(ObservedJob {
            phase: Phase::Queued,
            cancelled: false,
        });
    }

    /// Records that a request was refused or not answered.
    pub(crate) fn record_refused(&mut self) {
        self.refused += 1;
    }

    /// Records that a worker's lease has expired.
    pub(crate) fn record_expired_lease(&mut self) {
        self.expired_leases += 1;
    }

    /// Number of worker leases that have expired.
    pub fn expired_leases(&self) -> u64 {
        self.expired_leases
    }

    /// Number of machines that run tasks now.
    pub fn busy_machines(&self) -> usize {
        self.live.values().filter(|tasks| !tasks.is_empty()).count()
    }

    /// Records the phase of a job in an answer to its user, or `None` if the answer says that there is no such job. An
    /// accepted job must not disappear, a final phase must not change, and only jobs that users cancel may be aborted.
    pub(crate) fn record_phase(&mut self, job: &str, phase: Option<Phase>, now: u64) {
        self.answer_times_ms.push(now);
        let Some(job_state) = self.jobs.get_mut(job) else {
            return;
        };
        let Some(phase) = phase else {
            self.violations
                .push(format!("{job} is unknown to the service at {now} ms"));
            return;
        };
        let was_final = matches!(job_state.phase, Phase::Done | Phase::Aborted);
        if was_final && phase != job_state.phase {
            let violation = format!(
                "phase of {job} changed from final {:?} to {phase:?} at {now} ms",
                job_state.phase
            );
            self.violations.push(violation);
        }
        if phase == Phase::Aborted && !job_state.cancelled {
            self.violations
                .push(format!("{job} was aborted without a cancel request"));
        }
        job_state.phase = phase;
    }

    /// Records that a user is about to cancel a job.
    pub(crate) fn record_cancel_request(&mut self, job: &str) {
        if let Some(job_state) = self.jobs.get_mut(job) {
            job_state.cancelled = true;
        }
    }

    /// Ids of the accepted jobs for which no user has observed a final phase yet.
    pub(crate) fn open_jobs(&self) -> Vec<String> {
        let is_open =
            |job_state: &ObservedJob| !matches!(job_state.phase, Phase::Done | Phase::Aborted);
        let jobs = self.jobs.iter().filter(|(_, job_state)| is_open(job_state));
        jobs.map(|(job, _)| job.clone()).collect()
    }

    /// Number of accepted jobs for which no user has observed a final phase yet.
    pub(crate) fn open_job_count(&self) -> usize {
        self.open_jobs().len()
    }

    /// Records that tasks were started on a machine. A task must not start while it is on another machine or after it
    /// completed.
    pub(crate) fn record_starts(&mut self, machine: &str, tasks: &[String], now: u64) {
        for task in tasks {
            self.start_times_ms.push(now);
            let elsewhere = self
                .live
                .iter()
                .find(|(name, tasks)| *name != machine && tasks.contains(task));
            if let Some((other, _)) = elsewhere {
                let violation = format!("{task} started on {machine} while it was on {other}");
                self.violations.push(violation);
            }
            if self.completed.contains(task) {
                self.violations
                    .push(format!("{task} started after it completed"));
            }
        }
    }

    /// Records which tasks are on a machine now and which have just completed there. A task must complete only once.
    pub(crate) fn record_machine_tasks(
        &mut self,
        machine: &str,
        live: BTreeSet<String>,
        completed: Vec<String>,
    ) {
        for task in completed {
            if !self.completed.insert(task.clone()) {
                self.violations.push(format!("{task} completed twice"));
            }
        }
        self.live.insert(machine.to_string(), live);
    }

    /// Descriptions of the rule violations so far.
    pub fn violations(&self) -> &[String] {
        &self.violations
    }

    /// Number of accepted jobs and number of task starts.
    pub fn job_and_start_counts(&self) -> (usize, usize) {
        (self.jobs.len(), self.start_times_ms.len())
    }

    /// The longest intervals without an answer or a task start between two times, and the number of requests that were
    /// refused since the count was `refused_before`.
    pub fn longest_gaps(&self, from: u64, to: u64, refused_before: u64) -> Gaps {
        let longest = |times: &[u64]| {
            let within = times.iter().copied().filter(|at| (from..=to).contains(at));
            let mut sorted: Vec<u64> = within.chain([from, to]).collect();
            sorted.sort_unstable();
            let gaps = sorted.windows(2).map(|pair| pair[1] - pair[0]);
            gaps.max().unwrap_or(0)
        };
        Gaps {
            answers_ms: longest(&self.answer_times_ms),
            starts_ms: longest(&self.start_times_ms),
            refused: self.refused - refused_before,
        }
    }

    /// Number of requests that were refused or not answered so far.
    pub fn refused_requests(&self) -> u64 {
        self.refused
    }
}
