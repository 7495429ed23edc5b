//! Reads a user's request, refuses what can't be taken, and starts the rest.

use super::pending::{Operation, PendingRequest, Stage};
use super::rejection::Rejection;
use super::Gateway;
use crate::effects::{Effects, RequestId};
use wire::users::{is_job_id, Submission, SubmissionId};

const SUBMISSIONS_PATH: &str = "/submissions";
const CANCEL_SUFFIX: &str = "/abort";

/// What a request's method and path ask for.
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

/// A request that has been read.
struct UserRequest {
    operation: Operation,
    /// The job that it is about.
    id: String,
}

impl Gateway {
    /// Takes a request of a user. Without the state service only ends that are known are answered.
    pub fn on_request(
        &mut self,
        request: RequestId,
        method: &str,
        path: &str,
        body: &[u8],
        state_available: bool,
        effects: &mut Effects,
    ) {
        let UserRequest { operation, id } = match self.read_request(method, path, body) {
            Ok(read) => read,
            Err(why) => return effects.refuse(request, why.status(), &why.to_string()),
        };
        if let Some(end) = self.cache.known_final(&id) {
            return self.answer_final(request, &id, end, effects);
        }
        let stage = self.first_stage(&operation, &id);
        if let Err(why) = self.check_capacity(&operation, &stage, state_available) {
            return effects.refuse(request, why.status(), &why.to_string());
        }
        let pending = PendingRequest::new(request, id, operation, stage, effects.now.mono);
        let number = self.pending.insert(pending);
        self.start(number, effects);
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
                id: id.to_string(),
            },
            Route::Cancel(id) => UserRequest {
                operation: Operation::Cancel,
                id: id.to_string(),
            },
        };
        if is_job_id(&user_request.id) {
            Ok(user_request)
        } else {
            Err(Rejection::NoSuchJob)
        }
    }

    /// Reads a submission. One without a readable id is refused here; any other fault is answered only once it is
    /// certain that the id is not that of an accepted job.
    fn read_submission(&self, body: &[u8]) -> Result<UserRequest, Rejection> {
        let user_request = match wire::decode::<Submission>(body) {
            Ok(spec) => self.check_submission(spec),
            Err(why) => {
                let malformed = Rejection::Malformed(why.to_string());
                let Ok(SubmissionId { id }) = wire::decode(body) else {
                    return Err(malformed);
                };
                UserRequest {
                    operation: Operation::RejectedSubmit(malformed),
                    id,
                }
            }
        };
        if is_job_id(&user_request.id) {
            Ok(user_request)
        } else {
            Err(Rejection::InvalidField("id"))
        }
    }

    fn check_submission(&self, mut spec: Submission) -> UserRequest {
        spec.dedup_dependencies();
        let id = spec.id.clone();
        let checked = self.admission.check(&spec);
        let operation = match checked.and_then(|()| self.records.check_size(&spec)) {
            Ok(()) => Operation::Submit(Box::new(spec)),
            Err(why) => Operation::RejectedSubmit(why),
        };
        UserRequest { operation, id }
    }

    /// The first stage of a request about a job whose end is not known.
    fn first_stage(&self, operation: &Operation, id: &str) -> Stage {
        let version_known = self.cache.known_version(id).is_some();
        match operation {
            Operation::Submit(_) => Stage::Creating,
            _ if !version_known => Stage::SearchingId,
            // Users ask every few seconds about every open job: a read each would use up the state service's rate.
            Operation::Status => Stage::Validating,
            Operation::RejectedSubmit(_) | Operation::Cancel => Stage::ReadingOpen,
        }
    }

    /// Whether a request can be decided in time.
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
        if matches!(stage, Stage::SearchingId) && self.is_id_search_full(is_change) {
            return Err(Rejection::TooManyUnknownIds);
        }
        Ok(())
    }

    /// Takes the first step of a request.
    fn start(&mut self, number: u64, effects: &mut Effects) {
        let Some(pending) = self.pending.get(number) else {
            return;
        };
        let is_change = pending.operation.is_change();
        match (&pending.stage, &pending.operation) {
            (Stage::Validating, _) => self.validation.push_back(number),
            (Stage::SearchingId, _) => self.unknown_ids.push_back(number, is_change),
            (Stage::Creating, Operation::Submit(spec)) if !spec.dependencies.is_empty() => {
                self.continue_submission(number, effects);
            }
            _ => self.send(number, effects),
        }
    }
}

fn log_refused(why: &Rejection) {
    let status = why.status();
    let why = why.to_string();
    log::info!("event=job_refused status={status} why={why:?}");
}
