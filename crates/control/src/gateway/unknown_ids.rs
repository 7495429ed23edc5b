//! Ids that nothing is known of: one transaction shows for many of them at once that no job has them.
//!
//! Users also ask about jobs that nobody has submitted, and each 404 needs a fresh look at the open record and at the
//! final one. One transaction of conditions looks at both, for as many ids as it holds, at a single moment after the
//! questions came. What turns out to exist is read.

use super::compares::{absent, read_only_txn, COMPARES_PER_ABSENT_JOB};
use super::pending::Stage;
use super::rejection::Rejection;
use super::Gateway;
use crate::effects::Effects;
use crate::requests::{Priority, StateReply, StateTag};
use constants::{ID_SEARCH_BACKLOG, ID_SEARCH_INTERVAL_MS, STATE_RETRY_MS, VALIDATION_GATHER_MS};
use std::collections::{BTreeSet, VecDeque};
use wire::records::{final_record_key, job_key};

/// Requests about unknown ids, and the search that some of them wait for.
#[derive(Default)]
pub(super) struct UnknownIds {
    /// Submissions that are refused unless their ids are known, and cancellations.
    changes: VecDeque<u64>,
    questions: VecDeque<u64>,
    in_flight: Option<Search>,
    /// When the next search may be sent.
    next_at: u64,
    last_number: u64,
}

/// A transaction in flight.
struct Search {
    number: u64,
    requests: Vec<u64>,
}

impl UnknownIds {
    fn queue(&self, is_change: bool) -> &VecDeque<u64> {
        if is_change {
            &self.changes
        } else {
            &self.questions
        }
    }

    fn queue_mut(&mut self, is_change: bool) -> &mut VecDeque<u64> {
        if is_change {
            &mut self.changes
        } else {
            &mut self.questions
        }
    }

    /// A request waits for the next search.
    pub(super) fn push_back(&mut self, number: u64, is_change: bool) {
        self.queue_mut(is_change).push_back(number);
    }

    /// A request waits again after a search that did not decide it.
    fn push_front(&mut self, number: u64, is_change: bool) {
        self.queue_mut(is_change).push_front(number);
    }

    fn len(&self) -> usize {
        self.changes.len() + self.questions.len()
    }

    /// The next request, from one of the queues if that is not empty.
    fn pop(&mut self, prefer_change: bool) -> Option<u64> {
        let preferred = self.queue_mut(prefer_change).pop_front();
        preferred.or_else(|| self.queue_mut(!prefer_change).pop_front())
    }

    /// The request that has waited longest.
    fn oldest(&self) -> Option<u64> {
        let fronts = [self.changes.front(), self.questions.front()];
        fronts.into_iter().flatten().min().copied()
    }
}

impl Gateway {
    fn ids_per_search(&self) -> usize {
        self.max_compares / COMPARES_PER_ABSENT_JOB
    }

    /// Whether so many requests of a kind wait that another would not be answered in time.
    pub(super) fn is_id_search_full(&self, is_change: bool) -> bool {
        let limit = ID_SEARCH_BACKLOG * self.ids_per_search();
        self.unknown_ids.queue(is_change).len() >= limit
    }

    /// When the next search is to be sent; `u64::MAX` if none is.
    pub(super) fn next_id_search_at(&self) -> u64 {
        match self.unknown_ids.oldest() {
            Some(number) if self.unknown_ids.in_flight.is_none() => {
                let since = self
                    .pending
                    .get(number)
                    .map_or(0, |pending| pending.since());
                self.unknown_ids.next_at.max(since + VALIDATION_GATHER_MS)
            }
            _ => u64::MAX,
        }
    }

    /// Sends one transaction that finds out which of the waiting ids no job has.
    pub(super) fn send_id_search(&mut self, effects: &mut Effects) {
        let now = effects.now.mono;
        let full = self.unknown_ids.len() >= self.ids_per_search();
        let full_and_allowed = full && now >= self.unknown_ids.next_at;
        let due = full_and_allowed || now >= self.next_id_search_at();
        if self.unknown_ids.in_flight.is_some() || !due {
            return;
        }
        let (ids, requests) = self.gather_id_search(effects);
        if requests.is_empty() {
            return;
        }
        let op = read_only_txn(ids.iter().flat_map(|id| absent(id)));
        self.unknown_ids.next_at = now + ID_SEARCH_INTERVAL_MS;
        self.unknown_ids.last_number += 1;
        let number = self.unknown_ids.last_number;
        let tag = StateTag::UnknownIds(number);
        effects.request_state(Priority::ReadValidation, op, tag);
        self.unknown_ids.in_flight = Some(Search { number, requests });
    }

    /// Takes the ids for one search from the waiting requests, and answers those that have become known to be over.
    /// Both queues are served in turn, so that neither waits for the end of the other.
    fn gather_id_search(&mut self, effects: &mut Effects) -> (BTreeSet<String>, Vec<u64>) {
        let mut ids = BTreeSet::new();
        let mut requests = Vec::new();
        let mut prefer_change = true;
        while ids.len() < self.ids_per_search() {
            let Some(number) = self.unknown_ids.pop(prefer_change) else {
                break;
            };
            prefer_change = !prefer_change;
            let Some(pending) = self.pending.get(number) else {
                continue;
            };
            if let Some(end) = self.cache.known_final(&pending.id) {
                if let Some(pending) = self.pending.close(number) {
                    self.answer_final(pending.request, &pending.id, end, effects);
                }
                continue;
            }
            ids.insert(pending.id.clone());
            requests.push(number);
        }
        (ids, requests)
    }

    /// Takes the reply to a search: what no job has is answered, what exists is read, the others wait for the next.
    pub fn on_unknown_ids(&mut self, number: u64, reply: StateReply, effects: &mut Effects) {
        let in_flight = &mut self.unknown_ids.in_flight;
        let Some(search) = in_flight.take_if(|search| search.number == number) else {
            return;
        };
        // Backwards, since what has to wait goes to the front again.
        for number in search.requests.into_iter().rev() {
            self.on_id_searched(number, &reply, effects);
        }
        self.send_id_search(effects);
    }

    fn on_id_searched(&mut self, number: u64, reply: &StateReply, effects: &mut Effects) {
        let now = effects.now.mono;
        let Some(pending) = self.pending.get(number) else {
            return;
        };
        let is_change = pending.operation.is_change();
        match reply {
            StateReply::Committed { .. } => self.on_absent(number, effects),
            StateReply::Conflict { failed } if failed.contains(&job_key(&pending.id)) => {
                self.advance(number, Stage::ReadingOpen, effects);
            }
            StateReply::Conflict { failed } if failed.contains(&final_record_key(&pending.id)) => {
                self.advance(number, Stage::ReadingFinal, effects);
            }
            StateReply::Conflict { .. } => {
                self.unknown_ids.push_front(number, is_change);
                self.unknown_ids.next_at = now;
            }
            StateReply::Refused if self.pending.may_retry(number, now) => {
                self.unknown_ids.push_front(number, is_change);
                self.unknown_ids.next_at = now + STATE_RETRY_MS;
            }
            StateReply::Refused => self.refuse(number, &Rejection::StateRefuses, effects),
            _ => self.refuse(number, &Rejection::StateUnreachable, effects),
        }
    }
}
