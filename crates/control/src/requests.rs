//! Requests to the state service and the cloud, their outcomes, and who sent them: plain data that every actor may use.

use wire::cloud::{MachineList, MachineType, RentalRequest};
use wire::state::{Changes, Item, Page, Txn};

/// Order in which requests are sent when the budget is short. Each but the first has a rate of its own, so that however
/// many requests of one priority are waiting, the others go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Priority {
    /// Elections, lease renewals, watches, and what is asked rarely.
    Leadership,
    /// Transactions that create or cancel jobs.
    Change,
    /// Reads that a submission or a cancellation needs.
    ChangeRead,
    /// The leader's records.
    LeaderRecords,
    /// Transactions that answer many questions at once.
    ReadValidation,
    /// Reads that a single question needs.
    Question,
}

impl Priority {
    /// All priorities, the highest first.
    pub const ALL: [Priority; 6] = [
        Priority::Leadership,
        Priority::Change,
        Priority::ChangeRead,
        Priority::LeaderRecords,
        Priority::ReadValidation,
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
    /// Reads a record.
    Get(String),
    /// Reads a page of the records under a prefix.
    List {
        /// Prefix of their keys.
        prefix: &'static str,
        /// Key after which the page begins; empty for the first page.
        from: String,
    },
    /// Executes a transaction.
    Txn(Txn),
    /// Grants a lease.
    Grant {
        /// Milliseconds until it expires unless it is renewed.
        ttl_ms: u64,
    },
    /// Renews a lease.
    Renew(u64),
    /// Revokes a lease.
    Revoke(u64),
    /// Waits for changes of the records under a prefix.
    Watch {
        /// Prefix of their keys.
        prefix: &'static str,
        /// Revision whose changes are known.
        from: u64,
    },
}

/// Outcome of a request to the state service.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum StateReply {
    /// The record.
    Item(Item),
    /// There is no such record.
    Missing,
    /// A page of records.
    Page(Page),
    /// The transaction was executed.
    Committed {
        /// Version of the records that it wrote.
        version: u64,
    },
    /// The transaction was not executed, since records have other versions than it requires.
    Conflict {
        /// Keys of these records.
        failed: Vec<String>,
    },
    /// The lease that was granted.
    Granted(u64),
    /// The lease was renewed or revoked.
    Renewed,
    /// There is no such lease.
    NoLease,
    /// What has changed.
    Changes(Changes),
    /// The watch must start anew: changes since its revision are no longer available.
    TooOld,
    /// Certainly not executed; worth trying again.
    Refused,
    /// Certainly not executed, and never will be as it is.
    Invalid,
    /// Executed, not executed, or yet to be executed.
    Unknown,
}

/// A request to the cloud.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum CloudOp {
    /// Returns machines, by name.
    Return(Vec<String>),
    /// Rents machines.
    Rent(RentalRequest),
    /// Reads a page of the machine list.
    List {
        /// Name after which the page begins; empty for the first page.
        from: String,
    },
    /// Reads the machine types.
    Types,
}

/// Outcome of a request to the cloud.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum CloudReply {
    /// The machines were returned.
    Returned,
    /// Names of the machines that were rented.
    Rented(Vec<String>),
    /// The cloud has no such machines at present.
    NoCapacity,
    /// A page of the machine list.
    Listed(MachineList),
    /// The machine types.
    Types(Vec<MachineType>),
    /// Not executed; worth trying again.
    Refused,
    /// Not executed and never will be.
    Invalid,
    /// Executed or not, now or later.
    Unknown,
}

/// Who sent a request to the state service, and for what.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum StateTag {
    /// The election.
    Election(ElectionStep),
    /// A user's request, by its number.
    User(u64),
    /// Proof of many answers at once.
    ReadValidation(u64),
    /// Search for many ids at once that nothing is known of.
    UnknownIds(u64),
    /// A node without a leader reads the machine types.
    Types,
    /// The upgrade, with the number of its request.
    Rollout(u64),
    /// A leader.
    Leader {
        /// The leader's term.
        term: u64,
        /// What the request is for.
        request: LeaderRequest,
    },
    /// The ownership table of the partitions.
    Partitions {
        /// Term of the leader that owns the table.
        term: u64,
        /// Number of the request.
        number: u64,
    },
}

/// Who sent a request to the cloud.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum CloudTag {
    /// A leader.
    Leader {
        /// The leader's term.
        term: u64,
        /// What the request is for.
        request: CloudRequest,
    },
}

/// The step of the election that a reply belongs to. A bare number identifies the attempt.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum ElectionStep {
    /// Reads the leader's record.
    Poll(u64),
    /// Reads the term's record.
    ReadTerm(u64),
    /// Grants a lease.
    GrantLease(u64),
    /// Writes the leader's record.
    Commit(u64),
    /// Renews the leader's lease.
    Renew {
        /// The leader's term.
        term: u64,
        /// When the renewal was sent.
        sent_at: u64,
    },
    /// Revokes a lease: its own, or that of a leader found unreachable.
    Revoke,
}

/// Why the leader sent a request to the state service.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum LeaderRequest {
    /// A page of the records under this prefix, while loading.
    Load(&'static str),
    /// A watch of the open jobs, sent at this moment.
    Watch(u64),
    /// A transaction, by its number.
    PendingTransaction(u64),
    /// A record whose version is in doubt, with its key.
    Refresh(RecordId, String),
    /// A page of all open jobs, after the watch fell behind.
    Resync(Reread),
    /// How a job ended that other jobs depend on.
    FinalRecord(String),
    /// A further record of an open job, by its number: what does not fit into the job's own record.
    FurtherRecord(String, u32),
}

/// All open jobs are being read again, page by page.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Reread {
    /// When the first page was requested.
    pub since: u64,
    /// Revision of the first page. The next watch must begin there: a change of a job on a page already read is on
    /// none of the later pages.
    pub revision: u64,
}

/// Why the leader sent a request to the cloud.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum CloudRequest {
    /// To know the machine types.
    Types,
    /// To know the machines.
    List {
        /// When the first page was requested.
        asked: u64,
    },
    /// For the rental request of this name.
    Rent(String),
    /// To return these machines.
    Return(Vec<String>),
}

/// Identifies a record that the leader writes or reads again.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum RecordId {
    /// An open job, with its parts on pages.
    Job(String),
    /// A rental request.
    Rental(String),
    /// The machine types.
    Types,
    /// A page.
    Page(u32),
}
