//! Assignments of tasks to machines.

use wire::workers::TaskPhase;

/// Progress of the start of an assigned task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AssignmentStage {
    /// Loaded from the records: an earlier leader may have started the task.
    Loaded,
    /// Assigned by this leader, with `launch` still to be sent, possibly again. It is sent once the assignment is
    /// recorded.
    Unsent,
    /// `launch` was sent in the answer to the heartbeat with these numbers.
    Sent {
        /// Incarnation of the worker.
        incarnation: u64,
        /// Sequence number of the heartbeat within the incarnation.
        seq: u64,
    },
    /// The worker has reported the task.
    Reported,
}

/// A request to stop a task.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct StopRequest {
    /// When the stop was decided (monotonic clock, milliseconds).
    pub requested_at: u64,
    /// Seconds for which the task may save its progress.
    pub grace_s: f64,
    /// Reason, for the log.
    pub reason: &'static str,
}

/// The machine that a task runs on, or may run on.
#[derive(Debug, Clone)]
pub(crate) struct Assignment {
    /// Name of the machine.
    pub machine: String,
    /// Number of the attempt to run the task.
    pub attempt: u64,
    /// Sequence number of the chunk's change that created the assignment.
    pub chunk_seq: u64,
    /// Progress of the start.
    pub stage: AssignmentStage,
    /// Phase that the worker reported last.
    pub phase: Option<TaskPhase>,
    /// When the task was first seen running; unknown if an earlier leader started it.
    pub running_since: Option<u64>,
    /// Whether the task is a pilot: it runs ahead of the job's other tasks to sample their run time.
    pub pilot: bool,
    /// The requested stop, if any.
    pub stop: Option<StopRequest>,
    /// When the assignment was decided, 0 if by an earlier leader (monotonic clock, milliseconds).
    pub decided_at: u64,
}

impl Assignment {
    /// An assignment loaded from the records.
    pub(super) fn loaded(machine: String, attempt: u64) -> Self {
        Assignment {
            machine,
            attempt,
            chunk_seq: 0,
            stage: AssignmentStage::Loaded,
            phase: None,
            running_since: None,
            pilot: false,
            stop: None,
            decided_at: 0,
        }
    }

    /// A new assignment, decided at `now` and created by the chunk's change `chunk_seq`.
    pub(super) fn unsent(
        machine: &str,
        attempt: u64,
        chunk_seq: u64,
        pilot: bool,
        now: u64,
    ) -> Self {
        Assignment {
            machine: machine.to_string(),
            attempt,
            chunk_seq,
            stage: AssignmentStage::Unsent,
            phase: None,
            running_since: None,
            pilot,
            stop: None,
            decided_at: now,
        }
    }

    /// Whether the task has been running for at least `min_ms`.
    pub(super) fn has_run_for(&self, min_ms: u64, now: u64) -> bool {
        self.running_since
            .is_some_and(|since| now >= since + min_ms)
    }
}
