//! Routes the state service's replies to pending requests by their stage.

use super::pending::{Operation, Stage};
use super::rejection::Rejection;
use super::Gateway;
use crate::effects::{Effects, NodeEvent};
use crate::requests::StateReply;
use wire::records::{final_record_key, job_key, JobOutcome, JobRecord};

impl Gateway {
    /// Takes the reply to what was sent for one pending request.
    pub fn on_reply(&mut self, number: u64, reply: StateReply, effects: &mut Effects) {
        let Some(pending) = self.pending.get(number) else {
            return;
        };
        let past_deadline = pending.is_past_deadline(effects.now.mono);
        match (&pending.stage, reply) {
            // What has been committed is answered even after the deadline.
            (Stage::Creating, StateReply::Committed { version }) => {
                self.on_created(number, version, effects);
            }
            (Stage::Cancelling, StateReply::Committed { version }) => {
                self.on_cancelled(number, version, effects);
            }
            (_, StateReply::Refused) => self.on_state_refused(number, effects),
            (_, StateReply::Invalid) => self.on_state_invalid(number, effects),
            _ if past_deadline => self.refuse(number, &Rejection::DeadlineExceeded, effects),
            (Stage::ReadingDependency { .. }, reply) => {
                self.on_dependency_read(number, reply, effects);
            }
            (Stage::Creating | Stage::ValidatingDependencies | Stage::Cancelling, reply) => {
                self.on_txn_reply(number, reply, effects);
            }
            (_, reply) => self.on_read_reply(number, reply, effects),
        }
    }

    /// Certainly not executed; most often it is the rate limit that all nodes share.
    fn on_state_refused(&mut self, number: u64, effects: &mut Effects) {
        let retryable = self
            .pending
            .get(number)
            .is_some_and(|pending| pending.stage.is_retryable());
        if retryable && self.pending.may_retry(number, effects.now.mono) {
            self.send(number, effects)
        } else {
            self.refuse(number, &Rejection::StateRefuses, effects)
        }
    }

    /// Certainly not executed, and never will be as it is.
    fn on_state_invalid(&mut self, number: u64, effects: &mut Effects) {
        let Some(pending) = self.pending.get(number) else {
            return;
        };
        // A size that only the limits to come explain: they have come, and the record is written for them.
        if let (Stage::Creating, Operation::Submit(spec)) = (&pending.stage, &pending.operation) {
            if !self.records.is_upgraded() && self.records.is_larger_than_least(spec) {
                self.records.set_upgraded();
                effects.emit(NodeEvent::UpgradeEvidence {
                    observation: "a submission that only new limits refuse",
                });
                return self.send(number, effects);
            }
        }
        log::error!("event=user_request_invalid job={}", pending.id);
        self.refuse(number, &Rejection::StateInvalid, effects);
    }

    /// A transaction of one request did not commit, or validated some of the jobs that its job needs.
    fn on_txn_reply(&mut self, number: u64, reply: StateReply, effects: &mut Effects) {
        let Some(pending) = self.pending.get(number) else {
            return;
        };
        match (&pending.stage, reply) {
            (Stage::Creating | Stage::ValidatingDependencies, StateReply::Conflict { failed })
                if !concerns_job(&pending.id, &failed) =>
            {
                self.on_dependencies_changed(number, &failed, effects);
            }
            (Stage::ValidatingDependencies, StateReply::Committed { .. }) => {
                self.on_dependencies_validated(number, effects);
            }
            // Unknown outcome or a conflict: what is recorded decides.
            (Stage::Creating | Stage::Cancelling, _) => {
                self.advance(number, Stage::ReadingOpen, effects);
            }
            _ => self.refuse(number, &Rejection::StateUnreachable, effects),
        }
    }

    /// A read of the job's own open or final record came back.
    fn on_read_reply(&mut self, number: u64, reply: StateReply, effects: &mut Effects) {
        let Some(pending) = self.pending.get(number) else {
            return;
        };
        match (&pending.stage, reply) {
            (Stage::ReadingOpen, StateReply::Item(item)) => {
                match item.value.deserialized::<JobRecord>() {
                    Ok(record) => self.on_open_record(number, record, item.version, effects),
                    Err(_) => self.refuse(number, &Rejection::UnreadableRecord, effects),
                }
            }
            (Stage::ReadingOpen, StateReply::Missing) => {
                self.advance(number, Stage::ReadingFinal, effects);
            }
            (Stage::ReadingFinal, StateReply::Item(item)) => {
                match item.value.deserialized::<JobOutcome>() {
                    Ok(end) => self.on_final_record(number, end, effects),
                    Err(_) => self.refuse(number, &Rejection::UnreadableRecord, effects),
                }
            }
            (Stage::ReadingFinal, StateReply::Missing) => self.on_absent(number, effects),
            _ => self.refuse(number, &Rejection::StateUnreachable, effects),
        }
    }
}

/// Whether a key among these is that of one of the job's own records.
fn concerns_job(id: &str, keys: &[String]) -> bool {
    let own = [job_key(id), final_record_key(id)];
    keys.iter().any(|key| own.contains(key))
}
