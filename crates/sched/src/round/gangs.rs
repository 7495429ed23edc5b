//! Choice of machines for all tasks of a gang at once.
//!
//! The costs below are added to the placement cost of a machine. They order the machines: those that are up before
//! those that are booting, and within each group those reserved for the gang, then those not reserved, then those
//! reserved for gangs of lower rank.

use super::zone_room::ZoneRoom;
use super::Round;
use crate::{MachineSnapshot, Resources};

/// Cost of a machine that is reserved for a gang of lower rank.
const TAKEOVER_COST: f64 = 1_000.0;
/// Reduction of the cost of a machine that is reserved for this gang.
const RESERVED_DISCOUNT: f64 = 2_000.0;
/// Cost of a booting machine that is reserved for this gang.
const BOOTING_RESERVED_COST: f64 = 2_000.0;
/// Cost of a booting machine that is not reserved.
const BOOTING_COST: f64 = 4_000.0;
/// Cost of a booting machine that is reserved for a gang of lower rank.
const BOOTING_TAKEOVER_COST: f64 = 6_000.0;

/// A machine with capacity for tasks of a gang.
struct Candidate {
    cost: f64,
    machine: usize,
    /// How many tasks of the gang it has room for.
    tasks: u32,
}

impl Round<'_> {
    /// A machine for each waiting task of a gang, or `None` if there is too little capacity. `room` returns the
    /// capacity of a machine that may be used. `include_booting` also admits machines that are expected to be up soon.
    pub(super) fn gang_machines(
        &self,
        job: usize,
        room: impl Fn(&MachineSnapshot) -> Resources,
        include_booting: bool,
    ) -> Option<Vec<usize>> {
        let candidates = self.gang_candidates(job, room, include_booting);
        if !self.snapshot.jobs[job].one_zone {
            return self.assign_machines(job, &candidates, None);
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
            .filter_map(|zone| self.assign_machines(job, &candidates, Some(zone)))
            .map(|machines| (cost(&machines), machines))
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, machines)| machines)
    }

    /// Machines with room for at least one task of the gang, in the order of their cost.
    fn gang_candidates(
        &self,
        job: usize,
        room: impl Fn(&MachineSnapshot) -> Resources,
        include_booting: bool,
    ) -> Vec<Candidate> {
        let task = &self.snapshot.jobs[job].task_resources;
        let needed = self.tasks_left(job) as u32;
        let lower_ranked = self.lower_ranked_holders(job);
        let available = |machine: usize| {
            self.reserved_for[machine].is_none_or(|holder| holder == job || lower_ranked[holder])
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

    /// Cost of a machine by its reservation and by whether it is still booting.
    fn reservation_cost(&self, job: usize, machine: usize) -> f64 {
        let ready_in_s = self.snapshot.machines[machine].ready_in_s;
        match (ready_in_s, self.reserved_for[machine]) {
            (None, Some(holder)) if holder == job => -RESERVED_DISCOUNT,
            (None, None) => 0.0,
            (None, Some(_)) => TAKEOVER_COST,
            (Some(s), Some(holder)) if holder == job => BOOTING_RESERVED_COST + s,
            (Some(s), None) => BOOTING_COST + s,
            (Some(s), Some(_)) => BOOTING_TAKEOVER_COST + s,
        }
    }

    /// Assigns the waiting tasks of the gang to the candidates in their order, in `only_zone` if it is given. Returns
    /// the machine of each task, or `None` if there is too little capacity.
    fn assign_machines(
        &self,
        job: usize,
        candidates: &[Candidate],
        only_zone: Option<usize>,
    ) -> Option<Vec<usize>> {
        let needed = self.tasks_left(job) as u32;
        let mut chosen = Vec::new();
        let mut zone_room = ZoneRoom::new(self, job);
        for candidate in candidates {
            let zone = self.snapshot.machines[candidate.machine].zone;
            if only_zone.is_some_and(|only| only != zone) {
                continue;
            }
            let tasks = candidate.tasks.min(needed - chosen.len() as u32);
            let tasks = zone_room.take(candidate.machine, tasks);
            chosen.extend(std::iter::repeat_n(candidate.machine, tasks as usize));
        }
        (chosen.len() as u32 == needed).then_some(chosen)
    }

    /// Whether a job holds reservations and ranks behind this gang, by job. The gang may take over the machines
    /// reserved for such a job. Otherwise each of several large gangs could reserve most of the machines that it needs
    /// and wait for its last one, although all of them together hold enough machines for some of them to start.
    fn lower_ranked_holders(&self, job: usize) -> Vec<bool> {
        let mut lower_ranked = vec![false; self.snapshot.jobs.len()];
        let own = (self.rank(job), job);
        let mut holders: Vec<usize> = self.reserved_for.iter().flatten().copied().collect();
        holders.sort_unstable();
        holders.dedup();
        for holder in holders {
            lower_ranked[holder] = own < (self.rank(holder), holder);
        }
        lower_ranked
    }
}
