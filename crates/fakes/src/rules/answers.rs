//! What users ask and are answered.

use super::{Jobs, PendingQuestion, Question, Rules, Stage};
use std::collections::BTreeSet;
use wire::users::Phase;

/// Milliseconds without an answer after which a job counts as forgotten.
const FORGOTTEN_MS: u64 = 75_000;
/// Milliseconds between two questions beyond which they do not count as asked continually.
const CONTINUAL_MS: u64 = 10_000;

/// Questions about a job since the last answer.
pub(super) struct Unanswered {
    since: u64,
    last: u64,
}

impl Rules {
    /// A user asks. `request` is the number by which the answer will be identified.
    pub fn sent(&mut self, request: u64, question: Question, job: &str, now: u64) {
        match question {
            Question::Submit => {
                self.submitted.insert(job.to_string());
            }
            Question::Abort => {
                self.cancel_requested.insert(job.to_string());
            }
            Question::Status => {}
        }
        let known = self.known.get(job).copied();
        let asked = PendingQuestion {
            question,
            job: job.to_string(),
            sent: now,
            known,
        };
        self.pending.insert(request, asked);
        if known.is_some() && self.healed_at.is_some() {
            self.note_unanswered(job, now);
        }
    }

    /// Notes a question about a known job, and whether its users have asked in vain for too long.
    fn note_unanswered(&mut self, job: &str, now: u64) {
        let fresh = Unanswered {
            since: now,
            last: now,
        };
        let open = self.unanswered.entry(job.to_string()).or_insert(fresh);
        if now > open.last + CONTINUAL_MS {
            open.since = now;
        }
        open.last = now;
        if now > open.since + FORGOTTEN_MS {
            self.report(format!("forgotten {job}: no answer"), now);
        }
    }

    /// A user is answered. An answer after the user's timeout is ignored. `dependencies` are the jobs that this one
    /// needs.
    pub fn answered(
        &mut self,
        request: u64,
        status: u16,
        phase: Option<Phase>,
        (jobs, dependencies): (&Jobs, &BTreeSet<String>),
        now: u64,
    ) {
        let Some(asked) = self.pending.remove(&request) else {
            return;
        };
        if now > asked.sent + asked.question.timeout_ms() {
            return;
        }
        let job = asked.job.as_str();
        self.check_status(&asked, status, now);
        let (true, Some(phase)) = (matches!(status, 200 | 201), phase) else {
            return;
        };
        self.unanswered.remove(job);
        if !self.submitted.contains(job) && !jobs.contains_key(job) {
            self.report(format!("invented {job}"), now);
        }
        let stage = stage_of(phase);
        self.check_stage(&asked, phase, now);
        match phase {
            Phase::Done => self.check_done(job, jobs, now),
            Phase::Aborted => self.check_aborted(job, dependencies, now),
            Phase::Queued | Phase::Running => self.check_open(job, dependencies, now),
        }
        let known = self.known.entry(job.to_string()).or_insert(stage);
        *known = stage.max(*known);
    }

    /// A job may be answered as done only once all its tasks have completed.
    fn check_done(&mut self, job: &str, jobs: &Jobs, now: u64) {
        let tasks = jobs.get(job).map_or(0, |job| job.tasks);
        let open = (0..tasks).find(|n| !self.completed.contains(&format!("{job}/{n}")));
        if let Some(n) = open {
            self.report(format!("not_done {job}: task {n}"), now);
        }
    }

    /// A job must not be answered as open once the cancellation of a dependency was confirmed long ago.
    fn check_open(&mut self, job: &str, dependencies: &BTreeSet<String>, now: u64) {
        let long_ago = |id: &&String| {
            let confirmed = self.cancelled.get(*id);
            confirmed.is_some_and(|at| now > at + self.cancel_ms)
        };
        if let Some(need) = dependencies.iter().find(long_ago) {
            self.report(format!("orphaned {job} behind {need}"), now);
        }
    }

    /// A known job must neither be refused nor be accepted again.
    fn check_status(&mut self, asked: &PendingQuestion, status: u16, now: u64) {
        if asked.known.is_none() {
            return;
        }
        let job = asked.job.as_str();
        match status {
            400 | 404 | 422 => self.report(format!("forgotten {job}: {status}"), now),
            201 => self.report(format!("forgotten {job}: accepted anew"), now),
            _ => {}
        }
    }

    /// A job never becomes less final than users know, a final phase never changes, and an accepted cancellation is
    /// final.
    fn check_stage(&mut self, asked: &PendingQuestion, phase: Phase, now: u64) {
        let (job, stage) = (asked.job.as_str(), stage_of(phase));
        if asked.known > Some(stage) {
            let end = self.ends.get(job);
            self.report(format!("went_back {job}: {phase:?} after {end:?}"), now);
        }
        if asked.question == Question::Abort && stage == Stage::Open {
            self.report(format!("not_cancelled {job}: {phase:?}"), now);
        }
        if stage == Stage::Final {
            let first = *self.ends.entry(job.to_string()).or_insert(phase);
            if first != phase {
                self.report(format!("went_back {job}: {phase:?} and {first:?}"), now);
            }
        }
    }

    /// A job may be answered as cancelled only if a user asked to cancel it or a dependency.
    fn check_aborted(&mut self, job: &str, dependencies: &BTreeSet<String>, now: u64) {
        let mut all = dependencies.iter().map(String::as_str).chain([job]);
        if !all.any(|id| self.cancel_requested.contains(id)) {
            self.report(format!("went_back {job}: cancelled by nobody"), now);
        }
        self.cancelled.entry(job.to_string()).or_insert(now);
    }
}

fn stage_of(phase: Phase) -> Stage {
    match phase {
        Phase::Queued | Phase::Running => Stage::Open,
        Phase::Done | Phase::Aborted => Stage::Final,
    }
}
