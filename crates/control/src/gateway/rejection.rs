//! Why a user's request is refused, and with which HTTP status.

const BAD_REQUEST: u16 = 400;
const NOT_FOUND: u16 = 404;
const METHOD_NOT_ALLOWED: u16 = 405;
const UNPROCESSABLE: u16 = 422;
/// Status of everything that the user is to try again.
pub(super) const UNAVAILABLE: u16 = 503;

/// A reason to refuse a request. Its text is the answer's `error` field.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub(super) enum Rejection {
    /// The body, or the id in it, can't be read.
    #[error("{0}")]
    Malformed(String),
    /// A field of a submission has a value that is never allowed.
    #[error("{0}: invalid")]
    InvalidField(&'static str),
    /// The records of a submission exceed the state service's limits.
    #[error(
        "the submission takes {bytes} bytes; one value holds {value_bytes}, \
         and {more_records} further ones hold machine types"
    )]
    TooLong {
        /// Size of the submission as one record.
        bytes: usize,
        /// Size that a value may have.
        value_bytes: usize,
        /// Further records that may hold machine types.
        more_records: usize,
    },
    /// No job has the id, or the id does not have the form of one.
    #[error("no such job")]
    NoSuchJob,
    /// The method is not one that the path takes.
    #[error("method not allowed")]
    MethodNotAllowed,
    /// A submission needs a job that nobody has submitted.
    #[error("awaits: {0:?} was never accepted")]
    UnknownDependency(String),
    /// A submission names a team that does not exist.
    #[error("tenant: no team {0:?}")]
    UnknownTeam(String),
    /// What has to run at once exceeds the team's limit.
    #[error("needs more than the team's limit")]
    OverTeamLimit,
    /// A task is larger than every machine that it may run on.
    #[error("a task fits no allowed machine type")]
    FitsNoMachineType,
    /// Whether a job could ever run can't be said yet.
    #[error("machine types are not known yet")]
    MachineTypesUnknown,
    /// Too many requests of the same kind wait for their answers.
    #[error("too many requests in hand")]
    TooManyRequests,
    /// Too many requests wait for a search for ids that nothing is known of.
    #[error("too many requests about unknown ids")]
    TooManyUnknownIds,
    /// The state service can't be reached, or its answer does not tell the outcome.
    #[error("the state service does not answer")]
    StateUnreachable,
    /// The state service turned a request away for longer than it may be retried.
    #[error("the state service refuses")]
    StateRefuses,
    /// The state service will never execute what it was sent.
    #[error("the state service can't take this")]
    StateInvalid,
    /// A record does not have the form that this build reads.
    #[error("unreadable record")]
    UnreadableRecord,
    /// The request's deadline passed.
    #[error("not decided in time")]
    DeadlineExceeded,
    /// The creation of the job may still be on its way.
    #[error("not recorded yet")]
    NotRecordedYet,
    /// A job that an accepted job needs is neither open nor over.
    #[error("a job before it is not found")]
    DependencyMissing,
}

impl Rejection {
    /// HTTP status of the answer.
    pub(super) fn status(&self) -> u16 {
        match self {
            Rejection::Malformed(_) | Rejection::InvalidField(_) | Rejection::TooLong { .. } => {
                BAD_REQUEST
            }
            Rejection::NoSuchJob => NOT_FOUND,
            Rejection::MethodNotAllowed => METHOD_NOT_ALLOWED,
            Rejection::UnknownDependency(_)
            | Rejection::UnknownTeam(_)
            | Rejection::OverTeamLimit
            | Rejection::FitsNoMachineType => UNPROCESSABLE,
            Rejection::MachineTypesUnknown
            | Rejection::TooManyRequests
            | Rejection::TooManyUnknownIds
            | Rejection::StateUnreachable
            | Rejection::StateRefuses
            | Rejection::StateInvalid
            | Rejection::UnreadableRecord
            | Rejection::DeadlineExceeded
            | Rejection::NotRecordedYet
            | Rejection::DependencyMissing => UNAVAILABLE,
        }
    }
}
