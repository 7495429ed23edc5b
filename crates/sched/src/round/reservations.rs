//! Machines reserved for gangs, so that they do not fill up with small tasks while they drain.

use super::{Decision, Round};
use constants::GANG_RESERVED_FLEET_DIVISOR;

/// Machines that a gang could have reserved together: those of a zone, or all.
struct Group {
    /// The zone; 0 for a gang that may be spread.
    zone: usize,
    /// Machines that are not reserved.
    unreserved: Vec<usize>,
    /// How many are reserved for the gang already.
    reserved: usize,
}

impl Round<'_> {
    /// Gives up all reservations of a job.
    pub(super) fn release_reservations(&mut self, job: usize) {
        for holder in &mut self.reserved_for {
            if *holder == Some(job) {
                *holder = None;
            }
        }
    }

    /// Turns reservations of gangs that still wait into decisions.
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

    /// Reserves the machines that drain soonest, all in one zone for a gang that needs one. A gang that can't get all
    /// that it lacks reserves nothing: two gangs that each reserve half of what both need would deadlock.
    pub(super) fn reserve_draining(&mut self, job: usize) {
        let chosen = self.choose_reservations(job);
        let zone_of = |machine: usize| self.snapshot.machines[machine].zone;
        let home = chosen.as_ref().and_then(|machines| machines.first());
        let home = home.map(|&machine| zone_of(machine));
        let one_zone = self.snapshot.jobs[job].one_zone;
        for machine in 0..self.reserved_for.len() {
            let elsewhere = one_zone && home.is_some_and(|zone| zone != zone_of(machine));
            if self.reserved_for[machine] == Some(job) && (chosen.is_none() || elsewhere) {
                self.reserved_for[machine] = None;
            }
        }
        for machine in chosen.into_iter().flatten() {
            self.reserved_for[machine] = Some(job);
        }
    }

    /// The machines to reserve besides those that are, of the group that drains soonest.
    fn choose_reservations(&self, job: usize) -> Option<Vec<usize>> {
        let taken = self.reserved_for.iter().flatten().count();
        let own = self.reserved_for.iter().flatten();
        let own = own.filter(|&&holder| holder == job).count();
        // Only a part of the fleet may be reserved, unless a single gang needs more.
        let allowed = (self.snapshot.machines.len() / GANG_RESERVED_FLEET_DIVISOR)
            .saturating_sub(taken - own);
        let alone = taken == own;
        let busy_s = |machine: usize| self.snapshot.machines[machine].busy_s;
        let mut best: Option<(f64, Vec<usize>)> = None;
        for group in self.reservable_groups(job) {
            let reserved = group.reserved;
            let Some(chosen) = self.complete(job, group) else {
                continue;
            };
            if reserved + chosen.len() > allowed && !alone {
                continue;
            }
            // Machines reserved already make a zone cheaper.
            let cost = chosen.last().map_or(0.0, |&last| busy_s(last)) - reserved as f64;
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                best = Some((cost, chosen));
            }
        }
        best.map(|(_, chosen)| chosen)
    }

    fn reservable_groups(&self, job: usize) -> Vec<Group> {
        let one_zone = self.snapshot.jobs[job].one_zone;
        let mut groups: Vec<Group> = Vec::new();
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
                groups.push(Group {
                    zone,
                    unreserved: Vec::new(),
                    reserved: 0,
                });
                groups.len() - 1
            });
            if own {
                groups[at].reserved += 1;
            } else {
                groups[at].unreserved.push(machine);
            }
        }
        groups
    }

    /// The machines of a group that drain soonest, as many as the gang lacks; none if there are too few.
    fn complete(&self, job: usize, group: Group) -> Option<Vec<usize>> {
        let tasks = self.tasks_left(job);
        let task = &self.snapshot.jobs[job].task;
        let capacity = |machine: usize| {
            let total = &self.snapshot.machines[machine].total;
            total.capacity_for(task, tasks as u32) as usize
        };
        let busy_s = |machine: usize| self.snapshot.machines[machine].busy_s;
        let mut machines = group.unreserved;
        machines.sort_by(|&a, &b| busy_s(a).total_cmp(&busy_s(b)));
        let mut lacking = tasks.saturating_sub(group.reserved);
        let mut chosen = Vec::new();
        for machine in machines {
            if lacking == 0 {
                break;
            }
            lacking = lacking.saturating_sub(capacity(machine));
            chosen.push(machine);
        }
        (lacking == 0).then_some(chosen)
    }
}
