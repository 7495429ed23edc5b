//! The state of an upgrade, for operators and clients.

use crate::levels::Level;
use serde::Serialize;
use wire::records::{PauseReason, RolloutPhase};

/// The state of one controller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ControllerStatus {
    /// Label of the controller.
    pub label: String,
    /// Oldest and newest level that the controller has announced.
    pub levels: Option<(Level, Level)>,
    /// Build that the controller has announced.
    pub build: Option<String>,
    /// Whether the controller sends heartbeats, and whether they are from the process that announced itself.
    pub liveness: &'static str,
}

/// The state of an upgrade, as one controller knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct RolloutStatus {
    /// Phase of the upgrade.
    pub phase: RolloutPhase,
    /// Active level.
    pub active: Level,
    /// Target level of the upgrade.
    pub target: Level,
    /// Finalized level.
    pub finalized: Level,
    /// Time of day of the last transition, in milliseconds.
    pub since: u64,
    /// Why the upgrade is paused, if it is.
    pub pause: Option<PauseReason>,
    /// What the upgrade waits for.
    pub waits_for: String,
    /// Whether this process may take part.
    pub admitted: bool,
    /// All configured controllers.
    pub controllers: Vec<ControllerStatus>,
}
