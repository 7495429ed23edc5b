//! Read validation: one transaction shows for many open jobs at once that what is known of them is current.
//!
//! The transaction has no writes; its conditions compare versions. It is sent after the questions came, so what it
//! shows holds at a moment after them. For a job that needs others their records are compared too, in several
//! transactions if they are many: each holds at a moment after the question, so nothing cancelled before it is missed.

use super::compares::{read_only_txn, unchanged};
use super::dependency_state::DependencyState;
use super::pending::{RecordVersions, Stage};
use super::rejection::Rejection;
use super::Gateway;
use crate::effects::Effects;
use crate::requests::{Priority, StateReply, StateTag};
use constants::{STATE_RETRY_MS, VALIDATION_GATHER_MS, VALIDATION_INTERVAL_MS};
use std::collections::VecDeque;
use wire::records::JOB_PREFIX;

/// Requests that wait for a read validation, and the one in flight.
#[derive(Default)]
pub(super) struct ReadValidation {
    waiting: VecDeque<u64>,
    in_flight: Option<Batch>,
    /// When the next one may be sent.
    next_at: u64,
    last_number: u64,
}

/// A transaction in flight.
struct Batch {
    number: u64,
    versions: RecordVersions,
    requests: Vec<u64>,
}

impl ReadValidation {
    /// A request waits for the next transaction.
    pub(super) fn push_back(&mut self, number: u64) {
        self.waiting.push_back(number);
    }
}

impl Gateway {
    /// Lets a request wait for a read validation of all that its answer depends on.
    pub(super) fn start_validation(&mut self, number: u64, effects: &mut Effects) {
        if let Some(pending) = self.pending.get_mut(number) {
            pending.stage = Stage::Validating;
            pending.unvalidated = None;
            self.validation.push_back(number);
        }
        self.send_validation(effects);
    }

    /// When the next read validation is to be sent; `u64::MAX` if none is.
    pub(super) fn next_validation_at(&self) -> u64 {
        let first = self.validation.waiting.front();
        match first.and_then(|number| self.pending.get(*number)) {
            Some(pending) if self.validation.in_flight.is_none() => {
                let gathered_at = pending.since() + VALIDATION_GATHER_MS;
                self.validation.next_at.max(gathered_at)
            }
            _ => u64::MAX,
        }
    }

    /// Whether enough requests have gathered, or the first of them has waited for long enough.
    fn is_validation_gathered(&self, now: u64) -> bool {
        let waiting = &self.validation.waiting;
        let first = waiting.front().and_then(|number| self.pending.get(*number));
        waiting.len() >= self.max_compares
            || first.is_none_or(|pending| now >= pending.since() + VALIDATION_GATHER_MS)
    }

    /// Sends one transaction that validates the records of as many waiting requests as it can hold.
    pub(super) fn send_validation(&mut self, effects: &mut Effects) {
        let now = effects.now.mono;
        let blocked = self.validation.in_flight.is_some() || now < self.validation.next_at;
        if blocked || !self.is_validation_gathered(now) {
            return;
        }
        let (versions, requests) = self.gather_validation(effects);
        if versions.is_empty() {
            return;
        }
        let op = read_only_txn(unchanged(versions.iter()));
        self.validation.next_at = now + VALIDATION_INTERVAL_MS;
        self.validation.last_number += 1;
        let number = self.validation.last_number;
        let tag = StateTag::ReadValidation(number);
        effects.request_state(Priority::ReadValidation, op, tag);
        self.validation.in_flight = Some(Batch {
            number,
            versions,
            requests,
        });
    }

    /// Takes the versions for one transaction, and the requests that depend on them, from those that wait.
    fn gather_validation(&mut self, effects: &mut Effects) -> (RecordVersions, Vec<u64>) {
        let mut versions = RecordVersions::new();
        let mut requests = Vec::new();
        for number in std::mem::take(&mut self.validation.waiting) {
            let Some(unvalidated) = self.unvalidated_for(number, effects) else {
                continue;
            };
            for (id, version) in &unvalidated {
                if versions.len() < self.max_compares && !versions.contains_key(id) {
                    versions.insert(id.clone(), *version);
                }
            }
            // A request with many records goes on in the next transactions.
            let mut records = unvalidated.iter();
            if records.any(|(id, version)| versions.get(id) == Some(version)) {
                requests.push(number)
            } else {
                self.validation.push_back(number)
            }
        }
        (versions, requests)
    }

