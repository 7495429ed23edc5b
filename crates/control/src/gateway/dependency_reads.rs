//! Reads of jobs on which a job depends and that are not in the cache.

use super::job_cache::JobVersion;
use super::pending::{Operation, RecordKind, Stage};
use super::rejection::Rejection;
use super::Gateway;
use crate::effects::{Effects, NodeEvent};
use crate::requests::StateReply;
use wire::records::{JobOutcome, JobRecord};
use wire::state::Item;

impl Gateway {
    /// Reads a job on which a request's job depends: first the open record, then the final record.
    pub(super) fn read_dependency(&mut self, pending_id: u64, id: String, effects: &mut Effects) {
        let record = RecordKind::Open;
        self.advance(pending_id, Stage::ReadingDependency { id, record }, effects);
    }

    /// Handles the reply to a read of a dependency's record.
    pub(super) fn on_dependency_read(
        &mut self,
        pending_id: u64,
        reply: StateReply,
        effects: &mut Effects,
    ) {
        let Some(pending) = self.pending.get(pending_id) else {
            return;
        };
        let Stage::ReadingDependency { id, record } = &pending.stage else {
            return;
        };
        let (id, record) = (id.clone(), *record);
        let read = match (reply, record) {
            (StateReply::Item(item), _) => self.remember_dependency(id, record, item, effects),
            (StateReply::Missing, RecordKind::Open) => {
                let record = RecordKind::Final;
                return self.advance(pending_id, Stage::ReadingDependency { id, record }, effects);
            }
            (StateReply::Missing, RecordKind::Final) => {
                return self.on_dependency_absent(pending_id, id, effects);
            }
            _ => Err(Rejection::StateUnreachable),
        };
        match read {
            Ok(()) => self.resume(pending_id, effects),
            Err(rejection) => self.refuse(pending_id, &rejection, effects),
        }
    }

    fn remember_dependency(
        &mut self,
        id: String,
        record: RecordKind,
        item: Item,
        effects: &mut Effects,
    ) -> Result<(), Rejection> {
        match record {
            RecordKind::Open => {
                let record: JobRecord = read_record(&item)?;
                if record.aborted {
                    // From now on this node may answer that the job is cancelled.
                    effects.emit(NodeEvent::JobCancelled { job: id.clone() });
                }
                let observed =
                    JobVersion::new(item.version, record.aborted, &record.spec.dependencies);
                self.cache.remember_version(&id, observed);
            }
            RecordKind::Final => {
                let outcome: JobOutcome = read_record(&item)?;
                self.cache.remember_outcome(id, outcome);
            }
        }
        Ok(())
    }

    /// Handles a dependency that is neither open nor ended, so that it was never accepted. A submission is refused for
    /// that reason, unless a job with its own ID exists.
    fn on_dependency_absent(&mut self, pending_id: u64, dependency: String, effects: &mut Effects) {
        let Some(pending) = self.pending.get_mut(pending_id) else {
            return;
        };
        match &mut pending.operation {
            operation @ (Operation::Submit(_)
            | Operation::RejectedSubmit(_)
            | Operation::ImpossibleSubmit(_)) => {
                *operation = Operation::RejectedSubmit(Rejection::UnknownDependency(dependency));
                self.advance(pending_id, Stage::ReadingOpen, effects);
            }
            Operation::Status | Operation::Cancel => {
                let id = &pending.job_id;
                log::error!("event=needed_job_missing job={id} needs={dependency}");
                self.refuse(pending_id, &Rejection::DependencyMissing, effects);
            }
        }
    }

    /// Resumes a request after a dependency was read.
    fn resume(&mut self, pending_id: u64, effects: &mut Effects) {
        // The repeated submission of a known ID only queries the job's state.
        let creates = self.pending.get(pending_id).is_some_and(|pending| {
            matches!(pending.operation, Operation::Submit(_))
                && self.cache.known_version(&pending.job_id).is_none()
        });
        if creates {
            self.continue_submission(pending_id, effects)
        } else {
            self.start_validation(pending_id, effects)
        }
    }
}

fn read_record<T: serde::de::DeserializeOwned>(item: &Item) -> Result<T, Rejection> {
    item.value
        .deserialized()
        .map_err(|_| Rejection::UnreadableRecord)
}
