//! Feature levels: which exist, what each changes, and when a feature may be used.

use serde::{Deserialize, Serialize};

/// Number of a feature level.
pub type Level = u32;

/// What the build before pipelines runs.
pub const BASE: Level = 0;
/// Generation 1: small values and pipelines.
pub const GENERATION_1: Level = 1;
/// Planned handover of leadership, and the fencing of older builds from leading.
pub const HANDOVER: Level = 2;
/// Partitions of the fleet, whose owners answer workers.
pub const PARTITIONS: Level = 3;
/// Newest level of this build.
pub const NEWEST: Level = PARTITIONS;

/// A behavior that changes with a level.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
pub enum Feature {
    /// Dense parts of jobs in small pages, submissions in several records, the rates of `state.next`.
    SmallValues,
    /// The leader's record names the level under which it was elected.
    LeaderLevel,
    /// A leader that stops as planned names its successor in a frame.
    PlannedHandover,
    /// The record of the term is in a layout that builds without rollouts can't read.
    FencedTerm,
    /// Owners of partitions answer workers under grants of the leader, and exchange frames about them.
    Partitions,
}

/// What a feature changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum Changes {
    /// The layout of records in the state service.
    Records,
    /// Frames between controllers.
    Frames,
}

/// When a feature may be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum GateKind {
    /// While its level is active. Whatever it writes must be readable by every build that may still return, so it adds
    /// fields that others ignore and keep, or sends frames only to processes that announced the level.
    WhileActive,
    /// Once its level is final: what it writes can't be read by builds of lower levels.
    AtFinalization,
}

/// A row of the table of features.
#[derive(Debug, Clone, Copy)]
pub struct FeatureEntry {
    /// The feature.
    pub feature: Feature,
    /// Level that introduces it.
    pub level: Level,
    /// What it changes.
    pub changes: Changes,
    /// When it may be used.
    pub gate: GateKind,
}

/// All features. The layout of pages may change at finalization only: parts are written again from memory, so fields
/// that a build does not know would not survive there.
pub const FEATURES: [FeatureEntry; 5] = [
    FeatureEntry {
        feature: Feature::SmallValues,
        level: GENERATION_1,
        changes: Changes::Records,
        gate: GateKind::AtFinalization,
    },
    FeatureEntry {
        feature: Feature::LeaderLevel,
        level: HANDOVER,
        changes: Changes::Records,
        gate: GateKind::WhileActive,
    },
    FeatureEntry {
        feature: Feature::PlannedHandover,
        level: HANDOVER,
        changes: Changes::Frames,
        gate: GateKind::WhileActive,
    },
    FeatureEntry {
        feature: Feature::FencedTerm,
        level: HANDOVER,
        changes: Changes::Records,
        gate: GateKind::AtFinalization,
    },
    FeatureEntry {
        feature: Feature::Partitions,
        level: PARTITIONS,
        changes: Changes::Frames,
        gate: GateKind::WhileActive,
    },
];

impl Feature {
    /// Its row of the table.
    pub fn entry(self) -> FeatureEntry {
        let row = FEATURES.iter().find(|entry| entry.feature == self);
        // A test checks that each feature is in the table.
        row.copied().unwrap_or(FEATURES[0])
    }

    /// Whether a process whose newest level is this one has it.
    pub fn is_in(self, newest: Level) -> bool {
        newest >= self.entry().level
    }
}

/// The levels that a build can run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LevelRange {
    oldest: Level,
    newest: Level,
}

/// Why a range can't be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum RangeError {
    /// Its ends are the wrong way round.
    #[error("rollout.oldest_level: {oldest} is above rollout.newest_level, {newest}")]
    Reversed {
        /// Oldest level.
        oldest: Level,
        /// Newest level.
        newest: Level,
    },
    /// This build does not have its newest level.
    #[error("rollout.newest_level: {newest} is above {NEWEST}, the newest level of this build")]
    Unsupported {
        /// Newest level.
        newest: Level,
    },
}

impl LevelRange {
    /// All that this build can run.
    pub const BUILD: LevelRange = LevelRange {
        oldest: BASE,
        newest: NEWEST,
    };

    /// A part of this build's range, to which an operator may restrict it.
    pub fn held(oldest: Level, newest: Level) -> Result<Self, RangeError> {
        if newest > NEWEST {
            return Err(RangeError::Unsupported { newest });
        }
        Self::any(oldest, newest)
    }

    /// A range of any build.
    pub fn any(oldest: Level, newest: Level) -> Result<Self, RangeError> {
        match oldest <= newest {
            true => Ok(LevelRange { oldest, newest }),
            false => Err(RangeError::Reversed { oldest, newest }),
        }
    }

    /// Oldest level.
    pub fn oldest(self) -> Level {
        self.oldest
    }

    /// Newest level.
    pub fn newest(self) -> Level {
        self.newest
    }
}

impl std::fmt::Display for LevelRange {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}-{}", self.oldest, self.newest)
    }
}
