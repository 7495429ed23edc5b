//! The protocol's rules, checked against what happens. Knows nothing of the world's workings: it is told what users
//! were answered and which tasks are on machines.

use control::settings::Team;
use std::collections::{BTreeMap, BTreeSet};
use wire::users::{Phase, Submission};

/// A start clearly after a confirmed cancellation: more milliseconds than a message takes.
const CLEARLY_MS: u64 = 500;
/// Milliseconds without an answer after which a job counts as forgotten.
const FORGOTTEN_MS: u64 = 75_000;
/// Questions further apart than this don't count as asked all the time.
const ASKED_MS: u64 = 10_000;
/// Milliseconds a task may wait beside room for it.
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
    fn patience_ms(self) -> u64 {
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

/// How far a job has come, as far as users know.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    Open,
    Over,
}

/// A question on its way, with what the users knew when it was sent.
struct Asked {
    question: Question,
    job: String,
    sent: u64,
    known: Option<Stage>,
}

/// Questions about a job since the last answer.
struct Unanswered {
    since: u64,
    last: u64,
}

/// All jobs by name, as users submitted them.
pub type Jobs = BTreeMap<String, Submission>;

/// The rules, and what they need to know.
#[derive(Default)]
pub struct Rules {
    teams: Vec<Team>,
    cancel_ms: u64,
    /// Rules that were broken; each breach is listed once.
    pub broken: Vec<String>,
    listed: BTreeSet<String>,
    /// Starts that a worker executed clearly after a confirmed cancellation of their job: counted, not a broken rule.
    pub late_starts: Vec<String>,
    asked: BTreeMap<u64, Asked>,
    known: BTreeMap<String, Stage>,
    /// Final phases that users were told.
    ends: BTreeMap<String, Phase>,
    /// Jobs whose user was told that they are cancelled, and when.
    cancelled: BTreeMap<String, u64>,
    submitted: BTreeSet<String>,
    /// Jobs whose user asked to cancel them.
    called_off: BTreeSet<String>,
    /// Tasks that completed on some machine.
    completed: BTreeSet<String>,
    /// Place-bound tasks that were on machines at the last look.
    bound: BTreeSet<(String, String, u64)>,
    over_at: Option<u64>,
    unanswered: BTreeMap<String, Unanswered>,
    waiting: BTreeMap<String, u64>,
}

fn job_of(task: &str) -> &str {
    task.split('/').next().unwrap_or_default()
}

impl Rules {
    /// Rules for these teams; a cancelled job's tasks must be gone within `cancel_s`.
    pub fn new(teams: Vec<Team>, cancel_s: f64) -> Self {
        Rules {
            teams,
            cancel_ms: (cancel_s * 1000.0) as u64,
            ..Rules::default()
        }
    }

    fn report(&mut self, breach: String, now: u64) {
        if self.listed.insert(breach.clone()) {
            self.broken.push(format!("{breach} at {now}"));
        }
    }

    /// All troubles are over from now on.
    pub fn troubles_over(&mut self, now: u64) {
        self.over_at = Some(now);
        self.unanswered.clear();
        self.waiting.clear();
    }

    /// A user asks; `request` is the number under which the answer will come.
    pub fn sent(&mut self, request: u64, question: Question, job: &str, now: u64) {
        match question {
            Question::Submit => {
                self.submitted.insert(job.to_string());
            }
            Question::Abort => {
                self.called_off.insert(job.to_string());
            }
            Question::Status => {}
        }
        let known = self.known.get(job).copied();
        let asked = Asked {
            question,
            job: job.to_string(),
            sent: now,
            known,
        };
        self.asked.insert(request, asked);
        if known.is_none() || self.over_at.is_none() {
            return;
        }
        let fresh = Unanswered {
            since: now,
            last: now,
        };
        let open = self.unanswered.entry(job.to_string()).or_insert(fresh);
        if now > open.last + ASKED_MS {
            open.since = now;
        }
        open.last = now;
        if now > open.since + FORGOTTEN_MS {
            self.report(format!("forgotten {job}: no answer"), now);
        }
    }

