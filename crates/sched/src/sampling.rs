//! Number of pilot tasks, which are sampled to estimate the size of a job, and assignment of jobs to queues by size.

use constants::{
    FIRST_QUEUE_BOUND_TASK_S, PILOT_SHARE, QUEUE_COUNT, QUEUE_GROWTH_FACTOR, THIN_ARRAY_TASKS_MAX,
};

/// Last queue whose weight is less than that of the queue before it. Later queues have the same weight, so that weights
/// do not approach zero.
const LAST_WEIGHTED_QUEUE: usize = 64;

/// Parameters of the scheduling policy that operators may set.
#[derive(Debug, Clone, PartialEq)]
pub struct Policy {
    /// Largest number of tasks of an array that skips sampling.
    pub thin_tasks: u32,
    /// Share of an array's tasks that are pilots.
    pub pilot_share: f64,
    /// Largest size, in task-seconds, of a job in the first queue.
    pub first_bound_s: f64,
    /// Factor by which the size bound grows and the weight falls from each queue to the next.
    pub queue_growth: f64,
    /// Number of queues.
    pub queues: usize,
}

impl Default for Policy {
    fn default() -> Self {
        Policy {
            thin_tasks: THIN_ARRAY_TASKS_MAX,
            pilot_share: PILOT_SHARE,
            first_bound_s: FIRST_QUEUE_BOUND_TASK_S,
            queue_growth: QUEUE_GROWTH_FACTOR,
            queues: QUEUE_COUNT,
        }
    }
}

/// Number of pilots of an array with so many tasks; 0 if the array is thin, which means that it skips sampling.
pub fn pilot_count(policy: &Policy, tasks: u32) -> u32 {
    if tasks <= policy.thin_tasks {
        return 0;
    }
    ((policy.pilot_share * f64::from(tasks)) as u32).max(1)
}

/// Queue of a job by its estimated size in task-seconds.
pub fn queue_for_size(policy: &Policy, size: f64) -> usize {
    let mut bound = policy.first_bound_s;
    for queue in 0..policy.queues.saturating_sub(1) {
        if size <= bound {
            return queue;
        }
        bound *= policy.queue_growth;
    }
    policy.queues.saturating_sub(1)
}

/// Weight of a queue when free capacity is shared between queues.
pub fn queue_weight(policy: &Policy, queue: usize) -> f64 {
    policy
        .queue_growth
        .powi(-(queue.min(LAST_WEIGHTED_QUEUE) as i32))
}

#[cfg(test)]
mod tests;
