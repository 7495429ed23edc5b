//! Settings: the platform's file, which describes the deployment, and the operators' file.

mod deployment;
mod operator;
mod state_limits;
mod validation;

pub use deployment::{CloudLimits, Deployment, Objective, Quota, Team, Workers};
pub use operator::{Finalization, Operator, PartitionSettings, PinSettings, RolloutSettings};
pub use state_limits::{EffectiveLimits, NextLimits, StateLimits};

use constants::{CLOCK_DRIFT_FACTOR, KEEPALIVE_MARGIN_MS};
use serde::Deserialize;

/// Milliseconds in a second.
const MS_PER_SECOND: f64 = 1000.0;

/// The platform's settings file. Unknown fields are ignored.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// Label of this node, which identifies it among the controllers.
    pub label: String,
    /// Zone of this node.
    pub area: String,
    /// Address at which this node serves users, workers and health checks.
    pub public_addr: String,
    /// Address at which this node serves the other controllers.
    pub back: String,
    /// The other controllers.
    #[serde(default)]
    pub siblings: Vec<Sibling>,
    /// Addresses of the services of the region.
    pub outside: Outside,
    /// The deployment.
    pub deployment: Deployment,
}

/// Another controller of the deployment.
#[derive(Debug, Clone, Deserialize)]
pub struct Sibling {
    /// Label of the controller.
    pub label: String,
    /// Address at which it serves other controllers.
    pub addr: String,
}

/// Addresses of the services of the region.
#[derive(Debug, Clone, Deserialize)]
pub struct Outside {
    /// Address of the cloud API.
    pub cloud: String,
    /// Address of the state service.
    pub state: String,
}

impl Settings {
    /// Milliseconds for which workers may still be answered, counted from the time up to which every
    /// cancellation is known. If a job is cancelled right after that time, its tasks end when their
    /// workers' leases, which the last answer renewed, expire.
    pub fn keepalive_ms(&self) -> u64 {
        let workers = &self.deployment.workers;
        // This node's clock, which times the answers, and the worker's clock, which times its lease, may both drift.
        let keepalive_s =
            workers.cancel_s / CLOCK_DRIFT_FACTOR - workers.lease_s * CLOCK_DRIFT_FACTOR;
        let keepalive_ms = keepalive_s * MS_PER_SECOND;
        (keepalive_ms as u64).saturating_sub(KEEPALIVE_MARGIN_MS)
    }

    /// Whether machines are rented only when jobs need them and returned when idle.
    ///
    /// The platform's file states only the objectives on start and finish times, so an objective on cost
    /// can't be read from it. It does show whether guarantees must be met immediately. That requires idle
    /// machines in reserve, and saving their cost would violate the guarantee. Without such an objective,
    /// idle machines are a waste.
    pub fn minimizes_cost(&self) -> bool {
        let objectives = &self.deployment.objectives;
        let has = |kind: &str| objectives.iter().any(|objective| objective.kind == kind);
        has("price") || has("useful") || !has("guarantee")
    }
}
