//! Messages between workers and controllers: heartbeats, and the orders that workers receive.

use serde::{Deserialize, Serialize};

/// Phase of a task on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskPhase {
    /// Waiting for its image.
    Fetching,
    /// Waiting for the other tasks of its gang.
    #[serde(rename = "gathering")]
    Waiting,
    /// Running.
    Running,
    /// Writing a checkpoint after an order to stop.
    Saving,
    /// Ended, for the reason in [`TaskStatus::cause`].
    Ended,
}

/// Why a task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndCause {
    /// Completed.
    Done,
    /// Stopped by an order.
    #[serde(rename = "halted")]
    Stopped,
    /// Another task of its gang is gone.
    Peers,
    /// Its gang was not complete within the time limit.
    Alone,
    /// Failed.
    Error,
    /// Refused: the machine has no capacity left.
    #[serde(rename = "full")]
    NoRoom,
    /// Refused: the machine has another attempt of the task.
    #[serde(rename = "in_use")]
    Busy,
    /// Refused: the job or the task is unknown.
    Unknown,
    /// A cause that this build does not know. It is treated as a failure.
    #[serde(other)]
    Other,
}

/// A task on a machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// Name of the task, `job/number`.
    #[serde(rename = "shard")]
    pub task: String,
    /// Number of the attempt.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// Phase.
    pub phase: TaskPhase,
    /// Why the task ended, if it has.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<EndCause>,
    /// Whether a checkpoint of the task's progress was written.
    #[serde(rename = "kept", default, skip_serializing_if = "Option::is_none")]
    pub checkpoint_written: Option<bool>,
}

/// A worker's heartbeat, which reports all tasks on its machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkerHeartbeat {
    /// Machine name.
    #[serde(rename = "host")]
    pub machine: String,
    /// Address to which orders can be sent directly.
    #[serde(rename = "endpoint")]
    pub addr: String,
    /// Machine type.
    #[serde(rename = "breed")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "valley")]
    pub zone: String,
    /// Whether the machine is a spot instance.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Incarnation of the worker, which grows whenever its lease expires.
    #[serde(rename = "tenure")]
    pub incarnation: u64,
    /// Sequence number among all of the worker's messages.
    #[serde(rename = "tick")]
    pub seq: u64,
    /// Highest term that the worker has seen.
    #[serde(rename = "mandate")]
    pub term: u64,
    /// Seconds until the cloud reclaims the machine, if the cloud has announced it.
    #[serde(rename = "recall_s", default)]
    pub reclaim_in_s: Option<f64>,
    /// Tasks on the machine.
    #[serde(rename = "shards", default)]
    pub tasks: Vec<TaskStatus>,
}

/// An order to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb", rename_all = "lowercase")]
pub enum Order {
    /// Starts a task.
    #[serde(rename = "launch")]
    Start {
        /// Name of the task.
        #[serde(rename = "shard")]
        task: String,
        /// Number of the attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// Stops a task.
    #[serde(rename = "kill")]
    Stop {
        /// Name of the task.
        #[serde(rename = "shard")]
        task: String,
        /// Number of the attempt.
        #[serde(rename = "try")]
        attempt: u64,
        /// Seconds that the task may take to write a checkpoint.
        #[serde(rename = "leeway_s")]
        grace_s: f64,
    },
    /// Removes an ended task from the heartbeats.
    #[serde(rename = "reap")]
    Forget {
        /// Name of the task.
        #[serde(rename = "shard")]
        task: String,
        /// Number of the attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// Response to a heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// Term of the controller, the fencing token of its orders.
    #[serde(rename = "mandate")]
    pub term: u64,
    /// Orders, which the worker executes in sequence.
    pub orders: Vec<Order>,
}

/// Orders that a controller sends to the worker's own address.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DirectOrders {
    /// Term of the controller, the fencing token of its orders.
    #[serde(rename = "mandate")]
    pub term: u64,
    /// Incarnation of the worker for which the orders are meant.
    #[serde(rename = "tenure")]
    pub incarnation: u64,
    /// Orders.
    pub orders: Vec<Order>,
}

/// Response with status 421, which tells the worker to report to another controller.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Redirect {
    /// Label of that controller, if it is known.
    #[serde(rename = "steward", skip_serializing_if = "Option::is_none", default)]
    pub controller: Option<String>,
}
