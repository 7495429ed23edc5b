//! Messages between controllers about partitions of the fleet: grants, permits and recalls.
//!
//! Clock values come from the sender's own monotonic clock. They have no meaning to the receiver, which only returns
//! them.

use serde::{Deserialize, Serialize};

/// Number of a partition.
pub type PartitionId = u16;

/// Load of a controller.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControllerLoad {
    /// Share of the process's time that iterations of its main loop take, in thousandths. It includes time in which a
    /// process that is limited to a part of a core is not scheduled.
    pub processor_permille: u16,
    /// Share of its sockets that are in use, in thousandths.
    pub sockets_permille: u16,
    /// Workers' reports that this process has received so far.
    pub reports: u64,
}

/// A permit that its owner has given up permanently.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Relinquished {
    /// Name of the machine.
    pub machine: String,
    /// Number of the permit. All earlier permits for the machine have ended, too.
    pub permit: u64,
    /// Milliseconds between the owner's last own answer to the machine, if there was one, and the sending of this
    /// message.
    pub answered_ago_ms: Option<u64>,
    /// Milliseconds between the last heartbeat that the owner received from the machine and the sending of this
    /// message.
    pub heard_ago_ms: u64,
}

/// An owner's request to the leader for a grant of its partitions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// Random number of the owner's process.
    pub boot: u64,
    /// Number of the request within the process.
    pub request: u64,
    /// The owner's monotonic clock before it sent the request.
    pub sent: u64,
    /// Number of partitions in the ownership table that the owner knows. A different number means a different table.
    pub partition_count: u16,
    /// Number of the last grant of this term that the owner has applied, 0 for none.
    pub applied: u64,
    /// Permits that have ended.
    pub relinquished: Vec<Relinquished>,
    /// Load of the owner.
    pub load: ControllerLoad,
}

/// A partition with its epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PartitionEpoch {
    /// Number of the partition.
    pub partition: PartitionId,
    /// Epoch, which increases with each change of the owner.
    pub epoch: u64,
}

/// A permit that the leader withdraws.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecalledPermit {
    /// Name of the machine.
    pub machine: String,
    /// Number of the machine's last permit.
    pub permit: u64,
}

/// Partitions for which another controller holds a grant.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OtherOwner {
    /// Label of that controller.
    pub owner: String,
    /// Its partitions.
    pub partitions: Vec<PartitionId>,
}

/// A lease that allows an owner to answer the workers of its partitions. It replaces the previous grant.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// `boot` of the request.
    pub boot: u64,
    /// `request` of the request.
    pub request: u64,
    /// `sent` of the request. The grant starts at that time, by the owner's clock.
    pub sent: u64,
    /// Number of the grant within the term.
    pub number: u64,
    /// Duration of the grant, in milliseconds.
    pub valid_ms: u64,
    /// Partitions that are granted.
    pub partitions: Vec<PartitionEpoch>,
    /// All withdrawn permits whose end the owner has not confirmed yet.
    pub recalled: Vec<RecalledPermit>,
    /// Partitions of other controllers, for redirects.
    pub elsewhere: Vec<OtherOwner>,
}

/// Permission for an owner to answer a machine's heartbeats by itself, as long as each repeats the previous one. The
/// leader issues permits for machines on which nothing changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Permit {
    /// Name of the machine.
    pub machine: String,
    /// Partition of the machine, and the epoch in which the permit is valid.
    pub partition: PartitionEpoch,
    /// Number of the permit within the term.
    pub number: u64,
    /// Incarnation of the worker in the heartbeat after which the permit was issued.
    pub incarnation: u64,
    /// Sequence number of that heartbeat.
    pub seq: u64,
}

/// A message about partitions, with the term that its sender knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartitionMessage {
    /// Term.
    pub term: u64,
    /// Content of the message.
    pub body: PartitionMessageBody,
}

/// Content of a message about partitions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PartitionMessageBody {
    /// From an owner to the leader.
    Request(GrantRequest),
    /// From the leader, in response to a request.
    Grant(Grant),
    /// From the leader to the process of an owner: permits that are issued.
    Permits {
        /// Random number of the process.
        boot: u64,
        /// Permits.
        permits: Vec<Permit>,
    },
    /// From the leader to the process of an owner: permits that are withdrawn.
    Recall {
        /// Random number of the process.
        boot: u64,
        /// Permits that are withdrawn.
        permits: Vec<RecalledPermit>,
    },
}
