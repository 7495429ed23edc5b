//! The operators' settings, all of them optional.
//!
//! The doc comments of these types become the descriptions in `schema/operator.schema.json`, which has to be
//! regenerated when one of them changes.

use serde::{Deserialize, Serialize};

/// Settings of the operators. All of them are optional.
#[derive(Debug, Clone, Serialize, Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Operator {
    /// Largest number of tasks with which an array job skips sampling.
    #[schemars(range(min = 0, max = 100_000))]
    pub thin_tasks: u32,
    /// Share of an array job's tasks that are pilot tasks, which sample the size of the job.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub pilot_share: f64,
    /// Upper bound of the first queue: the largest size of its jobs, in task-seconds.
    #[schemars(range(min = 1.0))]
    pub first_bound_s: f64,
    /// Factor by which the upper bound grows and the weight falls from one queue to the next.
    #[schemars(range(min = 1.1))]
    pub queue_growth: f64,
    /// Number of scheduling queues.
    #[schemars(range(min = 1, max = 32))]
    pub queues: usize,
    /// Seconds for which a machine is idle before it is returned, if the objectives concern cost.
    #[schemars(range(min = 0.0))]
    pub idle_return_s: f64,
    /// Staged upgrades. Disabled if absent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub rollout: Option<RolloutSettings>,
    /// Partitions of the fleet, whose owners answer workers. If absent, the leader answers all workers.
    /// Requires `rollout`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub partitions: Option<PartitionSettings>,
}

impl Default for Operator {
    fn default() -> Self {
        Operator {
            thin_tasks: constants::THIN_ARRAY_TASKS_MAX,
            pilot_share: constants::PILOT_SHARE,
            first_bound_s: constants::FIRST_QUEUE_BOUND_TASK_S,
            queue_growth: constants::QUEUE_GROWTH_FACTOR,
            queues: constants::QUEUE_COUNT,
            idle_return_s: constants::IDLE_RETURN_S,
            rollout: None,
            partitions: None,
        }
    }
}

impl Operator {
    /// The parameters of the scheduling policy.
    pub fn policy(&self) -> sched::Policy {
        sched::Policy {
            thin_tasks: self.thin_tasks,
            pilot_share: self.pilot_share,
            first_bound_s: self.first_bound_s,
            queue_growth: self.queue_growth,
            queues: self.queues,
        }
    }
}

/// How partitions are assigned to controllers.
#[derive(Debug, Clone, Default, Serialize, Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct PartitionSettings {
    /// Fixed assignments to controllers, independent of their load.
    pub pins: Vec<PinSettings>,
}

/// The fixed assignment to one controller.
#[derive(Debug, Clone, Default, Serialize, Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct PinSettings {
    /// Label of the controller.
    pub controller: String,
    /// Partitions that the controller owns.
    pub partitions: Vec<u16>,
    /// Share of the unpinned partitions that the controller owns.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(range(min = 0.0, max = 1.0))]
    pub share: Option<f64>,
}

/// When a feature level becomes final.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize, schemars::JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum Finalization {
    /// After the level has been active without problems for the soak time.
    Automatic,
    /// Never: every upgrade stays reversible.
    #[default]
    Held,
}

/// How staged upgrades proceed.
#[derive(Debug, Clone, Serialize, Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct RolloutSettings {
    /// Oldest feature level that this controller announces.
    pub oldest_level: u32,
    /// Newest feature level that this controller announces. A level below that of its build restricts it to the
    /// behaviour of an older build.
    pub newest_level: u32,
    /// When a level becomes final.
    pub finalize: Finalization,
    /// Seconds for which a level must be active without problems before it becomes final.
    #[schemars(range(min = 0.0, max = 10_000_000.0))]
    pub soak_s: f64,
    /// Seconds without progress after which an upgrade is paused.
    #[schemars(range(min = 1.0, max = 10_000_000.0))]
    pub stall_s: f64,
}

impl Default for RolloutSettings {
    fn default() -> Self {
        RolloutSettings {
            oldest_level: rollout::LevelRange::SUPPORTED.oldest(),
            newest_level: rollout::LevelRange::SUPPORTED.newest(),
            finalize: Finalization::default(),
            soak_s: constants::ROLLOUT_SOAK_S,
            stall_s: constants::ROLLOUT_STALL_S,
        }
    }
}

impl RolloutSettings {
    /// The feature levels that this controller announces.
    pub fn announced_levels(&self) -> Result<rollout::LevelRange, rollout::levels::RangeError> {
        rollout::LevelRange::restricted(self.oldest_level, self.newest_level)
    }
}
