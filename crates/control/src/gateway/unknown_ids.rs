//! Checks of unknown IDs: one transaction checks for many IDs at once that no job has them.
//!
//! Users also query jobs that were never submitted, and each 404 answer requires a current check that neither an open
//! nor a final record exists. One read-only transaction checks both for as many IDs as it can hold, at a single point
//! in time after the requests were received. Records that turn out to exist are read.

use super::compares::{absence_compares, read_only_txn, COMPARES_PER_ABSENT_JOB};
use super::pending::Stage;
use super::rejection::Rejection;
use super::Gateway;
use crate::effects::Effects;
use crate::requests::{Priority, StateReply, StateTag};
use constants::{
    STATE_RETRY_MS, UNKNOWN_ID_CHECK_BACKLOG_MAX, UNKNOWN_ID_CHECK_INTERVAL_MS,
    VALIDATION_BATCH_DELAY_MS,
};
use std::collections::{BTreeSet, VecDeque};
use wire::records::{final_record_key, job_key};

/// Requests about unknown IDs, and the check in flight for some of them.
#[derive(Default)]
pub(super) struct UnknownIds {
    /// Cancellations, and submissions that are refused unless their IDs are known.
    changes: VecDeque<u64>,
    status_queries: VecDeque<u64>,
    in_flight: Option<UnknownIdCheck>,
    /// When the next check may be sent.
    next_at: u64,
    last_check_id: u64,
}

/// A check transaction in flight.
struct UnknownIdCheck {
    id: u64,
    requests: Vec<u64>,
}

impl UnknownIds {
    fn queue(&self, is_change: bool) -> &VecDeque<u64> {
        if is_change {
            &self.changes
        } else {
            &self.status_queries
        }
    }

    fn queue_mut(&mut self, is_change: bool) -> &mut VecDeque<u64> {
        if is_change {
            &mut self.changes
        } else {
            &mut self.status_queries
        }
    }

    /// Queues a request for the next check.
    pub(super) fn push_back(&mut self, pending_id: u64, is_change: bool) {
        self.queue_mut(is_change).push_back(pending_id);
    }

    /// Queues a request again, at the front, after a check that did not decide it.
    fn push_front(&mut self, pending_id: u64, is_change: bool) {
        self.queue_mut(is_change).push_front(pending_id);
    }

    fn len(&self) -> usize {
        self.changes.len() + self.status_queries.len()
    }

    /// The next request, from the preferred queue unless that is empty.
    fn pop(&mut self, prefer_change: bool) -> Option<u64> {
        let preferred = self.queue_mut(prefer_change).pop_front();
        preferred.or_else(|| self.queue_mut(!prefer_change).pop_front())
    }

    /// The request that has waited the longest.
    fn oldest(&self) -> Option<u64> {
        let fronts = [self.changes.front(), self.status_queries.front()];
        fronts.into_iter().flatten().min().copied()
    }
}

impl Gateway {
    fn ids_per_check(&self) -> usize {
        self.max_compares / COMPARES_PER_ABSENT_JOB
    }

    /// Whether so many requests of a kind are queued that another one would not be answered in time.
    pub(super) fn is_unknown_id_check_full(&self, is_change: bool) -> bool {
        let limit = UNKNOWN_ID_CHECK_BACKLOG_MAX * self.ids_per_check();
        self.unknown_ids.queue(is_change).len() >= limit
    }

    /// When the next check has to be sent; `u64::MAX` if none is scheduled.
    pub(super) fn next_unknown_id_check_at(&self) -> u64 {
        match self.unknown_ids.oldest() {
            Some(pending_id) if self.unknown_ids.in_flight.is_none() => {
                let received_at = self
                    .pending
                    .get(pending_id)
                    .map_or(0, |pending| pending.received_at());
                self.unknown_ids
                    .next_at
                    .max(received_at + VALIDATION_BATCH_DELAY_MS)
            }
            _ => u64::MAX,
        }
    }