    /// A user is answered, perhaps too late to hear it. `before` are the jobs that this one needs.
    pub fn answered(
        &mut self,
        request: u64,
        status: u16,
        phase: Option<Phase>,
        (jobs, before): (&Jobs, &BTreeSet<String>),
        now: u64,
    ) {
        let Some(asked) = self.asked.remove(&request) else {
            return;
        };
        if now > asked.sent + asked.question.patience_ms() {
            return;
        }
        let job = asked.job.as_str();
        let refusal = matches!(status, 400 | 404 | 422);
        if refusal && asked.known.is_some() {
            self.report(format!("forgotten {job}: {status}"), now);
        }
        if status == 201 && asked.known.is_some() {
            self.report(format!("forgotten {job}: accepted anew"), now);
        }
        let (true, Some(phase)) = (matches!(status, 200 | 201), phase) else {
            return;
        };
        self.unanswered.remove(job);
        if !self.submitted.contains(job) && !jobs.contains_key(job) {
            self.report(format!("invented {job}"), now);
        }
        let stage = match phase {
            Phase::Queued | Phase::Running => Stage::Open,
            Phase::Done | Phase::Aborted => Stage::Over,
        };
        if asked.known > Some(stage) {
            let end = self.ends.get(job);
            self.report(format!("went_back {job}: {phase:?} after {end:?}"), now);
        }
        if asked.question == Question::Abort && stage == Stage::Open {
            self.report(format!("not_cancelled {job}: {phase:?}"), now);
        }
        if stage == Stage::Over {
            let first = *self.ends.entry(job.to_string()).or_insert(phase);
            if first != phase {
                self.report(format!("went_back {job}: {phase:?} and {first:?}"), now);
            }
        }
        match phase {
            Phase::Done => self.told_done(job, jobs, now),
            Phase::Aborted => {
                let mut all = before.iter().map(String::as_str).chain([job]);
                if !all.any(|id| self.called_off.contains(id)) {
                    self.report(format!("went_back {job}: cancelled by nobody"), now);
                }
                self.cancelled.entry(job.to_string()).or_insert(now);
            }
            Phase::Queued | Phase::Running => self.told_open(job, before, now),
        }
        let known = self.known.entry(job.to_string()).or_insert(stage);
        *known = stage.max(*known);
    }

    fn told_done(&mut self, job: &str, jobs: &Jobs, now: u64) {
        let tasks = jobs.get(job).map_or(0, |j| j.tasks);
        let open = (0..tasks).find(|n| !self.completed.contains(&format!("{job}/{n}")));
        if let Some(n) = open {
            self.report(format!("not_done {job}: task {n}"), now);
        }
    }

    /// A job behind one whose user was told long ago that it is cancelled must not be called open.
    fn told_open(&mut self, job: &str, before: &BTreeSet<String>, now: u64) {
        let long_ago = |id: &&String| {
            let told = self.cancelled.get(*id);
            told.is_some_and(|at| now > at + self.cancel_ms)
        };
        if let Some(need) = before.iter().find(long_ago) {
            self.report(format!("orphaned {job} behind {need}"), now);
        }
    }

    /// A user called a job off and was told so by somebody else than a node of this world.
    pub fn told_cancelled(&mut self, job: &str, now: u64) {
        self.called_off.insert(job.to_string());
        self.cancelled.entry(job.to_string()).or_insert(now);
    }

    /// When the user was first told that a job is cancelled.
    pub fn cancelled_at(&self, job: &str) -> Option<u64> {
        self.cancelled.get(job).copied()
    }

    /// Whether users know that a job is accepted.
    pub fn is_accepted(&self, job: &str) -> bool {
        self.known.contains_key(job)
    }

    /// Whether a job's user asked to cancel it.
    pub fn is_called_off(&self, job: &str) -> bool {
        self.called_off.contains(job)
    }

    /// The final phase that users were told.
    pub fn end(&self, job: &str) -> Option<Phase> {
        self.ends.get(job).copied()
    }

