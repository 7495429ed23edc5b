//! What users say to the controllers.

use serde::{Deserialize, Deserializer, Serialize};

/// Kind of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Shape {
    /// Independent tasks.
    #[serde(rename = "array")]
    Array,
    /// All tasks at the same time or none.
    #[serde(rename = "group")]
    Gang,
    /// Independent tasks that run until their user cancels the job. The protocol page does not name this shape,
    /// the design page and users do (docs/questions.md).
    #[serde(rename = "standing")]
    Service,
}

/// Priority, from lowest to highest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Lowest.
    Low,
    /// The usual one.
    Normal,
    /// Above normal.
    Urgent,
    /// Highest.
    Critical,
}

/// A job as its owner describes it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    /// Unique id, chosen by the user.
    pub id: String,
    /// Class of jobs the objectives speak of.
    #[serde(rename = "cohort")]
    pub class: String,
    /// Team that pays with its guarantee and limit.
    #[serde(rename = "tenant")]
    pub team: String,
    /// Array or gang.
    pub shape: Shape,
    /// Priority.
    #[serde(rename = "rank")]
    pub priority: Priority,
    /// Number of tasks.
    #[serde(rename = "shards")]
    pub tasks: u64,
    /// CPUs a task takes.
    pub cpus: f64,
    /// GPUs a task takes.
    pub gpus: f64,
    /// Memory a task takes, in GB.
    pub mem_gb: f64,
    /// Image a machine must have first.
    #[serde(rename = "bundle")]
    pub image: String,
    /// Size of the image in GB.
    #[serde(rename = "pull_gb")]
    pub image_gb: f64,
    /// Allowed machine types; `None` for any.
    #[serde(rename = "breeds", default)]
    pub types: Option<Vec<String>>,
    /// The only allowed zone.
    #[serde(rename = "valley", default)]
    pub zone: Option<String>,
    /// All tasks in one zone.
    #[serde(rename = "same_place")]
    pub one_zone: bool,
    /// At most half of the tasks, rounded up, in one zone.
    #[serde(rename = "apart")]
    pub spread: bool,
    /// Whether spot machines may be used.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Owner's estimate of a task's run time, in seconds.
    pub guess_s: f64,
    /// Seconds of progress between checkpoints; 0: the task never saves.
    #[serde(rename = "stow_every_s")]
    pub checkpoint_s: f64,
    /// Seconds a task needs to save when it is stopped.
    #[serde(rename = "stow_s")]
    pub save_s: f64,
    /// Seconds from submission until the job should be complete.
    #[serde(default)]
    pub due_s: Option<f64>,
    /// Jobs that must be done before any task of this one starts.
    #[serde(
        rename = "awaits",
        default,
        deserialize_with = "null_is_none",
        skip_serializing_if = "Vec::is_empty"
    )]
    pub needs: Vec<String>,
}

/// A list that may be null.
fn null_is_none<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<String>, D::Error> {
    Ok(Option::deserialize(from)?.unwrap_or_default())
}

/// Largest number of tasks of a job.
pub const MAX_TASKS: u64 = 100_000;
const MAX_TEXT: usize = 128;
const MAX_TYPES: usize = 64;
/// What every job id begins with.
pub const ID_PREFIX: &str = "run-";

/// Whether `id` has the form of a job id.
pub fn is_job_id(id: &str) -> bool {
    id.strip_prefix(ID_PREFIX)
        .is_some_and(|n| (1..=40).contains(&n.len()) && n.bytes().all(|b| b.is_ascii_digit()))
}

impl Submission {
    /// Drops names of needed jobs that come twice.
    pub fn dedup_needs(&mut self) {
        let mut seen = std::collections::HashSet::new();
        self.needs.retain(|id| seen.insert(id.clone()));
    }

    /// The first field whose value is not allowed.
    pub fn invalid_field(&self) -> Option<&'static str> {
        let amount = |v: f64| v.is_finite() && v >= 0.0;
        let text = |s: &str| !s.is_empty() && s.len() <= MAX_TEXT;
        let types_ok = |t: &Vec<String>| t.len() <= MAX_TYPES && t.iter().all(|t| text(t));
        let checks = [
            ("id", is_job_id(&self.id)),
            ("cohort", text(&self.class)),
            ("tenant", text(&self.team)),
            ("shards", (1..=MAX_TASKS).contains(&self.tasks)),
            ("cpus", amount(self.cpus)),
            ("gpus", amount(self.gpus)),
            ("mem_gb", amount(self.mem_gb)),
            ("bundle", text(&self.image)),
            ("pull_gb", amount(self.image_gb)),
            ("breeds", self.types.as_ref().is_none_or(types_ok)),
            ("valley", self.zone.as_deref().is_none_or(text)),
            ("guess_s", amount(self.guess_s)),
            ("stow_every_s", amount(self.checkpoint_s)),
            ("stow_s", amount(self.save_s)),
            ("due_s", self.due_s.is_none_or(amount)),
        ];
        checks.iter().find(|(_, ok)| !ok).map(|(name, _)| *name)
    }
}

/// Only the id of a submission, for bodies that are otherwise invalid.
#[derive(Debug, Deserialize)]
pub struct JustId {
    /// Job id.
    pub id: String,
}

/// Phase of a job as users see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// No task runs.
    Queued,
    /// Some task runs.
    Running,
    /// All tasks are done.
    Done,
    /// Cancelled by its user.
    Aborted,
}

/// Answer about a job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobStatus {
    /// Job id.
    pub id: String,
    /// Phase.
    pub phase: Phase,
    /// Tasks done, for display.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub done: Option<u64>,
    /// Tasks running, for display.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub running: Option<u64>,
}

/// Answer that refuses something.
#[derive(Debug, Serialize, Deserialize)]
pub struct Refusal {
    /// What was wrong.
    pub error: String,
}
