//! Pilot tasks, which sample the size of a job, and queues by estimated size.

use constants::{
    FIRST_QUEUE_BOUND_TASK_S, PILOT_SHARE, QUEUE_COUNT, QUEUE_GROWTH_FACTOR, THIN_ARRAY_TASKS_MAX,
};

/// Queue beyond which weights no longer fall, so that they stay far from zero.
const LOWEST_WEIGHTED_QUEUE: usize = 64;

/// Scheduling parameters that operators may set.
#[derive(Debug, Clone, PartialEq)]
pub struct Policy {
    /// Tasks up to which an array skips sampling.
    pub thin_tasks: u32,
    /// Share of an array's tasks that are pilots.
    pub pilot_share: f64,
    /// Task-seconds up to which a job is in the first queue.
    pub first_bound: f64,
    /// Growth of bounds and fall of weights from queue to queue.
    pub growth: f64,
    /// Number of queues.
    pub queues: usize,
}

impl Default for Policy {
    fn default() -> Self {
        Policy {
            thin_tasks: THIN_ARRAY_TASKS_MAX,
            pilot_share: PILOT_SHARE,
            first_bound: FIRST_QUEUE_BOUND_TASK_S,
            growth: QUEUE_GROWTH_FACTOR,
            queues: QUEUE_COUNT,
        }
    }
}

/// Number of pilots of an array; 0 if it is thin and skips sampling.
pub fn pilots_of(policy: &Policy, tasks: u32) -> u32 {
    if tasks <= policy.thin_tasks {
        return 0;
    }
    ((policy.pilot_share * f64::from(tasks)) as u32).max(1)
}

/// Queue of a job whose estimated size is that many task-seconds.
pub fn queue_of(policy: &Policy, size: f64) -> usize {
    let mut bound = policy.first_bound;
    for queue in 0..policy.queues.saturating_sub(1) {
        if size <= bound {
            return queue;
        }
        bound *= policy.growth;
    }
    policy.queues.saturating_sub(1)
}

/// Weight of a queue when free room is shared.
pub fn weight_of(policy: &Policy, queue: usize) -> f64 {
    policy
        .growth
        .powi(-(queue.min(LOWEST_WEIGHTED_QUEUE) as i32))
}

#[cfg(test)]
mod tests;
