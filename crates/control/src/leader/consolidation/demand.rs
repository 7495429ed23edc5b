//! Machines that are kept because waiting tasks could use them.

use crate::effects::Now;
use crate::leader::model::{Job, Machine};
use crate::leader::Leader;
use crate::offers::{allows_type, allows_zone, offered_zones, type_resources};
use sched::{Resources, TeamSnapshot};
use std::collections::HashMap;
use wire::cloud::MachineType;

/// How many machines of one offer (type, zone, spot or on-demand) the waiting tasks could use.
pub(in crate::leader) struct MachineDemand {
    kind: String,
    zone: String,
    spot: bool,
    /// Machines that all these tasks together would fill, less those claimed.
    count: usize,
}

impl MachineDemand {
    /// Counts a machine towards this demand if it is of this offer and the demand is not met yet; returns whether it
    /// was counted. Without the count, a few waiting tasks would keep all the machines that they could use.
    pub fn claim(&mut self, machine: &Machine) -> bool {
        let matches_offer = self.kind == machine.type_name
            && self.zone == machine.zone
            && self.spot == machine.spot;
        let is_claimed = matches_offer && self.count > 0;
        self.count -= usize::from(is_claimed);
        is_claimed
    }
}

impl Leader {
    /// The demand of waiting tasks for machines, so that no machine is returned that the next planning round may need.
    /// The machines of a large gang come up one by one; without this, the first would be returned before the last is
    /// up.
    pub(in crate::leader) fn machine_demand(&self, now: Now) -> Vec<MachineDemand> {
        let usage = self.usage_by_team();
        let is_candidate =
            |job: &&Job| is_waiting(job, now) && !self.exceeds_team_limit(job, &usage);
        let jobs: Vec<&Job> = self.jobs.values().filter(is_candidate).collect();
        let mut demand = Vec::new();
        for machine_type in self.machine_types.desired.iter().flatten() {
            for zone in offered_zones(machine_type, &self.settings.deployment.zones) {
                for spot in [false, true] {
                    let suitable = jobs
                        .iter()
                        .filter(|job| can_use(job, machine_type, zone, spot));
                    let count = suitable.map(|job| machines_needed(job, machine_type)).sum();
                    if count > 0 {
                        demand.push(MachineDemand {
                            kind: machine_type.name.clone(),
                            zone: zone.clone(),
                            spot,
                            count,
                        });
                    }
                }
            }
        }
        demand
    }

    /// Resources of the assigned tasks of each team.
    fn usage_by_team(&self) -> HashMap<&str, Resources> {
        let mut usage: HashMap<&str, Resources> = HashMap::new();
        for job in self.jobs.values() {
            let assigned = job.task_resources().times(f64::from(job.assigned_count));
            usage.entry(&job.spec.team).or_default().add(&assigned);
        }
        usage
    }

    /// Whether the next task of a job, or all tasks of a gang, would exceed the limit of its team.
    fn exceeds_team_limit(&self, job: &Job, usage: &HashMap<&str, Resources>) -> bool {
        let mut teams = self.settings.deployment.teams.iter();
        let Some(team) = teams.find(|team| team.name == job.spec.team) else {
            return false;
        };
        let used = usage.get(job.spec.team.as_str());
        let current = TeamSnapshot {
            limit: team.limit(),
            used: used.copied().unwrap_or_default(),
            ..TeamSnapshot::default()
        };
        let tasks = match job.is_gang() {
            true => job.spec.tasks as f64,
            false => 1.0,
        };
        !current.is_within_limit(&job.task_resources().times(tasks))
    }
}

/// Whether a job has tasks that wait for a machine, and neither failures in a row nor a backoff.
fn is_waiting(job: &Job, now: Now) -> bool {
    !job.aborted
        && !job.awaits_dependencies()
        && u64::from(job.assigned_count) + job.done_count < job.spec.tasks
        && job.consecutive_failures == 0
        && !job.is_backed_off(now.unix)
}

/// Whether a task of the job fits on an empty machine of the type and may be placed there.
fn can_use(job: &Job, machine_type: &MachineType, zone: &str, spot: bool) -> bool {
    let spec = &job.spec;
    (spec.spot_allowed || !spot) && allows_zone(spec, zone) && allows_type(spec, machine_type)
}

/// How many empty machines of the type the waiting tasks of a job need.
fn machines_needed(job: &Job, machine_type: &MachineType) -> usize {
    let waiting = (job.spec.tasks - job.done_count) as u32 - job.assigned_count;
    let per_machine = type_resources(machine_type).capacity_for(&job.task_resources(), waiting);
    waiting.div_ceil(per_machine.max(1)) as usize
}
