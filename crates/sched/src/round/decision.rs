//! The result of a round.

/// One decision of a round. Jobs and machines are given by their index in the snapshot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Place tasks of a job. All waiting tasks of a gang are placed in one decision.
    Place {
        /// The job.
        job: usize,
        /// Pairs of task number and machine.
        tasks: Vec<(u32, usize)>,
        /// Whether the tasks are pilots.
        pilots: bool,
        /// Whether the tasks were within the team's guarantee when they were placed.
        entitled: bool,
    },
    /// Stop a running task to make room for another job.
    Preempt {
        /// The job of the task.
        job: usize,
        /// Number of the task.
        task: u32,
        /// The job for which the task is preempted.
        by: usize,
    },
    /// Reserve machines for a gang, so that other tasks do not fill them before the gang can be placed.
    Reserve {
        /// The gang.
        job: usize,
        /// The machines.
        machines: Vec<usize>,
    },
}

/// The result of a round.
#[derive(Debug, Default)]
pub struct RoundOutcome {
    /// The decisions, in order.
    pub decisions: Vec<Decision>,
    /// Whether the round ended within its time budget.
    pub finished: bool,
    /// Jobs with waiting tasks that could not be placed.
    pub blocked: Vec<usize>,
}
