//! Reasons for refusing a user's request, and their HTTP status codes.

const BAD_REQUEST: u16 = 400;
const NOT_FOUND: u16 = 404;
const METHOD_NOT_ALLOWED: u16 = 405;
const UNPROCESSABLE: u16 = 422;
/// Status code of all refusals after which the user should retry.
pub(super) const UNAVAILABLE: u16 = 503;

/// A reason for refusing a request. Its text is the `error` field of the answer.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub(super) enum Rejection {
    /// The body, or the ID in it, can't be decoded.
    #[error("{0}")]
    Malformed(String),
    /// A field of a submission has a value that is never valid.
    #[error("{0}: invalid")]
    InvalidField(&'static str),
    /// The records of a submission exceed the state service's limits.
    #[error(
        "the submission takes {bytes} bytes; one value holds {value_bytes}, \
         and {max_overflow_records} further ones hold machine types"
    )]
    TooLong {
        /// Size of the submission as a single record, in bytes.
        bytes: usize,
        /// Maximum size of a value in bytes.
        value_bytes: usize,
        /// Maximum number of overflow records for machine types.
        max_overflow_records: usize,
    },
    /// No job has the ID, or the ID is not well-formed.
    #[error("no such job")]
    NoSuchJob,
    /// The path does not support the method.
    #[error("method not allowed")]
    MethodNotAllowed,
    /// A submission depends on a job that was never accepted.
    #[error("awaits: {0:?} was never accepted")]
    UnknownDependency(String),
    /// A submission names a team that does not exist.
    #[error("tenant: no team {0:?}")]
    UnknownTeam(String),
    /// The tasks that must run concurrently exceed the team's limit.
    #[error("needs more than the team's limit")]
    OverTeamLimit,
    /// A task does not fit any machine type on which it may run.
    #[error("a task fits no allowed machine type")]
    FitsNoMachineType,
    /// The tasks of a gang can't run at the same time in the zones in which they may run.
    #[error(
        "the gang's tasks can't all run at once in the zones that offer a machine type for them"
    )]
    TooFewZones,
    /// This node does not lead, and no leader can be asked whether the job can run.
    #[error("no leader confirms that the job can never run")]
    Unconfirmed,
    /// The machine types are not known, so it can't be determined whether the job could run.
    #[error("machine types are not known yet")]
    MachineTypesUnknown,
    /// Too many requests of the same kind are pending.
    #[error("too many requests in hand")]
    TooManyRequests,
    /// Too many requests wait for a check of unknown IDs.
    #[error("too many requests about unknown ids")]
    TooManyUnknownIds,
    /// The state service can't be reached, or its reply leaves the outcome unknown.
    #[error("the state service does not answer")]
    StateUnreachable,
    /// The state service refused a request until it could no longer be retried.
    #[error("the state service refuses")]
    StateRefuses,
    /// The state service will never execute the request that it received.
    #[error("the state service can't take this")]
    StateInvalid,
    /// A record does not have a format that this build can read.
    #[error("unreadable record")]
    UnreadableRecord,
    /// The request was not decided before its deadline.
    #[error("not decided in time")]
    DeadlineExceeded,
    /// The job is not recorded, but the transaction that creates it may still be executed.
    #[error("not recorded yet")]
    NotRecordedYet,
    /// A dependency of an accepted job is neither open nor ended.
    #[error("a job before it is not found")]
    DependencyMissing,
}

impl Rejection {
    /// Whether the job can never run, according to the settings or the machine types. Nodes may differ in what they
    /// know of these.
    pub(super) fn is_impossible_job(&self) -> bool {
        self.depends_on_machine_types()
            || matches!(self, Rejection::UnknownTeam(_) | Rejection::OverTeamLimit)
    }

    /// Whether the rejection depends on the machine types that the cloud offers.
    pub(super) fn depends_on_machine_types(&self) -> bool {
        matches!(self, Rejection::FitsNoMachineType | Rejection::TooFewZones)
    }

    /// HTTP status code of the answer.
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
            | Rejection::FitsNoMachineType
            | Rejection::TooFewZones => UNPROCESSABLE,
            Rejection::Unconfirmed
            | Rejection::MachineTypesUnknown
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
