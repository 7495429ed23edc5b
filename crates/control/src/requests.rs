//! Requests to the state service and the cloud, their outcomes, and tags that identify the sender: plain data types
//! shared by all actors.

use wire::cloud::{MachineList, MachineType, RentalRequest};
use wire::state::{Changes, Item, Page, Txn};

/// Order in which requests are sent when the request budget is short. Each priority except the first has a separate
/// rate, so that a backlog of one priority does not block the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Priority {
    /// Elections, lease renewals, watches and infrequent requests.
    Leadership,
    /// Transactions that create or cancel jobs.
    Change,
    /// Reads for a submission or a cancellation.
    ChangeRead,
    /// Requests about the leader's records.
    LeaderRecords,
    /// Transactions that answer many status queries at once.
    ReadValidation,
    /// Reads for a single status query.
    StatusQuery,
}

impl Priority {
    /// All priorities, highest first.
    pub const ALL: [Priority; 6] = [
        Priority::Leadership,
        Priority::Change,
        Priority::ChangeRead,
        Priority::LeaderRecords,
        Priority::ReadValidation,
        Priority::StatusQuery,
    ];

    /// Whether a user waits for the result.
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
    /// Waits for changes to the records under a prefix.
    Watch {
        /// Prefix of their keys.
        prefix: &'static str,
        /// Revision up to which changes are known.
        from: u64,
        /// Milliseconds to wait if there are no changes yet.
        hold_ms: u64,
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
        /// Version of the records that the transaction wrote.
        version: u64,
    },
    /// The transaction was not executed because records do not have the versions that it requires.
    Conflict {
        /// Keys of the records with other versions.
        failed: Vec<String>,
    },
    /// The lease that was granted.
    Granted(u64),
    /// The lease was renewed or revoked.
    Renewed,
    /// There is no such lease.
    NoLease,
    /// Changes to the watched records.
    Changes(Changes),
    /// The watch must be restarted: changes since its revision are no longer available.
    TooOld,
    /// The request was not executed and may be retried.
    Refused,
    /// The request was not executed and will never be accepted in this form.
    Invalid,
    /// The outcome is unknown: the request was executed, was not executed, or will still be executed.
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
    /// The cloud currently has no capacity for such machines.
    NoCapacity,
    /// A page of the machine list.
    Listed(MachineList),
    /// The machine types.
    Types(Vec<MachineType>),
    /// The request was not executed and may be retried.
    Refused,
    /// The request was not executed and will never be accepted.
    Invalid,
    /// The outcome is unknown: the request was executed, was not executed, or will still be executed.
    Unknown,
}

/// Identifies the sender of a request to the state service, and what the request is for.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum StateTag {
    /// The election.
    Election(ElectionStep),
    /// A user's request, by its pending ID in the gateway.
    User(u64),
    /// A read validation that answers many status queries at once, by its batch ID.
    ReadValidation(u64),
    /// A check of many unknown job IDs at once, by its check ID.
    UnknownIds(u64),
    /// A node that does not lead reads the machine types.
    Types,
    /// The staged upgrade, with the number of its request.
    Rollout(u64),
    /// A leader.
    Leader {
        /// The leader's term.
        term: u64,
        /// Purpose of the request.
        purpose: StatePurpose,
    },
    /// The ownership table of the partitions.
    Partitions {
        /// Term of the leader that owns the table.
        term: u64,
        /// Number of the request.
        number: u64,
    },
}

/// Identifies the sender of a request to the cloud.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum CloudTag {
    /// A leader.
    Leader {
        /// The leader's term.
        term: u64,
        /// Purpose of the request.
        purpose: CloudPurpose,
    },
}

/// The step of the election to which a reply belongs. Variants with a single number identify the attempt by it.
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
    /// Revokes a lease: that of this node, or that of a leader that was found to be unreachable.
    Revoke,
}

/// Purpose of the leader's request to the state service.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum StatePurpose {
    /// Reads a page of the records under this prefix, while the leader loads its state.
    Load(&'static str),
    /// Watches the open jobs. The number is the time at which the watch was sent.
    Watch(u64),
    /// Reads the changes of open jobs without waiting for one, before tasks are started. The number is the time at
    /// which the read was sent.
    ReadChanges(u64),
    /// Executes a pending transaction, identified by its number.
    PendingTransaction(u64),
    /// Rereads a record whose version is uncertain, with its key.
    Refresh(RecordId, String),
    /// Confirms that this leader still leads and that a record has not changed since it was reread.
    ConfirmRefresh {
        /// The record.
        record: RecordId,
        /// Its key.
        key: String,
        /// What was read; `None` if the key does not exist.
        item: Option<Item>,
    },
    /// Reads a page of all open jobs, after the watch fell behind.
    Resync(Reread),
    /// Reads the final record of a job on which other jobs depend.
    FinalRecord(String),
    /// Reads an overflow record of an open job, by its number. It holds data that does not fit into the job's main
    /// record.
    OverflowRecord(String, u32),
}

/// State of a reread of all open jobs, page by page.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Reread {
    /// When the first page was requested.
    pub started_at: u64,
    /// Revision of the first page. The next watch must begin there, since later pages do not show changes to jobs on
    /// pages that have already been read.
    pub first_page_revision: u64,
}

/// Purpose of the leader's request to the cloud.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum CloudPurpose {
    /// Reads the machine types.
    Types,
    /// Lists the machines.
    List {
        /// When the first page was requested.
        requested_at: u64,
    },
    /// Executes the rental request with this name.
    Rent(String),
    /// Returns these machines.
    Return(Vec<String>),
}

/// Identifies a record that the leader writes or rereads.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum RecordId {
    /// An open job, including its parts on pages.
    Job(String),
    /// A rental request.
    Rental(String),
    /// The machine types.
    Types,
    /// A page.
    Page(u32),
}
