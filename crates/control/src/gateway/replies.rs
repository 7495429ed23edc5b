//! Routes the state service's replies to pending requests according to their stage.

use super::pending::{Operation, Stage};
use super::rejection::Rejection;
use super::Gateway;
use crate::effects::{Effects, NodeEvent};
use crate::requests::StateReply;
use wire::records::{final_record_key, job_key, JobOutcome, JobRecord};

impl Gateway {
    /// Handles the reply to a request to the state service that was sent for a single pending request.
    pub fn on_reply(&mut self, pending_id: u64, reply: StateReply, effects: &mut Effects) {
        let Some(pending) = self.pending.get(pending_id) else {
            return;
        };
        let past_deadline = pending.is_past_deadline(effects.now.mono);
        match (&pending.stage, reply) {
            // Committed changes are answered even after the deadline.
            (Stage::Creating, StateReply::Committed { version }) => {
                self.on_created(pending_id, version, effects);
            }
            (Stage::Cancelling, StateReply::Committed { version }) => {
                self.on_cancelled(pending_id, version, effects);
            }
            (_, StateReply::Refused) => self.on_state_refused(pending_id, effects),
            (_, StateReply::Invalid) => self.on_state_invalid(pending_id, effects),
            _ if past_deadline => self.refuse(pending_id, &Rejection::DeadlineExceeded, effects),
            (Stage::ReadingDependency { .. }, reply) => {
                self.on_dependency_read(pending_id, reply, effects);
            }
            (Stage::Creating | Stage::ValidatingDependencies | Stage::Cancelling, reply) => {
                self.on_txn_reply(pending_id, reply, effects);
            }
            (_, reply) => self.on_read_reply(pending_id, reply, effects),
        }
    }

    /// Handles a request that was not executed, usually because of the rate limit that all nodes share.
    fn on_state_refused(&mut self, pending_id: u64, effects: &mut Effects) {
        let retryable = self
            .pending
            .get(pending_id)
            .is_some_and(|pending| pending.stage.is_retryable());
        if retryable && self.pending.may_retry(pending_id, effects.now.mono) {
            self.send(pending_id, effects)
        } else {
            self.refuse(pending_id, &Rejection::StateRefuses, effects)
        }
    }

    /// Handles a request that was not executed and will never be accepted in this form.
    fn on_state_invalid(&mut self, pending_id: u64, effects: &mut Effects) {
        let Some(pending) = self.pending.get(pending_id) else {
            return;
        };
        // If only the future limits explain why the size is refused, they are now in effect, so the record is written
        // for them.
        if let (Stage::Creating, Operation::Submit(spec)) = (&pending.stage, &pending.operation) {
            if !self.records.is_upgraded() && self.records.exceeds_strictest_limits(spec) {
                self.records.set_upgraded();
                effects.emit(NodeEvent::UpgradeEvidence {
                    observation: "a submission that only new limits refuse",
                });
                return self.send(pending_id, effects);
            }
        }
        log::error!("event=user_request_invalid job={}", pending.job_id);
        self.refuse(pending_id, &Rejection::StateInvalid, effects);
    }

    /// Handles the reply to a single request's transaction that did not commit, or that validated some dependencies.
    fn on_txn_reply(&mut self, pending_id: u64, reply: StateReply, effects: &mut Effects) {
        let Some(pending) = self.pending.get(pending_id) else {
            return;
        };
        match (&pending.stage, reply) {
            (Stage::Creating | Stage::ValidatingDependencies, StateReply::Conflict { failed })
                if !concerns_job(&pending.job_id, &failed) =>
            {
                self.on_dependencies_changed(pending_id, &failed, effects);
            }
            (Stage::ValidatingDependencies, StateReply::Committed { .. }) => {
                self.on_dependencies_validated(pending_id, effects);
            }
            // After a conflict or an unknown outcome, the stored record decides.
            (Stage::Creating | Stage::Cancelling, _) => {
                self.advance(pending_id, Stage::ReadingOpen, effects);
            }
            _ => self.refuse(pending_id, &Rejection::StateUnreachable, effects),
        }
    }

    /// Handles the reply to a read of the job's own open or final record.
    fn on_read_reply(&mut self, pending_id: u64, reply: StateReply, effects: &mut Effects) {
        let Some(pending) = self.pending.get(pending_id) else {
            return;
        };
        match (&pending.stage, reply) {
            (Stage::ReadingOpen, StateReply::Item(item)) => {
                match item.value.deserialized::<JobRecord>() {
                    Ok(record) => self.on_open_record(pending_id, record, item.version, effects),
                    Err(_) => self.refuse(pending_id, &Rejection::UnreadableRecord, effects),
                }
            }
            (Stage::ReadingOpen, StateReply::Missing) => {
                self.advance(pending_id, Stage::ReadingFinal, effects);
            }
            (Stage::ReadingFinal, StateReply::Item(item)) => {
                match item.value.deserialized::<JobOutcome>() {
                    Ok(outcome) => self.on_final_record(pending_id, outcome, effects),
                    Err(_) => self.refuse(pending_id, &Rejection::UnreadableRecord, effects),
                }
            }
            (Stage::ReadingFinal, StateReply::Missing) => self.on_absent(pending_id, effects),
            _ => self.refuse(pending_id, &Rejection::StateUnreachable, effects),
        }
    }
}

/// Whether one of the keys belongs to the job's own records.
fn concerns_job(id: &str, keys: &[String]) -> bool {
    let own = [job_key(id), final_record_key(id)];
    keys.iter().any(|key| own.contains(key))
}
