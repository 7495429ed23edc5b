//! Settings: the platform's file and the operators' own.

use partitions::rebalance::Pins;
use partitions::PARTITION_COUNT;
use serde::{Deserialize, Serialize};

/// The platform's settings file. Unknown fields are ignored.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// Name of this node.
    pub label: String,
    /// Its zone.
    pub area: String,
    /// Address for users, workers and health checks.
    pub public_addr: String,
    /// Address for the other controllers.
    pub back: String,
    /// The other controllers.
    #[serde(default)]
    pub siblings: Vec<Sibling>,
    /// Services of the region.
    pub outside: Outside,
    /// The deployment.
    pub deployment: Deployment,
}

/// Another controller.
#[derive(Debug, Clone, Deserialize)]
pub struct Sibling {
    /// Its name.
    pub label: String,
    /// Its address for controllers.
    pub addr: String,
}

/// Services of the region.
#[derive(Debug, Clone, Deserialize)]
pub struct Outside {
    /// Cloud.
    pub cloud: String,
    /// State service.
    pub state: String,
}

/// The deployment.
#[derive(Debug, Clone, Deserialize)]
pub struct Deployment {
    /// Zones.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Bound of the error of the time of day.
    #[serde(default)]
    pub time_bound_ms: f64,
    /// Teams.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// Aims.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Workers' times.
    pub workers: Workers,
    /// State service's limits.
    pub state: StateLimits,
    /// Cloud's limits.
    pub cloud: CloudLimits,
    /// What a controller may use.
    pub quota: Quota,
}

/// A team.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    /// Name.
    pub name: String,
    /// Guaranteed CPUs.
    #[serde(default)]
    pub cpus: f64,
    /// Most CPUs, 0 for no limit.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// Most GPUs, 0 for no limit.
    #[serde(default)]
    pub gpus_max: f64,
}

/// An aim.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    /// Kind: wait, finished, deadline, guarantee, submit, useful, price...
    pub kind: String,
    /// Class it speaks of.
    #[serde(default)]
    pub class: Option<String>,
    /// Seconds.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// Of a deadline: how many times the job's own time it is.
    #[serde(default)]
    pub times: Option<f64>,
}

/// Workers' times in seconds.
#[derive(Debug, Clone, Deserialize)]
pub struct Workers {
    /// Between reports.
    pub report_s: f64,
    /// Lease.
    pub lease_s: f64,
    /// Longest wait of a gang task.
    pub gang_wait_s: f64,
    /// Time in which gang tasks notice a loss.
    pub gang_peer_s: f64,
    /// Time in which tasks of a cancelled job must be gone.
    pub cancel_s: f64,
}

/// State service's limits.
#[derive(Debug, Clone, Deserialize)]
pub struct StateLimits {
    /// Requests a second.
    pub rps: f64,
    /// Writes a second.
    pub write_rps: f64,
    /// Size of a value in KiB.
    pub value_kb: f64,
    /// Writes of a transaction.
    pub txn_ops: usize,
    /// Limits that hold from some moment after an upgrade, without notice.
    #[serde(default)]
    pub next: Option<NextLimits>,
}

/// Limits of the state service to come; what is not named stays.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct NextLimits {
    /// Requests a second.
    #[serde(default)]
    pub rps: Option<f64>,
    /// Writes a second.
    #[serde(default)]
    pub write_rps: Option<f64>,
    /// Size of a value in KiB.
    #[serde(default)]
    pub value_kb: Option<f64>,
    /// Writes of a transaction.
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

/// Limits that writes are held to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Requests a second.
    pub rps: f64,
    /// Writes a second.
    pub write_rps: f64,
    /// Bytes of a value.
    pub value_bytes: usize,
    /// Writes of a transaction; conditions may be four times as many.
    pub txn_ops: usize,
}

impl StateLimits {
    /// Today's limits.
    pub fn now(&self) -> Limits {
        Limits {
            rps: self.rps,
            write_rps: self.write_rps,
            value_bytes: (self.value_kb * 1024.0) as usize,
            txn_ops: self.txn_ops,
        }
    }

