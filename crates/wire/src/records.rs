//! What the controllers keep in the state service, and under which keys.

use crate::users::Submission;
use serde::{Deserialize, Serialize};

/// Key of the leader's record, attached to its lease.
pub const LEADER: &str = "lead";
/// Key of the term, which outlives leaders.
pub const TERM: &str = "term";
/// Key of the machine types last seen.
pub const TYPES: &str = "types";
/// Prefix of open jobs (and aborted ones whose tasks are not gone yet).
pub const JOBS: &str = "j/";
/// Prefix of pages: places and progress of many jobs together.
pub const PAGES: &str = "b/";
/// Prefix of finished jobs.
pub const FINALS: &str = "f/";
/// Prefix of rental requests.
pub const RENTALS: &str = "r/";

/// Key of an open job.
pub fn job_key(id: &str) -> String {
    format!("{JOBS}{id}")
}

/// Key of a finished job.
pub fn final_key(id: &str) -> String {
    format!("{FINALS}{id}")
}

/// Key of a page.
pub fn page_key(number: u32) -> String {
    format!("{PAGES}{number:05}")
}

/// Key of a rental request.
pub fn rental_key(request: &str) -> String {
    format!("{RENTALS}{request}")
}

/// Who leads.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// Label of the node.
    pub node: String,
    /// Its term.
    pub term: u64,
    /// Number drawn at the start of the process, to tell it from the node's earlier ones.
    pub boot: u64,
}

/// The last term.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermRecord {
    /// Term.
    pub term: u64,
}

/// A job that is not over.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// What was submitted.
    pub spec: Submission,
    /// Time of day of its acceptance, in milliseconds.
    pub at: u64,
    /// Whether its user has cancelled it.
    #[serde(default)]
    pub aborted: bool,
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

/// A part of a job's tasks: which are done, and where the others may be running.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct ChunkRecord {
    /// Done tasks as ranges, `0-3,7`.
    #[serde(default)]
    pub done: String,
    /// (task, attempt, machine) of each place that is not known to be free.
    #[serde(default)]
    pub at: Vec<(u32, u64, String)>,
    /// Highest attempt given out.
    #[serde(default)]
    pub hi: u64,
    /// Run seconds of the done tasks that were timed.
    #[serde(default)]
    pub secs: f64,
    /// How many of them were timed.
    #[serde(default)]
    pub timed: u32,
}

/// A part of a job as one page has it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PageEntry {
    /// Job.
    pub job: String,
    /// Number of the part.
    pub part: u32,
    /// Number of the part's last change in it. Of several copies, the one with the highest number counts.
    pub seq: u64,
    /// What it holds.
    pub chunk: ChunkRecord,
}

/// Parts of many jobs in one record: a small state service takes few changes a second, whatever their size. An
/// entry whose job is not open, or that another page holds with a higher number, means nothing any more.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct PageRecord {
    /// Its entries.
    pub parts: Vec<PageEntry>,
}

/// A rental request whose machines the cloud's list may not show yet. Asked for again under its name, it tells
/// which they are; so machines need no records of their own, which a small state service could not take.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RentalRecord {
    /// Type.
    pub kind: String,
    /// Zone.
    pub zone: String,
    /// Whether spot machines are wanted.
    pub spot: bool,
    /// How many.
    pub count: u32,
}
