//! Pending requests, with their operations and their stages.

use super::rejection::Rejection;
use crate::effects::RequestId;
use constants::{USER_REQUESTS_IN_FLIGHT_MAX, USER_REQUEST_TIMEOUT_MS, USER_RETRY_WINDOW_MS};
use std::collections::{BTreeMap, HashMap};
use wire::users::Submission;

/// Expected versions of open jobs' records, by job ID.
pub(super) type RecordVersions = BTreeMap<String, u64>;

/// Operation that a request asks for.
pub(super) enum Operation {
    /// Creates a job.
    Submit(Box<Submission>),
    /// A submission that can't be accepted. It is refused only if its ID is unknown, since the repeat of an accepted
    /// submission is answered with the job's state.
    RejectedSubmit(Rejection),
    /// A submission of a job that can never run, according to machine types that may be out of date.
    ImpossibleSubmit(Box<Submission>),
    /// Queries a job's state.
    Status,
    /// Cancels a job.
    Cancel,
}

impl Operation {
    /// Whether the operation is a change rather than a status query. Rejected submissions count as changes.
    pub(super) fn is_change(&self) -> bool {
        !matches!(self, Operation::Status)
    }
}

/// Selects one of a job's two records.
#[derive(Clone, Copy)]
pub(super) enum RecordKind {
    /// The record of an open job.
    Open,
    /// The record of the job's outcome.
    Final,
}

/// The step for which a request waits.
pub(super) enum Stage {
    /// A read validation that checks whether the cached version of the job's record is current.
    Validating,
    /// A listing of the machine types by the cloud, which decides whether the job can run.
    ListingMachineTypes,
    /// A transaction that checks whether any job has the ID, which is not in the cache.
    CheckingUnknownId,
    /// The transaction that creates the job.
    Creating,
    /// A read of the job's open record.
    ReadingOpen,
    /// A read of the job's final record.
    ReadingFinal,
    /// The transaction that cancels the job.
    Cancelling,
    /// A read of a record of a direct or transitive dependency. The open record is read before the final record.
    ReadingDependency {
        /// ID of the dependency.
        id: String,
        /// The record that is read.
        record: RecordKind,
    },
    /// A transaction that validates some of a submission's dependencies before the job is created.
    ValidatingDependencies,
}

impl Stage {
    /// Whether the stage's request may be sent again after the state service refused it. This requires that it can be
    /// built from the pending request alone. A cancellation's transaction also needs the record that was read, which is
    /// not stored.
    pub(super) fn is_retryable(&self) -> bool {
        match self {
            Stage::Creating
            | Stage::ReadingOpen
            | Stage::ReadingFinal
            | Stage::ValidatingDependencies
            | Stage::ReadingDependency { .. } => true,
            Stage::Validating
            | Stage::ListingMachineTypes
            | Stage::CheckingUnknownId
            | Stage::Cancelling => false,
        }
    }
}

/// A request that waits for its answer.
pub(super) struct PendingRequest {
    /// ID of the incoming request, to which the answer is sent.
    pub(super) request: RequestId,
    /// ID of the job.
    pub(super) job_id: String,
    /// The requested operation.
    pub(super) operation: Operation,
    /// The current stage.
    pub(super) stage: Stage,
    /// When the request was received, on the monotonic clock.
    received_at: u64,
    /// Records that still have to be validated: the job's own and those of its dependencies. `None` until they have
    /// been determined.
    pub(super) unvalidated: Option<RecordVersions>,
    /// Whether a dependency of the job is cancelled.
    pub(super) dependency_cancelled: bool,
}

impl PendingRequest {
    /// Creates a request that is received now.
    pub(super) fn new(
        request: RequestId,
        job_id: String,
        operation: Operation,
        stage: Stage,
        now: u64,
    ) -> Self {
        PendingRequest {
            request,
            job_id,
            operation,
            stage,
            received_at: now,
            unvalidated: None,
            dependency_cancelled: false,
        }
    }

    /// When the request was received, on the monotonic clock.
    pub(super) fn received_at(&self) -> u64 {
        self.received_at
    }

    /// Whether the time within which the request must be decided has passed.
    pub(super) fn is_past_deadline(&self, now: u64) -> bool {
        now > self.received_at + USER_REQUEST_TIMEOUT_MS
    }
}

/// All pending requests, by a pending ID that is assigned here.
#[derive(Default)]
pub(super) struct PendingRequests {
    requests: HashMap<u64, PendingRequest>,
    /// Number of pending submissions and cancellations.
    changes: usize,
    last_pending_id: u64,
}

impl PendingRequests {
    /// Adds a request and returns its pending ID. Later requests have larger IDs.
    pub(super) fn insert(&mut self, pending: PendingRequest) -> u64 {
        self.last_pending_id += 1;
        self.changes += usize::from(pending.operation.is_change());
        self.requests.insert(self.last_pending_id, pending);
        self.last_pending_id
    }

    /// The request with this pending ID, unless it has been answered.
    pub(super) fn get(&self, pending_id: u64) -> Option<&PendingRequest> {
        self.requests.get(&pending_id)
    }

    /// The request with this pending ID, unless it has been answered.
    pub(super) fn get_mut(&mut self, pending_id: u64) -> Option<&mut PendingRequest> {
        self.requests.get_mut(&pending_id)
    }

    /// Removes a request that is about to be answered.
    pub(super) fn remove(&mut self, pending_id: u64) -> Option<PendingRequest> {
        let pending = self.requests.remove(&pending_id)?;
        self.changes -= usize::from(pending.operation.is_change());
        Some(pending)
    }

    /// Removes all requests.
    pub(super) fn drain(&mut self) -> impl Iterator<Item = PendingRequest> + '_ {
        self.changes = 0;
        self.requests.drain().map(|(_, pending)| pending)
    }

    /// Whether no request is pending.
    pub(super) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Whether no further request of this kind is accepted.
    ///
    /// Changes and status queries are counted separately because status queries arrive in floods. With a shared count,
    /// no submission or cancellation was accepted during a flood.
    pub(super) fn is_full(&self, is_change: bool) -> bool {
        let in_flight = if is_change {
            self.changes
        } else {
            self.requests.len() - self.changes
        };
        in_flight >= USER_REQUESTS_IN_FLIGHT_MAX
    }

    /// Whether it is early enough to resend a step that the state service refused. Later, the request is refused and
    /// the user retries.
    pub(super) fn may_retry(&self, pending_id: u64, now: u64) -> bool {
        self.get(pending_id)
            .is_some_and(|pending| now < pending.received_at + USER_RETRY_WINDOW_MS)
    }

    /// Pending IDs of the requests that wait for a listing of the machine types.
    pub(super) fn awaiting_machine_types(&self) -> Vec<u64> {
        let awaits_types = |(_, pending): &(&u64, &PendingRequest)| {
            matches!(pending.stage, Stage::ListingMachineTypes)
        };
        let awaiting = self.requests.iter().filter(awaits_types);
        awaiting.map(|(pending_id, _)| *pending_id).collect()
    }

    /// Pending IDs of the requests whose deadline has passed.
    pub(super) fn past_deadline(&self, now: u64) -> Vec<u64> {
        self.requests
            .iter()
            .filter(|(_, pending)| pending.is_past_deadline(now))
            .map(|(pending_id, _)| *pending_id)
            .collect()
    }
}
