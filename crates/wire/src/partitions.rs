//! What controllers say to each other about partitions of the fleet: grants, permits and recalls.
//!
//! Clocks are those of the sender's process and mean nothing to the receiver but what it sends back.

use serde::{Deserialize, Serialize};

/// Number of a partition.
pub type PartitionId = u16;

/// How busy a controller is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControllerLoad {
    /// Share of its time that its turns take, in thousandths: a process held to a part of a core waits within them.
    pub processor_permille: u16,
    /// Share of its sockets that are in use, in thousandths.
    pub sockets_permille: u16,
    /// Workers' reports that this process has received so far.
    pub reports: u64,
}

/// A permit that its owner uses no more, and never will.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Relinquished {
    /// Machine.
    pub machine: String,
    /// Number of the permit; all earlier ones of the machine are over too.
    pub permit: u64,
    /// Milliseconds before the sending of this message at which the owner last answered the machine by itself.
    pub answered_ago_ms: Option<u64>,
    /// Milliseconds before that at which it last heard the machine.
    pub heard_ago_ms: u64,
}

/// An owner asks the leader for its partitions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// Number of the owner's process.
    pub boot: u64,
    /// Number of the request within the process.
    pub request: u64,
    /// The owner's steady clock before it sent the request.
    pub sent: u64,
    /// Number of partitions that the owner knows: another number means another table.
    pub partition_count: u16,
    /// Number of the last grant of this term that it has applied, 0 for none.
    pub applied: u64,
    /// Permits that are over.
    pub relinquished: Vec<Relinquished>,
    /// How busy it is.
    pub load: ControllerLoad,
}

/// A partition with its epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PartitionEpoch {
    /// Partition.
    pub partition: PartitionId,
    /// Epoch, which grows with each change of its owner.
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

/// Partitions that another controller owns and holds a grant for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnedElsewhere {
    /// Its label.
    pub owner: String,
    /// Its partitions.
    pub partitions: Vec<PartitionId>,
}

/// A lease on answering, for all partitions of an owner. It replaces the one before.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// `boot` of the request.
    pub boot: u64,
    /// `request` of the request.
    pub request: u64,
    /// `sent` of the request: the grant runs from that moment, by the owner's clock.
    pub sent: u64,
    /// Number of the grant within the term.
    pub number: u64,
    /// Milliseconds for which it runs.
    pub valid_ms: u64,
    /// Partitions granted.
    pub partitions: Vec<PartitionEpoch>,
    /// Permits withdrawn, all those of which the owner has not confirmed that they are over.
    pub recalled: Vec<RecalledPermit>,
    /// Who else holds grants, for redirects.
    pub elsewhere: Vec<OwnedElsewhere>,
}

/// The leader's word that a machine is steady: its owner may answer reports that repeat the last one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Permit {
    /// Machine.
    pub machine: String,
    /// Its partition, and the epoch in which the permit holds.
    pub partition: PartitionEpoch,
    /// Number of the permit within the term.
    pub number: u64,
    /// Session of the report that it follows.
    pub incarnation: u64,
    /// Number of that report.
    pub seq: u64,
}

/// A message about partitions, under the term that its sender knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartitionMessage {
    /// Term.
    pub term: u64,
    /// What is said.
    pub body: PartitionBody,
}

/// What a message about partitions says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PartitionBody {
    /// From an owner to the leader.
    Request(GrantRequest),
    /// The leader's answer to it.
    Grant(Grant),
    /// From the leader to the process of an owner.
    Permits {
        /// Number of the process.
        boot: u64,
        /// Permits.
        permits: Vec<Permit>,
    },
    /// From the leader to the process of an owner: the permits are withdrawn.
    Recall {
        /// Number of the process.
        boot: u64,
        /// Permits.
        permits: Vec<RecalledPermit>,
    },
}
