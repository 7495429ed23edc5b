//! Settings: the platform's file, which describes the deployment, and the operators' own file.

mod deployment;
mod operator;
mod state_limits;
mod validation;

pub use deployment::{CloudLimits, Deployment, Objective, Quota, Team, Workers};
pub use operator::{Finalization, Operator, PartitionSettings, PinSettings, RolloutSettings};
pub use state_limits::{Limits, NextLimits, StateLimits};

use constants::{CLOCK_DRIFT_FACTOR, KEEPALIVE_MARGIN_MS};
use serde::Deserialize;

/// Milliseconds in a second.
const MS_PER_SECOND: f64 = 1000.0;

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

/// Addresses of the services of the region.
#[derive(Debug, Clone, Deserialize)]
pub struct Outside {
    /// Cloud.
    pub cloud: String,
    /// State service.
    pub state: String,
}

impl Settings {
    /// Milliseconds for which workers may still be answered, counted from the moment up to which every
    /// cancellation is known. A task of a job that is cancelled right after that moment ends with its
    /// worker's lease, which the last answer renewed.
    pub fn keepalive_ms(&self) -> u64 {
        let workers = &self.deployment.workers;
        // Either clock may drift: ours by which the answer is timed, the worker's by which its lease runs.
        let keepalive_s =
            workers.cancel_s / CLOCK_DRIFT_FACTOR - workers.lease_s * CLOCK_DRIFT_FACTOR;
        let keepalive_ms = keepalive_s * MS_PER_SECOND;
        (keepalive_ms as u64).saturating_sub(KEEPALIVE_MARGIN_MS)
    }

    /// Whether machines are rented only as work needs them, and given back when idle.
    ///
    /// The platform's file states only the objectives on start and finish, so an objective on cost can't be
    /// read there. What can be read is whether guarantees are to be met at once. That takes idle machines
    /// in reserve, and saving them would break the guarantee. Without such an objective, idle machines are
    /// waste.
    pub fn minimizes_cost(&self) -> bool {
        let objectives = &self.deployment.objectives;
        let has = |kind: &str| objectives.iter().any(|objective| objective.kind == kind);
        has("price") || has("useful") || !has("guarantee")
    }
}
