//! What may be written of an upgrade, as pure functions of what was read and observed.
//!
//! Every transaction computed here has the version of the level record among its conditions, and each writes that
//! record. So of two that were computed from the same reading one at most is executed, whoever computed them and
//! however late they arrive; and an announcement that comes between a reading and a transition fails the transition.

mod admission;
mod transactions;
mod transitions;

pub use admission::{admission_guard, announcement, is_admitted};
pub use transactions::{proven, transaction};
pub(crate) use transitions::RESUMED;

use crate::heartbeats::Liveness;
use crate::snapshot::Snapshot;
use wire::records::{LevelRecord, PauseReason};

/// A configured controller, as it is observed.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Controller {
    /// Its label.
    pub label: String,
    /// How its heartbeats compare with its announcement.
    pub liveness: Liveness,
}

/// What a transition is decided on.
#[derive(Debug, Clone)]
pub struct View<'a> {
    /// What was read.
    pub snapshot: &'a Snapshot,
    /// All configured controllers, this one included.
    pub controllers: &'a [Controller],
    /// A reason to pause, if there is one.
    pub trouble: Option<PauseReason>,
    /// Whether the level has been active without trouble for long enough to be finalized.
    pub may_finalize: bool,
    /// Time of day in milliseconds.
    pub unix: u64,
}

/// A step of an upgrade.
#[derive(Debug, Clone, PartialEq)]
pub struct Transition {
    /// The level record after it.
    pub level: LevelRecord,
    /// Why, for the log.
    pub why: &'static str,
}
