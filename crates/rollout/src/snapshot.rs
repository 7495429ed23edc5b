//! The records of the cluster's level, as a controller has read them.

use crate::levels::{Level, BASE_LEVEL};
use std::collections::BTreeMap;
use wire::records::{GenerationRecord, LeaderRecord, LevelRecord, MemberRecord, TermRecord};

/// A record as it was read.
#[derive(Debug, Clone, PartialEq, Default)]
pub enum Stored<T> {
    /// The record does not exist.
    #[default]
    Missing,
    /// The record exists, but this build can't read it.
    Unreadable {
        /// Version of the record.
        version: u64,
    },
    /// The record exists and was decoded.
    Known {
        /// Content of the record.
        record: T,
        /// Version of the record.
        version: u64,
    },
}

impl<T> Stored<T> {
    /// Content of the record, if it exists and can be read.
    pub fn record(&self) -> Option<&T> {
        match self {
            Stored::Known { record, .. } => Some(record),
            _ => None,
        }
    }

    /// Version of the record; 0 if it does not exist.
    pub fn version(&self) -> u64 {
        match self {
            Stored::Missing => 0,
            Stored::Unreadable { version } | Stored::Known { version, .. } => *version,
        }
    }

    /// Whether the record exists but can't be read.
    pub fn is_unreadable(&self) -> bool {
        matches!(self, Stored::Unreadable { .. })
    }
}

/// The records of the cluster's level. They are read one after the other, so each write that depends on them has their
/// versions as conditions.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Snapshot {
    /// Record of the active level.
    pub level: Stored<LevelRecord>,
    /// The mark: record of the finalized level. Builds of generation 1 read it as the generation that all controllers
    /// are known to run.
    pub mark: Stored<GenerationRecord>,
    /// Announcements by label of the controller.
    pub members: BTreeMap<String, Stored<MemberRecord>>,
    /// Last term. Read only if a level may be finalized next, and before the leader.
    pub term: Stored<TermRecord>,
    /// Leader. Read only if a level may be finalized next, and after the term.
    pub leader: Stored<LeaderRecord>,
}

impl Snapshot {
    /// Finalized level.
    pub fn finalized(&self) -> Level {
        self.mark
            .record()
            .map_or(BASE_LEVEL, |mark| mark.generation)
    }

    /// Active level. It is never below the finalized level.
    pub fn active(&self) -> Level {
        let level = self.level.record();
        let active = level.map_or(BASE_LEVEL, |level| level.active);
        active.max(self.finalized())
    }

    /// Announcement of a controller, if there is one that can be read.
    pub fn member(&self, label: &str) -> Option<&MemberRecord> {
        self.members.get(label)?.record()
    }

    /// Newest level that any controller has announced.
    pub fn newest_announced(&self) -> Level {
        let members = self.members.values().filter_map(Stored::record);
        members
            .map(|member| member.newest_level)
            .max()
            .unwrap_or(BASE_LEVEL)
    }
}
