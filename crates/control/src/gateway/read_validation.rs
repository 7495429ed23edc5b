//! Read validation: one transaction checks for many open jobs at once that their cached record versions are current.
//!
//! The transaction has no writes; its conditions compare versions. It is sent after the status queries were received,
//! so its result holds at a point in time after them. The records of a job's dependencies are compared too, in several
//! transactions if there are many. Each of these transactions holds at a point in time after the query, so no
//! cancellation before the query is missed.

use super::compares::{read_only_txn, version_compares};
use super::dependency_state::DependencyState;
use super::pending::{RecordVersions, Stage};
use super::rejection::Rejection;
use super::Gateway;
use crate::effects::Effects;
use crate::requests::{Priority, StateReply, StateTag};
use constants::{STATE_RETRY_MS, VALIDATION_BATCH_DELAY_MS, VALIDATION_INTERVAL_MS};
use std::collections::VecDeque;
use wire::records::JOB_PREFIX;

/// Requests that wait for a read validation, and the batch in flight.
#[derive(Default)]
pub(super) struct ReadValidation {
    waiting: VecDeque<u64>,
    in_flight: Option<Batch>,
    /// When the next batch may be sent.
    next_at: u64,
    last_batch_id: u64,
}

/// A validation transaction in flight.
struct Batch {
    id: u64,
    versions: RecordVersions,
    requests: Vec<u64>,
}

impl ReadValidation {
    /// Queues a request for the next transaction.
    pub(super) fn push_back(&mut self, pending_id: u64) {
        self.waiting.push_back(pending_id);
    }
}

impl Gateway {
    /// Queues a request for a read validation of all records on which its answer depends.
    pub(super) fn start_validation(&mut self, pending_id: u64, effects: &mut Effects) {
        if let Some(pending) = self.pending.get_mut(pending_id) {
            pending.stage = Stage::Validating;
            pending.unvalidated = None;
            self.validation.push_back(pending_id);
        }
        self.send_validation(effects);
    }

    /// When the next read validation has to be sent; `u64::MAX` if none is scheduled.
    pub(super) fn next_validation_at(&self) -> u64 {
        let first = self.validation.waiting.front();
        match first.and_then(|pending_id| self.pending.get(*pending_id)) {
            Some(pending) if self.validation.in_flight.is_none() => {
                let gathered_at = pending.received_at() + VALIDATION_BATCH_DELAY_MS;
                self.validation.next_at.max(gathered_at)
            }
            _ => u64::MAX,
        }
    }

    /// Whether enough requests are queued, or the first of them has waited long enough.
    fn is_validation_gathered(&self, now: u64) -> bool {
        let waiting = &self.validation.waiting;
        let first = waiting
            .front()
            .and_then(|pending_id| self.pending.get(*pending_id));
        waiting.len() >= self.max_compares
            || first.is_none_or(|pending| now >= pending.received_at() + VALIDATION_BATCH_DELAY_MS)
    }

