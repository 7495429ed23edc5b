//! Who a process is, and how operators want upgrades to go.

use crate::levels::LevelRange;

/// Who a process is.
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

/// How operators want upgrades to go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Policy {
    /// Whether a level is finalized once it has soaked; else it stays reversible.
    pub finalizes: bool,
    /// Milliseconds that it soaks.
    pub soak_ms: u64,
    /// Milliseconds without progress after which an upgrade is paused.
    pub stall_ms: u64,
}
