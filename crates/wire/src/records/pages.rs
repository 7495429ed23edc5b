//! Records of pages: assignments and progress of many jobs together.

use super::SmallEntry;
use serde::{Deserialize, Serialize};

/// A part of a job's tasks: which are done, and on which machines the others may be running.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct ChunkRecord {
    /// Done tasks as ranges, `0-3,7`.
    #[serde(default)]
    pub done: String,
    /// Task, attempt and machine of each assignment that is not known to have ended.
    #[serde(default)]
    pub at: Vec<(u32, u64, String)>,
    /// Highest attempt assigned so far.
    #[serde(default)]
    pub hi: u64,
    /// Run time of the done tasks that were timed, in seconds.
    #[serde(default)]
    pub secs: f64,
    /// Number of done tasks that were timed.
    #[serde(default)]
    pub timed: u32,
}

/// A part of a job as it stands in a page.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PageEntry {
    /// Job.
    pub job: String,
    /// Number of the part.
    pub part: u32,
    /// Number of the part's last change. Of several copies the one with the highest number is valid.
    pub seq: u64,
    /// Content of the part.
    pub chunk: ChunkRecord,
}

/// Parts of many jobs in one record, since a small state service accepts few writes per second, whatever their size.
/// An entry is obsolete if its job is not open, or if another page has it with a higher number.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct PageRecord {
    /// Entries.
    pub parts: Vec<PageEntry>,
    /// Entries in the dense form, which the version before the pipelines can't read.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub small: Vec<SmallEntry>,
}
