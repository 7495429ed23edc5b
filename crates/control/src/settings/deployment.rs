//! The deployment as the platform's file describes it: teams, objectives, worker timings and limits.

use super::StateLimits;
use sched::ResourceBounds;
use serde::Deserialize;

/// The deployment section of the platform's file.
#[derive(Debug, Clone, Deserialize)]
pub struct Deployment {
    /// Zones of the deployment.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Upper bound of the wall clock's error, in milliseconds.
    #[serde(default)]
    pub time_bound_ms: f64,
    /// Teams and their shares of the resources.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// Service-level objectives.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Worker timings.
    pub workers: Workers,
    /// Limits of the state service.
    pub state: StateLimits,
    /// Limits of the cloud API.
    pub cloud: CloudLimits,
    /// Resources that one controller may use.
    pub quota: Quota,
}

/// A team and its share of the resources.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    /// Name of the team.
    pub name: String,
    /// Number of CPUs guaranteed to the team.
    #[serde(default)]
    pub cpus: f64,
    /// Maximum number of CPUs; 0 means no limit.
    #[serde(default)]
    pub cpus_max: f64,
    /// Number of GPUs guaranteed to the team.
    #[serde(default)]
    pub gpus: f64,
    /// Maximum number of GPUs; 0 means no limit.
    #[serde(default)]
    pub gpus_max: f64,
}

impl Team {
    /// Resources that the team may use with precedence over other teams.
    pub(crate) fn guarantee(&self) -> ResourceBounds {
        ResourceBounds::from_settings(self.cpus, self.gpus)
    }

    /// The most resources that the team may use.
    pub(crate) fn limit(&self) -> ResourceBounds {
        ResourceBounds::from_settings(self.cpus_max, self.gpus_max)
    }
}

/// A service-level objective.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    /// The metric, such as wait, finished, deadline, guarantee, submit, useful or price.
    pub kind: String,
    /// Class of the jobs to which the objective applies.
    #[serde(default)]
    pub class: Option<String>,
    /// Limit in seconds.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// For deadlines: the limit as a multiple of the job's run time.
    #[serde(default)]
    pub times: Option<f64>,
}

/// Worker timings, in seconds.
#[derive(Debug, Clone, Deserialize)]
pub struct Workers {
    /// Interval between heartbeats.
    pub report_s: f64,
    /// Duration of a worker's lease.
    pub lease_s: f64,
    /// Maximum time for which a task of a gang waits for the other tasks.
    pub gang_wait_s: f64,
    /// Time within which the tasks of a gang detect that one of them is lost.
    pub gang_peer_s: f64,
    /// Time within which the tasks of a cancelled job must have ended.
    pub cancel_s: f64,
}

/// Limits of the cloud API.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    /// Requests per second.
    pub rps: f64,
    /// Lag of the machine list behind the cloud's state, in seconds.
    pub list_lag_s: f64,
}

/// Resources that one controller may use.
#[derive(Debug, Clone, Deserialize)]
pub struct Quota {
    /// Share of a CPU core.
    pub cpu: f64,
    /// Memory in MB.
    pub mem_mb: f64,
    /// Maximum number of sockets.
    pub max_connections: usize,
}
