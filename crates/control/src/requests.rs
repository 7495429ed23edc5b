//! What actors ask the state service and the cloud, what comes of it, and for whom: plain data that every actor may use.

use wire::cloud::{MachineList, MachineType, Rent};
use wire::state::{Changes, Item, Page, Txn};

/// Order in which requests are sent when the budget is short. Each but the first has a rate of its own, so that however
/// many of one are waiting, the others go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Priority {
    /// Elections, renewals, watches, and what is asked once a while.
    Leadership,
    /// Transactions that create or cancel jobs.
    Change,
    /// What has to be read for a submission or a cancellation.
    ChangeRead,
    /// The leader's records.
    LeaderRecords,
    /// Transactions that answer many questions at once.
    Proof,
    /// What has to be read for a single question.
    Question,
}

impl Priority {
    pub const ALL: [Priority; 6] = [
        Priority::Leadership,
        Priority::Change,
        Priority::ChangeRead,
        Priority::LeaderRecords,
        Priority::Proof,
        Priority::Question,
    ];

    /// Whether a user waits for the answer.
    pub fn is_for_user(self) -> bool {
        !matches!(self, Priority::Leadership | Priority::LeaderRecords)
    }
}

/// A request to the state service.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum StateOp {
    Get(String),
    List { prefix: &'static str, from: String },
    Txn(Txn),
    Grant { ttl_ms: u64 },
    Renew(u64),
    Revoke(u64),
    Watch { prefix: &'static str, from: u64 },
}

/// What came of it.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum StateReply {
    Item(Item),
    Missing,
    Page(Page),
    Committed {
        version: u64,
    },
    Conflict {
        failed: Vec<String>,
    },
    Granted(u64),
    Renewed,
    NoLease,
    Changes(Changes),
    /// The watch must start anew.
    TooOld,
    /// Certainly not executed.
    Refused,
    /// Certainly not executed, and never will be as it is.
    Invalid,
    /// Executed, not executed, or yet to be executed.
    Unknown,
}

/// A request to the cloud.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum CloudOp {
    Return(Vec<String>),
    Rent(Rent),
    List { from: String },
    Types,
}

/// What came of it.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum CloudReply {
    Returned,
    Rented(Vec<String>),
    NoCapacity,
    Listed(MachineList),
    Types(Vec<MachineType>),
    /// Not executed; worth trying again.
    Refused,
    /// Not executed and never will be.
    Invalid,
    /// Executed or not, now or later.
    Unknown,
}

/// Who asked the state service, and for what.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum StateTag {
    Election(ElectionStep),
    User(u64),
    /// Proof of many answers at once.
    Proof(u64),
    /// Search for many ids at once that nothing is known of.
    UnknownIds(u64),
    Types,
    /// The upgrade, with the number of its request.
    Rollout(u64),
    Leader(u64, LeaderRequest),
    /// The ownership table, with the term and the number of the request.
    Partitions(u64, u64),
}

/// Who asked the cloud.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum CloudTag {
    Leader(u64, CloudRequest),
}

/// Where in the election a reply belongs. The number tells attempts (or terms) apart.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum ElectionStep {
    Poll(u64),
    Term(u64),
    Grant(u64),
    Run(u64),
    /// Renewal in this term, sent at this moment.
    Renew(u64, u64),
    Quit,
}

/// Why the leader asked the state service.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum LeaderRequest {
    /// A page of the records, while loading.
    Load(&'static str),
    /// A watch of the open jobs, sent at this moment.
    Watch(u64),
    /// A transaction.
    PendingTransaction(u64),
    /// A record whose version has become doubtful.
    Refresh(RecordId, String),
    /// A page of all open jobs, after the watch fell behind.
    Resync(Reread),
    /// How a job ended that others need.
    Final(String),
    /// What does not fit into an open job's own record.
    More(String, u32),
}

/// All open jobs are being read again, page by page.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Reread {
    /// When the first page was asked for.
    pub since: u64,
    /// Revision of the first page: what has changed since is the next watch's to tell, since a change of a job on a page
    /// already read is on none of the later ones.
    pub revision: u64,
}

/// Why the leader asked the cloud.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum CloudRequest {
    Types,
    List { asked: u64 },
    Rent(String),
    Return(Vec<String>),
}

/// Something whose record is not as wanted.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum RecordId {
    Job(String),
    Rental(String),
    Types,
    /// A page whose version has become doubtful.
    Page(u32),
}
