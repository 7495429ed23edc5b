//! Parses users' requests, refuses those that can't be processed, and starts the others.

use super::pending::{Operation, PendingRequest, Stage};
use super::rejection::Rejection;
use super::Gateway;
use crate::effects::{Effects, NodeEvent, RequestId};
use crate::forwarding::HttpRequest;
use wire::users::{is_job_id, Submission, SubmissionId};

const SUBMISSIONS_PATH: &str = "/submissions";
const CANCEL_SUFFIX: &str = "/abort";

/// Operation that a request's method and path select. A status query or cancellation has the job ID from the path.
enum Route<'a> {
    Submit,
    Status(&'a str),
    Cancel(&'a str),
}

impl Route<'_> {
    fn parse<'a>(method: &str, path: &'a str) -> Result<Route<'a>, Rejection> {
        let rest = path.strip_prefix(SUBMISSIONS_PATH).unwrap_or_default();
        if rest.is_empty() {
            return match method {
                "POST" => Ok(Route::Submit),
                _ => Err(Rejection::MethodNotAllowed),
            };
        }
        let name = rest.strip_prefix('/').unwrap_or_default();
        match (method, name.strip_suffix(CANCEL_SUFFIX)) {
            ("GET", None) => Ok(Route::Status(name)),
            ("POST", Some(id)) => Ok(Route::Cancel(id)),
            _ => Err(Rejection::MethodNotAllowed),
        }
    }
}

/// A parsed request, with the ID of its job.
struct UserRequest {
    operation: Operation,
    job_id: String,
}

/// What a node can do for its users at the moment.
#[derive(Clone, Copy)]
pub(crate) struct NodeStatus {
    /// Whether the node reaches the state service.
    pub is_state_available: bool,
    /// Whether the node leads.
    pub is_leader: bool,
}

/// Whether the gateway handles a request.
#[must_use]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Acceptance {
    /// The gateway answers the request, now or later.
    Accepted,
    /// The submission can be decided by the leader only. It is not answered here.
    NeedsLeader,
}

impl Gateway {
    /// Handles a user's request, whose target is a path without a query. If the state service is unavailable, only jobs
    /// whose outcome is known are answered.
    pub fn on_request(
        &mut self,
        request: HttpRequest,
        node: NodeStatus,
        effects: &mut Effects,
    ) -> Acceptance {
        match self.read_request(&request, effects.now.mono) {
            Ok(read) => self.handle(request, read, node, effects),
            Err(rejection) => {
                effects.refuse(request.id, rejection.status(), &rejection.to_string());
                Acceptance::Accepted
            }
        }
    }

    fn handle(
        &mut self,
        request: HttpRequest,
        user_request: UserRequest,
        node: NodeStatus,
        effects: &mut Effects,
    ) -> Acceptance {
        let UserRequest { operation, job_id } = user_request;
        if let Some(outcome) = self.cache.known_outcome(&job_id) {
            self.answer_final(request.id, &job_id, outcome, effects);
            return Acceptance::Accepted;
        }
        if self.needs_leader(&operation, &job_id, node) {
            return Acceptance::NeedsLeader;
        }
        let stage = self.first_stage(&operation, &job_id);
        if let Err(rejection) = self.check_capacity(&operation, &stage, node.is_state_available) {
            effects.refuse(request.id, rejection.status(), &rejection.to_string());
            return Acceptance::Accepted;
        }
        let pending = PendingRequest::new(request.id, job_id, operation, stage, effects.now.mono);
        let pending_id = self.pending.insert(pending);
        self.start(pending_id, effects);
        Acceptance::Accepted
    }

    /// Refuses a submission that only the leader can decide, since no leader can be asked. The user retries.
    pub fn refuse_unconfirmed(&self, request: RequestId, effects: &mut Effects) {
        let rejection = Rejection::Unconfirmed;
        effects.refuse(request, rejection.status(), &rejection.to_string());
    }

    fn read_request(&self, request: &HttpRequest, now: u64) -> Result<UserRequest, Rejection> {
        let HttpRequest {
            method,
            target: path,
            body,
            ..
        } = *request;
        let user_request = match Route::parse(method, path)? {
            Route::Submit => self.read_submission(body, now).inspect_err(log_refused)?,
            Route::Status(id) => UserRequest {
                operation: Operation::Status,
                job_id: id.to_string(),
            },
            Route::Cancel(id) => UserRequest {
                operation: Operation::Cancel,
                job_id: id.to_string(),
            },
        };
        if is_job_id(&user_request.job_id) {
            Ok(user_request)
        } else {
            Err(Rejection::NoSuchJob)
        }
    }

