//! Writes the leader's records to the state service, in guarded transactions that are never applied twice.
//!
//! Each transaction compares the version of the leader's own record, which fences off a leader that was replaced, and
//! the version of every record that it changes. So a transaction whose outcome is unknown may be sent again as it is.

mod builder;
mod conflicts;
mod in_flight;
mod pending_transactions;
mod queueing;
mod record_write;
mod saved;
mod transaction;
mod write_queue;

pub(super) use pending_transactions::PendingTransactions;
pub(super) use write_queue::WriteQueue;

use super::pages::NoRoom;
use super::Leader;
use crate::effects::{Effects, NodeEvent};
use crate::requests::{LeaderRequest, Priority, RecordId, StateOp, StateReply};
use builder::TransactionBuilder;
use constants::DEFERRED_WRITES_PER_TRANSACTION;
use std::collections::VecDeque;
use transaction::PendingTransaction;
use wire::records::LEADER_KEY;

impl Leader {
    /// Sends transactions for the queued writes, as many as may be in flight at a time.
    pub(super) fn flush(&mut self, effects: &mut Effects) {
        let now = effects.now.mono;
        if !self.is_ready() || self.transactions.is_paused(now) {
            return;
        }
        self.queue_due_deferred_writes(now);
        self.resend_due_transactions(effects);
        while self.transactions.has_room() && !self.write_queue.is_empty() {
            let Some(transaction) = self.next_transaction() else {
                return;
            };
            self.start_transaction(transaction, effects);
        }
    }

    fn resend_due_transactions(&mut self, effects: &mut Effects) {
        for number in self.transactions.take_due_retries(effects.now.mono) {
            self.send_transaction(number, effects);
        }
    }

    /// Fills a transaction with queued writes; nothing if none of them can be written now.
    fn next_transaction(&mut self) -> Option<PendingTransaction> {
        let mut builder = TransactionBuilder::new(self.lead_version, &self.limits());
        self.add_queued_writes(&mut builder);
        self.add_deferred_writes(&mut builder);
        let drafts = builder.take_drafts();
        for page in self.write_pages(drafts) {
            builder.add_page(page);
        }
        if builder.is_empty() {
            return None;
        }
        if self.write_queue.is_empty() {
            self.add_page_deletion(&mut builder);
        }
        Some(builder.build())
    }

    /// Adds queued writes in their order until one does not fit. Records that are in flight stay in the queue.
    fn add_queued_writes(&mut self, builder: &mut TransactionBuilder) {
        let mut remaining = VecDeque::new();
        while let Some(record) = self.write_queue.pop() {
            if self.is_in_flight(&record) {
                remaining.push_back(record);
                continue;
            }
            if self.add_write(&record, builder).is_err() {
                remaining.push_front(record);
                break;
            }
            self.write_queue.confirm(&record);
        }
        self.write_queue.put_back(remaining);
    }

    /// Adds what a record needs to a transaction, if anything.
    fn add_write(
        &mut self,
        record: &RecordId,
        builder: &mut TransactionBuilder,
    ) -> Result<(), NoRoom> {
        if let Some(id) = self.job_with_unsaved_parts(record) {
            let room = builder.page_room();
            return self.add_parts(id, builder.drafts_mut(), room);
        }
        let Some(write) = self.record_write(record) else {
            return Ok(());
        };
        builder.add(write)?;
        self.set_in_flight(record, true);
        Ok(())
    }

    /// Adds deferred writes where the pages of a transaction have room left: that costs no write of its own.
    fn add_deferred_writes(&mut self, builder: &mut TransactionBuilder) {
        let Some(room) = builder.room_on_drafted_pages() else {
            return;
        };
        let deferred = self.write_queue.deferred_by_time();
        for record in deferred.into_iter().take(DEFERRED_WRITES_PER_TRANSACTION) {
            let Some(id) = self.job_with_unsaved_parts(&record) else {
                continue;
            };
            if self.is_in_flight(&record) {
                continue;
            }
            if self.add_parts(id, builder.drafts_mut(), room).is_ok() {
                self.write_queue.remove_deferred(&record);
            }
        }
    }

    /// Deletes an empty page with a transaction that has room for it.
    fn add_page_deletion(&mut self, builder: &mut TransactionBuilder) {
        let Some((number, version)) = self.pages.spare_page() else {
            return;
        };
        if builder.has_room_for_deletion() {
            builder.delete_page(number, version);
            self.set_in_flight(&RecordId::Page(number), true);
        }
    }

    fn start_transaction(&mut self, transaction: PendingTransaction, effects: &mut Effects) {
        let number = self.transactions.insert(transaction);
        self.send_transaction(number, effects);
    }

    fn send_transaction(&mut self, number: u64, effects: &mut Effects) {
        if let Some(transaction) = self.transactions.get(number) {
            let op = StateOp::Txn(transaction.txn.clone());
            let request = LeaderRequest::PendingTransaction(number);
            self.send_state_request(Priority::LeaderRecords, op, request, effects);
        }
    }

    /// Takes in the outcome of a transaction.
    pub(super) fn on_transaction_reply(
        &mut self,
        number: u64,
        reply: StateReply,
        effects: &mut Effects,
    ) {
        if self.transactions.get(number).is_none() {
            return;
        }
        let now = effects.now.mono;
        match reply {
            StateReply::Committed { version } => {
                self.has_new_decisions = true;
                self.on_committed(number, version, effects);
            }
            StateReply::Refused => self.transactions.retry_later(number, now),
            StateReply::Unknown => {
                // The very same transaction is sent again: its compares let it be applied once at most.
                self.transactions.mark_ambiguous(number);
                self.transactions.retry_later(number, now);
            }
            StateReply::Conflict { failed } if failed.iter().any(|key| key == LEADER_KEY) => {
                let event = NodeEvent::SteppedDown {
                    reason: "a transaction was fenced",
                };
                effects.emit(event);
            }
            StateReply::Conflict { failed } => {
                if let Some(transaction) = self.transactions.remove(number) {
                    self.on_conflict(transaction, &failed, effects);
                }
            }
            other => self.on_invalid(number, &other, effects),
        }
        self.flush(effects);
    }

    fn on_committed(&mut self, number: u64, version: u64, effects: &mut Effects) {
        if let Some(transaction) = self.transactions.remove(number) {
            for change in transaction.changes {
                self.on_saved(change, version, effects);
            }
        }
    }

    /// The state service does not accept a transaction as it is.
    fn on_invalid(&mut self, number: u64, reply: &StateReply, effects: &mut Effects) {
        let Some(transaction) = self.transactions.remove(number) else {
            return;
        };
        if !self.pages.is_dense() && self.fits_only_today(&transaction.txn) {
            let event = NodeEvent::UpgradeEvidence {
                observation: "a size that only new limits refuse",
            };
            effects.emit(event);
            self.switch_to_dense_layout();
        } else {
            // Nothing that is written should ever be invalid; if it is, other work must go on meanwhile.
            log::error!("event=txn_invalid reply={reply:?}");
            self.transactions.pause(effects.now.mono);
        }
        // An earlier copy of it may have been executed, or may be yet: what is recorded decides.
        self.on_conflict(transaction, &[], effects);
    }

    /// Whether transactions have been sent whose outcome is not known yet.
    pub fn has_writes_in_flight(&self) -> bool {
        !self.transactions.is_empty()
    }
}
