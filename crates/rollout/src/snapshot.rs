//! What a controller has read of the cluster's level.

use crate::levels::{Level, BASE};
use std::collections::BTreeMap;
use wire::records::{GenerationRecord, LeaderRecord, LevelRecord, MemberRecord, TermRecord};

/// A record as it was read.
#[derive(Debug, Clone, PartialEq, Default)]
pub enum Stored<T> {
    /// There is none.
    #[default]
    Missing,
    /// There is one that this build can't read.
    Unreadable {
        /// Its version.
        version: u64,
    },
    /// There is one.
    Known {
        /// Its content.
        record: T,
        /// Its version.
        version: u64,
    },
}

impl<T> Stored<T> {
    /// Its content, if it can be read.
    pub fn record(&self) -> Option<&T> {
        match self {
            Stored::Known { record, .. } => Some(record),
            _ => None,
        }
    }

    /// Its version, 0 if there is none.
    pub fn version(&self) -> u64 {
        match self {
            Stored::Missing => 0,
            Stored::Unreadable { version } | Stored::Known { version, .. } => *version,
        }
    }

    /// Whether it can't be read.
    pub fn is_unreadable(&self) -> bool {
        matches!(self, Stored::Unreadable { .. })
    }
}

/// The records of the cluster's level as they were read, one after the other. Each write that depends on them has
/// their versions as conditions.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Snapshot {
    /// Level.
    pub level: Stored<LevelRecord>,
    /// Level that is final. Builds of generation 1 call it the generation that all controllers are known to run.
    pub mark: Stored<GenerationRecord>,
    /// Announcements by label.
    pub members: BTreeMap<String, Stored<MemberRecord>>,
    /// Last term. Read only where an upgrade may be finalized, and before the leader.
    pub term: Stored<TermRecord>,
    /// Leader. Read under the same condition, after the term.
    pub leader: Stored<LeaderRecord>,
}

impl Snapshot {
    /// Level that is final.
    pub fn finalized(&self) -> Level {
        self.mark.record().map_or(BASE, |mark| mark.generation)
    }

    /// Level that is active. What is final is always active.
    pub fn active(&self) -> Level {
        let active = self.level.record().map_or(BASE, |level| level.active);
        active.max(self.finalized())
    }

    /// What a controller has announced.
    pub fn member(&self, label: &str) -> Option<&MemberRecord> {
        self.members.get(label)?.record()
    }

    /// Newest level that any controller has announced.
    pub fn newest_announced(&self) -> Level {
        let members = self.members.values().filter_map(Stored::record);
        members
            .map(|member| member.newest_level)
            .max()
            .unwrap_or(BASE)
    }
}