    /// Parses a submission. A submission without a readable ID is refused immediately. Any other error is answered only
    /// after it is certain that no accepted job has the ID.
    fn read_submission(&self, body: &[u8], now: u64) -> Result<UserRequest, Rejection> {
        let user_request = match wire::decode::<Submission>(body) {
            Ok(spec) => self.check_submission(spec, now),
            Err(error) => {
                let malformed = Rejection::Malformed(error.to_string());
                let Ok(SubmissionId { id: job_id }) = wire::decode(body) else {
                    return Err(malformed);
                };
                UserRequest {
                    operation: Operation::RejectedSubmit(malformed),
                    job_id,
                }
            }
        };
        if is_job_id(&user_request.job_id) {
            Ok(user_request)
        } else {
            Err(Rejection::InvalidField("id"))
        }
    }

    fn check_submission(&self, mut spec: Submission, now: u64) -> UserRequest {
        spec.dedup_dependencies();
        let job_id = spec.id.clone();
        let operation = self.submit_operation(spec, now);
        UserRequest { operation, job_id }
    }

    /// The operation for a submission whose fields have been read.
    pub(super) fn submit_operation(&self, spec: Submission, now: u64) -> Operation {
        let checked = self.admission.check(&spec);
        match checked.and_then(|()| self.records.check_size(&spec)) {
            Ok(()) => Operation::Submit(Box::new(spec)),
            Err(rejection) if self.admission.is_current(&rejection, now) => {
                Operation::RejectedSubmit(rejection)
            }
            Err(_) => Operation::ImpossibleSubmit(Box::new(spec)),
        }
    }

    /// The first stage of a request about a job whose outcome is not known.
    pub(super) fn first_stage(&self, operation: &Operation, id: &str) -> Stage {
        let version_known = self.cache.known_version(id).is_some();
        match operation {
            Operation::Submit(_) => Stage::Creating,
            Operation::ImpossibleSubmit(_) if !version_known => Stage::ListingMachineTypes,
            _ if !version_known => Stage::CheckingUnknownId,
            // Users query every open job every few seconds. A separate read for each query would exhaust the state
            // service's request rate.
            Operation::Status => Stage::Validating,
            Operation::RejectedSubmit(_) | Operation::ImpossibleSubmit(_) | Operation::Cancel => {
                Stage::ReadingOpen
            }
        }
    }

    /// Checks that a request can be decided in time.
    fn check_capacity(
        &self,
        operation: &Operation,
        stage: &Stage,
        state_available: bool,
    ) -> Result<(), Rejection> {
        let is_change = operation.is_change();
        if !state_available {
            return Err(Rejection::StateUnreachable);
        }
        if self.pending.is_full(is_change) {
            return Err(Rejection::TooManyRequests);
        }
        if matches!(stage, Stage::CheckingUnknownId) && self.is_unknown_id_check_full(is_change) {
            return Err(Rejection::TooManyUnknownIds);
        }
        Ok(())
    }

    /// Starts the first stage of a request.
    pub(super) fn start(&mut self, pending_id: u64, effects: &mut Effects) {
        let Some(pending) = self.pending.get(pending_id) else {
            return;
        };
        let is_change = pending.operation.is_change();
        match (&pending.stage, &pending.operation) {
            (Stage::Validating, _) => self.validation.push_back(pending_id),
            (Stage::ListingMachineTypes, _) => effects.emit(NodeEvent::MachineTypesNeeded),
            (Stage::CheckingUnknownId, _) => self.unknown_ids.push_back(pending_id, is_change),
            (Stage::Creating, Operation::Submit(spec)) if !spec.dependencies.is_empty() => {
                self.continue_submission(pending_id, effects);
            }
            _ => self.send(pending_id, effects),
        }
    }
}

fn log_refused(rejection: &Rejection) {
    let status = rejection.status();
    let reason = rejection.to_string();
    log::info!("event=job_refused status={status} why={reason:?}");
}
