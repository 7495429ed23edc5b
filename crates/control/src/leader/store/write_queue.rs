//! Queue of the records to be written, and of those whose write may wait.

use crate::requests::RecordId;
use constants::{DEFERRED_WRITE_MAX_MS, DEFERRED_WRITE_MS, HOUSEKEEPING_INTERVAL_MS};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Records to be written.
///
/// Each record in `queued` is in `order` once, except while it is popped. A record in `deferred` is in neither of them:
/// it is written with a page that has space left, or moves to the queue when its time is up.
#[derive(Default)]
pub(in crate::leader) struct WriteQueue {
    queued: BTreeSet<RecordId>,
    order: VecDeque<RecordId>,
    /// Records whose write may wait, with the time until which it may.
    deferred: BTreeMap<RecordId, u64>,
    next_deferred_check: u64,
}

impl WriteQueue {
    /// Number of queued records, without the deferred ones.
    pub fn len(&self) -> usize {
        self.queued.len()
    }

    /// Whether no record is queued. There may still be deferred writes.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Whether no write is deferred.
    #[cfg(test)]
    pub fn has_no_deferred_writes(&self) -> bool {
        self.deferred.is_empty()
    }

    /// Queues the write of a record, and ends its deferral. An urgent write goes to the front, also if the record is
    /// already queued.
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

    /// Takes the first record. It still counts as queued until it is passed to [`WriteQueue::acknowledge`], or returned
    /// by [`WriteQueue::requeue`].
    pub(super) fn pop(&mut self) -> Option<RecordId> {
        self.order.pop_front()
    }

    /// Removes a popped record, which no longer needs to be written from the queue.
    pub(super) fn acknowledge(&mut self, record: &RecordId) {
        self.queued.remove(record);
    }

    /// Returns popped records to the front of the queue, in this order.
    pub(super) fn requeue(&mut self, records: VecDeque<RecordId>) {
        for record in records.into_iter().rev() {
            self.order.push_front(record);
        }
    }

    /// Defers the write of a record, unless it is already queued or deferred.
    pub(super) fn defer(&mut self, record: RecordId, now: u64) {
        if !self.queued.contains(&record) {
            self.deferred
                .entry(record)
                .or_insert(now + DEFERRED_WRITE_MS);
        }
    }

    /// Deferred records, in the order in which their time is up.
    pub(super) fn deferred_by_time(&self) -> Vec<RecordId> {
        let mut deferred: Vec<(u64, &RecordId)> = self
            .deferred
            .iter()
            .map(|(record, until)| (*until, record))
            .collect();
        deferred.sort_unstable();
        deferred
            .into_iter()
            .map(|(_, record)| record.clone())
            .collect()
    }

    /// Removes a deferred record that was added to a transaction.
    pub(super) fn remove_deferred(&mut self, record: &RecordId) {
        self.deferred.remove(record);
    }

    /// Deferred records whose time is up; none until the next check is due.
    pub(super) fn due_deferred(&mut self, now: u64) -> Vec<RecordId> {
        if now < self.next_deferred_check {
            return Vec::new();
        }
        self.next_deferred_check = now + HOUSEKEEPING_INTERVAL_MS;
        // Queued writes (starts and ends of tasks) take precedence: deferred writes would use half of the write rate
        // that a small state service accepts.
        let extra_delay_ms = if self.is_empty() {
            0
        } else {
            DEFERRED_WRITE_MAX_MS - DEFERRED_WRITE_MS
        };
        self.deferred
            .iter()
            .filter(|(_, until)| **until + extra_delay_ms <= now)
            .map(|(record, _)| record.clone())
            .collect()
    }
}
