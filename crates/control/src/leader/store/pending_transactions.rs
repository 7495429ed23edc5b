//! Transactions whose outcome is not known yet, and records that are being read again after a conflict.

use super::transaction::PendingTransaction;
use crate::requests::RecordId;
use constants::{INVALID_TXN_RETRY_MS, STATE_RETRY_MS, TXNS_IN_FLIGHT_MAX};
use std::collections::{BTreeSet, HashMap};

/// A transaction that is to be resent.
struct Retry {
    /// Earliest time to resend it, in milliseconds of the monotonic clock.
    at: u64,
    /// Number of the transaction.
    number: u64,
}

/// The transactions in flight, by number, and the state that delays further ones.
#[derive(Default)]
pub(in crate::leader) struct PendingTransactions {
    transactions: HashMap<u64, PendingTransaction>,
    last_number: u64,
    retries: Vec<Retry>,
    /// Records that are being read again.
    refreshing: BTreeSet<RecordId>,
    /// Time until which nothing is written, after the state service rejected a transaction as invalid.
    paused_until: u64,
}

impl PendingTransactions {
    /// Whether the outcome of every transaction is known.
    pub(super) fn is_empty(&self) -> bool {
        self.transactions.is_empty()
    }

    /// Whether another transaction may be sent before the pending ones end.
    pub(super) fn has_capacity(&self) -> bool {
        self.transactions.len() < TXNS_IN_FLIGHT_MAX
    }

    /// Adds a transaction and returns its number.
    pub(super) fn insert(&mut self, transaction: PendingTransaction) -> u64 {
        self.last_number += 1;
        self.transactions.insert(self.last_number, transaction);
        self.last_number
    }

    /// The transaction with this number.
    pub(super) fn get(&self, number: u64) -> Option<&PendingTransaction> {
        self.transactions.get(&number)
    }

    /// Records that the transaction with this number may have been applied.
    pub(super) fn mark_ambiguous(&mut self, number: u64) {
        if let Some(transaction) = self.transactions.get_mut(&number) {
            transaction.is_ambiguous = true;
        }
    }

    /// Removes the transaction with this number. Its outcome is known, or will be determined from its records.
    pub(super) fn remove(&mut self, number: u64) -> Option<PendingTransaction> {
        self.transactions.remove(&number)
    }

    /// Schedules a transaction to be resent after the backoff.
    pub(super) fn retry_later(&mut self, number: u64, now: u64) {
        let at = now + STATE_RETRY_MS;
        self.retries.push(Retry { at, number });
    }

    /// Takes the numbers of the transactions that are due to be resent.
    pub(super) fn take_due_retries(&mut self, now: u64) -> Vec<u64> {
        let due = self.retries.iter().filter(|retry| retry.at <= now);
        let numbers = due.map(|retry| retry.number).collect();
        self.retries.retain(|retry| retry.at > now);
        numbers
    }

    /// When the next transaction is due to be resent.
    pub fn next_retry(&self) -> Option<u64> {
        self.retries.iter().map(|retry| retry.at).min()
    }

    /// Marks a record as being read again. Returns false if it was marked already.
    pub(super) fn begin_refresh(&mut self, record: &RecordId) -> bool {
        self.refreshing.insert(record.clone())
    }

    /// Removes the mark of a record that has been read again.
    pub(super) fn end_refresh(&mut self, record: &RecordId) {
        self.refreshing.remove(record);
    }

    /// Pauses writing for a while, after the state service rejected a transaction as invalid.
    pub(super) fn pause(&mut self, now: u64) {
        self.paused_until = now + INVALID_TXN_RETRY_MS;
    }

    /// Whether writing is paused.
    pub(super) fn is_paused(&self, now: u64) -> bool {
        now < self.paused_until
    }
}
