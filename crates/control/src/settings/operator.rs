//! The operators' own settings, all of them optional.
//!
//! The doc comments of these types are the descriptions in `schema/operator.schema.json`. Changing one of
//! them changes that file.

use serde::{Deserialize, Serialize};

/// Operators' own settings, all optional.
#[derive(Debug, Clone, Serialize, Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Operator {
    /// Tasks up to which an array skips sampling.
    #[schemars(range(min = 0, max = 100_000))]
    pub thin_tasks: u32,
    /// Share of an array's tasks that are pilots.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub pilot_share: f64,
    /// Task-seconds up to which a job is in the first queue.
    #[schemars(range(min = 1.0))]
    pub first_bound_s: f64,
    /// Growth of the queues' bounds and fall of their weights.
    #[schemars(range(min = 1.1))]
    pub queue_growth: f64,
    /// Number of queues.
    #[schemars(range(min = 1, max = 32))]
    pub queues: usize,
    /// Seconds a machine idles before it is given back, where the objectives ask about money.
    #[schemars(range(min = 0.0))]
    pub idle_return_s: f64,
    /// Staged upgrades; without it they are off.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub rollout: Option<RolloutSettings>,
    /// Partitions of the fleet, whose owners answer workers; without it the leader answers all of them.
    /// Needs `rollout`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub partitions: Option<PartitionSettings>,
}

impl Default for Operator {
    fn default() -> Self {
        Operator {
            thin_tasks: constants::THIN_TASKS,
            pilot_share: constants::PILOT_SHARE,
            first_bound_s: constants::FIRST_BOUND,
            queue_growth: constants::QUEUE_GROWTH,
            queues: constants::QUEUES,
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
            first_bound: self.first_bound_s,
            growth: self.queue_growth,
            queues: self.queues,
        }
    }
}

/// How partitions are shared out among the controllers.
#[derive(Debug, Clone, Default, Serialize, Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct PartitionSettings {
    /// What controllers are to have, whatever their load.
    pub pins: Vec<PinSettings>,
}

/// What a controller is to have.
#[derive(Debug, Clone, Default, Serialize, Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct PinSettings {
    /// Its label.
    pub controller: String,
    /// Partitions that belong to it.
    pub partitions: Vec<u16>,
    /// Share of the partitions that are not pinned.
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
    /// Once it has soaked without trouble.
    Automatic,
    /// Not at all: every upgrade stays reversible.
    #[default]
    Held,
}

/// How staged upgrades go.
#[derive(Debug, Clone, Serialize, Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct RolloutSettings {
    /// Oldest feature level that this controller announces.
    pub oldest_level: u32,
    /// Newest feature level that this controller announces: below that of its build, it is held to what an older one
    /// does.
    pub newest_level: u32,
    /// When a level becomes final.
    pub finalize: Finalization,
    /// Seconds for which a level is active without trouble until then.
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
            soak_s: constants::SOAK_S,
            stall_s: constants::STALL_S,
        }
    }
}

impl RolloutSettings {
    /// The feature levels that this controller announces.
    pub fn range(&self) -> Result<rollout::LevelRange, rollout::levels::RangeError> {
        rollout::LevelRange::restricted(self.oldest_level, self.newest_level)
    }
}
