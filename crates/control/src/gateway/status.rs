//! Answers about jobs that exist, and about ids that no job has.

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
    /// The open record of a request's job was read.
    pub(super) fn on_open_record(
        &mut self,
        number: u64,
        record: JobRecord,
        version: u64,
        effects: &mut Effects,
    ) {
        let Some(pending) = self.pending.get(number) else {
            return;
        };
        let cancelled = record.aborted;
        if matches!(pending.operation, Operation::Cancel) && !cancelled {
            return self.send_cancellation(number, record, version, effects);
        }
        let observed = JobVersion::new(version, cancelled, &record.spec.dependencies);
        self.cache.remember_version(&pending.id, observed);
        let known = self.cache.known_version(&pending.id);
        let needs_others = known.is_some_and(|known| !known.is_released());
        if needs_others && !cancelled {
            // Whether a job before it is cancelled is not known yet.
            return self.start_validation(number, effects);
        }
        let Some(pending) = self.pending.close(number) else {
            return;
        };
        if cancelled {
            // Perhaps by a transaction of ours whose answer was lost, or of a node that crashed since.
            effects.emit(NodeEvent::JobCancelled {
                job: pending.id.clone(),
            });
        }
        self.answer_open(pending.request, &pending.id, cancelled, effects);
    }

    /// The final record of a request's job was read.
    pub(super) fn on_final_record(&mut self, number: u64, end: JobOutcome, effects: &mut Effects) {
        if let Some(pending) = self.pending.close(number) {
            self.answer_final(pending.request, &pending.id, end, effects);
            self.cache.remember_final(pending.id, end);
        }
    }

    /// Neither record of a request's job exists.
    pub(super) fn on_absent(&mut self, number: u64, effects: &mut Effects) {
        let Some(pending) = self.pending.get(number) else {
            return;
        };
        match &pending.operation {
            Operation::RejectedSubmit(why) => {
                let why = why.clone();
                log::info!(
                    "event=job_refused job={} status={} why={:?}",
                    pending.id,
                    why.status(),
                    why.to_string()
                );
                self.refuse(number, &why, effects);
            }
            // The creation may still be on its way; a retry finds out.
            Operation::Submit(_) => self.refuse(number, &Rejection::NotRecordedYet, effects),
            // It has become known since the first of the two reads was sent.
            Operation::Status | Operation::Cancel if self.cache.is_known(&pending.id) => {
                self.advance(number, Stage::ReadingOpen, effects);
            }
            Operation::Status | Operation::Cancel => {
                self.refuse(number, &Rejection::NoSuchJob, effects);
            }
        }
    }

    /// Answers about a job that was found open. An end that has become known while the request was in flight takes
    /// precedence: another node may have answered with it already.
    pub(super) fn answer_open(
        &self,
        request: RequestId,
        id: &str,
        cancelled: bool,
        effects: &mut Effects,
    ) {
        if let Some(end) = self.cache.known_final(id) {
            return self.answer_final(request, id, end, effects);
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

    /// Answers about a job whose end is known.
    pub(super) fn answer_final(
        &self,
        request: RequestId,
        id: &str,
        end: JobOutcome,
        effects: &mut Effects,
    ) {
        let phase = match end {
            JobOutcome::Done => Phase::Done,
            JobOutcome::Aborted => Phase::Aborted,
        };
        self.answer_phase(request, id, phase, effects);
    }

    /// Answers with a job's phase, without counts.
    pub(super) fn answer_phase(
        &self,
        request: RequestId,
        id: &str,
        phase: Phase,
        effects: &mut Effects,
    ) {
        effects.respond(request, OK, status_body(id, phase, None));
    }

    /// Answers that a submission has created its job.
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
