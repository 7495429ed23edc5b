//! Jobs that can never run, according to the settings or the machine types.
//!
//! A refusal is final: the user does not retry. So it may not rest on machine types that are out of date. The leader
//! decides, since it lists the types itself and places the tasks by them; if it has not listed them recently, the
//! submission waits for a listing.

use super::intake::NodeStatus;
use super::pending::{Operation, PendingRequest};
use super::Gateway;
use crate::effects::Effects;
use wire::cloud::MachineType;

impl Gateway {
    /// Whether only the leader can decide a submission. A job that this node knows exists, so it will not be refused.
    pub(super) fn needs_leader(
        &self,
        operation: &Operation,
        job_id: &str,
        node: NodeStatus,
    ) -> bool {
        let is_refusal = match operation {
            Operation::ImpossibleSubmit(_) => true,
            Operation::RejectedSubmit(rejection) => rejection.is_impossible_job(),
            Operation::Submit(_) | Operation::Status | Operation::Cancel => false,
        };
        is_refusal && !node.is_leader && !self.cache.is_known(job_id)
    }

    /// Handles the machine types that the cloud has just listed, and decides the submissions that waited for them.
    pub fn on_machine_types_listed(&mut self, types: Vec<MachineType>, effects: &mut Effects) {
        let now = effects.now.mono;
        self.admission.set_listed_types(types, now);
        for pending_id in self.pending.awaiting_machine_types() {
            self.decide_again(pending_id, now);
            self.start(pending_id, effects);
        }
    }

    /// Checks a submission against the machine types as they are known now.
    fn decide_again(&mut self, pending_id: u64, now: u64) {
        let Some(PendingRequest {
            operation: Operation::ImpossibleSubmit(spec),
            job_id,
            ..
        }) = self.pending.get(pending_id)
        else {
            return;
        };
        let operation = self.submit_operation((**spec).clone(), now);
        let stage = self.first_stage(&operation, job_id);
        if let Some(pending) = self.pending.get_mut(pending_id) {
            pending.operation = operation;
            pending.stage = stage;
        }
    }
}