    /// What is to be validated for a request's answer. `None` if the request has been answered, or reads a record
    /// first.
    fn unvalidated_for(&mut self, number: u64, effects: &mut Effects) -> Option<RecordVersions> {
        let pending = self.pending.get(number)?;
        if let Some(unvalidated) = &pending.unvalidated {
            return Some(unvalidated.clone());
        }
        let id = pending.id.clone();
        if self.cache.known_version(&id).is_none() {
            self.advance(number, Stage::ReadingOpen, effects);
            return None;
        }
        match self.cache.dependency_state(std::iter::once(&id)) {
            DependencyState::Open(versions) => {
                if versions.len() == 1 {
                    self.cache.remember_released(&id);
                }
                let pending = self.pending.get_mut(number)?;
                pending.unvalidated = Some(versions.clone());
                Some(versions)
            }
            DependencyState::Unknown(needed) => {
                self.read_dependency(number, needed, effects);
                None
            }
            DependencyState::Cancelled => {
                let pending = self.pending.close(number)?;
                self.answer_open(pending.request, &id, true, effects);
                None
            }
        }
    }

    /// Takes the reply to a read validation: what was validated is answered, what was not is read.
    pub fn on_read_validation(&mut self, number: u64, reply: StateReply, effects: &mut Effects) {
        let in_flight = &mut self.validation.in_flight;
        let Some(batch) = in_flight.take_if(|batch| batch.number == number) else {
            return;
        };
        match reply {
            StateReply::Committed { .. } => self.on_validated(batch, effects),
            StateReply::Conflict { failed } => self.on_outdated(batch, &failed, effects.now.mono),
            StateReply::Refused => self.on_validation_refused(batch, effects),
            _ => {
                for number in batch.requests {
                    self.refuse(number, &Rejection::StateUnreachable, effects);
                }
            }
        }
        self.send_validation(effects);
    }

    /// All versions of a batch are current.
    fn on_validated(&mut self, batch: Batch, effects: &mut Effects) {
        // Backwards, since what has to wait goes to the front again.
        for number in batch.requests.into_iter().rev() {
            let Some(pending) = self.pending.get_mut(number) else {
                continue;
            };
            let unvalidated = pending.unvalidated.get_or_insert_default();
            unvalidated.retain(|id, version| batch.versions.get(id) != Some(version));
            if !unvalidated.is_empty() {
                self.validation.waiting.push_front(number);
                self.validation.next_at = effects.now.mono;
                continue;
            }
            if let Some(pending) = self.pending.close(number) {
                let known = self.cache.known_version(&pending.id);
                let cancelled = known.is_some_and(|known| known.cancelled);
                self.answer_open(pending.request, &pending.id, cancelled, effects);
            }
        }
    }

    /// Some versions of a batch are out of date. All its requests wait for the next one, which is sent at once: none
    /// of them was validated by this.
    fn on_outdated(&mut self, batch: Batch, failed_keys: &[String], now: u64) {
        for id in failed_keys
            .iter()
            .filter_map(|key| key.strip_prefix(JOB_PREFIX))
        {
            let Some(compared) = batch.versions.get(id) else {
                continue;
            };
            // A newer version may have been learnt since.
            let known = self.cache.known_version(id);
            if known.is_some_and(|known| known.version == *compared) {
                self.cache.forget_version(id);
            }
        }
        for number in batch.requests.into_iter().rev() {
            if let Some(pending) = self.pending.get_mut(number) {
                pending.unvalidated = None;
                self.validation.waiting.push_front(number);
            }
        }
        self.validation.next_at = now;
    }

    fn on_validation_refused(&mut self, batch: Batch, effects: &mut Effects) {
        let now = effects.now.mono;
        for number in batch.requests.into_iter().rev() {
            if self.pending.may_retry(number, now) {
                self.validation.waiting.push_front(number)
            } else {
                self.refuse(number, &Rejection::StateRefuses, effects)
            }
        }
        self.validation.next_at = now + STATE_RETRY_MS;
    }
}
