//! Admission checks of submissions: valid fields, the team's limits, and machine types and zones in which the tasks
//! can run.

use super::rejection::Rejection;
use crate::offers::{allows_type, allows_zone, offered_zones, task_resources};
use crate::settings::{Deployment, Team};
use constants::MACHINE_TYPES_RECENT_MS;
use sched::{max_tasks_per_zone, required_zones, TeamSnapshot};
use std::collections::BTreeSet;
use wire::cloud::MachineType;
use wire::users::{is_job_id, Shape, Submission};

/// What submissions are checked against.
pub(super) struct Admission {
    teams: Vec<Team>,
    /// Zones of the deployment.
    zones: Vec<String>,
    machine_types: Option<Vec<MachineType>>,
    /// When the cloud last listed the machine types to this node, on the monotonic clock.
    listed_at: Option<u64>,
}

impl Admission {
    /// Creates the checks for a deployment. The machine types are not known yet.
    pub(super) fn new(deployment: &Deployment) -> Self {
        Admission {
            teams: deployment.teams.clone(),
            zones: deployment.zones.clone(),
            machine_types: None,
            listed_at: None,
        }
    }

    /// Sets the machine types from the record of a leader, which may be out of date.
    pub(super) fn set_recorded_types(&mut self, types: Vec<MachineType>) {
        self.machine_types = Some(types);
        self.listed_at = None;
    }

    /// Sets the machine types that the cloud has just listed.
    pub(super) fn set_listed_types(&mut self, types: Vec<MachineType>, now: u64) {
        self.machine_types = Some(types);
        self.listed_at = Some(now);
    }

    /// Whether the machine types are known.
    pub(super) fn knows_machine_types(&self) -> bool {
        self.machine_types.is_some()
    }

    /// Whether a rejection holds now. One that depends on the machine types does only if the cloud has listed them
    /// recently.
    pub(super) fn is_current(&self, rejection: &Rejection, now: u64) -> bool {
        let is_recent = |at: u64| now <= at + MACHINE_TYPES_RECENT_MS;
        !rejection.depends_on_machine_types() || self.listed_at.is_some_and(is_recent)
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
        let idle_team = TeamSnapshot {
            limit: team.limit(),
            ..TeamSnapshot::default()
        };
        let needed = task_resources(spec).times(f64::from(tasks_at_once(spec)));
        match idle_team.is_within_limit(&needed) {
            true => Ok(()),
            false => Err(Rejection::OverTeamLimit),
        }
    }

    /// Rejects a job whose tasks could not run even if every offer of the cloud had unlimited capacity.
    fn check_machine_types(&self, spec: &Submission) -> Result<(), Rejection> {
        let Some(types) = &self.machine_types else {
            return Err(Rejection::MachineTypesUnknown);
        };
        let mut zones = BTreeSet::new();
        for machine_type in types.iter().filter(|kind| allows_type(spec, kind)) {
            let offered = offered_zones(machine_type, &self.zones);
            if offered.is_empty() {
                // Neither the cloud nor the settings name the zones, so nothing rules the job out.
                return Ok(());
            }
            zones.extend(offered.iter().filter(|zone| allows_zone(spec, zone)));
        }
        if zones.is_empty() {
            return Err(Rejection::FitsNoMachineType);
        }
        let tasks = u32::try_from(spec.tasks).unwrap_or(u32::MAX);
        let max_per_zone = spec.spread.then(|| max_tasks_per_zone(tasks));
        match required_zones(tasks_at_once(spec), spec.one_zone, max_per_zone) {
            Some(required) if zones.len() >= required as usize => Ok(()),
            _ => Err(Rejection::TooFewZones),
        }
    }
}

/// The number of tasks that must run at the same time for the job to make progress.
fn tasks_at_once(spec: &Submission) -> u32 {
    match spec.shape {
        Shape::Gang => u32::try_from(spec.tasks).unwrap_or(u32::MAX),
        Shape::Array | Shape::Service => 1,
    }
}
