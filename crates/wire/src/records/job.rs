//! Records of jobs, open and finished.

use super::{unknown, UnknownFields};
use crate::users::{Submission, ID_PREFIX};
use serde::{Deserialize, Serialize, Serializer};

/// An open job.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(from = "StoredJob")]
pub struct JobRecord {
    /// The submission, without the parts that are in further records.
    pub spec: Submission,
    /// Time of day at which the job was accepted, in milliseconds.
    pub at: u64,
    /// Whether its user has cancelled the job.
    pub aborted: bool,
    /// Number of further records, [`JobOverflowRecord`].
    pub more: u32,
    /// Fields that a newer build has added.
    pub unknown: UnknownFields,
}

impl JobRecord {
    /// A job that has just been accepted, in one record.
    pub fn new(spec: Submission, at: u64) -> Self {
        JobRecord {
            spec,
            at,
            aborted: false,
            more: 0,
            unknown: UnknownFields::new(),
        }
    }
}

/// A job's record as it is stored. The ids of the jobs that it depends on are written without their common prefix and
/// separated by spaces, so that a hundred of them fit into a small value.
#[derive(Deserialize)]
struct StoredJob {
    spec: Submission,
    at: u64,
    #[serde(default)]
    aborted: bool,
    #[serde(default)]
    needs: String,
    #[serde(default)]
    more: u32,
    #[serde(flatten)]
    unknown: UnknownFields,
}

fn is_zero(number: &u32) -> bool {
    *number == 0
}

impl From<StoredJob> for JobRecord {
    fn from(stored: StoredJob) -> Self {
        let mut spec = stored.spec;
        let suffixes = stored.needs.split(' ').filter(|text| !text.is_empty());
        spec.needs
            .extend(suffixes.map(|suffix| format!("{ID_PREFIX}{suffix}")));
        JobRecord {
            spec,
            at: stored.at,
            aborted: stored.aborted,
            more: stored.more,
            unknown: stored.unknown,
        }
    }
}

impl Serialize for JobRecord {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        #[derive(Serialize)]
        struct Known {
            spec: Submission,
            at: u64,
            aborted: bool,
            #[serde(skip_serializing_if = "String::is_empty")]
            needs: String,
            #[serde(skip_serializing_if = "is_zero")]
            more: u32,
        }
        let mut spec = self.spec.clone();
        let needs = std::mem::take(&mut spec.needs);
        let suffixes = needs.iter().map(|id| id.trim_start_matches(ID_PREFIX));
        let known = Known {
            needs: suffixes.collect::<Vec<_>>().join(" "),
            spec,
            at: self.at,
            aborted: self.aborted,
            more: self.more,
        };
        unknown::serialize_with(&known, &self.unknown, serializer)
    }
}

/// Parts of a submission that do not fit into the open job's own record.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct JobOverflowRecord {
    /// Further allowed machine types.
    pub types: Vec<String>,
}

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Final {
    /// All tasks completed.
    #[serde(rename = "d")]
    Done,
    /// Cancelled by its user.
    #[serde(rename = "a")]
    Aborted,
}
