//! Records of staged upgrades: the feature levels that each controller supports, and the level that is active.

use super::UnknownFields;
use serde::{Deserialize, Serialize};

/// Prefix of all records of staged upgrades. Builds without them read nothing under it.
pub const ROLLOUT: &str = "u/";
/// Key of the cluster's feature level.
pub const LEVEL: &str = "u/level";
/// Prefix of the controllers' announcements.
pub const MEMBERS: &str = "u/n/";

/// Key of a controller's announcement.
pub fn member_key(label: &str) -> String {
    format!("{MEMBERS}{label}")
}

/// Feature levels that a controller's process supports.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Oldest supported level.
    pub oldest: u32,
    /// Newest supported level.
    pub newest: u32,
    /// Name of the build, for display.
    pub build: String,
    /// Random number of the process, as in its heartbeats.
    pub boot: u64,
    /// Fields that a newer build has added.
    #[serde(flatten)]
    pub unknown: UnknownFields,
}

/// Phase of an upgrade.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// Nothing has been upgraded yet.
    Idle,
    /// Some controllers support a newer level, others do not.
    Mixed,
    /// All controllers support the newer level; it is not active yet.
    Ready,
    /// The level is active, and controllers may still return to the previous build.
    Soaking,
    /// The level is active permanently.
    Finalized,
}

/// Why an upgrade is paused.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "why", rename_all = "snake_case")]
pub enum PauseReason {
    /// A controller restarts repeatedly.
    Restarting {
        /// Label of the controller.
        label: String,
    },
    /// A controller no longer supports the target level.
    Regressed {
        /// Label of the controller.
        label: String,
    },
    /// The upgrade has made no progress for too long.
    Stalled {
        /// What the upgrade waits for.
        label: String,
    },
    /// A controller that is not configured has announced itself.
    Unknown {
        /// Label of the controller.
        label: String,
    },
}

impl std::fmt::Display for PauseReason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            PauseReason::Restarting { label } => write!(f, "{label} restarts again and again"),
            PauseReason::Regressed { label } => write!(f, "{label} no longer supports the level"),
            PauseReason::Stalled { label } => write!(f, "no progress, waiting for {label}"),
            PauseReason::Unknown { label } => write!(f, "{label} is not configured"),
        }
    }
}

/// The feature level of the cluster. Each announcement and each transition writes this record, so a transaction that
/// compares its version fails if any of them has happened meanwhile.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LevelRecord {
    /// Active level. Every announced controller supports it.
    pub active: u32,
    /// Target level of the upgrade.
    pub target: u32,
    /// Phase of the upgrade.
    pub phase: Phase,
    /// Number of transitions so far.
    pub number: u64,
    /// Number of announcements so far.
    pub announcements: u64,
    /// Time of day of the last transition, in milliseconds, for display.
    pub since: u64,
    /// Why the upgrade is paused, if it is.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pause: Option<PauseReason>,
    /// Fields that a newer build has added.
    #[serde(flatten)]
    pub unknown: UnknownFields,
}

impl LevelRecord {
    /// The record of a cluster that runs a level and is not being upgraded.
    pub fn idle(active: u32, since: u64) -> Self {
        LevelRecord {
            active,
            target: active,
            phase: Phase::Idle,
            number: 0,
            announcements: 0,
            since,
            pause: None,
            unknown: UnknownFields::new(),
        }
    }
}
