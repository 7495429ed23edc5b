//! Sends the state service request of a pending request's stage, and refuses pending requests.

use super::compares::{absence_compares, read_only_txn, version_compares};
use super::pending::{Operation, PendingRequest, RecordKind, Stage};
use super::rejection::Rejection;
use super::Gateway;
use crate::effects::Effects;
use crate::requests::{Priority, StateOp, StateTag};
use wire::records::{final_record_key, job_key};
use wire::state::Txn;

impl Gateway {
    /// Moves a pending request to a stage and sends the stage's request.
    pub(super) fn advance(&mut self, pending_id: u64, stage: Stage, effects: &mut Effects) {
        if let Some(pending) = self.pending.get_mut(pending_id) {
            pending.stage = stage;
        }
        self.send(pending_id, effects);
    }

    /// Sends the state service request of a pending request's stage.
    pub(super) fn send(&mut self, pending_id: u64, effects: &mut Effects) {
        let Some(pending) = self.pending.get(pending_id) else {
            return;
        };
        let op = match self.state_op(pending, effects.now.unix) {
            Ok(op) => op,
            Err(rejection) => return self.refuse(pending_id, &rejection, effects),
        };
        let priority = match (&op, pending.operation.is_change()) {
            (StateOp::Txn(_), _) => Priority::Change,
            (_, true) => Priority::ChangeRead,
            (_, false) => Priority::StatusQuery,
        };
        effects.request_state(priority, op, StateTag::User(pending_id));
    }

    /// The state service request of a pending request's stage.
    fn state_op(&self, pending: &PendingRequest, now_unix: u64) -> Result<StateOp, Rejection> {
        let unvalidated = || version_compares(pending.unvalidated.iter().flatten());
        let op = match (&pending.stage, &pending.operation) {
            (Stage::Creating, Operation::Submit(spec)) => StateOp::Txn(Txn {
                writes: self.records.creation_writes(spec, now_unix)?,
                compares: absence_compares(&pending.job_id)
                    .into_iter()
                    .chain(unvalidated())
                    .collect(),
            }),
            (Stage::ValidatingDependencies, _) => {
                read_only_txn(unvalidated().take(self.max_compares))
            }
            (Stage::ReadingDependency { id, record }, _) => StateOp::Get(match record {
                RecordKind::Open => job_key(id),
                RecordKind::Final => final_record_key(id),
            }),
            (Stage::ReadingFinal, _) => StateOp::Get(final_record_key(&pending.job_id)),
            _ => StateOp::Get(job_key(&pending.job_id)),
        };
        Ok(op)
    }

    /// Refuses a pending request unless it has already been answered.
    pub(super) fn refuse(&mut self, pending_id: u64, rejection: &Rejection, effects: &mut Effects) {
        if let Some(pending) = self.pending.remove(pending_id) {
            effects.refuse(pending.request, rejection.status(), &rejection.to_string());
        }
    }
}
