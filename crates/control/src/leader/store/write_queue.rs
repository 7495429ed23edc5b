//! Which records have to be written, in which order, and which may wait.

use crate::requests::RecordId;
use constants::{DEFERRED_WRITE_MAX_MS, DEFERRED_WRITE_MS, HOUSEKEEPING_INTERVAL_MS};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Records whose write is wanted.
///
/// A record in `queued` stands once in `order`. A record in `deferred` is in neither of them: it is written with a
/// page that has room left, or moves to the queue when its time is up.
#[derive(Default)]
pub(in crate::leader) struct WriteQueue {
    queued: BTreeSet<RecordId>,
    order: VecDeque<RecordId>,
    /// Records whose change may wait, with the time up to which.
    deferred: BTreeMap<RecordId, u64>,
    next_deferred_check: u64,
}

impl WriteQueue {
    /// Number of records whose write is wanted and can't wait.
    pub fn len(&self) -> usize {
        self.queued.len()
    }

    /// Whether no record stands in the queue. Deferred writes may still wait.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Whether no write is deferred.
    #[cfg(test)]
    pub fn has_no_deferred_writes(&self) -> bool {
        self.deferred.is_empty()
    }

    /// Queues the write of a record, which is no longer deferred then. An urgent one goes to the front, also if the
    /// record is queued already.
    pub fn push(&mut self, record: RecordId, is_urgent: bool) {
        self.deferred.remove(&record);
        let is_new = self.queued.insert(record.clone());
        match (is_urgent, is_new) {
            (true, true) => self.order.push_front(record),
            (true, false) => {
                self.order.retain(|queued| *queued != record);
                self.order.push_front(record);
            }
            (false, true) => self.order.push_back(record),
            (false, false) => {}
        }
    }

    /// Takes the record that stands first. Until [`WriteQueue::confirm`] or [`WriteQueue::put_back`] it still counts
    /// as queued.
    pub(super) fn pop(&mut self) -> Option<RecordId> {
        self.order.pop_front()
    }

    /// Notes that a record that was popped needs no place in the queue any more.
    pub(super) fn confirm(&mut self, record: &RecordId) {
        self.queued.remove(record);
    }

    /// Puts records that were popped back to the front, in this order.
    pub(super) fn put_back(&mut self, records: VecDeque<RecordId>) {
        for record in records.into_iter().rev() {
            self.order.push_front(record);
        }
    }

    /// Defers the write of a record, unless it is queued or deferred already.
    pub(super) fn defer(&mut self, record: RecordId, now: u64) {
        if !self.queued.contains(&record) {
            self.deferred
                .entry(record)
                .or_insert(now + DEFERRED_WRITE_MS);
        }
    }

    /// Deferred writes, those whose time is up first in front.
    pub(super) fn deferred_by_time(&self) -> Vec<RecordId> {
        let mut deferred: Vec<(u64, &RecordId)> = self
            .deferred
            .iter()
            .map(|(record, at)| (*at, record))
            .collect();
        deferred.sort_unstable();
        deferred
            .into_iter()
            .map(|(_, record)| record.clone())
            .collect()
    }

    /// Notes that a deferred write has found a place in a transaction.
    pub(super) fn remove_deferred(&mut self, record: &RecordId) {
        self.deferred.remove(record);
    }

    /// Deferred writes that have waited long enough; nothing until the next check is due.
    pub(super) fn due_deferred(&mut self, now: u64) -> Vec<RecordId> {
        if now < self.next_deferred_check {
            return Vec::new();
        }
        self.next_deferred_check = now + HOUSEKEEPING_INTERVAL_MS;
        // Starts and ends go first: deferred writes would take half of what a small state service accepts.
        let extra_delay_ms = if self.is_empty() {
            0
        } else {
            DEFERRED_WRITE_MAX_MS - DEFERRED_WRITE_MS
        };
        self.deferred
            .iter()
            .filter(|(_, at)| **at + extra_delay_ms <= now)
            .map(|(record, _)| record.clone())
            .collect()
    }
}