    /// The smaller of today's limits and those to come: what holds at any time.
    pub fn least(&self) -> Limits {
        let now = self.now();
        let next = self.next.clone().unwrap_or_default();
        let kb = next.value_kb.unwrap_or(self.value_kb);
        Limits {
            rps: now.rps.min(next.rps.unwrap_or(now.rps)),
            write_rps: now.write_rps.min(next.write_rps.unwrap_or(now.write_rps)),
            value_bytes: now.value_bytes.min((kb * 1024.0) as usize),
            txn_ops: now.txn_ops.min(next.txn_ops.unwrap_or(now.txn_ops)),
        }
    }
}

/// Cloud's limits.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    /// Requests a second.
    pub rps: f64,
    /// Lag of the machine list in seconds.
    pub list_lag_s: f64,
}

/// What a controller may use.
#[derive(Debug, Clone, Deserialize)]
pub struct Quota {
    /// Share of a core.
    pub cpu: f64,
    /// Memory in MB.
    pub mem_mb: f64,
    /// Sockets.
    pub max_connections: usize,
}

fn positive(name: &str, v: f64) -> Result<(), String> {
    if v.is_finite() && v > 0.0 {
        Ok(())
    } else {
        Err(format!("{name}: must be a positive number, is {v}"))
    }
}

impl Settings {
    /// Checks ranges; the message names the field.
    pub fn validate(&self) -> Result<(), String> {
        let address = |name: &str, text: &str| {
            text.parse::<std::net::SocketAddrV4>()
                .map(|_| ())
                .map_err(|_| format!("{name}: not an IPv4 address with port: {text:?}"))
        };
        if self.label.is_empty() {
            return Err("label: must not be empty".into());
        }
        address("public_addr", &self.public_addr)?;
        address("back", &self.back)?;
        address("outside.cloud", &self.outside.cloud)?;
        address("outside.state", &self.outside.state)?;
        for s in &self.siblings {
            address("siblings.addr", &s.addr)?;
            if s.label == self.label {
                return Err(format!("siblings.label: {:?} is this node itself", s.label));
            }
        }
        let d = &self.deployment;
        for (name, v) in [
            ("deployment.workers.report_s", d.workers.report_s),
            ("deployment.workers.lease_s", d.workers.lease_s),
            ("deployment.workers.gang_wait_s", d.workers.gang_wait_s),
            ("deployment.workers.gang_peer_s", d.workers.gang_peer_s),
            ("deployment.workers.cancel_s", d.workers.cancel_s),
            ("deployment.state.rps", d.state.rps),
            ("deployment.state.write_rps", d.state.write_rps),
            ("deployment.state.value_kb", d.state.value_kb),
            ("deployment.cloud.rps", d.cloud.rps),
            ("deployment.quota.cpu", d.quota.cpu),
            ("deployment.quota.mem_mb", d.quota.mem_mb),
        ] {
            positive(name, v)?;
        }
        if d.state.txn_ops < 4 {
            return Err("deployment.state.txn_ops: must be at least 4".into());
        }
        let next = d.state.next.clone().unwrap_or_default();
        for (name, v) in [
            ("deployment.state.next.rps", next.rps),
            ("deployment.state.next.write_rps", next.write_rps),
        ] {
            positive(name, v.unwrap_or(1.0))?;
        }
        if !next.value_kb.is_none_or(|v| v.is_finite() && v >= 1.0) {
            return Err("deployment.state.next.value_kb: must be at least 1".into());
        }
        if next.txn_ops.is_some_and(|n| n < 4) {
            return Err("deployment.state.next.txn_ops: must be at least 4".into());
        }
        if d.quota.max_connections < 32 {
            return Err("deployment.quota.max_connections: must be at least 32".into());
        }
        for t in &d.teams {
            for v in [t.cpus, t.cpus_max, t.gpus, t.gpus_max] {
                if !v.is_finite() || v < 0.0 {
                    return Err(format!("deployment.teams: {:?} has the amount {v}", t.name));
                }
            }
        }
        Ok(())
    }

