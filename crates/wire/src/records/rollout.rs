//! Records of staged upgrades: what each controller can run, and what the cluster does run.

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

/// What a controller's process can run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Oldest feature level.
    pub oldest: u32,
    /// Newest feature level.
    pub newest: u32,
    /// Name of the build, for people.
    pub build: String,
    /// Number drawn at the start of the process, as in its heartbeats.
    pub boot: u64,
    /// What a newer build has added.
    #[serde(flatten)]
    pub unknown: UnknownFields,
}

/// Where an upgrade is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// Nothing has been upgraded yet.
    Idle,
    /// Some controllers support a newer level, others do not.
    Mixed,
    /// All support it; it is not active yet.
    Ready,
    /// It is active, and controllers may still return to the build before.
    Soaking,
    /// It is active for good.
    Finalized,
}

/// Why an upgrade goes no further for now.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "why", rename_all = "snake_case")]
pub enum PauseReason {
    /// A controller restarts again and again.
    Restarting {
        /// Its label.
        label: String,
    },
    /// A controller no longer supports the level that was aimed at.
    Regressed {
        /// Its label.
        label: String,
    },
    /// Nothing has moved for too long.
    Stalled {
        /// What is waited for.
        label: String,
    },
    /// A controller that is not configured announces itself.
    Unknown {
        /// Its label.
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

/// The feature level of the cluster. Each announcement and each transition writes it, so its version is a condition
/// that any of them fails.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LevelRecord {
    /// Level that is active: never above what an announced controller supports.
    pub active: u32,
    /// Level that the upgrade leads to.
    pub target: u32,
    /// Where the upgrade is.
    pub phase: Phase,
    /// Number of transitions so far.
    pub number: u64,
    /// Number of announcements so far.
    pub announcements: u64,
    /// Time of day of the last transition, in milliseconds, for people.
    pub since: u64,
    /// Why the upgrade goes no further, if it does not.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pause: Option<PauseReason>,
    /// What a newer build has added.
    #[serde(flatten)]
    pub unknown: UnknownFields,
}

impl LevelRecord {
    /// A cluster that runs a level and has no upgrade under way.
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
