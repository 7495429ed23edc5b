//! Feature levels: which exist, what each changes, and when a feature may be used.

use serde::{Deserialize, Serialize};

/// Number of a feature level.
pub type Level = u32;

/// Level of the build before pipelines.
pub const BASE_LEVEL: Level = 0;
/// Generation 1: small values and pipelines.
pub const GENERATION_1: Level = 1;
/// Planned handover of leadership, and fencing that keeps older builds from leading.
pub const HANDOVER_LEVEL: Level = 2;
/// Partitions of the fleet, whose owners answer workers.
pub const PARTITIONS_LEVEL: Level = 3;
/// Newest level of this build.
pub const NEWEST_LEVEL: Level = PARTITIONS_LEVEL;

/// A behavior that depends on the feature level.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
pub enum Feature {
    /// Dense parts of jobs are stored in small pages, submissions in several records, and the rates of `state.next`
    /// apply.
    SmallValues,
    /// The leader's record names the level under which the leader was elected.
    LeaderLevel,
    /// A leader that stops as planned names its successor in a frame.
    PlannedHandover,
    /// The term record has a layout that builds without staged upgrades can't read.
    FencedTerm,
    /// Owners of partitions answer workers under grants of the leader, and exchange frames about them.
    Partitions,
}

/// The format that a feature changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum ChangedFormat {
    /// The layout of records in the state service.
    Records,
    /// Frames between controllers.
    Frames,
}

/// When a feature may be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum GateKind {
    /// While its level is active. A controller may still be rolled back to an older build, which must be able to read
    /// what the feature writes. So the feature only adds fields that other builds ignore and preserve, or sends frames
    /// only to processes that announced the level.
    WhileActive,
    /// Once its level is finalized: builds of lower levels can't read what the feature writes.
    AtFinalization,
}

/// An entry of the feature table.
#[derive(Debug, Clone, Copy)]
pub struct FeatureEntry {
    /// The feature.
    pub feature: Feature,
    /// Level that introduces the feature.
    pub level: Level,
    /// Format that the feature changes.
    pub changes: ChangedFormat,
    /// When the feature may be used.
    pub gate: GateKind,
}

/// All features. The layout of pages may change only at finalization: a build rewrites the parts from memory, so
/// fields that it does not know would be lost.
pub const FEATURES: [FeatureEntry; 5] = [
    FeatureEntry {
        feature: Feature::SmallValues,
        level: GENERATION_1,
        changes: ChangedFormat::Records,
        gate: GateKind::AtFinalization,
    },
    FeatureEntry {
        feature: Feature::LeaderLevel,
        level: HANDOVER_LEVEL,
        changes: ChangedFormat::Records,
        gate: GateKind::WhileActive,
    },
    FeatureEntry {
        feature: Feature::PlannedHandover,
        level: HANDOVER_LEVEL,
        changes: ChangedFormat::Frames,
        gate: GateKind::WhileActive,
    },
    FeatureEntry {
        feature: Feature::FencedTerm,
        level: HANDOVER_LEVEL,
        changes: ChangedFormat::Records,
        gate: GateKind::AtFinalization,
    },
    FeatureEntry {
        feature: Feature::Partitions,
        level: PARTITIONS_LEVEL,
        changes: ChangedFormat::Frames,
        gate: GateKind::WhileActive,
    },
];

impl Feature {
    /// The feature's entry in [`FEATURES`].
    pub fn entry(self) -> FeatureEntry {
        let entry = FEATURES.iter().find(|entry| entry.feature == self);
        // A test checks that each feature is in the table.
        entry.copied().unwrap_or(FEATURES[0])
    }

    /// Whether a process that supports levels up to `newest` has this feature.
    pub fn is_supported_at(self, newest: Level) -> bool {
        newest >= self.entry().level
    }
}

/// The levels that a build supports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LevelRange {
    oldest: Level,
    newest: Level,
}

/// Why a level range is invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum RangeError {
    /// The oldest level is above the newest one.
    #[error("rollout.oldest_level: {oldest} is above rollout.newest_level, {newest}")]
    Reversed {
        /// Oldest level.
        oldest: Level,
        /// Newest level.
        newest: Level,
    },
    /// This build does not support the newest level of the range.
    #[error(
        "rollout.newest_level: {newest} is above {NEWEST_LEVEL}, the newest level of this build"
    )]
    Unsupported {
        /// Newest level.
        newest: Level,
    },
}

impl LevelRange {
    /// All levels that this build supports.
    pub const SUPPORTED: LevelRange = LevelRange {
        oldest: BASE_LEVEL,
        newest: NEWEST_LEVEL,
    };

    /// A subrange of [`LevelRange::SUPPORTED`], to which an operator may restrict this build.
    pub fn restricted(oldest: Level, newest: Level) -> Result<Self, RangeError> {
        if newest > NEWEST_LEVEL {
            return Err(RangeError::Unsupported { newest });
        }
        Self::new(oldest, newest)
    }

    /// The range of any build, which may support newer levels than this one.
    pub fn new(oldest: Level, newest: Level) -> Result<Self, RangeError> {
        match oldest <= newest {
            true => Ok(LevelRange { oldest, newest }),
            false => Err(RangeError::Reversed { oldest, newest }),
        }
    }

    /// Oldest supported level.
    pub fn oldest(self) -> Level {
        self.oldest
    }

    /// Newest supported level.
    pub fn newest(self) -> Level {
        self.newest
    }
}

impl std::fmt::Display for LevelRange {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}-{}", self.oldest, self.newest)
    }
}
