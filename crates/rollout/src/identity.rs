//! The identity of a process, and the operators' policy for upgrades.

use crate::levels::LevelRange;

/// Identity of a process.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Identity {
    /// Label of the controller.
    pub label: String,
    /// Name of the build.
    pub build: String,
    /// Random number that identifies the process, drawn when it starts.
    pub boot: u64,
    /// Levels that the process supports.
    pub range: LevelRange,
}

/// The operators' policy for upgrades.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Policy {
    /// Whether a level is finalized at the end of its soak period. Otherwise the upgrade stays reversible.
    pub finalizes_automatically: bool,
    /// Milliseconds of the soak period.
    pub soak_ms: u64,
    /// Milliseconds without progress after which an upgrade is paused.
    pub stall_ms: u64,
}
