//! Records of jobs, open and finished.

use super::{unknown, UnknownFields};
use crate::users::{Submission, JOB_ID_PREFIX};
use serde::{Deserialize, Serialize, Serializer};

/// An open job.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(from = "StoredJob")]
pub struct JobRecord {
    /// The submission, without what is in overflow records.
    pub spec: Submission,
    /// Wall-clock time at which the job was accepted, in milliseconds.
    pub accepted_at_ms: u64,
    /// Whether the user has cancelled the job.
    pub aborted: bool,
    /// Number of overflow records ([`JobOverflowRecord`]).
    pub overflow_record_count: u32,
    /// Fields that a newer build has added.
    pub unknown: UnknownFields,
}

impl JobRecord {
    /// A newly accepted job without overflow records.
    pub fn new(spec: Submission, accepted_at_ms: u64) -> Self {
        JobRecord {
            spec,
            accepted_at_ms,
            aborted: false,
            overflow_record_count: 0,
            unknown: UnknownFields::new(),
        }
    }
}

/// A job's record as it is stored. The ids of its dependencies are written without their common prefix and separated by
/// spaces, so that a hundred of them fit into a small value.
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
        let ids = suffixes.map(|suffix| format!("{JOB_ID_PREFIX}{suffix}"));
        spec.dependencies.extend(ids);
        JobRecord {
            spec,
            accepted_at_ms: stored.at,
            aborted: stored.aborted,
            overflow_record_count: stored.more,
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
        let dependencies = std::mem::take(&mut spec.dependencies);
        let suffixes = dependencies
            .iter()
            .map(|id| id.trim_start_matches(JOB_ID_PREFIX));
        let known = Known {
            needs: suffixes.collect::<Vec<_>>().join(" "),
            spec,
            at: self.accepted_at_ms,
            aborted: self.aborted,
            more: self.overflow_record_count,
        };
        unknown::serialize_with(&known, &self.unknown, serializer)
    }
}

/// What does not fit into the record of an open job.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct JobOverflowRecord {
    /// Further allowed machine types.
    #[serde(rename = "types")]
    pub machine_types: Vec<String>,
}

/// How a job ended. This is the content of its final record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobOutcome {
    /// All tasks completed.
    #[serde(rename = "d")]
    Done,
    /// Cancelled by the user.
    #[serde(rename = "a")]
    Aborted,
}
