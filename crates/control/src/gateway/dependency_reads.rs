//! Reads of jobs that a job needs and of which nothing is known.

use super::job_cache::JobVersion;
use super::pending::{Operation, RecordKind, Stage};
use super::rejection::Rejection;
use super::Gateway;
use crate::effects::{Effects, NodeEvent};
use crate::requests::StateReply;
use wire::records::{JobOutcome, JobRecord};
use wire::state::Item;

impl Gateway {
    /// Reads a job that a request's job needs: the open record first, then the final one.
    pub(super) fn read_dependency(&mut self, number: u64, id: String, effects: &mut Effects) {
        let record = RecordKind::Open;
        self.advance(number, Stage::ReadingDependency { id, record }, effects);
    }

    /// A record of a needed job was read.
    pub(super) fn on_dependency_read(
        &mut self,
        number: u64,
        reply: StateReply,
        effects: &mut Effects,
    ) {
        let Some(pending) = self.pending.get(number) else {
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
                return self.advance(number, Stage::ReadingDependency { id, record }, effects);
            }
            (StateReply::Missing, RecordKind::Final) => {
                return self.on_dependency_absent(number, id, effects);
            }
            _ => Err(Rejection::StateUnreachable),
        };
        match read {
            Ok(()) => self.resume(number, effects),
            Err(why) => self.refuse(number, &why, effects),
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
                    // This node may answer so from now on.
                    effects.emit(NodeEvent::JobCancelled { job: id.clone() });
                }
                let observed =
                    JobVersion::new(item.version, record.aborted, &record.spec.dependencies);
                self.cache.remember_version(&id, observed);
            }
            RecordKind::Final => {
                let end: JobOutcome = read_record(&item)?;
                self.cache.remember_final(id, end);
            }
        }
        Ok(())
    }

    /// A needed job is neither open nor over: it was never accepted. A submission is refused for it, unless its own id
    /// turns out to be known.
    fn on_dependency_absent(&mut self, number: u64, needed: String, effects: &mut Effects) {
        let Some(pending) = self.pending.get_mut(number) else {
            return;
        };
        match &mut pending.operation {
            operation @ (Operation::Submit(_) | Operation::RejectedSubmit(_)) => {
                *operation = Operation::RejectedSubmit(Rejection::UnknownDependency(needed));
                self.advance(number, Stage::ReadingOpen, effects);
            }
            Operation::Status | Operation::Cancel => {
                let id = &pending.id;
                log::error!("event=needed_job_missing job={id} needs={needed}");
                self.refuse(number, &Rejection::DependencyMissing, effects);
            }
        }
    }

    /// Goes on with a request after a needed job was read.
    fn resume(&mut self, number: u64, effects: &mut Effects) {
        // A known id that is submitted again asks only for its state.
        let creates = self.pending.get(number).is_some_and(|pending| {
            matches!(pending.operation, Operation::Submit(_))
                && self.cache.known_version(&pending.id).is_none()
        });
        if creates {
            self.continue_submission(number, effects)
        } else {
            self.start_validation(number, effects)
        }
    }
}

fn read_record<T: serde::de::DeserializeOwned>(item: &Item) -> Result<T, Rejection> {
    item.value
        .deserialized()
        .map_err(|_| Rejection::UnreadableRecord)
}
