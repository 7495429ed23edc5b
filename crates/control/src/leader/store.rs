//! Writes the leader's records to the state service, in conditional transactions that are applied at most once.
//!
//! Each transaction compares the version of the leader's own record, which fences off a leader that has been replaced,
//! and the version of every record that it changes. A transaction whose outcome is unknown can therefore be resent
//! unchanged.

mod builder;
mod conflicts;
mod in_flight;
mod pending_transactions;
mod queueing;
mod record_write;
mod refresh;
mod saved;
mod transaction;
mod write_queue;

pub(super) use pending_transactions::PendingTransactions;
pub(super) use write_queue::WriteQueue;

use super::pages::TransactionFull;
use super::Leader;
use crate::effects::{Effects, NodeEvent};
use crate::requests::{Priority, RecordId, StateOp, StatePurpose, StateReply};
use builder::TransactionBuilder;
use constants::DEFERRED_WRITES_PER_TRANSACTION;
use std::collections::VecDeque;
use transaction::PendingTransaction;
use wire::records::LEADER_KEY;

impl Leader {
    /// Sends transactions for the queued writes, up to the limit of transactions in flight.
    pub(super) fn flush(&mut self, effects: &mut Effects) {
        let now = effects.now.mono;
        if !self.is_ready() || self.transactions.is_paused(now) {
            return;
        }
        self.queue_due_deferred_writes(now);
        self.resend_due_transactions(effects);
        while self.transactions.has_capacity() && !self.write_queue.is_empty() {
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

    /// Builds a transaction from queued writes. Returns `None` if none of them can be written now.
    fn next_transaction(&mut self) -> Option<PendingTransaction> {
        let mut builder = TransactionBuilder::new(self.leader_key_version, &self.limits());
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

    /// Adds queued writes in order until one does not fit. Records that are in flight stay in the queue.
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
            self.write_queue.acknowledge(&record);
        }
        self.write_queue.requeue(remaining);
    }

    /// Adds the writes that a record needs, if any, to a transaction.
    fn add_write(
        &mut self,
        record: &RecordId,
        builder: &mut TransactionBuilder,
    ) -> Result<(), TransactionFull> {
        if let Some(id) = self.job_with_unsaved_chunks(record) {
            let capacity = builder.remaining_capacity();
            return self.add_chunks(id, builder.drafts_mut(), capacity);
        }
        let Some(write) = self.record_write(record) else {
            return Ok(());
        };
        builder.add(write)?;
        self.set_in_flight(record, true);
        Ok(())
    }

    /// Adds deferred writes that fit on the pages of a transaction. They need no write of their own there.
    fn add_deferred_writes(&mut self, builder: &mut TransactionBuilder) {
        let Some(capacity) = builder.remaining_capacity_of_drafts() else {
            return;
        };
        let deferred = self.write_queue.deferred_by_time();
        for record in deferred.into_iter().take(DEFERRED_WRITES_PER_TRANSACTION) {
            let Some(id) = self.job_with_unsaved_chunks(&record) else {
                continue;
            };
            if self.is_in_flight(&record) {
                continue;
            }
            if self.add_chunks(id, builder.drafts_mut(), capacity).is_ok() {
                self.write_queue.remove_deferred(&record);
            }
        }
    }

    /// Adds the deletion of an empty page to a transaction if it fits.
    fn add_page_deletion(&mut self, builder: &mut TransactionBuilder) {
        let Some((number, version)) = self.pages.deletable_page() else {
            return;
        };
        if builder.fits_deletion() {
            builder.delete_page(number, version);
            self.set_in_flight(&RecordId::Page(number), true);
        }
    }

    fn start_transaction(&mut self, mut transaction: PendingTransaction, effects: &mut Effects) {
        transaction.first_sent_at = effects.now.mono;
        let number = self.transactions.insert(transaction);
        self.send_transaction(number, effects);
    }

    fn send_transaction(&mut self, number: u64, effects: &mut Effects) {
        if let Some(transaction) = self.transactions.get(number) {
            let op = StateOp::Txn(transaction.txn.clone());
            let request = StatePurpose::PendingTransaction(number);
            self.send_state_request(Priority::LeaderRecords, op, request, effects);
        }
    }

    /// Handles the reply to a transaction.
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
                self.on_transaction_committed(number, version, effects);
            }
            StateReply::Refused => self.transactions.retry_later(number, now),
            StateReply::Unknown => {
                // The transaction is resent unchanged: its compares ensure that it is applied at most once.
                self.transactions.mark_ambiguous(number);
                self.transactions.retry_later(number, now);
            }
            StateReply::Conflict { failed } if failed.iter().any(|key| key == LEADER_KEY) => {
                step_down(effects);
            }
            StateReply::Conflict { failed } => {
                if let Some(transaction) = self.transactions.remove(number) {
                    self.on_transaction_conflict(transaction, &failed, effects);
                }
            }
            other => self.on_transaction_invalid(number, &other, effects),
        }
        self.flush(effects);
    }

    fn on_transaction_committed(&mut self, number: u64, version: u64, effects: &mut Effects) {
        if let Some(transaction) = self.transactions.remove(number) {
            self.note_uncancelled_jobs(&transaction.txn, transaction.first_sent_at);
            for change in transaction.changes {
                self.on_change_saved(change, version, effects);
            }
        }
    }

    /// Handles a transaction that the state service rejects as invalid.
    fn on_transaction_invalid(&mut self, number: u64, reply: &StateReply, effects: &mut Effects) {
        let Some(transaction) = self.transactions.remove(number) else {
            return;
        };
        if !self.pages.is_dense() && self.fits_only_current_limits(&transaction.txn) {
            let event = NodeEvent::UpgradeEvidence {
                observation: "a size that only new limits refuse",
            };
            effects.emit(event);
            self.switch_to_dense_layout();
        } else {
            // No transaction should ever be invalid. If one is, writing is paused, and other work goes on meanwhile.
            log::error!("event=txn_invalid reply={reply:?}");
            self.transactions.pause(effects.now.mono);
        }
        // An earlier send of this transaction may have been applied, or may still be. The records are read to find out.
        self.on_transaction_conflict(transaction, &[], effects);
    }

    /// Whether any transaction has an unknown outcome.
    pub fn has_writes_in_flight(&self) -> bool {
        !self.transactions.is_empty()
    }
}

/// Gives up leadership after a transaction that found the leader key changed.
fn step_down(effects: &mut Effects) {
    effects.emit(NodeEvent::SteppedDown {
        reason: "a transaction was fenced",
    });
}
