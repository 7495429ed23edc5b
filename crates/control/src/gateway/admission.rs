//! Admission checks of submissions: valid fields, the team's limits, and a machine type that a task fits.

use super::rejection::Rejection;
use crate::settings::Team;
use wire::cloud::MachineType;
use wire::users::{is_job_id, Shape, Submission};

/// Tolerance for comparing amounts of CPUs, GPUs and memory, which are sums of decimal fractions.
const RESOURCE_TOLERANCE: f64 = 1e-6;

/// The teams and machine types against which submissions are checked.
pub(super) struct Admission {
    teams: Vec<Team>,
    machine_types: Option<Vec<MachineType>>,
}

impl Admission {
    /// Creates the checks for these teams. The machine types are not known yet.
    pub(super) fn new(teams: Vec<Team>) -> Self {
        Admission {
            teams,
            machine_types: None,
        }
    }

    /// Sets the known machine types.
    pub(super) fn set_machine_types(&mut self, types: Vec<MachineType>) {
        self.machine_types = Some(types);
    }

    /// Whether the machine types are known.
    pub(super) fn knows_machine_types(&self) -> bool {
        self.machine_types.is_some()
    }

    /// Checks a submission, except for whether its dependencies exist.
    pub(super) fn check(&self, spec: &Submission) -> Result<(), Rejection> {
        if let Some(field) = spec.invalid_field() {
            return Err(Rejection::InvalidField(field));
        }
        // A job can't depend on itself, and no job has an ID that is not well-formed.
        let is_impossible = |id: &&String| **id == spec.id || !is_job_id(id);
        if let Some(id) = spec.dependencies.iter().find(is_impossible) {
            return Err(Rejection::UnknownDependency(id.clone()));
        }
        self.check_team_limit(spec)?;
        self.check_machine_types(spec)
    }

    /// Rejects a job that exceeds its team's limit even if no other job runs, since it could never run.
    fn check_team_limit(&self, spec: &Submission) -> Result<(), Rejection> {
        let Some(team) = self.teams.iter().find(|team| team.name == spec.team) else {
            return Err(Rejection::UnknownTeam(spec.team.clone()));
        };
        let tasks_at_once = match spec.shape {
            Shape::Gang => spec.tasks as f64,
            Shape::Array | Shape::Service => 1.0,
        };
        let is_over = |limit: f64, per_task: f64| {
            limit > 0.0 && per_task * tasks_at_once > limit + RESOURCE_TOLERANCE
        };
        if is_over(team.cpus_max, spec.cpus) || is_over(team.gpus_max, spec.gpus) {
            return Err(Rejection::OverTeamLimit);
        }
        Ok(())
    }

    fn check_machine_types(&self, spec: &Submission) -> Result<(), Rejection> {
        let Some(types) = &self.machine_types else {
            return Err(Rejection::MachineTypesUnknown);
        };
        if types.iter().any(|machine_type| fits(spec, machine_type)) {
            Ok(())
        } else {
            Err(Rejection::FitsNoMachineType)
        }
    }
}

/// Whether a task can run on an empty machine of this type.
fn fits(spec: &Submission, machine_type: &MachineType) -> bool {
    let type_allowed = spec
        .machine_types
        .as_ref()
        .is_none_or(|names| names.contains(&machine_type.name));
    // A type that lists no zones is available in all zones.
    let zone_allowed = spec
        .zone
        .as_ref()
        .is_none_or(|zone| machine_type.zones.is_empty() || machine_type.zones.contains(zone));
    type_allowed
        && zone_allowed
        && spec.cpus <= machine_type.cpus + RESOURCE_TOLERANCE
        && spec.gpus <= machine_type.gpus + RESOURCE_TOLERANCE
        && spec.mem_gb <= machine_type.mem_gb + RESOURCE_TOLERANCE
}
