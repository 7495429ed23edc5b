//! Records of leader election: the current leader and the last term.

use super::{unknown, UnknownFields};
use serde::{Deserialize, Serialize, Serializer};

/// The leader. The record is attached to the leader's lease, so it is deleted when the lease expires.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// Label of the controller.
    pub node: String,
    /// Term of the leader.
    pub term: u64,
    /// Random number of the process, which distinguishes it from earlier processes of the same controller.
    pub boot: u64,
    /// Feature level that was active at the election. Written only once the feature for it is active; see the
    /// `rollout` crate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub level: Option<u32>,
}

/// The last term, which is the fencing token of leaders.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(try_from = "StoredTerm")]
pub struct TermRecord {
    /// Term.
    pub term: u64,
    /// Whether the record has the layout that builds without staged upgrades cannot read. Such a build does not become a
    /// candidate in an election whose last term it does not know.
    pub fenced: bool,
    /// Fields that a newer build has added.
    pub unknown: UnknownFields,
}

impl TermRecord {
    /// A term in the layout that every build can read.
    pub fn new(term: u64) -> Self {
        TermRecord {
            term,
            fenced: false,
            unknown: UnknownFields::new(),
        }
    }
}

/// The last term as it is stored, in the old layout (`term`) or the new one (`fenced_term`).
#[derive(Deserialize)]
struct StoredTerm {
    #[serde(default)]
    term: Option<u64>,
    #[serde(default)]
    fenced_term: Option<u64>,
    #[serde(flatten)]
    unknown: UnknownFields,
}

/// The record has neither of the two layouts.
#[derive(Debug, thiserror::Error)]
#[error("neither `term` nor `fenced_term`")]
struct MissingTerm;

impl TryFrom<StoredTerm> for TermRecord {
    type Error = MissingTerm;

    fn try_from(stored: StoredTerm) -> Result<Self, MissingTerm> {
        Ok(TermRecord {
            term: stored.fenced_term.or(stored.term).ok_or(MissingTerm)?,
            fenced: stored.fenced_term.is_some(),
            unknown: stored.unknown,
        })
    }
}

impl Serialize for TermRecord {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        #[derive(Serialize)]
        struct Known {
            #[serde(skip_serializing_if = "Option::is_none")]
            term: Option<u64>,
            #[serde(skip_serializing_if = "Option::is_none")]
            fenced_term: Option<u64>,
        }
        let known = Known {
            term: (!self.fenced).then_some(self.term),
            fenced_term: self.fenced.then_some(self.term),
        };
        unknown::serialize_with(&known, &self.unknown, serializer)
    }
}
