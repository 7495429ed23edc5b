//! Consolidation: where cost counts, machines with few tasks are drained, so that they can be returned.
//!
//! | module | subject |
//! | --- | --- |
//! | `demand` | machines that must stay because waiting work could use them |

mod demand;

pub(super) use demand::WantedMachines;

use super::model::Job;
use super::planning::SchedulingSnapshot;
use super::Leader;
use crate::effects::Effects;
use constants::{CONSOLIDATE_LEFT_S, CONSOLIDATE_PART, CONSOLIDATE_S};
use sched::{ClusterSnapshot, JobSnapshot, Resources, RunningTask};
use std::collections::{BTreeMap, BTreeSet};

/// Why a machine is drained whose tasks fit elsewhere.
pub(super) const CONSOLIDATED: &str = "consolidated";

/// Share of its GPUs that must be free on a machine for it to be drained.
const LEAST_FREE_GPU_SHARE: f64 = 0.5;
/// Share of its CPUs that must be free.
const LEAST_FREE_CPU_SHARE: f64 = 0.4;

/// Free capacity on a machine that tasks may be moved to.
struct Target {
    machine: usize,
    free: Resources,
}

/// The choice of machines to drain.
struct Consolidation<'a> {
    view: &'a ClusterSnapshot,
    tasks_by_machine: Vec<Vec<&'a RunningTask>>,
    /// The fullest first: what is moved fills up what stays.
    targets: Vec<Target>,
    /// Machines that are to take tasks of chosen ones, and so are not drained themselves.
    receiving: BTreeSet<usize>,
    chosen: Vec<usize>,
}

impl Leader {
    /// Where cost counts, drains on-demand machines whose few tasks fit on others, so that they can be returned: a
    /// small part of the fleet at a time, and only while nothing waits.
    pub(super) fn consolidate(&mut self, effects: &mut Effects) {
        let now = effects.now;
        if !self.settings.minimizes_cost() || now.mono < self.next_consolidation {
            return;
        }
        self.next_consolidation = now.mono + (CONSOLIDATE_S * 1000.0) as u64;
        let snapshot = self.scheduling_snapshot(now);
        let view = &snapshot.view;
        let is_waiting = view.jobs.iter().any(|job| !job.waiting.is_empty());
        let machines = self.machines.values();
        let draining = machines
            .filter(|m| m.draining == Some(CONSOLIDATED) && !m.returning)
            .count();
        let most = 1 + view.machines.len() / CONSOLIDATE_PART;
        if is_waiting || draining >= most {
            return;
        }
        let mut consolidation = Consolidation::new(view);
        consolidation.choose(most - draining, &snapshot, &self.jobs);
        for machine in consolidation.chosen {
            self.drain_consolidated(&snapshot.machines[machine]);
        }
    }

    fn drain_consolidated(&mut self, name: &str) {
        if let Some(machine) = self.machines.get_mut(name) {
            log::info!(
                "event=consolidate kind={} tasks={}",
                machine.kind,
                machine.assignments.len()
            );
            machine.draining = Some(CONSOLIDATED);
        }
    }
}

impl<'a> Consolidation<'a> {
    fn new(view: &'a ClusterSnapshot) -> Self {
        let mut tasks_by_machine: Vec<Vec<&RunningTask>> = vec![Vec::new(); view.machines.len()];
        for task in &view.running {
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

    /// Machines that tasks may be moved to: spot instances, and on-demand machines that have tasks already.
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

    /// Chooses at most so many machines whose tasks all fit elsewhere.
    fn choose(&mut self, most: usize, snapshot: &SchedulingSnapshot, jobs: &BTreeMap<String, Job>) {
        for machine in self.candidates(snapshot, jobs) {
            if self.chosen.len() >= most {
                break;
            }
            if !self.receiving.contains(&machine) && self.move_tasks(machine) {
                self.chosen.push(machine);
            }
        }
    }

    /// Machines that could be drained, the emptiest first.
    fn candidates(
        &self,
        snapshot: &SchedulingSnapshot,
        jobs: &BTreeMap<String, Job>,
    ) -> Vec<usize> {
        let is_movable = |task: &&RunningTask| {
            let job = jobs.get(&snapshot.jobs[task.job]);
            let saves =
                job.is_some_and(|job| !job.is_gang() && job.spec.checkpoint_interval_s > 0.0);
            task.preemptible && saves
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

    /// Whether a machine is on-demand and has few tasks that run on for long enough.
    fn is_worth_draining(&self, machine: usize) -> bool {
        let host = &self.view.machines[machine];
        host.usable
            && !host.spot
            && !self.tasks_by_machine[machine].is_empty()
            && host.free.gpus >= host.total.gpus * LEAST_FREE_GPU_SHARE
            && host.free.cpus >= host.total.cpus * LEAST_FREE_CPU_SHARE
            && host.busy_s >= CONSOLIDATE_LEFT_S
    }

    /// Takes up capacity on other machines for all tasks of a machine; false, with nothing taken up, if some don't fit.
    fn move_tasks(&mut self, from: usize) -> bool {
        let mut moved: Vec<Target> = Vec::new();
        let tasks = std::mem::take(&mut self.tasks_by_machine[from]);
        let all_fit = tasks.iter().all(|task| {
            let target = self.take_target(from, &task.resources);
            let found = target.is_some();
            moved.extend(target.map(|machine| Target {
                machine,
                free: task.resources,
            }));
            found && is_unconstrained(&self.view.jobs[task.job])
        });
        self.tasks_by_machine[from] = tasks;
        if all_fit {
            let machines = moved.iter().map(|target| target.machine);
            self.receiving.extend(machines);
        } else {
            self.release(moved);
        }
        all_fit
    }

    /// Takes up capacity on the first machine where a task fits, and returns the machine.
    fn take_target(&mut self, from: usize, task: &Resources) -> Option<usize> {
        let chosen = &self.chosen;
        let fits = |target: &&mut Target| {
            target.machine != from && !chosen.contains(&target.machine) && target.free.can_fit(task)
        };
        let target = self.targets.iter_mut().find(fits)?;
        target.free.sub(task);
        Some(target.machine)
    }

    /// Frees capacity that was taken up in vain.
    fn release(&mut self, moved: Vec<Target>) {
        for taken in moved {
            let mut targets = self.targets.iter_mut();
            if let Some(target) = targets.find(|target| target.machine == taken.machine) {
                target.free.add(&taken.free);
            }
        }
    }
}

/// Whether tasks of a job may go to any machine with room.
fn is_unconstrained(job: &JobSnapshot) -> bool {
    job.spot && job.zone.is_none() && !job.one_zone && job.max_per_zone.is_none()
}
