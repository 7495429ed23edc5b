//! The deployment as the platform's file describes it: teams, objectives, workers' times and limits.

use super::StateLimits;
use serde::Deserialize;

/// The deployment.
#[derive(Debug, Clone, Deserialize)]
pub struct Deployment {
    /// Zones.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Bound of the error of the time of day, in milliseconds.
    #[serde(default)]
    pub time_bound_ms: f64,
    /// Teams.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// Service-level objectives.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Workers' times.
    pub workers: Workers,
    /// Limits of the state service.
    pub state: StateLimits,
    /// Limits of the cloud.
    pub cloud: CloudLimits,
    /// Resources that a controller may use.
    pub quota: Quota,
}

/// A team and its share of the resources.
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

/// A service-level objective.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    /// What is measured: wait, finished, deadline, guarantee, submit, useful, price and others.
    pub kind: String,
    /// The class of jobs that it applies to.
    #[serde(default)]
    pub class: Option<String>,
    /// Limit in seconds.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// Of a deadline: the limit as a multiple of the job's own run time.
    #[serde(default)]
    pub times: Option<f64>,
}

/// Workers' times in seconds.
#[derive(Debug, Clone, Deserialize)]
pub struct Workers {
    /// Time between two heartbeats.
    pub report_s: f64,
    /// Duration of a worker's lease.
    pub lease_s: f64,
    /// Longest wait of a gang task for the others.
    pub gang_wait_s: f64,
    /// Time in which gang tasks notice the loss of one of them.
    pub gang_peer_s: f64,
    /// Time in which the tasks of a cancelled job must have ended.
    pub cancel_s: f64,
}

/// Limits of the cloud.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    /// Requests a second.
    pub rps: f64,
    /// Lag of the machine list in seconds.
    pub list_lag_s: f64,
}

/// Resources that a controller may use.
#[derive(Debug, Clone, Deserialize)]
pub struct Quota {
    /// Share of a core.
    pub cpu: f64,
    /// Memory in MB.
    pub mem_mb: f64,
    /// Sockets.
    pub max_connections: usize,
}
