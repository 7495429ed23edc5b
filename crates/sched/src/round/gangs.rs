//! Machines for a whole gang at once.

use super::{add_to_zone, Round};
use crate::{MachineSnapshot, Resources};

/// Cost of a machine that is reserved for a gang behind this one.
const TAKE_OVER_COST: f64 = 1_000.0;
/// Cost saved by a machine that is reserved for this gang.
const RESERVED_GAIN: f64 = 2_000.0;
/// Cost of a booting machine that is reserved for this gang.
const BOOTING_RESERVED_COST: f64 = 2_000.0;
/// Cost of a booting machine that is not reserved.
const BOOTING_COST: f64 = 4_000.0;
/// Cost of a booting machine that is reserved for a gang behind this one.
const BOOTING_TAKE_OVER_COST: f64 = 6_000.0;

/// A machine on which tasks of a gang could start.
struct Candidate {
    cost: f64,
    machine: usize,
    /// How many tasks it has room for.
    tasks: u32,
}

impl Round<'_> {
    /// Machines for all waiting tasks of a gang, in the capacity that `room` gives for each machine. `include_booting`
    /// also counts machines that are expected to be up within moments.
    pub(super) fn gang_machines(
        &self,
        job: usize,
        room: impl Fn(&MachineSnapshot) -> Resources,
        include_booting: bool,
    ) -> Option<Vec<usize>> {
        let candidates = self.gang_candidates(job, room, include_booting);
        if !self.snapshot.jobs[job].one_zone {
            return self.fill(job, &candidates, None);
        }
        let mut zones: Vec<usize> = Vec::new();
        for candidate in &candidates {
            let zone = self.snapshot.machines[candidate.machine].zone;
            if !zones.contains(&zone) {
                zones.push(zone);
            }
        }
        let cost = |machines: &[usize]| -> f64 {
            let costs = machines.iter().map(|&m| self.placement_cost(job, m, false));
            costs.sum()
        };
        zones
            .into_iter()
            .filter_map(|zone| self.fill(job, &candidates, Some(zone)))
            .map(|machines| (cost(&machines), machines))
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, machines)| machines)
    }

    /// Machines with room for a task of the gang at least, the best first.
    fn gang_candidates(
        &self,
        job: usize,
        room: impl Fn(&MachineSnapshot) -> Resources,
        include_booting: bool,
    ) -> Vec<Candidate> {
        let task = &self.snapshot.jobs[job].task;
        let needed = self.tasks_left(job) as u32;
        let behind = self.holders_behind(job);
        let available = |machine: usize| {
            self.reserved_for[machine].is_none_or(|holder| holder == job || behind[holder])
        };
        let mut candidates: Vec<Candidate> = (0..self.snapshot.machines.len())
            .filter(|&m| room(&self.snapshot.machines[m]).can_fit(task))
            .filter(|&m| available(m))
            .filter(|&m| self.is_allowed(job, m) || include_booting && self.is_allowed_soon(job, m))
            .map(|machine| {
                let host = &self.snapshot.machines[machine];
                Candidate {
                    cost: self.placement_cost(job, machine, false)
                        + self.reservation_cost(job, machine),
                    machine,
                    tasks: room(host).capacity_for(task, needed.min(host.free_slots)),
                }
            })
            .filter(|candidate| candidate.tasks > 0)
            .collect();
        candidates.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        candidates
    }

    /// Machines that are up go before booting ones; among each, those reserved for the gang go first.
    fn reservation_cost(&self, job: usize, machine: usize) -> f64 {
        let ready_in_s = self.snapshot.machines[machine].ready_in_s;
        match (ready_in_s, self.reserved_for[machine]) {
            (None, Some(holder)) if holder == job => -RESERVED_GAIN,
            (None, None) => 0.0,
            (None, Some(_)) => TAKE_OVER_COST,
            (Some(s), Some(holder)) if holder == job => BOOTING_RESERVED_COST + s,
            (Some(s), None) => BOOTING_COST + s,
            (Some(s), Some(_)) => BOOTING_TAKE_OVER_COST + s,
        }
    }

    /// A machine for each waiting task of the gang, in the order of the candidates, in the only zone allowed if there
    /// is one.
    fn fill(
        &self,
        job: usize,
        candidates: &[Candidate],
        only_zone: Option<usize>,
    ) -> Option<Vec<usize>> {
        let needed = self.tasks_left(job) as u32;
        let mut chosen = Vec::new();
        let mut by_zone: Vec<(usize, u32)> = Vec::new();
        for candidate in candidates {
            let zone = self.snapshot.machines[candidate.machine].zone;
            if only_zone.is_some_and(|only| only != zone) {
                continue;
            }
            let in_zone = by_zone.iter().find(|(z, _)| *z == zone);
            let in_zone = in_zone.map_or(0, |(_, tasks)| *tasks);
            let tasks = candidate
                .tasks
                .min(self.zone_capacity(job, zone).saturating_sub(in_zone))
                .min(needed - chosen.len() as u32);
            chosen.extend(std::iter::repeat_n(candidate.machine, tasks as usize));
            add_to_zone(&mut by_zone, zone, tasks);
        }
        (chosen.len() as u32 == needed).then_some(chosen)
    }

    /// Gangs that rank behind this one, by job: it may take over their reserved machines. Otherwise each large gang
    /// reserves most of what it needs and waits for its last machine, while all of them together have enough for some
    /// to start.
    fn holders_behind(&self, job: usize) -> Vec<bool> {
        let mut behind = vec![false; self.snapshot.jobs.len()];
        let own = (self.rank(job), job);
        let mut holders: Vec<usize> = self.reserved_for.iter().flatten().copied().collect();
        holders.sort_unstable();
        holders.dedup();
        for holder in holders {
            behind[holder] = own < (self.rank(holder), holder);
        }
        behind
    }
}
