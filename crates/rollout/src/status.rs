//! The state of an upgrade, for people and clients.

use crate::levels::Level;
use serde::Serialize;
use wire::records::{PauseReason, RolloutPhase};

/// What is known of one controller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ControllerStatus {
    /// Its label.
    pub label: String,
    /// Oldest and newest level that it has announced.
    pub levels: Option<(Level, Level)>,
    /// Its build, as announced.
    pub build: Option<String>,
    /// Whether it is heard, and whether as the process that announced.
    pub liveness: &'static str,
}

/// The state of an upgrade, as one controller knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct RolloutStatus {
    /// Phase.
    pub phase: RolloutPhase,
    /// Level that is active.
    pub active: Level,
    /// Level that the upgrade leads to.
    pub target: Level,
    /// Level that is final.
    pub finalized: Level,
    /// Time of day of the last transition, in milliseconds.
    pub since: u64,
    /// Why the upgrade goes no further.
    pub pause: Option<PauseReason>,
    /// What is waited for.
    pub waits_for: String,
    /// Whether this process may take part.
    pub admitted: bool,
    /// All configured controllers.
    pub controllers: Vec<ControllerStatus>,
}
