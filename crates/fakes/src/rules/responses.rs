//! Checks of the responses to user requests.

use super::{JobsByName, PendingRequest, RequestKind, RuleChecker, Stage};
use std::collections::BTreeSet;
use wire::users::Phase;

/// Milliseconds of repeated requests without an answer after which a job counts as forgotten.
const MAX_UNANSWERED_MS: u64 = 75_000;
/// Gap in milliseconds between two requests about a job that restarts the measurement of [`MAX_UNANSWERED_MS`].
const MAX_REQUEST_GAP_MS: u64 = 10_000;

/// Period of requests about a job without an answer.
pub(super) struct UnansweredPeriod {
    /// Time of the first request.
    since: u64,
    /// Time of the latest request.
    last_request_at: u64,
}

impl RuleChecker {
    /// Records a user request. `request_id` identifies its response in [`RuleChecker::response_received`].
    pub fn request_sent(&mut self, request_id: u64, kind: RequestKind, job: &str, now: u64) {
        match kind {
            RequestKind::Submit => {
                self.submitted.insert(job.to_string());
            }
            RequestKind::Abort => {
                self.cancel_requested.insert(job.to_string());
            }
            RequestKind::Status => {}
        }
        let known = self.known_stages.get(job).copied();
        let pending = PendingRequest {
            kind,
            job: job.to_string(),
            sent_at: now,
            known,
        };
        self.pending.insert(request_id, pending);
        if known.is_some() && self.faults_ended_at.is_some() {
            self.observe_unanswered(job, now);
        }
    }

    /// Records a request about a known job, and reports a violation if requests have gone unanswered for too long.
    fn observe_unanswered(&mut self, job: &str, now: u64) {
        let new_period = UnansweredPeriod {
            since: now,
            last_request_at: now,
        };
        let period = self.unanswered.entry(job.to_string()).or_insert(new_period);
        if now > period.last_request_at + MAX_REQUEST_GAP_MS {
            period.since = now;
        }
        period.last_request_at = now;
        if now > period.since + MAX_UNANSWERED_MS {
            self.report_violation(format!("forgotten {job}: no answer"), now);
        }
    }

    /// Checks a response to a user. Responses after the user's timeout are ignored. `dependencies` are the jobs on
    /// which this one depends, directly or transitively.
    pub fn response_received(
        &mut self,
        request_id: u64,
        status: u16,
        phase: Option<Phase>,
        (jobs, dependencies): (&JobsByName, &BTreeSet<String>),
        now: u64,
    ) {
        let Some(request) = self.pending.remove(&request_id) else {
            return;
        };
        if now > request.sent_at + request.kind.timeout_ms() {
            return;
        }
        let job = request.job.as_str();
        self.check_status(&request, status, now);
        let (true, Some(phase)) = (matches!(status, 200 | 201), phase) else {
            return;
        };
        self.unanswered.remove(job);
        if !self.submitted.contains(job) && !jobs.contains_key(job) {
            self.report_violation(format!("invented {job}"), now);
        }
        let stage = stage_of(phase);
        self.check_stage(&request, phase, now);
        match phase {
            Phase::Done => self.check_done(job, jobs, now),
            Phase::Aborted => self.check_aborted(job, dependencies, now),
            Phase::Queued | Phase::Running => self.check_open(job, dependencies, now),
        }
        let known = self.known_stages.entry(job.to_string()).or_insert(stage);
        *known = stage.max(*known);
    }

    /// A job may be reported as done only after all its tasks have completed.
    fn check_done(&mut self, job: &str, jobs: &JobsByName, now: u64) {
        let tasks = jobs.get(job).map_or(0, |job| job.tasks);
        let incomplete = (0..tasks).find(|n| !self.completed.contains(&format!("{job}/{n}")));
        if let Some(n) = incomplete {
            self.report_violation(format!("not_done {job}: task {n}"), now);
        }
    }

    /// A job must not be reported as open once the cancellation of a dependency was confirmed longer ago than a
    /// cancellation may take.
    fn check_open(&mut self, job: &str, dependencies: &BTreeSet<String>, now: u64) {
        let is_overdue = |id: &&String| {
            let confirmed = self.cancelled.get(*id);
            confirmed.is_some_and(|at| now > at + self.cancel_ms)
        };
        if let Some(need) = dependencies.iter().find(is_overdue) {
            self.report_violation(format!("orphaned {job} behind {need}"), now);
        }
    }

    /// A job known to be accepted must not be rejected, unknown or accepted as new.
    fn check_status(&mut self, request: &PendingRequest, status: u16, now: u64) {
        if request.known.is_none() {
            return;
        }
        let job = request.job.as_str();
        match status {
            400 | 404 | 422 => self.report_violation(format!("forgotten {job}: {status}"), now),
            201 => self.report_violation(format!("forgotten {job}: accepted anew"), now),
            _ => {}
        }
    }

    /// A job must not return from a final phase that users knew when they sent the request, a final phase must not
    /// change, and an accepted cancellation must report a final phase.
    fn check_stage(&mut self, request: &PendingRequest, phase: Phase, now: u64) {
        let (job, stage) = (request.job.as_str(), stage_of(phase));
        if request.known > Some(stage) {
            let end = self.final_phases.get(job);
            self.report_violation(format!("went_back {job}: {phase:?} after {end:?}"), now);
        }
        if request.kind == RequestKind::Abort && stage == Stage::Open {
            self.report_violation(format!("not_cancelled {job}: {phase:?}"), now);
        }
        if stage == Stage::Final {
            let first = *self.final_phases.entry(job.to_string()).or_insert(phase);
            if first != phase {
                self.report_violation(format!("went_back {job}: {phase:?} and {first:?}"), now);
            }
        }
    }

    /// A job may be reported as cancelled only if a user requested the cancellation of the job or of a dependency.
    fn check_aborted(&mut self, job: &str, dependencies: &BTreeSet<String>, now: u64) {
        let mut all = dependencies.iter().map(String::as_str).chain([job]);
        if !all.any(|id| self.cancel_requested.contains(id)) {
            self.report_violation(format!("went_back {job}: cancelled by nobody"), now);
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
