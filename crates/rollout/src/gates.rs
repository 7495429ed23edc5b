//! Whether a feature may be used, and under which condition.

use crate::levels::{Feature, GateKind, Level, LevelRange, BASE, GENERATION_1};
use wire::records::CLUSTER_LEVEL_KEY;
use wire::state::Compare;

/// Which features a controller may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Gates {
    newest: Level,
    active: Level,
    finalized: Level,
    /// Version of the level record that `active` was read from. `None` where the record may have changed since.
    version: Option<u64>,
}

impl Gates {
    /// All gates closed: nothing has been read.
    pub fn closed(range: LevelRange) -> Self {
        Gates {
            newest: range.newest(),
            active: BASE,
            finalized: BASE,
            version: None,
        }
    }

    /// Takes in what was read.
    pub(crate) fn learn(&mut self, active: Level, finalized: Level, version: u64) {
        self.active = active;
        self.finalized = self.finalized.max(finalized);
        self.version = Some(version);
    }

    /// Something proves that generation 1 is final.
    pub(crate) fn prove_generation_1(&mut self) {
        self.finalized = self.finalized.max(GENERATION_1);
    }

    /// The level may have changed since it was read. What is final stays so.
    pub fn forget(&mut self) {
        self.version = None;
    }

    /// Whether the last reading may still be current, as far as this process knows.
    pub fn is_fresh(&self) -> bool {
        self.version.is_some()
    }

    /// Whether a feature may be used.
    pub fn is_open(&self, feature: Feature) -> bool {
        let entry = feature.entry();
        let reached = match entry.gate {
            GateKind::WhileActive if self.version.is_none() => return false,
            GateKind::WhileActive => self.active,
            GateKind::AtFinalization => self.finalized,
        };
        feature.is_in(self.newest) && reached >= entry.level
    }

    /// The condition under which to write what a feature changes, and the level that is written. A transaction that
    /// was built under an open gate fails if the level has changed since, however late it is executed.
    ///
    /// `None` if the gate is closed. What is final needs no condition, since the final level never decreases.
    pub fn condition(&self, feature: Feature) -> Option<(Level, Compare)> {
        let version = self.version.filter(|_| self.is_open(feature))?;
        Some((self.active, Compare::new(CLUSTER_LEVEL_KEY, version)))
    }
}
