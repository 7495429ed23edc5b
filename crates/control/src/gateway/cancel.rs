//! Cancellations: the mark is written into the open record that was read before.

use super::job_cache::JobVersion;
use super::pending::Stage;
use super::Gateway;
use crate::effects::{Effects, NodeEvent};
use crate::requests::{Priority, StateOp, StateTag};
use wire::records::{job_key, JobRecord};
use wire::state::{Compare, Txn, Write};
use wire::users::Phase;

impl Gateway {
    /// Sends the transaction that cancels a job whose open record has been read at this version.
    pub(super) fn send_cancellation(
        &mut self,
        number: u64,
        record: JobRecord,
        version: u64,
        effects: &mut Effects,
    ) {
        let Some(pending) = self.pending.get_mut(number) else {
            return;
        };
        pending.stage = Stage::Cancelling;
        let key = job_key(&pending.id);
        let txn = Txn {
            compares: vec![Compare::new(key.clone(), version)],
            writes: vec![Write::put(key, &self.records.cancelled(record))],
        };
        let tag = StateTag::User(number);
        effects.request_state(Priority::Change, StateOp::Txn(txn), tag);
    }

    /// A cancellation is recorded.
    pub(super) fn on_cancelled(&mut self, number: u64, version: u64, effects: &mut Effects) {
        let Some(pending) = self.pending.close(number) else {
            return;
        };
        log::info!("event=job_aborted job={}", pending.id);
        self.cache
            .remember_version(&pending.id, JobVersion::released(version, true));
        effects.emit(NodeEvent::JobCancelled {
            job: pending.id.clone(),
        });
        self.answer_phase(pending.request, &pending.id, Phase::Aborted, effects);
    }
}
