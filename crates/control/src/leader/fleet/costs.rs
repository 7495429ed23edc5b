//! Accounting of the cost of machines, by what their GPUs were used for, or their CPUs if they have no GPUs.

use crate::effects::Now;
use crate::leader::model::{Job, Machine};
use crate::leader::Leader;
use constants::COST_UPDATE_INTERVAL_MS;
use std::collections::{BTreeMap, HashMap};
use wire::cloud::MachineType;
use wire::workers::TaskPhase;

/// Milliseconds in an hour, the unit of time of prices.
const MS_PER_HOUR: f64 = 3_600_000.0;

/// Lower bound of a machine type's CPUs, which prevents a division by zero for a type without CPUs.
const MIN_CPUS: f64 = 1e-9;

/// Cost of all machines in this leader's term, in the currency of the cloud's prices.
#[derive(Debug, Clone, Copy, Default)]
pub(in crate::leader) struct CostAccount {
    /// Machines that have not reported yet.
    boot: f64,
    /// Machines without tasks.
    idle: f64,
    /// Unassigned share of machines with tasks.
    unused: f64,
    /// Tasks that are not running yet.
    starting: f64,
    /// Tasks that save a checkpoint or have ended.
    stopping: f64,
    /// Tasks that are running.
    running: f64,
    /// Time up to which costs are accounted for, in milliseconds of the monotonic clock.
    accounted_until: u64,
}

impl CostAccount {
    /// Adds the cost of a machine to the categories that it was used for.
    fn add(
        &mut self,
        machine: &Machine,
        machine_type: &MachineType,
        cost: f64,
        jobs: &BTreeMap<String, Job>,
    ) {
        if !machine.is_reconciled {
            self.boot += cost;
            return;
        }
        if machine.assignments.is_empty() {
            self.idle += cost;
            return;
        }
        let mut unassigned = 1.0;
        for (id, task) in &machine.assignments {
            let Some(job) = jobs.get(id) else {
                continue;
            };
            let share = task_share(job, machine_type);
            let phase = job.assignment(*task).and_then(|a| a.phase);
            *self.category_mut(phase) += cost * share;
            unassigned -= share;
        }
        self.unused += cost * unassigned.max(0.0);
    }

    /// The category of tasks in this phase.
    fn category_mut(&mut self, phase: Option<TaskPhase>) -> &mut f64 {
        match phase {
            Some(TaskPhase::Running) => &mut self.running,
            Some(TaskPhase::Saving | TaskPhase::Ended) => &mut self.stopping,
            _ => &mut self.starting,
        }
    }
}

/// The share of a machine that one task of the job takes.
fn task_share(job: &Job, machine_type: &MachineType) -> f64 {
    if machine_type.gpus > 0.0 {
        job.spec.gpus / machine_type.gpus
    } else {
        job.spec.cpus / machine_type.cpus.max(MIN_CPUS)
    }
}

impl Leader {
    /// Adds the costs of the time since they were last accounted for, once that is due.
    pub(super) fn account_costs(&mut self, now: Now) {
        if now.mono < self.next_cost_account_at {
            return;
        }
        self.next_cost_account_at = now.mono + COST_UPDATE_INTERVAL_MS;
        // After a stall of the process only a bounded time is accounted for.
        let elapsed_ms = now
            .mono
            .saturating_sub(self.costs.accounted_until)
            .min(2 * COST_UPDATE_INTERVAL_MS);
        let hours = elapsed_ms as f64 / MS_PER_HOUR;
        self.costs.accounted_until = now.mono;
        let types = self.machine_types.desired.iter().flatten();
        let types: HashMap<&str, &MachineType> = types.map(|t| (t.name.as_str(), t)).collect();
        for machine in self.machines.values() {
            let Some(machine_type) = types.get(machine.type_name.as_str()) else {
                continue;
            };
            let price = match machine.spot {
                true => machine_type.spot_price_per_hour,
                false => machine_type.price_per_hour,
            };
            self.costs
                .add(machine, machine_type, hours * price, &self.jobs);
        }
    }

    /// Logs the cost of machines in this term.
    pub(super) fn log_costs(&self) {
        let costs = &self.costs;
        log::info!(
            "event=cost term={} boot={:.2} idle={:.2} unused={:.2} starting={:.2} stopping={:.2} running={:.2}",
            self.term,
            costs.boot,
            costs.idle,
            costs.unused,
            costs.starting,
            costs.stopping,
            costs.running
        );
    }
}
