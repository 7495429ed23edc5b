//! Pure functions that compute what an upgrade may write from what was read and observed.
//!
//! Every transition and announcement computed here writes the level record, on condition that its version is
//! unchanged. So of two transactions computed from the same snapshot at most one is executed, whoever computed them and
//! however late they arrive; and an announcement between a read and a transition makes the transition fail.

mod admission;
mod transactions;
mod transitions;

pub use admission::{admission_condition, announcement_transaction, is_admitted};
pub use transactions::{finalize_by_evidence, transition_transaction};
pub(crate) use transitions::RESUMED;

use crate::heartbeats::Liveness;
use crate::snapshot::Snapshot;
use wire::records::{LevelRecord, PauseReason};

/// A configured controller, as it is observed.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Controller {
    /// Label of the controller.
    pub label: String,
    /// How the heartbeats of the controller compare with its announcement.
    pub liveness: Liveness,
}

/// The input from which the next transition is computed.
#[derive(Debug, Clone)]
pub struct PlanningInput<'a> {
    /// The records that were read.
    pub snapshot: &'a Snapshot,
    /// All configured controllers, this one included.
    pub controllers: &'a [Controller],
    /// Why the upgrade must be paused, if it must.
    pub pause_reason: Option<PauseReason>,
    /// Whether the active level has completed its soak period and may be finalized.
    pub may_finalize: bool,
    /// Time of day in milliseconds.
    pub unix_ms: u64,
}

/// A step of an upgrade.
#[derive(Debug, Clone, PartialEq)]
pub struct Transition {
    /// The level record after the step.
    pub level: LevelRecord,
    /// Why the step is due, for the log.
    pub reason: &'static str,
}
