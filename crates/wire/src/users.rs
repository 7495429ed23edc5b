//! Messages of the users: submissions, job status and refusals.

use serde::{Deserialize, Deserializer, Serialize};
use std::ops::RangeInclusive;

/// Shape of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Shape {
    /// A job array: independent tasks.
    #[serde(rename = "array")]
    Array,
    /// A gang: all tasks run at the same time, or none.
    #[serde(rename = "group")]
    Gang,
    /// A service: independent tasks that run until their user cancels the job. The protocol page does not name this
    /// shape, but the design page and users do (docs/questions.md).
    #[serde(rename = "standing")]
    Service,
}

/// Priority, from lowest to highest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Lowest.
    Low,
    /// Ordinary.
    Normal,
    /// Above normal.
    Urgent,
    /// Highest.
    Critical,
}

/// A job as its user describes it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    /// Unique id, chosen by the user, so that a repeated submission is idempotent.
    pub id: String,
    /// Class of jobs, for which service-level objectives are defined.
    #[serde(rename = "cohort")]
    pub class: String,
    /// Team whose quota the job uses: its guarantee and its limit.
    #[serde(rename = "tenant")]
    pub team: String,
    /// Shape of the job.
    pub shape: Shape,
    /// Priority.
    #[serde(rename = "rank")]
    pub priority: Priority,
    /// Number of tasks.
    #[serde(rename = "shards")]
    pub tasks: u64,
    /// CPUs of a task.
    pub cpus: f64,
    /// GPUs of a task.
    pub gpus: f64,
    /// Memory of a task, in GB.
    pub mem_gb: f64,
    /// Image that a machine must have before a task starts.
    #[serde(rename = "bundle")]
    pub image: String,
    /// Size of the image, in GB.
    #[serde(rename = "pull_gb")]
    pub image_gb: f64,
    /// Allowed machine types; `None` allows any.
    #[serde(rename = "breeds", default)]
    pub types: Option<Vec<String>>,
    /// The only allowed zone, if there is one.
    #[serde(rename = "valley", default)]
    pub zone: Option<String>,
    /// Whether all tasks have to run in the same zone.
    #[serde(rename = "same_place")]
    pub one_zone: bool,
    /// Whether at most half of the tasks, rounded up, may run in the same zone.
    #[serde(rename = "apart")]
    pub spread: bool,
    /// Whether spot instances may be used.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// The user's estimate of a task's run time, in seconds.
    pub guess_s: f64,
    /// Seconds of progress between checkpoints; 0 if the task writes none.
    #[serde(rename = "stow_every_s")]
    pub checkpoint_s: f64,
    /// Seconds that a task needs to write a checkpoint when it is stopped.
    #[serde(rename = "stow_s")]
    pub save_s: f64,
    /// Seconds after its submission until which the job should be complete, if it has a due time.
    #[serde(default)]
    pub due_s: Option<f64>,
    /// Dependencies: jobs that must be done before any task of this one starts.
    #[serde(
        rename = "awaits",
        default,
        deserialize_with = "null_is_none",
        skip_serializing_if = "Vec::is_empty"
    )]
    pub needs: Vec<String>,
}

/// Reads a list that may be null, which stands for an empty one.
fn null_is_none<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<String>, D::Error> {
    Ok(Option::deserialize(from)?.unwrap_or_default())
}

/// Maximum number of tasks of a job.
pub const MAX_TASKS: u64 = 100_000;
/// Maximum length of names, in bytes.
const MAX_TEXT_BYTES: usize = 128;
/// Maximum number of allowed machine types.
const MAX_TYPES: usize = 64;
/// Number of digits that a job id may have.
const ID_DIGITS: RangeInclusive<usize> = 1..=40;
/// Prefix of every job id.
pub const ID_PREFIX: &str = "run-";

/// Whether `id` has the form of a job id.
pub fn is_job_id(id: &str) -> bool {
    id.strip_prefix(ID_PREFIX).is_some_and(|number| {
        ID_DIGITS.contains(&number.len()) && number.bytes().all(|byte| byte.is_ascii_digit())
    })
}

impl Submission {
    /// Removes dependencies that are listed more than once.
    pub fn dedup_needs(&mut self) {
        let mut seen = std::collections::HashSet::new();
        self.needs.retain(|id| seen.insert(id.clone()));
    }

    /// The first field whose value is not allowed, under its name in the protocol, for the response to the user.
    pub fn invalid_field(&self) -> Option<&'static str> {
        let checks = [
            ("id", is_job_id(&self.id)),
            ("cohort", is_valid_text(&self.class)),
            ("tenant", is_valid_text(&self.team)),
            ("shards", (1..=MAX_TASKS).contains(&self.tasks)),
            ("cpus", is_valid_amount(self.cpus)),
            ("gpus", is_valid_amount(self.gpus)),
            ("mem_gb", is_valid_amount(self.mem_gb)),
            ("bundle", is_valid_text(&self.image)),
            ("pull_gb", is_valid_amount(self.image_gb)),
            (
                "breeds",
                self.types
                    .as_ref()
                    .is_none_or(|types| is_valid_type_list(types)),
            ),
            ("valley", self.zone.as_deref().is_none_or(is_valid_text)),
            ("guess_s", is_valid_amount(self.guess_s)),
            ("stow_every_s", is_valid_amount(self.checkpoint_s)),
            ("stow_s", is_valid_amount(self.save_s)),
            ("due_s", self.due_s.is_none_or(is_valid_amount)),
        ];
        checks
            .into_iter()
            .find(|(_, is_valid)| !is_valid)
            .map(|(name, _)| name)
    }
}

fn is_valid_amount(amount: f64) -> bool {
    amount.is_finite() && amount >= 0.0
}

fn is_valid_text(text: &str) -> bool {
    !text.is_empty() && text.len() <= MAX_TEXT_BYTES
}

fn is_valid_type_list(types: &[String]) -> bool {
    types.len() <= MAX_TYPES && types.iter().all(|name| is_valid_text(name))
}

/// Only the id of a submission, for bodies that are otherwise invalid.
#[derive(Debug, Deserialize)]
pub struct SubmissionId {
    /// Job id.
    pub id: String,
}

/// Phase of a job, as users see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// No task is running.
    Queued,
    /// At least one task is running.
    Running,
    /// All tasks are done.
    Done,
    /// Cancelled by its user.
    Aborted,
}

/// Response about the status of a job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobStatus {
    /// Job id.
    pub id: String,
    /// Phase.
    pub phase: Phase,
    /// Number of tasks that are done, for display.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub done: Option<u64>,
    /// Number of tasks that are running, for display.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub running: Option<u64>,
}

/// Response that refuses a request.
#[derive(Debug, Serialize, Deserialize)]
pub struct Refusal {
    /// Reason for the refusal.
    pub error: String,
}