    /// A worker executed a start.
    pub fn started(&mut self, task: &str, attempt: u64, machine: &str, now: u64) {
        let told = self.cancelled.get(job_of(task));
        if let Some(at) = told.filter(|at| now > **at + CLEARLY_MS) {
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

    /// Looks at all tasks that are on machines now. `ended` tells whether a job is recorded as done.
    pub fn look(
        &mut self,
        placed: &[Placed<'_>],
        jobs: &Jobs,
        ended: impl Fn(&str) -> bool,
        now: u64,
    ) {
        let mut seen: BTreeMap<&str, &str> = BTreeMap::new();
        let mut used: BTreeMap<&str, (f64, f64)> = BTreeMap::new();
        for p in placed {
            let (task, id) = (p.task, job_of(p.task));
            if let Some(other) = seen.insert(task, p.machine) {
                self.report(
                    format!("ran_twice {task} on {other} and {}", p.machine),
                    now,
                );
            }
            let told = self.cancelled.get(id);
            if told.is_some_and(|at| now > at + self.cancel_ms) {
                let attempt = p.attempt;
                self.report(
                    format!("ran_cancelled {task} try {attempt} on {}", p.machine),
                    now,
                );
            }
            let Some(job) = jobs.get(id) else { continue };
            let sums = used.entry(&job.team).or_default();
            *sums = (sums.0 + job.cpus, sums.1 + job.gpus);
            for need in job.needs.iter().filter(|need| !ended(need)) {
                self.report(format!("too_early {task} before {need}"), now);
            }
        }
        let over = |sum: f64, max: f64| max > 0.0 && sum > max + 1e-6;
        let mut breaches = Vec::new();
        for team in &self.teams {
            let (cpus, gpus) = used.get(team.name.as_str()).copied().unwrap_or_default();
            if over(cpus, team.cpus_max) || over(gpus, team.gpus_max) {
                breaches.push(format!("quota {}: {cpus} cpus, {gpus} gpus", team.name));
            }
        }
        for breach in breaches {
            self.report(breach, now);
        }
        self.look_at_places(placed, jobs, now);
    }

    /// Where a task may be counts at its start, given where its job's other tasks are.
    fn look_at_places(&mut self, placed: &[Placed<'_>], jobs: &Jobs, now: u64) {
        let is_bound = |j: &Submission| {
            j.zone.is_some() || j.types.is_some() || !j.spot || j.one_zone || j.spread
        };
        let mut bound = BTreeSet::new();
        let mut by_job: BTreeMap<&str, Vec<&Placed<'_>>> = BTreeMap::new();
        for p in placed {
            let id = job_of(p.task);
            if jobs.get(id).is_some_and(is_bound) {
                bound.insert((p.task.to_string(), p.machine.to_string(), p.attempt));
                by_job.entry(id).or_default().push(p);
            }
        }
        let before = std::mem::replace(&mut self.bound, bound);
        let fresh: Vec<_> = self.bound.difference(&before).cloned().collect();
        for (task, machine, attempt) in fresh {
            let id = job_of(&task);
            let (Some(job), Some(all)) = (jobs.get(id), by_job.get(id)) else {
                continue;
            };
            let own =
                |p: &&&Placed<'_>| p.task == task && p.machine == machine && p.attempt == attempt;
            let Some(p) = all.iter().find(own) else {
                continue;
            };
            let there = all.iter().filter(|o| o.zone == p.zone).count() as u64;
            let wrong = [
                (job.zone.as_deref().is_some_and(|z| z != p.zone), "zone"),
                (
                    job.types
                        .as_ref()
                        .is_some_and(|t| !t.iter().any(|t| t == p.kind)),
                    "type",
                ),
                (!job.spot && p.spot, "kind"),
                (job.one_zone && there < all.len() as u64, "one zone"),
                (job.spread && there > job.tasks.div_ceil(2), "spread"),
            ];
            for (_, what) in wrong.iter().filter(|(wrong, _)| *wrong) {
                self.report(format!("wrong_place {task} on {machine}: {what}"), now);
            }
        }
    }

    /// Tells whether a job's only task waits at this moment although a machine has room for it and its team may use
    /// more. To be told regularly; counts once all troubles are over.
    pub fn waits_beside_room(&mut self, job: &str, waits: bool, now: u64) {
        if !waits || self.over_at.is_none() {
            self.waiting.remove(job);
            return;
        }
        let since = *self.waiting.entry(job.to_string()).or_insert(now);
        if now > since + WAITING_MS {
            self.report(format!("left_waiting {job} since {since}"), now);
        }
    }
}
