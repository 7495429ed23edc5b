//! Parses users' requests, refuses those that can't be processed, and starts the others.

use super::pending::{Operation, PendingRequest, Stage};
use super::rejection::Rejection;
use super::Gateway;
use crate::effects::{Effects, RequestId};
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

impl Gateway {
    /// Handles a user's request. If the state service is unavailable, only jobs whose outcome is known are answered.
    pub fn on_request(
        &mut self,
        request: RequestId,
        method: &str,
        path: &str,
        body: &[u8],
        state_available: bool,
        effects: &mut Effects,
    ) {
        let UserRequest { operation, job_id } = match self.read_request(method, path, body) {
            Ok(read) => read,
            Err(rejection) => {
                return effects.refuse(request, rejection.status(), &rejection.to_string())
            }
        };
        if let Some(outcome) = self.cache.known_outcome(&job_id) {
            return self.answer_final(request, &job_id, outcome, effects);
        }
        let stage = self.first_stage(&operation, &job_id);
        if let Err(rejection) = self.check_capacity(&operation, &stage, state_available) {
            return effects.refuse(request, rejection.status(), &rejection.to_string());
        }
        let pending = PendingRequest::new(request, job_id, operation, stage, effects.now.mono);
        let pending_id = self.pending.insert(pending);
        self.start(pending_id, effects);
    }

    fn read_request(
        &self,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Result<UserRequest, Rejection> {
        let user_request = match Route::parse(method, path)? {
            Route::Submit => self.read_submission(body).inspect_err(log_refused)?,
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
    fn read_submission(&self, body: &[u8]) -> Result<UserRequest, Rejection> {
        let user_request = match wire::decode::<Submission>(body) {
            Ok(spec) => self.check_submission(spec),
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

    fn check_submission(&self, mut spec: Submission) -> UserRequest {
        spec.dedup_dependencies();
        let job_id = spec.id.clone();
        let checked = self.admission.check(&spec);
        let operation = match checked.and_then(|()| self.records.check_size(&spec)) {
            Ok(()) => Operation::Submit(Box::new(spec)),
            Err(rejection) => Operation::RejectedSubmit(rejection),
        };
        UserRequest { operation, job_id }
    }

    /// The first stage of a request about a job whose outcome is not known.
    fn first_stage(&self, operation: &Operation, id: &str) -> Stage {
        let version_known = self.cache.known_version(id).is_some();
        match operation {
            Operation::Submit(_) => Stage::Creating,
            _ if !version_known => Stage::CheckingUnknownId,
            // Users query every open job every few seconds. A separate read for each query would exhaust the state
            // service's request rate.
            Operation::Status => Stage::Validating,
            Operation::RejectedSubmit(_) | Operation::Cancel => Stage::ReadingOpen,
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
    fn start(&mut self, pending_id: u64, effects: &mut Effects) {
        let Some(pending) = self.pending.get(pending_id) else {
            return;
        };
        let is_change = pending.operation.is_change();
        match (&pending.stage, &pending.operation) {
            (Stage::Validating, _) => self.validation.push_back(pending_id),
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
