//! Messages between controllers about partitions of the fleet: grants, permits and recalls.
//!
//! Clock values are those of the sender's process. A receiver can't interpret them; it only returns them.

use serde::{Deserialize, Serialize};

/// Number of a partition.
pub type PartitionId = u16;

/// Load of a controller.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControllerLoad {
    /// Share of its time that turns of its main loop take, in thousandths. This includes the time in which a process
    /// that is limited to a part of a core does not run.
    pub processor_permille: u16,
    /// Share of its sockets that are in use, in thousandths.
    pub sockets_permille: u16,
    /// Workers' reports that this process has received so far.
    pub reports: u64,
}

/// A permit that its owner has given up for good.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Relinquished {
    /// Machine.
    pub machine: String,
    /// Number of the permit. All earlier ones of the machine have ended, too.
    pub permit: u64,
    /// Milliseconds since the owner last answered the machine by itself, if it did, when it sent this message.
    pub answered_ago_ms: Option<u64>,
    /// Milliseconds since it last received a heartbeat of the machine, when it sent this message.
    pub heard_ago_ms: u64,
}

/// An owner's request to the leader for a grant of its partitions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// Random number of the owner's process.
    pub boot: u64,
    /// Number of the request within the process.
    pub request: u64,
    /// The owner's steady clock before it sent the request.
    pub sent: u64,
    /// Number of partitions in the table that the owner knows. Another number means another table.
    pub partition_count: u16,
    /// Number of the last grant of this term that it has applied, 0 for none.
    pub applied: u64,
    /// Permits that have ended.
    pub relinquished: Vec<Relinquished>,
    /// Load of the owner.
    pub load: ControllerLoad,
}

/// A partition with its epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PartitionEpoch {
    /// Partition.
    pub partition: PartitionId,
    /// Epoch, which grows with each change of the owner.
    pub epoch: u64,
}

/// A permit that the leader withdraws.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecalledPermit {
    /// Machine.
    pub machine: String,
    /// Number of its last permit.
    pub permit: u64,
}

/// Partitions for which another controller has a grant.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OtherOwner {
    /// Label of that controller.
    pub owner: String,
    /// Its partitions.
    pub partitions: Vec<PartitionId>,
}

/// A lease that lets an owner answer the workers of its partitions. It replaces the previous grant.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// `boot` of the request.
    pub boot: u64,
    /// `request` of the request.
    pub request: u64,
    /// `sent` of the request. The grant begins at that moment, by the owner's clock.
    pub sent: u64,
    /// Number of the grant within the term.
    pub number: u64,
    /// Duration of the grant, in milliseconds.
    pub valid_ms: u64,
    /// Partitions that are granted.
    pub partitions: Vec<PartitionEpoch>,
    /// All permits that are withdrawn and whose end the owner has not confirmed yet.
    pub recalled: Vec<RecalledPermit>,
    /// Partitions of other controllers, for redirects.
    pub elsewhere: Vec<OtherOwner>,
}

/// Permission for an owner to answer a machine's heartbeats by itself, as long as they repeat the last one. The leader
/// gives it for machines on which nothing changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Permit {
    /// Machine.
    pub machine: String,
    /// Its partition, and the epoch in which the permit is valid.
    pub partition: PartitionEpoch,
    /// Number of the permit within the term.
    pub number: u64,
    /// Incarnation of the worker in the heartbeat after which the permit was given.
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
    pub body: PartitionBody,
}

/// Content of a message about partitions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PartitionBody {
    /// From an owner to the leader.
    Request(GrantRequest),
    /// From the leader, in response to a request.
    Grant(Grant),
    /// From the leader to the process of an owner.
    Permits {
        /// Random number of the process.
        boot: u64,
        /// Permits.
        permits: Vec<Permit>,
    },
    /// From the leader to the process of an owner: the permits are withdrawn.
    Recall {
        /// Random number of the process.
        boot: u64,
        /// Permits that are withdrawn.
        permits: Vec<RecalledPermit>,
    },
}
