//! Feature gates: whether a feature may be used, and under which condition.

use crate::levels::{Feature, GateKind, Level, LevelRange, BASE_LEVEL, GENERATION_1};
use wire::records::CLUSTER_LEVEL_KEY;
use wire::state::Compare;

/// The features that a controller may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FeatureGates {
    newest_supported: Level,
    active: Level,
    finalized: Level,
    /// Version of the level record from which `active` was read. `None` if the record may have changed since.
    level_version: Option<u64>,
}

impl FeatureGates {
    /// The state before anything has been read: all gates are closed.
    pub fn closed(range: LevelRange) -> Self {
        FeatureGates {
            newest_supported: range.newest(),
            active: BASE_LEVEL,
            finalized: BASE_LEVEL,
            level_version: None,
        }
    }

    /// Applies the levels that were read, and the version of the level record.
    pub(crate) fn update(&mut self, active: Level, finalized: Level, level_version: u64) {
        self.active = active;
        self.finalized = self.finalized.max(finalized);
        self.level_version = Some(level_version);
    }

    /// Notes evidence that generation 1 is finalized.
    pub(crate) fn set_generation_1_finalized(&mut self) {
        self.finalized = self.finalized.max(GENERATION_1);
    }

    /// Notes that the active level may have changed since it was read. The finalized level stays valid, since it never
    /// decreases.
    pub fn mark_stale(&mut self) {
        self.level_version = None;
    }

    /// Whether the active level as last read may still be current, as far as this process knows.
    pub fn is_fresh(&self) -> bool {
        self.level_version.is_some()
    }

    /// Whether a feature may be used.
    pub fn is_open(&self, feature: Feature) -> bool {
        let entry = feature.entry();
        let reached = match entry.gate {
            GateKind::WhileActive if self.level_version.is_none() => return false,
            GateKind::WhileActive => self.active,
            GateKind::AtFinalization => self.finalized,
        };
        feature.is_supported_at(self.newest_supported) && reached >= entry.level
    }

    /// The active level, and the condition under which records that a feature changes may be written. A transaction
    /// that was built while the gate was open fails if the level has changed since, however late it is executed.
    ///
    /// `None` if the gate is closed. Features of finalized levels need no condition, since the finalized level never
    /// decreases.
    pub fn condition(&self, feature: Feature) -> Option<(Level, Compare)> {
        let version = self.level_version.filter(|_| self.is_open(feature))?;
        Some((self.active, Compare::new(CLUSTER_LEVEL_KEY, version)))
    }
}
