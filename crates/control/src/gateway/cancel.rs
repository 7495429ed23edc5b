//! Cancellations: a cancellation marks the job's open record, which has been read before, as aborted.

use super::job_cache::JobVersion;
use super::pending::Stage;
use super::Gateway;
use crate::effects::{Effects, NodeEvent};
use crate::requests::{Priority, StateOp, StateTag};
use wire::records::{job_key, JobRecord};
use wire::state::{Compare, Txn, Write};
use wire::users::Phase;

impl Gateway {
    /// Sends the transaction that cancels a job, on condition that its open record still has the version that was read.
    pub(super) fn send_cancellation(
        &mut self,
        pending_id: u64,
        record: JobRecord,
        version: u64,
        effects: &mut Effects,
    ) {
        let Some(pending) = self.pending.get_mut(pending_id) else {
            return;
        };
        pending.stage = Stage::Cancelling;
        let key = job_key(&pending.job_id);
        let txn = Txn {
            compares: vec![Compare::new(key.clone(), version)],
            writes: vec![Write::put(key, &self.records.with_cancellation(record))],
        };
        let tag = StateTag::User(pending_id);
        effects.request_state(Priority::Change, StateOp::Txn(txn), tag);
    }

    /// Handles the commit of a cancellation: answers the user and reports the cancellation to the node.
    pub(super) fn on_cancelled(&mut self, pending_id: u64, version: u64, effects: &mut Effects) {
        let Some(pending) = self.pending.remove(pending_id) else {
            return;
        };
        log::info!("event=job_aborted job={}", pending.job_id);
        self.cache
            .remember_version(&pending.job_id, JobVersion::released(version, true));
        effects.emit(NodeEvent::JobCancelled {
            job: pending.job_id.clone(),
        });
        self.answer_phase(pending.request, &pending.job_id, Phase::Aborted, effects);
    }
}
