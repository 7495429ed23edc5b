//! Reservation of machines for gangs, so that draining machines do not fill up with small tasks before the gang fits.

use super::zone_room::ZoneRoom;
use super::{Decision, Round};
use constants::GANG_RESERVED_FLEET_DIVISOR;

/// Machines that may be reserved together for a gang: those of one zone, or all.
struct ReservableGroup {
    /// The zone; 0 for a gang that need not stay in one zone.
    zone: usize,
    /// Machines that are not reserved yet.
    unreserved: Vec<usize>,
    /// Machines that are already reserved for the gang.
    reserved: Vec<usize>,
}

impl Round<'_> {
    /// Releases all machines that are reserved for a job.
    pub(super) fn release_reservations(&mut self, job: usize) {
        for holder in &mut self.reserved_for {
            if *holder == Some(job) {
                *holder = None;
            }
        }
    }

    /// Adds decisions for the reservations of gangs that still have waiting tasks.
    pub(super) fn decide_reservations(&mut self) {
        let mut by_job: Vec<Vec<usize>> = vec![Vec::new(); self.snapshot.jobs.len()];
        for (machine, holder) in self.reserved_for.iter().enumerate() {
            if let Some(job) = holder.filter(|&job| self.tasks_left(job) > 0) {
                by_job[job].push(machine);
            }
        }
        for (job, machines) in by_job.into_iter().enumerate() {
            if !machines.is_empty() {
                self.decisions.push(Decision::Reserve { job, machines });
            }
        }
    }

    /// Reserves the machines that drain soonest, all in one zone for a gang that must stay in one zone. A gang that
    /// can't reserve all machines that it needs reserves none: two gangs that each reserved half of what both need
    /// would deadlock.
    pub(super) fn reserve_draining(&mut self, job: usize) {
        let chosen = self.choose_reservations(job);
        let zone_of = |machine: usize| self.snapshot.machines[machine].zone;
        let first = chosen.as_ref().and_then(|machines| machines.first());
        let chosen_zone = first.map(|&machine| zone_of(machine));
        let one_zone = self.snapshot.jobs[job].one_zone;
        for machine in 0..self.reserved_for.len() {
            let elsewhere = one_zone && chosen_zone.is_some_and(|zone| zone != zone_of(machine));
            if self.reserved_for[machine] == Some(job) && (chosen.is_none() || elsewhere) {
                self.reserved_for[machine] = None;
            }
        }
        for machine in chosen.into_iter().flatten() {
            self.reserved_for[machine] = Some(job);
        }
    }

    /// Machines to reserve in addition to those already reserved for the job, from the group that drains soonest.
    fn choose_reservations(&self, job: usize) -> Option<Vec<usize>> {
        let taken = self.reserved_for.iter().flatten().count();
        let own = self.reserved_for.iter().flatten();
        let own = own.filter(|&&holder| holder == job).count();
        // Only a part of the fleet may be reserved, unless no other gang has reservations.
        let allowed = (self.snapshot.machines.len() / GANG_RESERVED_FLEET_DIVISOR)
            .saturating_sub(taken - own);
        let is_only_holder = taken == own;
        let busy_s = |machine: usize| self.snapshot.machines[machine].busy_s;
        let mut best: Option<(f64, Vec<usize>)> = None;
        for group in self.reservable_groups(job) {
            let reserved = group.reserved.len();
            let Some(chosen) = self.soonest_drained(job, group) else {
                continue;
            };
            if reserved + chosen.len() > allowed && !is_only_holder {
                continue;
            }
            // Machines that are already reserved for the gang reduce the cost of their group.
            let cost = chosen.last().map_or(0.0, |&last| busy_s(last)) - reserved as f64;
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                best = Some((cost, chosen));
            }
        }
        best.map(|(_, chosen)| chosen)
    }

    /// Groups of machines that are reserved for the gang already or may be.
    fn reservable_groups(&self, job: usize) -> Vec<ReservableGroup> {
        let one_zone = self.snapshot.jobs[job].one_zone;
        let mut groups: Vec<ReservableGroup> = Vec::new();
        for machine in 0..self.snapshot.machines.len() {
            let own = self.reserved_for[machine] == Some(job);
            let zone = self.snapshot.machines[machine].zone;
            let reservable =
                own || self.reserved_for[machine].is_none() && self.is_allowed(job, machine);
            if !reservable || self.zone_capacity(job, zone) == 0 {
                continue;
            }
            let zone = if one_zone { zone } else { 0 };
            let known = groups.iter().position(|group| group.zone == zone);
            let at = known.unwrap_or_else(|| {
                groups.push(ReservableGroup {
                    zone,
                    unreserved: Vec::new(),
                    reserved: Vec::new(),
                });
                groups.len() - 1
            });
            if own {
                groups[at].reserved.push(machine);
            } else {
                groups[at].unreserved.push(machine);
            }
        }
        groups
    }

    /// The machines of a group that drain soonest, as many as the gang needs besides those reserved; `None` if there
    /// are too few.
    fn soonest_drained(&self, job: usize, group: ReservableGroup) -> Option<Vec<usize>> {
        let tasks = self.tasks_left(job) as u32;
        let task = &self.snapshot.jobs[job].task_resources;
        let capacity = |machine: usize| {
            let total = &self.snapshot.machines[machine].total;
            total.capacity_for(task, tasks)
        };
        let busy_s = |machine: usize| self.snapshot.machines[machine].busy_s;
        let mut machines = group.unreserved;
        machines.sort_by(|&a, &b| busy_s(a).total_cmp(&busy_s(b)));
        let mut zone_room = ZoneRoom::new(self, job);
        let reserved = group.reserved.into_iter();
        let held: u32 = reserved.map(|machine| zone_room.take(machine, 1)).sum();
        let mut lacking = tasks.saturating_sub(held);
        let mut chosen = Vec::new();
        for machine in machines {
            if lacking == 0 {
                break;
            }
            let taken = zone_room.take(machine, capacity(machine).min(lacking));
            lacking -= taken;
            if taken > 0 {
                chosen.push(machine);
            }
        }
        (lacking == 0).then_some(chosen)
    }
}
