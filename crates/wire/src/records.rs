//! What the controllers keep in the state service, and under which keys.

use crate::users::{Submission, ID_PREFIX};
use serde::{Deserialize, Serialize, Serializer};

mod partitions;
mod rollout;
mod small;
mod unknown;
pub use partitions::{partitions_key, PartitionRow, PartitionsRecord, PARTITIONS};
pub use rollout::{
    member_key, LevelRecord, MemberRecord, PauseReason, Phase, LEVEL, MEMBERS, ROLLOUT,
};
pub use small::{SmallEntry, SmallPart};
pub use unknown::UnknownFields;

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

/// Prefix of what does not fit into open jobs' own records. Unknown to the version before the pipelines.
pub const MORE: &str = "x/";
/// Prefix of both the next, and the key of the mark.
pub const GENERATIONS: &str = "v";
/// Prefix of the generation that each node runs, written once it does. Unknown to the version before the pipelines.
pub const NODES: &str = "v/";
/// Key of the mark: the generation that every node is known to run, which never goes back.
pub const MARK: &str = "vmark";

/// A generation, of a node or of all.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct GenerationRecord {
    /// Number, which only grows.
    pub generation: u32,
    /// What a newer build has added.
    #[serde(flatten)]
    pub unknown: UnknownFields,
}

impl GenerationRecord {
    /// A generation without further fields.
    pub fn new(generation: u32) -> Self {
        GenerationRecord {
            generation,
            unknown: UnknownFields::new(),
        }
    }
}

impl Serialize for GenerationRecord {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        #[derive(Serialize)]
        struct Known {
            generation: u32,
        }
        let generation = self.generation;
        unknown::serialize_with(&Known { generation }, &self.unknown, serializer)
    }
}

/// Key of a node's generation.
pub fn node_key(label: &str) -> String {
    format!("{NODES}{label}")
}

/// Key of a part of what does not fit into an open job's record, from 1 on.
pub fn more_key(id: &str, number: u32) -> String {
    format!("{MORE}{id}/{number}")
}

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
    /// Feature level that was active when it was elected. Written under a gate only, see the `rollout` crate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub level: Option<u32>,
}

/// The last term.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(try_from = "StoredTerm")]
pub struct TermRecord {
    /// Term.
    pub term: u64,
    /// Whether the record is in the layout that builds without rollouts can't read. They stand for no election whose
    /// last term they don't know.
    pub fenced: bool,
    /// What a newer build has added.
    pub unknown: UnknownFields,
}

impl TermRecord {
    /// A term in the layout that every build reads.
    pub fn new(term: u64) -> Self {
        TermRecord {
            term,
            fenced: false,
            unknown: UnknownFields::new(),
        }
    }
}

/// The last term as it is stored: under one name or the other.
#[derive(Deserialize)]
struct StoredTerm {
    #[serde(default)]
    term: Option<u64>,
    #[serde(default)]
    fenced_term: Option<u64>,
    #[serde(flatten)]
    unknown: UnknownFields,
}

/// A record of the term that names none.
#[derive(Debug, thiserror::Error)]
#[error("neither `term` nor `fenced_term`")]
struct NoTerm;

impl TryFrom<StoredTerm> for TermRecord {
    type Error = NoTerm;

    fn try_from(stored: StoredTerm) -> Result<Self, NoTerm> {
        Ok(TermRecord {
            term: stored.fenced_term.or(stored.term).ok_or(NoTerm)?,
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

/// A job that is not over.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(from = "StoredJob")]
pub struct JobRecord {
    /// What was submitted, without what `more` records hold.
    pub spec: Submission,
    /// Time of day of its acceptance, in milliseconds.
    pub at: u64,
    /// Whether its user has cancelled it.
    pub aborted: bool,
    /// Number of further records, [`MoreRecord`].
    pub more: u32,
    /// What a newer build has added beside these.
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

/// A job's record as it is stored: the names of needed jobs are written without what they all begin with, so that a
/// hundred of them fit into a small value.
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

fn is_zero(n: &u32) -> bool {
    *n == 0
}

impl From<StoredJob> for JobRecord {
    fn from(stored: StoredJob) -> Self {
        let mut spec = stored.spec;
        let names = stored.needs.split(' ').filter(|n| !n.is_empty());
        spec.needs.extend(names.map(|n| format!("{ID_PREFIX}{n}")));
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
        let names = needs.iter().map(|n| n.trim_start_matches(ID_PREFIX));
        let known = Known {
            needs: names.collect::<Vec<_>>().join(" "),
            spec,
            at: self.at,
            aborted: self.aborted,
            more: self.more,
        };
        unknown::serialize_with(&known, &self.unknown, serializer)
    }
}

/// What does not fit into an open job's own record.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct MoreRecord {
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
    /// Its entries in the dense form, which the version before the pipelines can't read.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub small: Vec<SmallEntry>,
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
