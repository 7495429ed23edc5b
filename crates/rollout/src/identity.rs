//! The identity of a process, and the operators' policy for upgrades.

use crate::levels::LevelRange;

/// Identity of a process.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Identity {
    /// Label of the controller.
    pub label: String,
    /// Name of the build.
    pub build: String,
    /// Number drawn at the start of the process.
    pub boot: u64,
    /// Levels that it can run.
    pub range: LevelRange,
}

/// The operators' policy for upgrades.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Policy {
    /// Whether a level is finalized once it has soaked. Otherwise it stays reversible.
    pub finalizes: bool,
    /// Milliseconds that it soaks.
    pub soak_ms: u64,
    /// Milliseconds without progress after which an upgrade is paused.
    pub stall_ms: u64,
}
