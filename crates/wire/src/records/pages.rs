//! Records of pages, each of which holds assignments and progress of many jobs.

use super::DensePageEntry;
use serde::{Deserialize, Serialize};

/// A chunk of a job's tasks: which are done, and on which machines the others may be running.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct ChunkRecord {
    /// Done tasks as ranges, for example `0-3,7`.
    #[serde(rename = "done", default)]
    pub done_ranges: String,
    /// Task, attempt and machine of each assignment that is not known to have ended.
    #[serde(rename = "at", default)]
    pub assignments: Vec<(u32, u64, String)>,
    /// Highest attempt assigned so far.
    #[serde(rename = "hi", default)]
    pub highest_attempt: u64,
    /// Total run time of the done tasks that were timed, in seconds.
    #[serde(rename = "secs", default)]
    pub timed_run_s: f64,
    /// Number of done tasks that were timed.
    #[serde(rename = "timed", default)]
    pub timed_tasks: u32,
}

/// A chunk of a job, as an entry of a page.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PageEntry {
    /// Job id.
    pub job: String,
    /// Number of the chunk within the job.
    #[serde(rename = "part")]
    pub chunk_number: u32,
    /// Sequence number of the chunk's last change. Of several copies, the one with the highest number is valid.
    pub seq: u64,
    /// Content of the chunk.
    pub chunk: ChunkRecord,
}

/// Chunks of many jobs in one record, since a small state service accepts few writes per second, whatever their size.
/// An entry is obsolete if its job is not open, or if another page has the chunk with a higher sequence number.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct PageRecord {
    /// Entries.
    #[serde(rename = "parts")]
    pub entries: Vec<PageEntry>,
    /// Entries in the dense encoding, which builds without job dependencies cannot read.
    #[serde(rename = "small", default, skip_serializing_if = "Vec::is_empty")]
    pub dense_entries: Vec<DensePageEntry>,
}
