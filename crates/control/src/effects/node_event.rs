//! Events that concern the whole node.

use wire::cloud::MachineType;
use wire::records::JobOutcome;

/// An event that concerns the whole node.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum NodeEvent {
    /// This node has become the leader.
    Elected {
        /// Fencing term of the new leader.
        term: u64,
        /// Version of the leader key. Every transaction of this leader requires that version.
        version: u64,
    },
    /// This node has lost or given up leadership.
    SteppedDown {
        /// Reason, for the log.
        reason: &'static str,
    },
    /// A job has reached its final state.
    JobEnded {
        /// Id of the job.
        job: String,
        /// How it ended.
        outcome: JobOutcome,
    },
    /// A user is about to receive the confirmation that a job is cancelled.
    JobCancelled {
        /// Id of the job.
        job: String,
    },
    /// Every controller can read the records of generation 1.
    Upgraded,
    /// An observation proves that every controller runs generation 1.
    UpgradeEvidence {
        /// What was observed, for the log.
        observation: &'static str,
    },
    /// A write failed because the cluster's feature level has changed.
    LevelChanged,
    /// The record of the machine types was read.
    MachineTypesRead(Vec<MachineType>),
    /// The cloud has listed the machine types to this node.
    MachineTypesListed(Vec<MachineType>),
    /// A decision of this node waits until the cloud lists the machine types.
    MachineTypesNeeded,
}
