//! Checks the protocol's rules against observations. This module does not depend on the simulation: it receives the
//! responses to users and the tasks that are on machines.

mod placement;
mod responses;

use crate::jobs::job_of;
use control::settings::Team;
use responses::UnansweredPeriod;
use std::collections::{BTreeMap, BTreeSet};
use wire::users::{Phase, Submission};

/// Milliseconds after a confirmed cancellation until which a start does not count as late. It exceeds the delay of a
/// message.
const LATE_START_TOLERANCE_MS: u64 = 500;
/// Milliseconds for which a task may wait while a machine has enough free resources.
const MAX_WAITING_MS: u64 = 90_000;

/// Kind of a user request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// `POST /submissions`.
    Submit,
    /// `GET /submissions/{id}`.
    Status,
    /// `POST /submissions/{id}/abort`.
    Abort,
}

impl RequestKind {
    /// Milliseconds for which a user waits for the response.
    fn timeout_ms(self) -> u64 {
        match self {
            RequestKind::Status => 2_000,
            RequestKind::Submit | RequestKind::Abort => 5_000,
        }
    }
}

/// A task on a machine. Tasks that still fetch their image are not included.
#[derive(Debug, Clone, Copy)]
pub struct PlacedTask<'a> {
    /// Name of the machine.
    pub machine: &'a str,
    /// Type of the machine.
    pub machine_type: &'a str,
    /// Zone of the machine.
    pub zone: &'a str,
    /// Whether the machine is a spot machine.
    pub spot: bool,
    /// Name of the task.
    pub task: &'a str,
    /// Number of the attempt.
    pub attempt: u64,
}

/// Progress of a job as known to users.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    Open,
    Final,
}

/// A request without a response yet.
struct PendingRequest {
    kind: RequestKind,
    job: String,
    sent_at: u64,
    /// What users knew about the job when the request was sent.
    known: Option<Stage>,
}

/// Submitted jobs by name.
pub type JobsByName = BTreeMap<String, Submission>;

/// Records observations and checks the rules against them.
#[derive(Default)]
pub struct RuleChecker {
    teams: Vec<Team>,
    cancel_ms: u64,
    /// Violations found so far, each listed once.
    pub violations: Vec<String>,
    reported: BTreeSet<String>,
    /// Starts that a worker executed more than the tolerated delay after the confirmed cancellation of their job. They
    /// are counted, but violate no rule: a start that was sent before may be delayed on its way.
    pub late_starts: Vec<String>,
    pending: BTreeMap<u64, PendingRequest>,
    known_stages: BTreeMap<String, Stage>,
    /// Final phases that users were told, by job.
    final_phases: BTreeMap<String, Phase>,
    /// Time at which the cancellation of each cancelled job was confirmed to its user.
    cancelled: BTreeMap<String, u64>,
    submitted: BTreeSet<String>,
    /// Jobs whose cancellation a user requested.
    cancel_requested: BTreeSet<String>,
    /// Tasks that have completed on any machine.
    completed: BTreeSet<String>,
    /// Task, machine and attempt of the tasks with placement constraints that were on machines at the last check.
    constrained: BTreeSet<(String, String, u64)>,
    /// Time at which all faults ended, if they have ended.
    faults_ended_at: Option<u64>,
    unanswered: BTreeMap<String, UnansweredPeriod>,
    /// Time since which a job has been waiting although a machine has enough free resources.
    waiting_since: BTreeMap<String, u64>,
}

impl RuleChecker {
    /// Checks the quotas of these teams. The tasks of a cancelled job must have ended within `cancel_s`.
    pub fn new(teams: Vec<Team>, cancel_s: f64) -> Self {
        RuleChecker {
            teams,
            cancel_ms: (cancel_s * 1000.0) as u64,
            ..RuleChecker::default()
        }
    }

    /// Adds a violation to the list unless it is there already.
    fn report_violation(&mut self, violation: String, now: u64) {
        if self.reported.insert(violation.clone()) {
            self.violations.push(format!("{violation} at {now}"));
        }
    }

    /// Records that all faults have ended.
    pub fn faults_ended(&mut self, now: u64) {
        self.faults_ended_at = Some(now);
        self.unanswered.clear();
        self.waiting_since.clear();
    }

    /// Records the cancellation of a job that was confirmed by a process outside the simulated cluster.
    pub fn record_cancellation(&mut self, job: &str, now: u64) {
        self.cancel_requested.insert(job.to_string());
        self.cancelled.entry(job.to_string()).or_insert(now);
    }

    /// Time at which the cancellation of a job was first confirmed to its user.
    pub fn cancelled_at(&self, job: &str) -> Option<u64> {
        self.cancelled.get(job).copied()
    }

    /// Whether the acceptance of a job was confirmed to a user.
    pub fn is_accepted(&self, job: &str) -> bool {
        self.known_stages.contains_key(job)
    }

    /// Whether a user requested the cancellation of a job.
    pub fn is_cancel_requested(&self, job: &str) -> bool {
        self.cancel_requested.contains(job)
    }

    /// The final phase of a job that users were told.
    pub fn final_phase(&self, job: &str) -> Option<Phase> {
        self.final_phases.get(job).copied()
    }

    /// Records that a controller sent the order to start a task. No task may be started once the cancellation of its job
    /// is confirmed.
    pub fn start_sent(&mut self, task: &str, attempt: u64, machine: &str, now: u64) {
        if self.late_by_ms(task, now).is_some() {
            let violation = format!("started_after_abort {task} try {attempt} on {machine}");
            self.report_violation(violation, now);
        }
    }

    /// Records that a worker started a task.
    pub fn task_started(&mut self, task: &str, attempt: u64, machine: &str, now: u64) {
        if let Some(late_ms) = self.late_by_ms(task, now) {
            let start = format!("{task} try {attempt} on {machine} at {now}, {late_ms} ms after");
            self.late_starts.push(start);
        }
    }

    /// Milliseconds between the confirmed cancellation of a task's job and a start now, if they exceed the tolerance.
    fn late_by_ms(&self, task: &str, now: u64) -> Option<u64> {
        let cancelled_at = self.cancelled_at(job_of(task))?;
        (now > cancelled_at + LATE_START_TOLERANCE_MS).then(|| now - cancelled_at)
    }

    /// Records that a task completed on its machine.
    pub fn task_completed(&mut self, task: impl Into<String>) {
        self.completed.insert(task.into());
    }

    /// Whether a task has completed on any machine.
    pub fn has_completed(&self, task: &str) -> bool {
        self.completed.contains(task)
    }

    /// Number of tasks that have completed so far.
    pub fn completed_task_count(&self) -> usize {
        self.completed.len()
    }

    /// Records whether a job's only task is waiting although a machine has enough free resources and its team's quota
    /// allows the task. Must be called regularly. Has an effect only after all faults have ended.
    pub fn observe_waiting(&mut self, job: &str, is_waiting: bool, now: u64) {
        if !is_waiting || self.faults_ended_at.is_none() {
            self.waiting_since.remove(job);
            return;
        }
        let since = *self.waiting_since.entry(job.to_string()).or_insert(now);
        if now > since + MAX_WAITING_MS {
            self.report_violation(format!("left_waiting {job} since {since}"), now);
        }
    }
}
