//! Which machines a task may go to, and which suits it best.

use super::Round;
use crate::{MachineSnapshot, UNKNOWN_ZONE};
use constants::{DISPATCH_DELAY_COST_PER_S, GANG_BOOT_WAIT_MAX_S, UNCHECKPOINTED_SPOT_COST};

/// Cost of each pilot that already runs on a machine, for another one.
const PILOT_COST: f64 = 1000.0;
/// Cost of a machine that is slower than others of its type.
const SLOW_COST: f64 = 400.0;
/// Cost of a machine that lacks the image.
const FETCH_COST: f64 = 100.0;
/// Cost of an on-demand machine for work that may run on spot instances: capacity for gangs and other work that needs
/// on-demand machines is used last.
const ORDINARY_COST: f64 = 40.0;

impl Round<'_> {
    /// Whether a machine has room for the smallest of the waiting tasks.
    pub(super) fn can_take_task(&self, machine: usize) -> bool {
        let host = &self.snapshot.machines[machine];
        host.usable && host.free_slots > 0 && host.free.can_fit(&self.smallest_task)
    }

    /// Whether tasks of the job may go to the machine, if there is room.
    pub(super) fn is_allowed(&self, job: usize, machine: usize) -> bool {
        self.snapshot.machines[machine].usable && self.meets_constraints(job, machine)
    }

    /// Whether tasks of the job may go to the machine now or within moments.
    pub(super) fn is_allowed_soon(&self, job: usize, machine: usize) -> bool {
        let host = &self.snapshot.machines[machine];
        let usable_soon = host.usable || host.ready_in_s.is_some_and(|s| s <= GANG_BOOT_WAIT_MAX_S);
        usable_soon && self.meets_constraints(job, machine)
    }

    fn meets_constraints(&self, job: usize, machine: usize) -> bool {
        let spec = &self.snapshot.jobs[job];
        let host = &self.snapshot.machines[machine];
        host.free_slots > 0
            && (spec.spot || !host.spot)
            && spec.zone.is_none_or(|zone| zone == host.zone)
            && spec
                .kinds
                .as_ref()
                .is_none_or(|kinds| kinds.contains(&host.kind))
            && !spec.avoid.contains(&machine)
            && host.total.can_fit(&spec.task)
    }

    /// How many more tasks of the job the zone may take.
    pub(super) fn zone_capacity(&self, job: usize, zone: usize) -> u32 {
        let spec = &self.snapshot.jobs[job];
        let is_elsewhere = |(used, tasks): &(usize, u32)| *used != zone && *tasks > 0;
        if spec.one_zone && spec.tasks_by_zone.iter().any(is_elsewhere) {
            return 0;
        }
        let Some(cap) = spec.max_per_zone else {
            return u32::MAX;
        };
        // Tasks in an unknown zone may be in this one.
        let may_be_here = |used: usize| used == zone || used == UNKNOWN_ZONE;
        let here = spec
            .tasks_by_zone
            .iter()
            .filter(|(used, _)| may_be_here(*used));
        cap.saturating_sub(here.map(|(_, tasks)| tasks).sum())
    }

    /// Whether the machine is not reserved for another job.
    pub(super) fn is_available(&self, job: usize, machine: usize) -> bool {
        self.reserved_for[machine].is_none_or(|holder| holder == job)
    }

    /// What it costs to place a task of the job on the machine.
    pub(super) fn placement_cost(&self, job: usize, machine: usize, pilot: bool) -> f64 {
        let spec = &self.snapshot.jobs[job];
        let host = &self.snapshot.machines[machine];
        let mut cost = 0.0;
        if pilot {
            cost += PILOT_COST * f64::from(host.pilots);
        }
        if host.slow {
            cost += SLOW_COST;
        }
        if !host.images.contains(&spec.image) {
            cost += FETCH_COST;
        }
        if spec.uncheckpointed {
            cost += uncheckpointed_cost(host);
        } else if spec.spot && !host.spot {
            cost += ORDINARY_COST;
        }
        cost += DISPATCH_DELAY_COST_PER_S * host.dispatch_delay_s;
        let mut rest = host.free;
        rest.sub(&spec.task);
        cost + rest.weight().max(0.0)
    }

    /// The machine that suits the next task of the job best, of those with room.
    pub(super) fn best_machine(&self, job: usize, pilot: bool) -> Option<usize> {
        let task = &self.snapshot.jobs[job].task;
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

/// Cost of a machine for a task without checkpoints. All its work is lost with a spot instance, and a task alone on an
/// on-demand machine keeps that machine from being returned.
fn uncheckpointed_cost(machine: &MachineSnapshot) -> f64 {
    let idle = machine.total.gpus > 0.0 && machine.free.gpus >= machine.total.gpus;
    match (machine.spot, idle) {
        (true, _) => UNCHECKPOINTED_SPOT_COST,
        (false, true) => 2.0 * UNCHECKPOINTED_SPOT_COST,
        (false, false) => 0.0,
    }
}
