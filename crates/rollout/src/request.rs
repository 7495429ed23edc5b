//! The state machines' requests to the state service, its replies, and the events that the state machines emit.

use crate::levels::{Level, LevelRange};
use wire::records::{PauseReason, RolloutPhase};
use wire::state::{Item, Page, Txn};

/// A request to the state service.
#[derive(Debug, Clone, PartialEq)]
pub enum Request {
    /// Lists the keys under a prefix.
    List {
        /// The prefix.
        prefix: &'static str,
        /// Key after which the listing starts; empty to start at the beginning.
        start_after: String,
    },
    /// Reads one key.
    Get(&'static str),
    /// Commits a transaction.
    Commit(Txn),
}

/// The outcome of a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Reply {
    /// A page of keys under a prefix.
    Page(Page),
    /// The requested key.
    Item(Item),
    /// The requested key does not exist.
    Missing,
    /// The transaction was executed.
    Committed,
    /// The transaction was not executed, or its outcome is unknown. The stored records show which.
    Failed,
}

/// Something that a state machine has observed or done, to be logged.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// This process has announced its level range.
    Announced {
        /// The range.
        range: LevelRange,
    },
    /// This controller has read a change of the cluster's level.
    LevelRead {
        /// Active level.
        active: Level,
        /// Finalized level.
        finalized: Level,
        /// Phase of the upgrade.
        phase: RolloutPhase,
    },
    /// This controller has committed a transition, forward or back.
    TransitionCommitted {
        /// Phase before.
        from: RolloutPhase,
        /// Phase after.
        to: RolloutPhase,
        /// Level that is active now.
        active: Level,
        /// Why the transition was due.
        reason: &'static str,
    },
    /// This controller has paused the upgrade.
    Paused(PauseReason),
    /// This controller has resumed the upgrade.
    Resumed,
    /// A controller runs a process that announces nothing.
    UnannouncedController {
        /// Label of the controller.
        label: String,
        /// Finalized level. No build that does not support it may run.
        finalized: Level,
    },
    /// A controller that is not configured has announced itself.
    UnconfiguredController {
        /// Label of the controller.
        label: String,
    },
    /// This build does not support what the cluster runs.
    AdmissionRefused {
        /// Levels that this build supports.
        range: LevelRange,
        /// Active level.
        active: Level,
        /// Finalized level.
        finalized: Level,
    },
    /// This build can't read a record.
    UnreadableRecord {
        /// Key of the record.
        key: String,
    },
    /// Generation 1: this controller writes its generation.
    GenerationRecorded,
    /// Generation 1: this controller is about to raise the mark.
    RaisingMark {
        /// Number of controllers that have not recorded their generation.
        missing: usize,
        /// What proves that no old process can be left.
        evidence: &'static str,
    },
    /// Generation 1: this controller has read that the mark is raised.
    MarkObserved {
        /// Generation of the mark.
        generation: Level,
    },
}
