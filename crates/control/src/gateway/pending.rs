//! Requests that wait for an answer: what each asks for, and how far it has come.

use super::rejection::Rejection;
use crate::effects::RequestId;
use constants::{USER_REQUESTS_IN_FLIGHT_MAX, USER_REQUEST_TIMEOUT_MS, USER_RETRY_WINDOW_MS};
use std::collections::{BTreeMap, HashMap};
use wire::users::Submission;

/// Job ids with the versions that their open records are expected to have.
pub(super) type RecordVersions = BTreeMap<String, u64>;

/// What a request asks for.
pub(super) enum Operation {
    /// Record a job.
    Submit(Box<Submission>),
    /// A submission that can't be accepted. It is refused only if its id is unknown: a repeat of an accepted one is
    /// answered with the job's state.
    RejectedSubmit(Rejection),
    /// Tell a job's state.
    Status,
    /// Cancel a job.
    Cancel,
}

impl Operation {
    /// Whether something is to be changed, rather than asked. Rejected submissions count among the changes.
    pub(super) fn is_change(&self) -> bool {
        !matches!(self, Operation::Status)
    }
}

/// Which of a job's two records is read.
#[derive(Clone, Copy)]
pub(super) enum RecordKind {
    /// The record of an open job.
    Open,
    /// The record of how a job ended.
    Final,
}

/// What a request waits for.
pub(super) enum Stage {
    /// The version of the job's record is known: a read validation is to show that it is current.
    Validating,
    /// Nothing is known of the id: a transaction is to show whether a job has it.
    SearchingId,
    /// The transaction that creates the job.
    Creating,
    /// A read of the job's open record.
    ReadingOpen,
    /// A read of the job's final record.
    ReadingFinal,
    /// The transaction that cancels the job.
    Cancelling,
    /// A read of a record of a job that this one needs, directly or not. The final record is read last.
    ReadingDependency {
        /// The needed job.
        id: String,
        /// Which of its records.
        record: RecordKind,
    },
    /// A read validation of some of the jobs that a submission needs, before its creation.
    ValidatingDependencies,
}

impl Stage {
    /// Whether a step that the state service turned away may be sent again. What it sends is built from the pending
    /// request alone; a cancellation's transaction also takes the record that was read, which is not stored.
    pub(super) fn is_retryable(&self) -> bool {
        match self {
            Stage::Creating
            | Stage::ReadingOpen
            | Stage::ReadingFinal
            | Stage::ValidatingDependencies
            | Stage::ReadingDependency { .. } => true,
            Stage::Validating | Stage::SearchingId | Stage::Cancelling => false,
        }
    }
}

/// A request that waits for its answer.
pub(super) struct PendingRequest {
    /// Number under which the answer goes out.
    pub(super) request: RequestId,
    /// The job.
    pub(super) id: String,
    /// What is asked for.
    pub(super) operation: Operation,
    /// How far it has come.
    pub(super) stage: Stage,
    /// When it came, on the steady clock.
    since: u64,
    /// Records that are still to be validated: the job's own and those of the jobs that it needs. `None` until they
    /// have been determined.
    pub(super) unvalidated: Option<RecordVersions>,
    /// A job that this one needs is cancelled.
    pub(super) dependency_cancelled: bool,
}

impl PendingRequest {
    /// A request that has just come.
    pub(super) fn new(
        request: RequestId,
        id: String,
        operation: Operation,
        stage: Stage,
        now: u64,
    ) -> Self {
        PendingRequest {
            request,
            id,
            operation,
            stage,
            since: now,
            unvalidated: None,
            dependency_cancelled: false,
        }
    }

    /// When it came, on the steady clock.
    pub(super) fn since(&self) -> u64 {
        self.since
    }

    /// Whether the time in which it must be decided has passed.
    pub(super) fn is_past_deadline(&self, now: u64) -> bool {
        now > self.since + USER_REQUEST_TIMEOUT_MS
    }
}

/// All requests that wait for an answer, by a number that the gateway gives them.
#[derive(Default)]
pub(super) struct PendingRequests {
    requests: HashMap<u64, PendingRequest>,
    /// How many of them are submissions and cancellations.
    changes: usize,
    last_number: u64,
}

impl PendingRequests {
    /// Adds a request and returns its number. Later requests have larger numbers.
    pub(super) fn insert(&mut self, pending: PendingRequest) -> u64 {
        self.last_number += 1;
        self.changes += usize::from(pending.operation.is_change());
        self.requests.insert(self.last_number, pending);
        self.last_number
    }

    /// The request of this number, unless it has been answered.
    pub(super) fn get(&self, number: u64) -> Option<&PendingRequest> {
        self.requests.get(&number)
    }

    /// The request of this number, unless it has been answered.
    pub(super) fn get_mut(&mut self, number: u64) -> Option<&mut PendingRequest> {
        self.requests.get_mut(&number)
    }

    /// Takes out a request that is about to be answered.
    pub(super) fn close(&mut self, number: u64) -> Option<PendingRequest> {
        let pending = self.requests.remove(&number)?;
        self.changes -= usize::from(pending.operation.is_change());
        Some(pending)
    }

    /// Takes out all requests.
    pub(super) fn drain(&mut self) -> impl Iterator<Item = PendingRequest> + '_ {
        self.changes = 0;
        self.requests.drain().map(|(_, pending)| pending)
    }

    /// Whether no request waits.
    pub(super) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Whether no further request of a kind is taken.
    ///
    /// Changes and questions are counted separately: questions come in floods, and with one count for both no
    /// submission or cancellation was taken at all meanwhile.
    pub(super) fn is_full(&self, is_change: bool) -> bool {
        let in_hand = if is_change {
            self.changes
        } else {
            self.requests.len() - self.changes
        };
        in_hand >= USER_REQUESTS_IN_FLIGHT_MAX
    }

    /// Whether a step that was turned away may be sent again. After that, the request is refused and the user retries.
    pub(super) fn may_retry(&self, number: u64, now: u64) -> bool {
        self.get(number)
            .is_some_and(|pending| now < pending.since + USER_RETRY_WINDOW_MS)
    }

    /// Numbers of the requests whose deadline has passed.
    pub(super) fn past_deadline(&self, now: u64) -> Vec<u64> {
        self.requests
            .iter()
            .filter(|(_, pending)| pending.is_past_deadline(now))
            .map(|(number, _)| *number)
            .collect()
    }
}
