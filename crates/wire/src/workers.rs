//! What workers report and what they are told.

use serde::{Deserialize, Serialize};

/// State of a task on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskPhase {
    /// Waiting for its image.
    Fetching,
    /// Gang task waiting for the others.
    #[serde(rename = "gathering")]
    Waiting,
    /// Running.
    Running,
    /// Told to stop and saving.
    Saving,
    /// Over, see the cause.
    Ended,
}

/// Why a task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// Completed.
    Done,
    /// Stopped by command.
    #[serde(rename = "halted")]
    Stopped,
    /// Another task of its gang is gone.
    Peers,
    /// Its gang was not complete in time.
    Alone,
    /// Failed.
    Error,
    /// Refused: no room.
    #[serde(rename = "full")]
    NoRoom,
    /// Refused: there with another attempt.
    #[serde(rename = "in_use")]
    Busy,
    /// Refused: unknown job or task.
    Unknown,
    /// A cause this version does not know; treated as a failure.
    #[serde(other)]
    Other,
}

/// A task on a machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// Name of the task, `job/number`.
    #[serde(rename = "shard")]
    pub task: String,
    /// Attempt.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// State.
    pub phase: TaskPhase,
    /// Why it ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<Cause>,
    /// Whether its progress was saved.
    #[serde(rename = "kept", default, skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}

/// A worker's report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkerHeartbeat {
    /// Machine name.
    #[serde(rename = "host")]
    pub machine: String,
    /// Address for direct orders.
    #[serde(rename = "endpoint")]
    pub addr: String,
    /// Machine type.
    #[serde(rename = "breed")]
    pub kind: String,
    /// Zone.
    #[serde(rename = "valley")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Session; grows whenever the worker's lease runs out.
    #[serde(rename = "tenure")]
    pub incarnation: u64,
    /// Number of the message within all of the worker's.
    #[serde(rename = "tick")]
    pub seq: u64,
    /// Highest term the worker has seen.
    #[serde(rename = "mandate")]
    pub term: u64,
    /// Seconds until the cloud takes the machine.
    #[serde(rename = "recall_s", default)]
    pub notice_s: Option<f64>,
    /// Tasks on the machine.
    #[serde(rename = "shards", default)]
    pub tasks: Vec<TaskStatus>,
}

/// A command to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb", rename_all = "lowercase")]
pub enum Order {
    /// Start a task.
    #[serde(rename = "launch")]
    Start {
        /// Task.
        #[serde(rename = "shard")]
        task: String,
        /// Attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// Stop a task.
    #[serde(rename = "kill")]
    Stop {
        /// Task.
        #[serde(rename = "shard")]
        task: String,
        /// Attempt.
        #[serde(rename = "try")]
        attempt: u64,
        /// Seconds it may take to save.
        #[serde(rename = "leeway_s")]
        grace_s: f64,
    },
    /// Remove an ended task from the reports.
    #[serde(rename = "reap")]
    Forget {
        /// Task.
        #[serde(rename = "shard")]
        task: String,
        /// Attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// Answer to a report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// Our term.
    #[serde(rename = "mandate")]
    pub term: u64,
    /// Commands, executed in order.
    pub orders: Vec<Order>,
}

/// Commands sent to a worker's own address.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DirectOrders {
    /// Our term.
    #[serde(rename = "mandate")]
    pub term: u64,
    /// Session they are meant for.
    #[serde(rename = "tenure")]
    pub incarnation: u64,
    /// Commands.
    pub orders: Vec<Order>,
}

/// Answer 421: report to somebody else.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Elsewhere {
    /// Label of the node to report to.
    #[serde(rename = "steward", skip_serializing_if = "Option::is_none", default)]
    pub leader: Option<String>,
}