    /// Sends one transaction that validates the records of as many queued requests as it can hold.
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
        let op = read_only_txn(version_compares(versions.iter()));
        self.validation.next_at = now + VALIDATION_INTERVAL_MS;
        self.validation.last_batch_id += 1;
        let id = self.validation.last_batch_id;
        let tag = StateTag::ReadValidation(id);
        effects.request_state(Priority::ReadValidation, op, tag);
        self.validation.in_flight = Some(Batch {
            id,
            versions,
            requests,
        });
    }

    /// Collects the versions for one transaction from the queued requests, and the requests that depend on them.
    fn gather_validation(&mut self, effects: &mut Effects) -> (RecordVersions, Vec<u64>) {
        let mut versions = RecordVersions::new();
        let mut requests = Vec::new();
        for pending_id in std::mem::take(&mut self.validation.waiting) {
            let Some(unvalidated) = self.unvalidated_for(pending_id, effects) else {
                continue;
            };
            for (id, version) in &unvalidated {
                if versions.len() < self.max_compares && !versions.contains_key(id) {
                    versions.insert(id.clone(), *version);
                }
            }
            // A request with many records continues in later transactions.
            let mut records = unvalidated.iter();
            if records.any(|(id, version)| versions.get(id) == Some(version)) {
                requests.push(pending_id)
            } else {
                self.validation.push_back(pending_id)
            }
        }
        (versions, requests)
    }

    /// The versions to validate for a request's answer. `None` if the request has been answered, or has to read a
    /// record first.
    fn unvalidated_for(
        &mut self,
        pending_id: u64,
        effects: &mut Effects,
    ) -> Option<RecordVersions> {
        let pending = self.pending.get(pending_id)?;
        if let Some(unvalidated) = &pending.unvalidated {
            return Some(unvalidated.clone());
        }
        let id = pending.job_id.clone();
        if self.cache.known_version(&id).is_none() {
            self.advance(pending_id, Stage::ReadingOpen, effects);
            return None;
        }
        match self.cache.dependency_state(std::iter::once(&id)) {
            DependencyState::Open(versions) => {
                if versions.len() == 1 {
                    self.cache.remember_released(&id);
                }
                let pending = self.pending.get_mut(pending_id)?;
                pending.unvalidated = Some(versions.clone());
                Some(versions)
            }
            DependencyState::Unknown(dependency) => {
                self.read_dependency(pending_id, dependency, effects);
                None
            }
            DependencyState::Cancelled => {
                let pending = self.pending.remove(pending_id)?;
                self.answer_open(pending.request, &id, true, effects);
                None
            }
        }
    }

    /// Handles the reply to a read validation. Validated requests are answered; outdated records are read again.
    pub fn on_read_validation_reply(
        &mut self,
        batch_id: u64,
        reply: StateReply,
        effects: &mut Effects,
    ) {
        let in_flight = &mut self.validation.in_flight;
        let Some(batch) = in_flight.take_if(|batch| batch.id == batch_id) else {
            return;
        };
        match reply {
            StateReply::Committed { .. } => self.on_validated(batch, effects),
            StateReply::Conflict { failed } => self.on_outdated(batch, &failed, effects.now.mono),
            StateReply::Refused => self.on_validation_refused(batch, effects),
            _ => {
                for pending_id in batch.requests {
                    self.refuse(pending_id, &Rejection::StateUnreachable, effects);
                }
            }
        }
        self.send_validation(effects);
    }

    /// Handles a batch whose versions are all current.
    fn on_validated(&mut self, batch: Batch, effects: &mut Effects) {
        // In reverse order, since requests that have to wait are pushed to the front of the queue.
        for pending_id in batch.requests.into_iter().rev() {
            let Some(pending) = self.pending.get_mut(pending_id) else {
                continue;
            };
            let unvalidated = pending.unvalidated.get_or_insert_default();
            unvalidated.retain(|id, version| batch.versions.get(id) != Some(version));
            if !unvalidated.is_empty() {
                self.validation.waiting.push_front(pending_id);
                self.validation.next_at = effects.now.mono;
                continue;
            }
            if let Some(pending) = self.pending.remove(pending_id) {
                let known = self.cache.known_version(&pending.job_id);
                let cancelled = known.is_some_and(|known| known.cancelled);
                self.answer_open(pending.request, &pending.job_id, cancelled, effects);
            }
        }
    }

    /// Handles a batch with outdated versions, which has validated none of its requests. All of them wait for the next
    /// batch, which is sent immediately.
    fn on_outdated(&mut self, batch: Batch, failed_keys: &[String], now: u64) {
        for id in failed_keys
            .iter()
            .filter_map(|key| key.strip_prefix(JOB_PREFIX))
        {
            let Some(compared) = batch.versions.get(id) else {
                continue;
            };
            // The cache may already contain a newer version.
            let known = self.cache.known_version(id);
            if known.is_some_and(|known| known.version == *compared) {
                self.cache.forget_version(id);
            }
        }
        for pending_id in batch.requests.into_iter().rev() {
            if let Some(pending) = self.pending.get_mut(pending_id) {
                pending.unvalidated = None;
                self.validation.waiting.push_front(pending_id);
            }
        }
        self.validation.next_at = now;
    }

    fn on_validation_refused(&mut self, batch: Batch, effects: &mut Effects) {
        let now = effects.now.mono;
        for pending_id in batch.requests.into_iter().rev() {
            if self.pending.may_retry(pending_id, now) {
                self.validation.waiting.push_front(pending_id)
            } else {
                self.refuse(pending_id, &Rejection::StateRefuses, effects)
            }
        }
        self.validation.next_at = now + STATE_RETRY_MS;
    }
}
