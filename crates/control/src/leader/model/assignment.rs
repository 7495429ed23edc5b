//! The assignment of a task to a machine.

use wire::workers::TaskPhase;

/// How far the start of an assigned task has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AssignmentStage {
    /// Read from the records: an earlier leader may have started the task.
    Recorded,
    /// Assigned by this leader. `launch` is sent once the assignment is recorded.
    Ready,
    /// `launch` was sent in the answer to this report.
    Sent {
        /// Incarnation of the worker that reported.
        incarnation: u64,
        /// Number of the report within the incarnation.
        seq: u64,
    },
    /// The worker has reported the task.
    Seen,
}

/// A request to stop a task.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Stop {
    /// When the stop was decided (steady clock, milliseconds).
    pub since: u64,
    /// Seconds that the task has to save its progress.
    pub grace_s: f64,
    /// Reason, for the log.
    pub why: &'static str,
}

/// The machine that a task runs on, or may run on.
#[derive(Debug, Clone)]
pub(crate) struct Assignment {
    /// Name of the machine.
    pub machine: String,
    /// Number of the attempt to run the task.
    pub attempt: u64,
    /// Number of the chunk's change that made the assignment.
    pub seq: u64,
    /// How far the start has come.
    pub stage: AssignmentStage,
    /// Phase that the worker reported last.
    pub phase: Option<TaskPhase>,
    /// When the task was first seen running; unknown if an earlier leader started it.
    pub running_since: Option<u64>,
    /// Whether the task runs ahead of its job's others, to measure how long they take.
    pub pilot: bool,
    /// The stop that was requested, if any.
    pub stop: Option<Stop>,
    /// When it was decided, 0 if by an earlier leader.
    pub at: u64,
}

impl Assignment {
    /// An assignment that was read from the records.
    pub(super) fn recorded(machine: String, attempt: u64) -> Self {
        Assignment {
            machine,
            attempt,
            seq: 0,
            stage: AssignmentStage::Recorded,
            phase: None,
            running_since: None,
            pilot: false,
            stop: None,
            at: 0,
        }
    }

    /// A new assignment, made at `now` by the chunk's change number `seq`.
    pub(super) fn ready(machine: &str, attempt: u64, seq: u64, pilot: bool, now: u64) -> Self {
        Assignment {
            machine: machine.to_string(),
            attempt,
            seq,
            stage: AssignmentStage::Ready,
            phase: None,
            running_since: None,
            pilot,
            stop: None,
            at: now,
        }
    }

    /// Whether the task has been running since at least `min_ms` ago.
    pub(super) fn has_run_for(&self, min_ms: u64, now: u64) -> bool {
        self.running_since
            .is_some_and(|since| now >= since + min_ms)
    }
}
