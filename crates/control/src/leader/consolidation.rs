//! Consolidation: where cost is to be minimized, machines with few tasks are drained so that they can be returned.
//!
//! | module | subject |
//! | --- | --- |
//! | `demand` | machines that must stay because waiting work could use them |

mod demand;

pub(super) use demand::MachineDemand;

use super::model::Job;
use super::planning::SchedulingSnapshot;
use super::Leader;
use crate::effects::Effects;
use constants::{
    CONSOLIDATION_FLEET_DIVISOR, CONSOLIDATION_INTERVAL_S, CONSOLIDATION_REMAINING_MIN_S,
};
use sched::{ClusterSnapshot, JobSnapshot, Resources, RunningTask};
use std::collections::{BTreeMap, BTreeSet};

/// Reason for draining or returning a machine whose tasks fit on other machines.
pub(super) const CONSOLIDATED: &str = "consolidated";

/// Share of a machine's GPUs that must be free for the machine to be drained.
const MIN_FREE_GPU_SHARE: f64 = 0.5;
/// Share of a machine's CPUs that must be free for the machine to be drained.
const MIN_FREE_CPU_SHARE: f64 = 0.4;

/// Capacity of a machine that tasks may be moved to: what is free, or what has been reserved.
struct Target {
    machine: usize,
    free: Resources,
}

/// Selects the machines to drain.
struct Consolidation<'a> {
    view: &'a ClusterSnapshot,
    tasks_by_machine: Vec<Vec<&'a RunningTask>>,
    /// Sorted by free GPUs, fewest first, so that moved tasks fill up the machines that stay.
    targets: Vec<Target>,
    /// Machines that are to receive tasks of chosen machines, and so must not be drained themselves.
    receiving: BTreeSet<usize>,
    chosen: Vec<usize>,
}

impl Leader {
    /// Where cost is to be minimized, drains on-demand machines whose few tasks fit on other machines, so that they can
    /// be returned. Drains a small part of the fleet at a time, and only while no task waits.
    pub(super) fn consolidate(&mut self, effects: &mut Effects) {
        let now = effects.now;
        if !self.settings.minimizes_cost() || now.mono < self.next_consolidation_at {
            return;
        }
        self.next_consolidation_at = now.mono + (CONSOLIDATION_INTERVAL_S * 1000.0) as u64;
        let snapshot = self.scheduling_snapshot(now);
        let view = &snapshot.cluster;
        let is_waiting = view.jobs.iter().any(|job| !job.waiting_tasks.is_empty());
        let machines = self.machines.values();
        let draining = machines
            .filter(|m| m.draining == Some(CONSOLIDATED) && !m.returning)
            .count();
        let max_draining = 1 + view.machines.len() / CONSOLIDATION_FLEET_DIVISOR;
        if is_waiting || draining >= max_draining {
            return;
        }
        let mut consolidation = Consolidation::new(view);
        consolidation.choose(max_draining - draining, &snapshot, &self.jobs);
        for machine in consolidation.chosen {
            self.drain_for_consolidation(&snapshot.machine_names[machine]);
        }
    }

    fn drain_for_consolidation(&mut self, name: &str) {
        if let Some(machine) = self.machines.get_mut(name) {
            log::info!(
                "event=consolidate kind={} tasks={}",
                machine.type_name,
                machine.assignments.len()
            );
            machine.draining = Some(CONSOLIDATED);
        }
    }
}

impl<'a> Consolidation<'a> {
    fn new(view: &'a ClusterSnapshot) -> Self {
        let mut tasks_by_machine: Vec<Vec<&RunningTask>> = vec![Vec::new(); view.machines.len()];
        for task in &view.running_tasks {
            tasks_by_machine[task.machine].push(task);
        }
        let mut consolidation = Consolidation {
            view,
            tasks_by_machine,
            targets: Vec::new(),
            receiving: BTreeSet::new(),
            chosen: Vec::new(),
        };
        consolidation.targets = consolidation.targets();
        consolidation
    }

    /// Machines that tasks may be moved to: spot instances, and on-demand machines that already have tasks.
    fn targets(&self) -> Vec<Target> {
        let may_receive = |&machine: &usize| {
            let host = &self.view.machines[machine];
            host.usable
                && (host.spot || !self.tasks_by_machine[machine].is_empty())
                && (host.free.gpus > 0.0 || host.total.gpus <= 0.0)
        };
        let machines = (0..self.view.machines.len()).filter(may_receive);
        let mut targets: Vec<Target> = machines
            .map(|machine| Target {
                machine,
                free: self.view.machines[machine].free,
            })
            .collect();
        targets.sort_by(|a, b| a.free.gpus.total_cmp(&b.free.gpus));
        targets
    }

