//! Messages of the user API: submissions, job status and error responses.

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
    /// A service: independent tasks that run until the user cancels the job. The protocol page does not name this
    /// shape, but the design page and users do (see docs/questions.md).
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
    /// Unique id, which the user chooses so that a repeated submission is idempotent.
    pub id: String,
    /// Job class, for which service-level objectives are defined.
    #[serde(rename = "cohort")]
    pub class: String,
    /// Team whose quota (guarantee and limit) the job uses.
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
    /// Number of CPUs per task.
    pub cpus: f64,
    /// Number of GPUs per task.
    pub gpus: f64,
    /// Memory per task, in GB.
    pub mem_gb: f64,
    /// Image that a machine must have before a task starts.
    #[serde(rename = "bundle")]
    pub image: String,
    /// Size of the image, in GB.
    #[serde(rename = "pull_gb")]
    pub image_gb: f64,
    /// Allowed machine types. `None` allows all.
    #[serde(rename = "breeds", default)]
    pub machine_types: Option<Vec<String>>,
    /// Required zone, if there is one.
    #[serde(rename = "valley", default)]
    pub zone: Option<String>,
    /// Whether all tasks must run in the same zone.
    #[serde(rename = "same_place")]
    pub one_zone: bool,
    /// Whether at most half of the tasks, rounded up, may run in the same zone.
    #[serde(rename = "apart")]
    pub spread: bool,
    /// Whether spot instances may be used.
    #[serde(rename = "loaners")]
    pub spot_allowed: bool,
    /// The user's estimate of a task's run time, in seconds.
    #[serde(rename = "guess_s")]
    pub estimated_run_s: f64,
    /// Seconds of progress between checkpoints, 0 if the task writes none.
    #[serde(rename = "stow_every_s")]
    pub checkpoint_interval_s: f64,
    /// Seconds that a task needs to write a checkpoint when it is stopped.
    #[serde(rename = "stow_s")]
    pub checkpoint_write_s: f64,
    /// Due time of the job, if it has one: seconds after its submission until which it should be complete.
    #[serde(default)]
    pub due_s: Option<f64>,
    /// Ids of the jobs that must be done before any task of this job starts.
    #[serde(
        rename = "awaits",
        default,
        deserialize_with = "null_as_empty",
        skip_serializing_if = "Vec::is_empty"
    )]
    pub dependencies: Vec<String>,
}

/// Deserializes a list. Null stands for an empty list.
fn null_as_empty<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<String>, D::Error> {
    Ok(Option::deserialize(deserializer)?.unwrap_or_default())
}

/// Maximum number of tasks of a job.
pub const MAX_TASKS_PER_JOB: u64 = 100_000;
/// Maximum length of names, in bytes.
const MAX_NAME_BYTES: usize = 128;
/// Maximum length of the list of allowed machine types.
const MAX_MACHINE_TYPES: usize = 64;
/// Allowed number of digits of a job id, after its prefix.
const JOB_ID_DIGITS: RangeInclusive<usize> = 1..=40;
/// Prefix of every job id.
pub const JOB_ID_PREFIX: &str = "run-";

/// Whether `id` is a well-formed job id.
pub fn is_job_id(id: &str) -> bool {
    id.strip_prefix(JOB_ID_PREFIX).is_some_and(|number| {
        JOB_ID_DIGITS.contains(&number.len()) && number.bytes().all(|byte| byte.is_ascii_digit())
    })
}

impl Submission {
    /// Removes dependencies that are listed more than once.
    pub fn dedup_dependencies(&mut self) {
        let mut seen = std::collections::HashSet::new();
        self.dependencies.retain(|id| seen.insert(id.clone()));
    }

    /// Protocol name of the first field whose value is not allowed, for the response to the user.
    pub fn invalid_field(&self) -> Option<&'static str> {
        let checks = [
            ("id", is_job_id(&self.id)),
            ("cohort", is_valid_name(&self.class)),
            ("tenant", is_valid_name(&self.team)),
            ("shards", (1..=MAX_TASKS_PER_JOB).contains(&self.tasks)),
            ("cpus", is_valid_amount(self.cpus)),
            ("gpus", is_valid_amount(self.gpus)),
            ("mem_gb", is_valid_amount(self.mem_gb)),
            ("bundle", is_valid_name(&self.image)),
            ("pull_gb", is_valid_amount(self.image_gb)),
            (
                "breeds",
                self.machine_types
                    .as_ref()
                    .is_none_or(|types| is_valid_type_list(types)),
            ),
            ("valley", self.zone.as_deref().is_none_or(is_valid_name)),
            ("guess_s", is_valid_amount(self.estimated_run_s)),
            ("stow_every_s", is_valid_amount(self.checkpoint_interval_s)),
            ("stow_s", is_valid_amount(self.checkpoint_write_s)),
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

fn is_valid_name(name: &str) -> bool {
    !name.is_empty() && name.len() <= MAX_NAME_BYTES
}

fn is_valid_type_list(types: &[String]) -> bool {
    types.len() <= MAX_MACHINE_TYPES && types.iter().all(|name| is_valid_name(name))
}

/// The id of a submission alone, to identify the job of an otherwise invalid body.
#[derive(Debug, Deserialize)]
pub struct SubmissionId {
    /// Job id.
    pub id: String,
}

/// Phase of a job, as reported to users.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// No task is running.
    Queued,
    /// At least one task is running.
    Running,
    /// All tasks are done.
    Done,
    /// Cancelled by the user.
    Aborted,
}

/// Response with the status of a job.
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

/// Body of an error response.
#[derive(Debug, Serialize, Deserialize)]
pub struct ErrorResponse {
    /// Reason for which the request was refused.
    pub error: String,
}
