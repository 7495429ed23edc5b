//! What the state machines ask of the state service, and what they tell.

use crate::levels::{Level, LevelRange};
use wire::records::{PauseReason, Phase};
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

/// What came of it.
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
    /// It was not executed, or nobody knows: what is stored tells.
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
        phase: Phase,
    },
    /// This controller has moved the upgrade on, or back.
    Moved {
        /// Phase before.
        from: Phase,
        /// Phase after.
        to: Phase,
        /// Level that is active now.
        active: Level,
        /// Why.
        why: &'static str,
    },
    /// This controller has paused the upgrade.
    Paused(PauseReason),
    /// It has let it go on.
    Resumed,
    /// A controller runs a process that has announced nothing.
    Unannounced {
        /// Its label.
        label: String,
        /// Level that is final, below which there is no way back.
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
    /// Generation 1: this node's generation has been told.
    GenerationTold,
    /// Generation 1: the mark is about to be raised.
    MarkRaised {
        /// Nodes that have not told.
        missing: usize,
        /// Why no old process can be left.
        proof: &'static str,
    },
    /// Generation 1: the mark is known to be up.
    MarkSeen {
        /// Its number.
        generation: Level,
    },
}