    /// Chooses at most `max_chosen` machines whose tasks all fit on other machines.
    fn choose(
        &mut self,
        max_chosen: usize,
        snapshot: &SchedulingSnapshot,
        jobs: &BTreeMap<String, Job>,
    ) {
        for machine in self.candidates(snapshot, jobs) {
            if self.chosen.len() >= max_chosen {
                break;
            }
            if !self.receiving.contains(&machine) && self.reserve_targets(machine) {
                self.chosen.push(machine);
            }
        }
    }

    /// Machines that could be drained, sorted by free GPUs, most first.
    fn candidates(
        &self,
        snapshot: &SchedulingSnapshot,
        jobs: &BTreeMap<String, Job>,
    ) -> Vec<usize> {
        let is_movable = |task: &&RunningTask| {
            let job = jobs.get(&snapshot.job_ids[task.job]);
            let saves_checkpoints =
                job.is_some_and(|job| !job.is_gang() && job.spec.checkpoint_interval_s > 0.0);
            task.preemptible && saves_checkpoints
        };
        let all_movable = |machine: usize| self.tasks_by_machine[machine].iter().all(is_movable);
        let machines = 0..self.view.machines.len();
        let mut candidates: Vec<usize> = machines
            .filter(|&machine| self.is_worth_draining(machine) && all_movable(machine))
            .collect();
        candidates.sort_by(|&a, &b| {
            let free_gpus = |machine: usize| self.view.machines[machine].free.gpus;
            free_gpus(b).total_cmp(&free_gpus(a))
        });
        candidates
    }

    /// Whether a machine is on-demand, has few tasks, and stays busy for long enough that draining it saves cost.
    fn is_worth_draining(&self, machine: usize) -> bool {
        let host = &self.view.machines[machine];
        host.usable
            && !host.spot
            && !self.tasks_by_machine[machine].is_empty()
            && host.free.gpus >= host.total.gpus * MIN_FREE_GPU_SHARE
            && host.free.cpus >= host.total.cpus * MIN_FREE_CPU_SHARE
            && host.busy_s >= CONSOLIDATION_REMAINING_MIN_S
    }

    /// Reserves capacity on other machines for all tasks of a machine. Returns false and reserves nothing if some task
    /// doesn't fit or its job is constrained to certain machines.
    fn reserve_targets(&mut self, from: usize) -> bool {
        let mut reserved: Vec<Target> = Vec::new();
        let tasks = std::mem::take(&mut self.tasks_by_machine[from]);
        let all_fit = tasks.iter().all(|task| {
            let target = self.reserve_target(from, &task.resources);
            let found = target.is_some();
            reserved.extend(target.map(|machine| Target {
                machine,
                free: task.resources,
            }));
            found && is_unconstrained(&self.view.jobs[task.job])
        });
        self.tasks_by_machine[from] = tasks;
        if all_fit {
            let machines = reserved.iter().map(|target| target.machine);
            self.receiving.extend(machines);
        } else {
            self.release_reserved(reserved);
        }
        all_fit
    }

    /// Reserves capacity on the first machine where a task fits, and returns the machine.
    fn reserve_target(&mut self, from: usize, task: &Resources) -> Option<usize> {
        let chosen = &self.chosen;
        let fits = |target: &&mut Target| {
            target.machine != from && !chosen.contains(&target.machine) && target.free.can_fit(task)
        };
        let target = self.targets.iter_mut().find(fits)?;
        target.free.sub(task);
        Some(target.machine)
    }

    /// Releases capacity that was reserved for a machine that can't be drained.
    fn release_reserved(&mut self, reserved: Vec<Target>) {
        for reservation in reserved {
            let mut targets = self.targets.iter_mut();
            if let Some(target) = targets.find(|target| target.machine == reservation.machine) {
                target.free.add(&reservation.free);
            }
        }
    }
}

/// Whether tasks of a job may be placed on any machine with enough free capacity.
fn is_unconstrained(job: &JobSnapshot) -> bool {
    job.spot_allowed && job.required_zone.is_none() && !job.one_zone && job.max_per_zone.is_none()
}
