//! Machines that must stay because waiting work could use them.

use crate::effects::Now;
use crate::leader::model::{Job, Machine};
use crate::leader::planning::type_resources;
use crate::leader::Leader;
use sched::Resources;
use std::collections::HashMap;
use wire::cloud::MachineType;

/// Machines of one type, zone and kind that waiting work could use.
pub(in crate::leader) struct WantedMachines {
    kind: String,
    zone: String,
    spot: bool,
    /// How many of them all that work fills.
    count: usize,
}

impl WantedMachines {
    /// Whether the machine is one of these. Each is counted once: a few waiting tasks are no reason to keep all the
    /// machines they could use.
    pub fn take(&mut self, machine: &Machine) -> bool {
        let is_same =
            self.kind == machine.kind && self.zone == machine.zone && self.spot == machine.spot;
        let takes = is_same && self.count > 0;
        self.count -= usize::from(takes);
        takes
    }
}

impl Leader {
    /// What waits for machines, so that none is returned that the next round may need: the machines of a large gang
    /// come up one by one, and the first would otherwise be gone before the last is there.
    pub(in crate::leader) fn wanted_machines(&self, now: Now) -> Vec<WantedMachines> {
        let usage = self.usage_by_team();
        let waits = |job: &&Job| is_waiting(job, now) && !self.exceeds_limit(job, &usage);
        let jobs: Vec<&Job> = self.jobs.values().filter(waits).collect();
        let mut wanted = Vec::new();
        for machine_type in self.types.desired.iter().flatten() {
            for zone in &machine_type.zones {
                for spot in [false, true] {
                    let suitable = jobs
                        .iter()
                        .filter(|job| may_use(job, machine_type, zone, spot));
                    let count = suitable.map(|job| machines_for(job, machine_type)).sum();
                    if count > 0 {
                        wanted.push(WantedMachines {
                            kind: machine_type.name.clone(),
                            zone: zone.clone(),
                            spot,
                            count,
                        });
                    }
                }
            }
        }
        wanted
    }

    /// Resources of assigned tasks, by team.
    fn usage_by_team(&self) -> HashMap<&str, Resources> {
        let mut usage: HashMap<&str, Resources> = HashMap::new();
        for job in self.jobs.values() {
            let assigned = job.task_resources().times(f64::from(job.assigned));
            usage.entry(&job.spec.team).or_default().add(&assigned);
        }
        usage
    }

    /// Whether the next task of a job, or the whole gang, exceeds the limit of its team.
    fn exceeds_limit(&self, job: &Job, usage: &HashMap<&str, Resources>) -> bool {
        let mut teams = self.settings.deployment.teams.iter();
        let Some(team) = teams.find(|team| team.name == job.spec.team) else {
            return false;
        };
        let used = usage.get(job.spec.team.as_str());
        let used = used.copied().unwrap_or_default();
        let tasks = match job.is_gang() {
            true => job.spec.tasks as f64,
            false => 1.0,
        };
        // A limit of 0 is none.
        let exceeds = |limit: f64, used: f64, task: f64| limit > 0.0 && used + task * tasks > limit;
        exceeds(team.cpus_max, used.cpus, job.spec.cpus)
            || exceeds(team.gpus_max, used.gpus, job.spec.gpus)
    }
}

/// Whether a job has tasks that wait for a machine, and none that have failed.
fn is_waiting(job: &Job, now: Now) -> bool {
    !job.aborted
        && !job.awaits_dependencies()
        && u64::from(job.assigned) + job.done < job.spec.tasks
        && job.failures == 0
        && !job.is_backed_off(now.unix)
}

/// Whether a task of the job fits on an empty machine of the type, and may go there.
fn may_use(job: &Job, machine_type: &MachineType, zone: &str, spot: bool) -> bool {
    let spec = &job.spec;
    (spec.spot_allowed || !spot)
        && spec.zone.as_ref().is_none_or(|only| only == zone)
        && spec
            .machine_types
            .as_ref()
            .is_none_or(|types| types.contains(&machine_type.name))
        && spec.cpus <= machine_type.cpus
        && spec.gpus <= machine_type.gpus
        && spec.mem_gb <= machine_type.mem_gb
}

/// How many empty machines of the type the waiting tasks of a job fill.
fn machines_for(job: &Job, machine_type: &MachineType) -> usize {
    let waiting = (job.spec.tasks - job.done) as u32 - job.assigned;
    let per_machine = type_resources(machine_type).capacity_for(&job.task_resources(), waiting);
    waiting.div_ceil(per_machine.max(1)) as usize
}
