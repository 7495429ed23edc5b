//! Whether a submission may be accepted: its form, its team's limits, and the machines that its tasks fit.

use super::rejection::Rejection;
use crate::settings::Team;
use wire::cloud::MachineType;
use wire::users::{is_job_id, Shape, Submission};

/// Difference up to which amounts of CPUs, GPUs and memory count as equal: they are sums of decimal fractions.
const RESOURCE_TOLERANCE: f64 = 1e-6;

/// What submissions are checked against.
pub(super) struct Admission {
    teams: Vec<Team>,
    machine_types: Option<Vec<MachineType>>,
}

impl Admission {
    /// Checks for these teams; the machine types are not known yet.
    pub(super) fn new(teams: Vec<Team>) -> Self {
        Admission {
            teams,
            machine_types: None,
        }
    }

    /// Replaces the machine types.
    pub(super) fn set_types(&mut self, types: Vec<MachineType>) {
        self.machine_types = Some(types);
    }

    /// Whether the machine types are known.
    pub(super) fn knows_types(&self) -> bool {
        self.machine_types.is_some()
    }

    /// Checks a submission without asking whether the jobs that it needs exist.
    pub(super) fn check(&self, spec: &Submission) -> Result<(), Rejection> {
        if let Some(field) = spec.invalid_field() {
            return Err(Rejection::InvalidField(field));
        }
        // A job can't need itself, and no job has an id of another form.
        let is_impossible = |id: &&String| **id == spec.id || !is_job_id(id);
        if let Some(id) = spec.dependencies.iter().find(is_impossible) {
            return Err(Rejection::UnknownDependency(id.clone()));
        }
        self.check_team_limit(spec)?;
        self.check_machine_types(spec)
    }

    /// A job that exceeds its team's limit even when nothing else runs could never run.
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

/// Whether a task may run on an empty machine of a type.
fn fits(spec: &Submission, machine_type: &MachineType) -> bool {
    let type_allowed = spec
        .machine_types
        .as_ref()
        .is_none_or(|names| names.contains(&machine_type.name));
    // A type without zones is offered in all of them.
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
