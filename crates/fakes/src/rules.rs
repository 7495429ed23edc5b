//! The protocol's rules, checked against observations. This module knows nothing of the simulation: it is given the
//! answers to users and the tasks that are on machines.

mod answers;
mod placement;

use crate::jobs::job_of;
use answers::Unanswered;
use control::settings::Team;
use std::collections::{BTreeMap, BTreeSet};
use wire::users::{Phase, Submission};

/// Milliseconds after a confirmed cancellation from which a start counts as late: more than a message takes.
const LATE_START_MS: u64 = 500;
/// Milliseconds for which a task may wait while a machine has room for it.
const WAITING_MS: u64 = 90_000;

/// What a user asks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Question {
    /// `POST /submissions`.
    Submit,
    /// `GET /submissions/{id}`.
    Status,
    /// `POST /submissions/{id}/abort`.
    Abort,
}

impl Question {
    /// Milliseconds for which a user waits for the answer.
    fn timeout_ms(self) -> u64 {
        match self {
            Question::Status => 2_000,
            Question::Submit | Question::Abort => 5_000,
        }
    }
}

/// A task on a machine, from the moment it has its image.
#[derive(Debug, Clone, Copy)]
pub struct Placed<'a> {
    /// Machine.
    pub machine: &'a str,
    /// Its type.
    pub kind: &'a str,
    /// Its zone.
    pub zone: &'a str,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Task.
    pub task: &'a str,
    /// Attempt.
    pub attempt: u64,
}

/// Progress of a job, as far as users know.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    Open,
    Final,
}

/// A question without an answer, with what the users knew when it was sent.
struct PendingQuestion {
    question: Question,
    job: String,
    sent: u64,
    known: Option<Stage>,
}

/// All jobs by name, as users submitted them.
pub type Jobs = BTreeMap<String, Submission>;

/// The rules, and the observations that they are checked against.
#[derive(Default)]
pub struct Rules {
    teams: Vec<Team>,
    cancel_ms: u64,
    /// Rules that were broken. Each breach is listed once.
    pub broken: Vec<String>,
    listed: BTreeSet<String>,
    /// Starts that a worker executed well after a confirmed cancellation of their job. They are counted, and break no
    /// rule.
    pub late_starts: Vec<String>,
    pending: BTreeMap<u64, PendingQuestion>,
    known: BTreeMap<String, Stage>,
    /// Final phases that users were answered.
    ends: BTreeMap<String, Phase>,
    /// Jobs whose cancellation was confirmed to their user, and when.
    cancelled: BTreeMap<String, u64>,
    submitted: BTreeSet<String>,
    /// Jobs whose user asked to cancel them.
    cancel_requested: BTreeSet<String>,
    /// Tasks that completed on some machine.
    completed: BTreeSet<String>,
    /// Tasks with constraints on their place that were on machines at the last check, with machine and attempt.
    constrained: BTreeSet<(String, String, u64)>,
    /// When all troubles were over, if they are.
    healed_at: Option<u64>,
    unanswered: BTreeMap<String, Unanswered>,
    waiting: BTreeMap<String, u64>,
}

impl Rules {
    /// Rules for these teams. The tasks of a cancelled job must have ended within `cancel_s`.
    pub fn new(teams: Vec<Team>, cancel_s: f64) -> Self {
        Rules {
            teams,
            cancel_ms: (cancel_s * 1000.0) as u64,
            ..Rules::default()
        }
    }

    /// Lists a breach, once.
    fn report(&mut self, breach: String, now: u64) {
        if self.listed.insert(breach.clone()) {
            self.broken.push(format!("{breach} at {now}"));
        }
    }

    /// All troubles are over from now on.
    pub fn troubles_over(&mut self, now: u64) {
        self.healed_at = Some(now);
        self.unanswered.clear();
        self.waiting.clear();
    }

    /// The cancellation of a job was confirmed by somebody other than a node of this world.
    pub fn confirm_cancelled(&mut self, job: &str, now: u64) {
        self.cancel_requested.insert(job.to_string());
        self.cancelled.entry(job.to_string()).or_insert(now);
    }

    /// When the cancellation of a job was first confirmed to its user.
    pub fn cancelled_at(&self, job: &str) -> Option<u64> {
        self.cancelled.get(job).copied()
    }

    /// Whether users know that a job is accepted.
    pub fn is_accepted(&self, job: &str) -> bool {
        self.known.contains_key(job)
    }

    /// Whether a job's user asked to cancel it.
    pub fn is_called_off(&self, job: &str) -> bool {
        self.cancel_requested.contains(job)
    }

    /// The final phase that users were answered.
    pub fn end(&self, job: &str) -> Option<Phase> {
        self.ends.get(job).copied()
    }

    /// A worker executed a start.
    pub fn started(&mut self, task: &str, attempt: u64, machine: &str, now: u64) {
        let cancelled = self.cancelled.get(job_of(task));
        if let Some(at) = cancelled.filter(|at| now > **at + LATE_START_MS) {
            let late = now - at;
            let start = format!("{task} try {attempt} on {machine} at {now}, {late} ms after");
            self.late_starts.push(start);
        }
    }

    /// A task completed on its machine.
    pub fn completed(&mut self, task: impl Into<String>) {
        self.completed.insert(task.into());
    }

    /// Whether a task has completed on some machine.
    pub fn has_completed(&self, task: &str) -> bool {
        self.completed.contains(task)
    }

    /// How many tasks have completed so far.
    pub fn completions(&self) -> usize {
        self.completed.len()
    }

    /// Notes whether a job's only task waits now although a machine has room for it and its team may use more. To be
    /// called regularly. It counts once all troubles are over.
    pub fn note_waiting(&mut self, job: &str, waits: bool, now: u64) {
        if !waits || self.healed_at.is_none() {
            self.waiting.remove(job);
            return;
        }
        let since = *self.waiting.entry(job.to_string()).or_insert(now);
        if now > since + WAITING_MS {
            self.report(format!("left_waiting {job} since {since}"), now);
        }
    }
}