    /// Sends one transaction that determines which of the queued IDs no job has.
    pub(super) fn send_unknown_id_check(&mut self, effects: &mut Effects) {
        let now = effects.now.mono;
        let full = self.unknown_ids.len() >= self.ids_per_check();
        let full_and_allowed = full && now >= self.unknown_ids.next_at;
        let due = full_and_allowed || now >= self.next_unknown_id_check_at();
        if self.unknown_ids.in_flight.is_some() || !due {
            return;
        }
        let (ids, requests) = self.gather_unknown_ids(effects);
        if requests.is_empty() {
            return;
        }
        let op = read_only_txn(ids.iter().flat_map(|id| absence_compares(id)));
        self.unknown_ids.next_at = now + UNKNOWN_ID_CHECK_INTERVAL_MS;
        self.unknown_ids.last_check_id += 1;
        let id = self.unknown_ids.last_check_id;
        let tag = StateTag::UnknownIds(id);
        effects.request_state(Priority::ReadValidation, op, tag);
        self.unknown_ids.in_flight = Some(UnknownIdCheck { id, requests });
    }

    /// Collects the IDs for one check from the queued requests, and answers the requests whose jobs' outcomes have
    /// become known. Both queues are served alternately, so that neither waits until the other is empty.
    fn gather_unknown_ids(&mut self, effects: &mut Effects) -> (BTreeSet<String>, Vec<u64>) {
        let mut ids = BTreeSet::new();
        let mut requests = Vec::new();
        let mut prefer_change = true;
        while ids.len() < self.ids_per_check() {
            let Some(pending_id) = self.unknown_ids.pop(prefer_change) else {
                break;
            };
            prefer_change = !prefer_change;
            let Some(pending) = self.pending.get(pending_id) else {
                continue;
            };
            if let Some(outcome) = self.cache.known_outcome(&pending.job_id) {
                if let Some(pending) = self.pending.remove(pending_id) {
                    self.answer_final(pending.request, &pending.job_id, outcome, effects);
                }
                continue;
            }
            ids.insert(pending.job_id.clone());
            requests.push(pending_id);
        }
        (ids, requests)
    }

    /// Handles the reply to a check. Requests whose IDs no job has are answered, existing records are read, and the
    /// other requests wait for the next check.
    pub fn on_unknown_id_check_reply(
        &mut self,
        check_id: u64,
        reply: StateReply,
        effects: &mut Effects,
    ) {
        let in_flight = &mut self.unknown_ids.in_flight;
        let Some(check) = in_flight.take_if(|check| check.id == check_id) else {
            return;
        };
        // In reverse order, since requests that have to wait are pushed to the front of the queue.
        for pending_id in check.requests.into_iter().rev() {
            self.on_unknown_id_checked(pending_id, &reply, effects);
        }
        self.send_unknown_id_check(effects);
    }

    fn on_unknown_id_checked(
        &mut self,
        pending_id: u64,
        reply: &StateReply,
        effects: &mut Effects,
    ) {
        let now = effects.now.mono;
        let Some(pending) = self.pending.get(pending_id) else {
            return;
        };
        let is_change = pending.operation.is_change();
        match reply {
            StateReply::Committed { .. } => self.on_absent(pending_id, effects),
            StateReply::Conflict { failed } if failed.contains(&job_key(&pending.job_id)) => {
                self.advance(pending_id, Stage::ReadingOpen, effects);
            }
            StateReply::Conflict { failed }
                if failed.contains(&final_record_key(&pending.job_id)) =>
            {
                self.advance(pending_id, Stage::ReadingFinal, effects);
            }
            StateReply::Conflict { .. } => {
                self.unknown_ids.push_front(pending_id, is_change);
                self.unknown_ids.next_at = now;
            }
            StateReply::Refused if self.pending.may_retry(pending_id, now) => {
                self.unknown_ids.push_front(pending_id, is_change);
                self.unknown_ids.next_at = now + STATE_RETRY_MS;
            }
            StateReply::Refused => self.refuse(pending_id, &Rejection::StateRefuses, effects),
            _ => self.refuse(pending_id, &Rejection::StateUnreachable, effects),
        }
    }
}
