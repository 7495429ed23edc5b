//! The result of a round.

/// One decision of a round. Jobs and machines are numbers of the snapshot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Place tasks of a job; of a gang all its waiting tasks at once.
    Place {
        /// Job.
        job: usize,
        /// Pairs of task and machine.
        tasks: Vec<(u32, usize)>,
        /// Whether they are pilots.
        pilots: bool,
        /// Whether they fit the team's guarantee when placed.
        entitled: bool,
    },
    /// Stop a task to make room.
    Stop {
        /// Job of the task.
        job: usize,
        /// Task.
        task: u32,
        /// Job that needs the room.
        by: usize,
    },
    /// Reserve machines for a gang, so that they do not fill up before it finds room on them.
    Reserve {
        /// Gang.
        job: usize,
        /// Machines.
        machines: Vec<usize>,
    },
}

/// The result of a round.
#[derive(Debug, Default)]
pub struct Outcome {
    /// The decisions, in order.
    pub decisions: Vec<Decision>,
    /// Whether it ended within its time budget.
    pub finished: bool,
    /// Jobs for which there was no room.
    pub blocked: Vec<usize>,
}
