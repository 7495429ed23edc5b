//! Records of staged upgrades: the feature levels that each controller supports, and the level that is active.

use super::UnknownFields;
use serde::{Deserialize, Serialize};

/// Prefix of all records of staged upgrades. Builds without staged upgrades read nothing under it.
pub const ROLLOUT_PREFIX: &str = "u/";
/// Key of the cluster's feature level.
pub const CLUSTER_LEVEL_KEY: &str = "u/level";
/// Prefix of the controllers' announcements.
pub const MEMBER_PREFIX: &str = "u/n/";

/// Key of a controller's announcement.
pub fn member_key(label: &str) -> String {
    format!("{MEMBER_PREFIX}{label}")
}

/// A controller's announcement: the feature levels that its process supports.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Oldest supported level.
    #[serde(rename = "oldest")]
    pub oldest_level: u32,
    /// Newest supported level.
    #[serde(rename = "newest")]
    pub newest_level: u32,
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
pub enum RolloutPhase {
    /// Nothing has been upgraded yet.
    Idle,
    /// Some controllers support a newer level, and others do not.
    Mixed,
    /// All controllers support the newer level; it is not active yet.
    Ready,
    /// The level is active, and controllers may still return to the previous build.
    Soaking,
    /// The level is permanently active.
    Finalized,
}

/// Why an upgrade is paused.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "why", rename_all = "snake_case")]
pub enum PauseReason {
    /// A controller has restarted repeatedly.
    Restarting {
        /// Label of the controller.
        label: String,
    },
    /// A controller no longer supports the target level.
    Regressed {
        /// Label of the controller.
        label: String,
    },
    /// The upgrade has made no progress within the time limit.
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

/// The feature level of the cluster. Every announcement and every transition writes this record, so a transaction that
/// compares the record's version fails after a concurrent announcement or transition.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LevelRecord {
    /// Active level. Every announced controller supports it.
    pub active: u32,
    /// Target level of the upgrade.
    pub target: u32,
    /// Phase of the upgrade.
    pub phase: RolloutPhase,
    /// Number of transitions so far.
    #[serde(rename = "number")]
    pub transition_count: u64,
    /// Number of announcements so far.
    #[serde(rename = "announcements")]
    pub announcement_count: u64,
    /// Wall-clock time of the last transition, in milliseconds, for display.
    #[serde(rename = "since")]
    pub last_transition_ms: u64,
    /// Why the upgrade is paused, if it is.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pause: Option<PauseReason>,
    /// Fields that a newer build has added.
    #[serde(flatten)]
    pub unknown: UnknownFields,
}

impl LevelRecord {
    /// The record of a cluster that runs the level `active` and is not being upgraded.
    pub fn idle(active: u32, last_transition_ms: u64) -> Self {
        LevelRecord {
            active,
            target: active,
            phase: RolloutPhase::Idle,
            transition_count: 0,
            announcement_count: 0,
            last_transition_ms,
            pause: None,
            unknown: UnknownFields::new(),
        }
    }
}
