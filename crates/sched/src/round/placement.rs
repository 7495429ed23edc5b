//! Machines that a task may be placed on, and the choice of the one with the lowest placement cost.

use super::Round;
use crate::{MachineSnapshot, UNKNOWN_ZONE};
use constants::{DISPATCH_DELAY_COST_PER_S, GANG_BOOT_WAIT_MAX_S, UNCHECKPOINTED_TASK_COST};

/// Placement cost of a pilot for each pilot that already runs on the machine.
const RUNNING_PILOT_COST: f64 = 1000.0;
/// Placement cost of a machine that is slower than others of its type.
const SLOW_MACHINE_COST: f64 = 400.0;
/// Placement cost of a machine that has not fetched the job's image.
const IMAGE_FETCH_COST: f64 = 100.0;
/// Placement cost of an on-demand machine for work that may run on spot machines. Such work uses on-demand machines
/// last, since gangs and other work need them.
const ON_DEMAND_COST: f64 = 40.0;

impl Round<'_> {
    /// Whether a machine may have capacity for some waiting task, judged by the minimum of each resource.
    pub(super) fn can_take_task(&self, machine: usize) -> bool {
        let host = &self.snapshot.machines[machine];
        host.usable && host.free_slots > 0 && host.free.can_fit(&self.smallest_task)
    }

    /// Whether tasks of the job may be placed on the machine, its free resources and reservations aside.
    pub(super) fn is_allowed(&self, job: usize, machine: usize) -> bool {
        self.snapshot.machines[machine].usable && self.meets_constraints(job, machine)
    }

    /// Like [`Self::is_allowed`], but also accepts machines that are expected to have booted within [`GANG_BOOT_WAIT_MAX_S`]
    /// seconds.
    pub(super) fn is_allowed_soon(&self, job: usize, machine: usize) -> bool {
        let host = &self.snapshot.machines[machine];
        let usable_soon = host.usable || host.ready_in_s.is_some_and(|s| s <= GANG_BOOT_WAIT_MAX_S);
        usable_soon && self.meets_constraints(job, machine)
    }

    /// Whether a machine meets the job's constraints and has a free task slot.
    fn meets_constraints(&self, job: usize, machine: usize) -> bool {
        let job_snapshot = &self.snapshot.jobs[job];
        let host = &self.snapshot.machines[machine];
        host.free_slots > 0
            && (job_snapshot.spot_allowed || !host.spot)
            && job_snapshot
                .required_zone
                .is_none_or(|zone| zone == host.zone)
            && job_snapshot
                .machine_types
                .as_ref()
                .is_none_or(|machine_types| machine_types.contains(&host.machine_type))
            && !job_snapshot.avoided_machines.contains(&machine)
            && host.total.can_fit(&job_snapshot.task_resources)
    }

    /// How many more tasks of the job may be placed in the zone.
    pub(super) fn zone_capacity(&self, job: usize, zone: usize) -> u32 {
        let job_snapshot = &self.snapshot.jobs[job];
        let is_elsewhere = |(used, tasks): &(usize, u32)| *used != zone && *tasks > 0;
        if job_snapshot.one_zone && job_snapshot.tasks_by_zone.iter().any(is_elsewhere) {
            return 0;
        }
        let Some(cap) = job_snapshot.max_per_zone else {
            return u32::MAX;
        };
        // Tasks in an unknown zone may be in this zone.
        let may_be_here = |used: usize| used == zone || used == UNKNOWN_ZONE;
        let here = job_snapshot
            .tasks_by_zone
            .iter()
            .filter(|(used, _)| may_be_here(*used));
        cap.saturating_sub(here.map(|(_, tasks)| tasks).sum())
    }

    /// Whether the machine is not reserved for another job.
    pub(super) fn is_available(&self, job: usize, machine: usize) -> bool {
        self.reserved_for[machine].is_none_or(|holder| holder == job)
    }

    /// Cost of placing a task of the job on the machine; lower is better. Includes the weight of the resources that
    /// remain free, so that of otherwise equal machines the fullest is preferred.
    pub(super) fn placement_cost(&self, job: usize, machine: usize, pilot: bool) -> f64 {
        let job_snapshot = &self.snapshot.jobs[job];
        let host = &self.snapshot.machines[machine];
        let mut cost = 0.0;
        if pilot {
            cost += RUNNING_PILOT_COST * f64::from(host.pilots);
        }
        if host.slow {
            cost += SLOW_MACHINE_COST;
        }
        if !host.images.contains(&job_snapshot.image) {
            cost += IMAGE_FETCH_COST;
        }
        if job_snapshot.uncheckpointed {
            cost += uncheckpointed_cost(host);
        } else if job_snapshot.spot_allowed && !host.spot {
            cost += ON_DEMAND_COST;
        }
        cost += DISPATCH_DELAY_COST_PER_S * host.dispatch_delay_s;
        let mut rest = host.free;
        rest.sub(&job_snapshot.task_resources);
        cost + rest.weight().max(0.0)
    }

    /// The machine with the lowest placement cost for the next task of the job, of those with capacity for it.
    pub(super) fn best_machine(&self, job: usize, pilot: bool) -> Option<usize> {
        let task = &self.snapshot.jobs[job].task_resources;
        let has_room = |&machine: &usize| {
            let host = &self.snapshot.machines[machine];
            host.free.can_fit(task)
                && self.is_allowed(job, machine)
                && self.is_available(job, machine)
                && self.zone_capacity(job, host.zone) > 0
        };
        let machines = self.open_machines.iter().copied().filter(has_room);
        machines
            .map(|machine| (self.placement_cost(job, machine, pilot), machine))
            .min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)))
            .map(|(_, machine)| machine)
    }
}

/// Placement cost of a machine for a task without checkpoints. All work of such a task is lost with a spot machine, and
/// a task that runs alone on an on-demand machine keeps that machine from being returned.
fn uncheckpointed_cost(machine: &MachineSnapshot) -> f64 {
    let idle = machine.total.gpus > 0.0 && machine.free.gpus >= machine.total.gpus;
    match (machine.spot, idle) {
        (true, _) => UNCHECKPOINTED_TASK_COST,
        (false, true) => 2.0 * UNCHECKPOINTED_TASK_COST,
        (false, false) => 0.0,
    }
}
