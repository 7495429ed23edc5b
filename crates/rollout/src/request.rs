//! Requests of the state machines to the state service, its replies, and the events that they emit.

use crate::levels::{Level, LevelRange};
use wire::records::{PauseReason, RolloutPhase};
use wire::state::{Item, Page, Txn};

/// A request to the state service.
#[derive(Debug, Clone, PartialEq)]
pub enum Request {
    /// Keys under a prefix.
    List {
        /// The prefix.
        prefix: &'static str,
        /// Key behind which to begin.
        from: String,
    },
    /// One key.
    Get(&'static str),
    /// A transaction.
    Commit(Txn),
}

/// The outcome of a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Reply {
    /// Keys under a prefix.
    Page(Page),
    /// A key that exists.
    Item(Item),
    /// A key that does not.
    Missing,
    /// The transaction was executed.
    Committed,
    /// It was not executed, or its outcome is unknown. The stored records show which.
    Failed,
}

/// What has become known, to be logged and acted upon.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// This process has announced its range.
    Announced {
        /// The range.
        range: LevelRange,
    },
    /// The cluster's level has changed, as this controller has read it.
    LevelRead {
        /// Active level.
        active: Level,
        /// Final level.
        finalized: Level,
        /// Phase of the upgrade.
        phase: RolloutPhase,
    },
    /// This controller has committed a transition, forward or back.
    Moved {
        /// Phase before.
        from: RolloutPhase,
        /// Phase after.
        to: RolloutPhase,
        /// Level that is active now.
        active: Level,
        /// Why.
        why: &'static str,
    },
    /// This controller has paused the upgrade.
    Paused(PauseReason),
    /// This controller has resumed the upgrade.
    Resumed,
    /// A controller runs a process that has announced nothing.
    Unannounced {
        /// Its label.
        label: String,
        /// Level that is final. No older build may run.
        finalized: Level,
    },
    /// A controller that is not configured has announced itself.
    UnknownMember {
        /// Its label.
        label: String,
    },
    /// This build can't run what the cluster runs.
    Refused {
        /// What it can run.
        range: LevelRange,
        /// Active level.
        active: Level,
        /// Final level.
        finalized: Level,
    },
    /// A record can't be read.
    Unreadable {
        /// Its key.
        key: String,
    },
    /// Generation 1: this node has recorded its generation.
    GenerationRecorded,
    /// Generation 1: the mark is about to be raised.
    MarkRaised {
        /// Nodes that have not recorded their generation.
        missing: usize,
        /// Why no old process can be left.
        evidence: &'static str,
    },
    /// Generation 1: the mark is known to be raised.
    MarkSeen {
        /// Its number.
        generation: Level,
    },
}
