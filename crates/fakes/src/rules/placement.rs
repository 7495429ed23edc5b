//! Checks of which tasks are on machines, and on which machines.

use super::{JobsByName, PlacedTask, RuleChecker};
use crate::jobs::job_of;
use std::collections::{BTreeMap, BTreeSet};
use wire::users::Submission;

/// Amount by which sums of resources may exceed a limit because of rounding.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// CPUs and GPUs in use, by team.
type UsageByTeam<'a> = BTreeMap<&'a str, (f64, f64)>;

impl RuleChecker {
    /// Checks all tasks that are on machines. `is_done` returns whether a job is recorded as done.
    pub fn check_placement(
        &mut self,
        placed: &[PlacedTask<'_>],
        jobs: &JobsByName,
        is_done: impl Fn(&str) -> bool,
        now: u64,
    ) {
        let mut seen: BTreeMap<&str, &str> = BTreeMap::new();
        let mut used = UsageByTeam::new();
        for placement in placed {
            let (task, machine) = (placement.task, placement.machine);
            if let Some(other) = seen.insert(task, machine) {
                self.report_violation(format!("ran_twice {task} on {other} and {machine}"), now);
            }
            self.check_cancelled(placement, now);
            let Some(job) = jobs.get(job_of(task)) else {
                continue;
            };
            let (cpus, gpus) = used.entry(&job.team).or_default();
            *cpus += job.cpus;
            *gpus += job.gpus;
            for need in job.dependencies.iter().filter(|need| !is_done(need)) {
                self.report_violation(format!("too_early {task} before {need}"), now);
            }
        }
        self.check_quotas(&used, now);
        self.check_constraints(placed, jobs, now);
    }

    /// The tasks of a cancelled job must end within the time that the settings allow.
    fn check_cancelled(&mut self, placement: &PlacedTask<'_>, now: u64) {
        let cancelled = self.cancelled.get(job_of(placement.task));
        if cancelled.is_some_and(|at| now > at + self.cancel_ms) {
            let (task, attempt) = (placement.task, placement.attempt);
            let machine = placement.machine;
            let violation = format!("ran_cancelled {task} try {attempt} on {machine}");
            self.report_violation(violation, now);
        }
    }

    fn check_quotas(&mut self, used: &UsageByTeam<'_>, now: u64) {
        let exceeds = |sum: f64, max: f64| max > 0.0 && sum > max + ROUNDING_TOLERANCE;
        let mut exceeded_quotas = Vec::new();
        for team in &self.teams {
            let (cpus, gpus) = used.get(team.name.as_str()).copied().unwrap_or_default();
            if exceeds(cpus, team.cpus_max) || exceeds(gpus, team.gpus_max) {
                exceeded_quotas.push(format!("quota {}: {cpus} cpus, {gpus} gpus", team.name));
            }
        }
        for violation in exceeded_quotas {
            self.report_violation(violation, now);
        }
    }

    /// Checks the placement constraints of tasks that have been placed since the last call. Each placement is checked
    /// once, against the other tasks that the job has on machines at that moment.
    fn check_constraints(&mut self, placed: &[PlacedTask<'_>], jobs: &JobsByName, now: u64) {
        let mut constrained = BTreeSet::new();
        let mut by_job: BTreeMap<&str, Vec<&PlacedTask<'_>>> = BTreeMap::new();
        for placement in placed {
            let id = job_of(placement.task);
            if jobs.get(id).is_some_and(is_constrained) {
                constrained.insert(key_of(placement));
                by_job.entry(id).or_default().push(placement);
            }
        }
        let before = std::mem::replace(&mut self.constrained, constrained);
        let started: Vec<_> = self.constrained.difference(&before).cloned().collect();
        for key in started {
            let id = job_of(&key.0);
            let (Some(job), Some(tasks)) = (jobs.get(id), by_job.get(id)) else {
                continue;
            };
            let Some(placement) = tasks.iter().find(|other| matches_key(other, &key)) else {
                continue;
            };
            let (task, machine) = (placement.task, placement.machine);
            for what in violated_constraints(placement, job, tasks) {
                self.report_violation(format!("wrong_place {task} on {machine}: {what}"), now);
            }
        }
    }
}

/// Task, machine and attempt.
type PlacementKey = (String, String, u64);

fn matches_key(placement: &PlacedTask<'_>, (task, machine, attempt): &PlacementKey) -> bool {
    placement.task == task && placement.machine == machine && placement.attempt == *attempt
}

fn key_of(placement: &PlacedTask<'_>) -> PlacementKey {
    let (task, machine) = (placement.task.to_string(), placement.machine.to_string());
    (task, machine, placement.attempt)
}

/// Whether a job has placement constraints.
fn is_constrained(job: &Submission) -> bool {
    job.zone.is_some()
        || job.machine_types.is_some()
        || !job.spot_allowed
        || job.one_zone
        || job.spread
}

/// Names of the placement constraints that a task violates. `tasks` are all tasks of the job on machines.
fn violated_constraints(
    placement: &PlacedTask<'_>,
    job: &Submission,
    tasks: &[&PlacedTask<'_>],
) -> impl Iterator<Item = &'static str> {
    let in_zone = tasks.iter().filter(|other| other.zone == placement.zone);
    let in_zone = in_zone.count() as u64;
    let zone = job.zone.as_deref();
    let types = job.machine_types.as_ref();
    let is_other_type =
        |types: &Vec<String>| !types.iter().any(|kind| kind == placement.machine_type);
    let checks = [
        (zone.is_some_and(|zone| zone != placement.zone), "zone"),
        (types.is_some_and(is_other_type), "type"),
        (!job.spot_allowed && placement.spot, "kind"),
        (job.one_zone && in_zone < tasks.len() as u64, "one zone"),
        (job.spread && in_zone > job.tasks.div_ceil(2), "spread"),
    ];
    let violated = checks.into_iter().filter(|(is_violated, _)| *is_violated);
    violated.map(|(_, what)| what)
}