    /// Milliseconds after a moment up to which every cancellation is known for which workers may still be answered: a
    /// task of a job cancelled right after it ends with its worker's lease, which the last answer renewed.
    pub fn keepalive_ms(&self) -> u64 {
        let w = &self.deployment.workers;
        // Either clock may be off: ours by which the answer is timed, the worker's by which its lease runs.
        let ms = (w.cancel_s / constants::DRIFT - w.lease_s * constants::DRIFT) * 1000.0;
        (ms as u64).saturating_sub(constants::KEEPALIVE_MARGIN_MS)
    }

    /// Whether machines are rented as work needs them and given back when idle.
    ///
    /// The platform's file restates only the aims at start and at finish, so an aim about money can't be read
    /// there. What can be read is whether guarantees are to be met at once: that takes machines that stand
    /// ready, and then saving would cost what was asked for. Without it, idle machines are waste.
    pub fn minimizes_cost(&self) -> bool {
        let has = |kind: &str| self.deployment.objectives.iter().any(|o| o.kind == kind);
        has("price") || has("useful") || !has("guarantee")
    }
}

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
    /// Partitions of the fleet, whose owners answer workers; without it the leader answers all of them. Needs `rollout`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub partitions: Option<PartitionSettings>,
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

impl PartitionSettings {
    /// The pins, checked against the controllers there are; the message names the field.
    pub fn checked(&self, settings: &Settings) -> Result<Pins, String> {
        let siblings = settings.siblings.iter().map(|s| s.label.as_str());
        let labels: Vec<&str> = siblings.chain([settings.label.as_str()]).collect();
        let mut pins = Pins::default();
        for pin in &self.pins {
            let label = &pin.controller;
            if !labels.contains(&label.as_str()) {
                return Err(format!(
                    "partitions.pins.controller: {label:?} is no controller here"
                ));
            }
            for partition in &pin.partitions {
                if *partition >= PARTITION_COUNT {
                    return Err(format!(
                        "partitions.pins.partitions: {partition} is not below {PARTITION_COUNT}"
                    ));
                }
                let before = pins.partitions.insert(*partition, label.clone());
                if let Some(other) = before.filter(|other| other != label) {
                    return Err(format!(
                        "partitions.pins.partitions: {partition} is pinned to {other:?} and {label:?}"
                    ));
                }
            }
            if let Some(share) = pin.share {
                if pins.shares.insert(label.clone(), share).is_some() {
                    return Err(format!(
                        "partitions.pins.share: {label:?} has more than one"
                    ));
                }
            }
        }
        let all: f64 = pins.shares.values().sum();
        if all > 1.0 {
            return Err(format!(
                "partitions.pins.share: all together are {all}, more than 1"
            ));
        }
        Ok(pins)
    }
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
    DeferredAnswer,
}

/// How staged upgrades go.
#[derive(Debug, Clone, Serialize, Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct RolloutSettings {
    /// Oldest feature level that this controller announces.
    pub oldest_level: u32,
    /// Newest feature level that this controller announces: below that of its build, it is held to what an older one does.
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
            oldest_level: rollout::LevelRange::BUILD.oldest(),
            newest_level: rollout::LevelRange::BUILD.newest(),
            finalize: Finalization::default(),
            soak_s: constants::SOAK_S,
            stall_s: constants::STALL_S,
        }
    }
}

impl RolloutSettings {
    /// The levels that this controller announces.
    pub fn range(&self) -> Result<rollout::LevelRange, rollout::levels::RangeError> {
        rollout::LevelRange::held(self.oldest_level, self.newest_level)
    }
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
    /// Checks what no schema says; the message names the field.
    pub fn validate(&self, settings: &Settings) -> Result<(), String> {
        if let Some(partitions) = &self.partitions {
            if self.rollout.is_none() {
                return Err(
                    "partitions: needs rollout, by which controllers know who has them".into(),
                );
            }
            partitions.checked(settings)?;
        }
        let Some(rollout) = &self.rollout else {
            return Ok(());
        };
        rollout.range().map_err(|why| why.to_string())?;
        let mut labels = std::collections::BTreeSet::new();
        for sibling in &settings.siblings {
            if !labels.insert(&sibling.label) {
                return Err(format!("siblings.label: {:?} comes twice", sibling.label));
            }
        }
        Ok(())
    }

    /// The numbers the scheduler works with.
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
