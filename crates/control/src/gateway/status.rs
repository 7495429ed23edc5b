//! Answers about existing jobs and about IDs that no job has.

use super::job_cache::{JobVersion, TaskCounts};
use super::pending::{Operation, Stage};
use super::rejection::Rejection;
use super::Gateway;
use crate::effects::{Effects, NodeEvent, RequestId};
use wire::records::{JobOutcome, JobRecord};
use wire::users::{JobStatus, Phase};

const OK: u16 = 200;
const CREATED: u16 = 201;

impl Gateway {
    /// Handles the open record of a request's job.
    pub(super) fn on_open_record(
        &mut self,
        pending_id: u64,
        record: JobRecord,
        version: u64,
        effects: &mut Effects,
    ) {
        let Some(pending) = self.pending.get(pending_id) else {
            return;
        };
        let cancelled = record.aborted;
        if matches!(pending.operation, Operation::Cancel) && !cancelled {
            return self.send_cancellation(pending_id, record, version, effects);
        }
        let observed = JobVersion::new(version, cancelled, &record.spec.dependencies);
        self.cache.remember_version(&pending.job_id, observed);
        let known = self.cache.known_version(&pending.job_id);
        let has_dependencies = known.is_some_and(|known| !known.is_released());
        if has_dependencies && !cancelled {
            // It is not known yet whether a dependency is cancelled.
            return self.start_validation(pending_id, effects);
        }
        let Some(pending) = self.pending.remove(pending_id) else {
            return;
        };
        if cancelled {
            // The cancellation may be that of a transaction of this node whose reply was lost, or of a node that has
            // crashed since.
            effects.emit(NodeEvent::JobCancelled {
                job: pending.job_id.clone(),
            });
        }
        self.answer_open(pending.request, &pending.job_id, cancelled, effects);
    }

    /// Handles the final record of a request's job.
    pub(super) fn on_final_record(
        &mut self,
        pending_id: u64,
        outcome: JobOutcome,
        effects: &mut Effects,
    ) {
        if let Some(pending) = self.pending.remove(pending_id) {
            self.answer_final(pending.request, &pending.job_id, outcome, effects);
            self.cache.remember_outcome(pending.job_id, outcome);
        }
    }

    /// Handles a job ID for which neither record exists.
    pub(super) fn on_absent(&mut self, pending_id: u64, effects: &mut Effects) {
        let Some(pending) = self.pending.get(pending_id) else {
            return;
        };
        match &pending.operation {
            Operation::RejectedSubmit(rejection) => {
                let rejection = rejection.clone();
                log::info!(
                    "event=job_refused job={} status={} why={:?}",
                    pending.job_id,
                    rejection.status(),
                    rejection.to_string()
                );
                self.refuse(pending_id, &rejection, effects);
            }
            // A submission that is impossible by old machine types is refused for now, and so is one whose creating
            // transaction may still be executed. The user's retry shows the result.
            Operation::ImpossibleSubmit(_) => {
                self.refuse(pending_id, &Rejection::Unconfirmed, effects);
            }
            Operation::Submit(_) => self.refuse(pending_id, &Rejection::NotRecordedYet, effects),
            // The job became known after the first of the two reads was sent.
            Operation::Status | Operation::Cancel if self.cache.is_known(&pending.job_id) => {
                self.advance(pending_id, Stage::ReadingOpen, effects);
            }
            Operation::Status | Operation::Cancel => {
                self.refuse(pending_id, &Rejection::NoSuchJob, effects);
            }
        }
    }

    /// Answers about a job whose open record was found. An outcome that became known while the request was in flight
    /// takes precedence, since another node may already have answered with it.
    pub(super) fn answer_open(
        &self,
        request: RequestId,
        id: &str,
        cancelled: bool,
        effects: &mut Effects,
    ) {
        if let Some(outcome) = self.cache.known_outcome(id) {
            return self.answer_final(request, id, outcome, effects);
        }
        if cancelled {
            return self.answer_phase(request, id, Phase::Aborted, effects);
        }
        let counts = self.cache.task_counts(id);
        let phase = if counts.running > 0 {
            Phase::Running
        } else {
            Phase::Queued
        };
        effects.respond(request, OK, status_body(id, phase, Some(counts)));
    }

    /// Answers with the known outcome of a job.
    pub(super) fn answer_final(
        &self,
        request: RequestId,
        id: &str,
        outcome: JobOutcome,
        effects: &mut Effects,
    ) {
        let phase = match outcome {
            JobOutcome::Done => Phase::Done,
            JobOutcome::Aborted => Phase::Aborted,
        };
        self.answer_phase(request, id, phase, effects);
    }

    /// Answers with a job's phase, without task counts.
    pub(super) fn answer_phase(
        &self,
        request: RequestId,
        id: &str,
        phase: Phase,
        effects: &mut Effects,
    ) {
        effects.respond(request, OK, status_body(id, phase, None));
    }

    /// Answers that a submission has created a job.
    pub(super) fn answer_created(
        &self,
        request: RequestId,
        id: &str,
        phase: Phase,
        effects: &mut Effects,
    ) {
        effects.respond(request, CREATED, status_body(id, phase, None));
    }
}

fn status_body(id: &str, phase: Phase, counts: Option<TaskCounts>) -> Vec<u8> {
    wire::encode(&JobStatus {
        id: id.to_string(),
        phase,
        done: counts.map(|counts| u64::from(counts.done)),
        running: counts.map(|counts| u64::from(counts.running)),
    })
}
