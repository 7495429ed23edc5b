//! Sends what a pending request's stage needs, and refuses pending requests.

use super::compares::{absent, read_only_txn, unchanged};
use super::pending::{Operation, PendingRequest, RecordKind, Stage};
use super::rejection::Rejection;
use super::Gateway;
use crate::effects::Effects;
use crate::requests::{Priority, StateOp, StateTag};
use wire::records::{final_record_key, job_key};
use wire::state::Txn;

impl Gateway {
    /// Moves a pending request to a stage and sends what that needs.
    pub(super) fn advance(&mut self, number: u64, stage: Stage, effects: &mut Effects) {
        if let Some(pending) = self.pending.get_mut(number) {
            pending.stage = stage;
        }
        self.send(number, effects);
    }

    /// Sends what a pending request's stage needs.
    pub(super) fn send(&mut self, number: u64, effects: &mut Effects) {
        let Some(pending) = self.pending.get(number) else {
            return;
        };
        let op = match self.state_op(pending, effects.now.unix) {
            Ok(op) => op,
            Err(why) => return self.refuse(number, &why, effects),
        };
        let priority = match (&op, pending.operation.is_change()) {
            (StateOp::Txn(_), _) => Priority::Change,
            (_, true) => Priority::ChangeRead,
            (_, false) => Priority::Question,
        };
        effects.request_state(priority, op, StateTag::User(number));
    }

    /// The request to the state service for a stage.
    fn state_op(&self, pending: &PendingRequest, now_unix: u64) -> Result<StateOp, Rejection> {
        let unvalidated = || unchanged(pending.unvalidated.iter().flatten());
        let op = match (&pending.stage, &pending.operation) {
            (Stage::Creating, Operation::Submit(spec)) => StateOp::Txn(Txn {
                writes: self.records.creation_writes(spec, now_unix)?,
                compares: absent(&pending.id)
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
            (Stage::ReadingFinal, _) => StateOp::Get(final_record_key(&pending.id)),
            _ => StateOp::Get(job_key(&pending.id)),
        };
        Ok(op)
    }

    /// Refuses a pending request, unless it has been answered.
    pub(super) fn refuse(&mut self, number: u64, why: &Rejection, effects: &mut Effects) {
        if let Some(pending) = self.pending.close(number) {
            effects.refuse(pending.request, why.status(), &why.to_string());
        }
    }
}
