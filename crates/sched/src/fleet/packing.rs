//! Bin packing of waiting tasks into free capacity, and of the remaining tasks into new machines.

use super::bins::{add_bins, available_bins, BinGroup};
use super::{FleetSnapshot, Offer};
use crate::{ClusterSnapshot, JobSnapshot, Resources, TeamSnapshot};
use std::cmp::Ordering;

/// Largest number of tasks by which the price of an offer is divided. Bounds the price per task from below for tasks
/// that use almost no resources.
const MAX_PRICED_TASKS: u32 = 1000;

/// State of the packing of waiting tasks into free capacity and new machines.
pub(super) struct Packing<'a> {
    fleet: &'a FleetSnapshot,
    /// The minimum of each resource over all waiting tasks.
    smallest_task: Resources,
    /// Free capacity that has not been used for packed tasks.
    bins: Vec<BinGroup>,
    /// The teams, with the resources of packed tasks counted as used.
    teams: Vec<TeamSnapshot>,
    /// Number of machines to rent, by offer.
    machines_by_offer: Vec<u32>,
}

/// Constraints on the machines into which the tasks of a job may be packed.
struct Constraints<'a> {
    job: &'a JobSnapshot,
    /// The only allowed zone for a job that must stay in one zone.
    only_zone: Option<usize>,
    /// Number of tasks by zone, both on machines and packed. They rule out machines in zones that the job can't use
    /// any more.
    tasks_by_zone: Vec<(usize, u32)>,
}

impl Constraints<'_> {
    /// How many more tasks of the job may be placed in a zone.
    fn zone_capacity(&self, zone: usize) -> u32 {
        let used = tasks_in_zone(&self.tasks_by_zone, zone);
        let max_per_zone = self.job.max_per_zone;
        max_per_zone.map_or(u32::MAX, |max_tasks| max_tasks.saturating_sub(used))
    }

    /// Whether a task of the job may be packed into a machine of a type and zone, spot or on-demand.
    fn allows(&self, machine_type: usize, zone: usize, spot: bool) -> bool {
        meets_constraints(self.job, machine_type, zone, spot)
            && self.only_zone.is_none_or(|only| only == zone)
            && self.zone_capacity(zone) > 0
    }
}

impl<'a> Packing<'a> {
    /// Starts with all tasks unpacked.
    pub fn new(
        snapshot: &ClusterSnapshot,
        fleet: &'a FleetSnapshot,
        smallest_task: Resources,
    ) -> Self {
        Packing {
            fleet,
            smallest_task,
            bins: available_bins(snapshot, fleet, &smallest_task),
            teams: snapshot.teams.clone(),
            machines_by_offer: vec![0; fleet.offers.len()],
        }
    }

    /// Number of machines to rent, by offer.
    pub fn into_machines_by_offer(self) -> Vec<u32> {
        self.machines_by_offer
    }

    /// Packs the waiting tasks of a job, as many as its team's limit, free capacity and offers allow.
    pub fn pack(&mut self, job: &JobSnapshot) {
        let zone = || preferred_zone(job, &self.bins, self.fleet);
        let mut constraints = Constraints {
            job,
            only_zone: job.one_zone.then(zone).flatten(),
            tasks_by_zone: job.tasks_by_zone.clone(),
        };
        let mut left = job.waiting_tasks.len() as u32;
        while left > 0 && self.teams[job.team].is_within_limit(&job.task_resources) {
            let bin = self.take_bin(&constraints);
            let Some(bin) = bin.or_else(|| self.rent_bin(&constraints)) else {
                break;
            };
            let max_tasks = left.min(constraints.zone_capacity(bin.zone));
            let packed = self.fill_bin(job, bin, max_tasks);
            constraints.tasks_by_zone.push((bin.zone, packed));
            left -= packed;
        }
    }

    /// Takes the suitable bin with the fewest free GPUs. Prefers spot machines among bins with equally many.
    fn take_bin(&mut self, constraints: &Constraints) -> Option<BinGroup> {
        let suits = |bin: &BinGroup| {
            bin.count > 0
                && bin.free.can_fit(&constraints.job.task_resources)
                && constraints.allows(bin.machine_type, bin.zone, bin.spot)
        };
        let fit_order = |bin: &BinGroup| (bin.free.gpus, !bin.spot);
        let group = self
            .bins
            .iter_mut()
            .filter(|bin| suits(bin))
            .min_by(|a, b| {
                let order = fit_order(a).partial_cmp(&fit_order(b));
                order.unwrap_or(Ordering::Equal)
            })?;
        group.count -= 1;
        Some(BinGroup { count: 1, ..*group })
    }

    /// Adds a new machine of the offer with the lowest price per task.
    fn rent_bin(&mut self, constraints: &Constraints) -> Option<BinGroup> {
        let task = &constraints.job.task_resources;
        let price = |offer: &Offer| {
            let tasks = offer.total.capacity_for(task, MAX_PRICED_TASKS).max(1);
            offer.price_per_hour / f64::from(tasks)
        };
        let suits = |offer: &Offer| {
            offer.available
                && constraints.allows(offer.machine_type, offer.zone, offer.spot)
                && offer.total.can_fit(task)
        };
        let offers = self.fleet.offers.iter().enumerate();
        let (number, cheapest) = offers
            .filter(|(_, offer)| suits(offer))
            .min_by(|(_, a), (_, b)| price(a).total_cmp(&price(b)))?;
        self.machines_by_offer[number] += 1;
        Some(BinGroup::from_offer(cheapest, 1))
    }

    /// Packs at most `max_tasks` tasks into a bin and returns how many. The caller has checked the team's limit for the
    /// first task. Remaining capacity of the bin stays available.
    fn fill_bin(&mut self, job: &JobSnapshot, mut bin: BinGroup, max_tasks: u32) -> u32 {
        let mut packed = 0;
        while packed < max_tasks && bin.free.can_fit(&job.task_resources) {
            if packed > 0 && !self.teams[job.team].is_within_limit(&job.task_resources) {
                break;
            }
            bin.free.sub(&job.task_resources);
            self.teams[job.team].used.add(&job.task_resources);
            packed += 1;
        }
        if bin.free.can_fit(&self.smallest_task) {
            add_bins(&mut self.bins, bin);
        }
        packed
    }
}

/// Number of tasks in a zone.
fn tasks_in_zone(tasks_by_zone: &[(usize, u32)], zone: usize) -> u32 {
    let here = tasks_by_zone.iter().filter(|(known, _)| *known == zone);
    here.map(|(_, tasks)| tasks).sum()
}

/// Whether machines of a type and zone, spot or on-demand, meet a job's constraints.
fn meets_constraints(job: &JobSnapshot, machine_type: usize, zone: usize, spot: bool) -> bool {
    (job.spot_allowed || !spot)
        && job.required_zone.is_none_or(|only| only == zone)
        && job
            .machine_types
            .as_ref()
            .is_none_or(|machine_types| machine_types.contains(&machine_type))
}

/// Capacity of a zone for a job.
struct ZoneCapacity {
    zone: usize,
    /// Tasks of the job that fit there now.
    tasks: u32,
    /// Whether machines for the job can be rented there.
    offered: bool,
}

/// The zone for a job that must stay in one zone: the zone of its tasks on machines if it has any, else the zone with
/// the best capacity for it.
fn preferred_zone(job: &JobSnapshot, bins: &[BinGroup], fleet: &FleetSnapshot) -> Option<usize> {
    if let Some((zone, _)) = job.tasks_by_zone.iter().find(|(_, tasks)| *tasks > 0) {
        return Some(*zone);
    }
    let needed = job.waiting_tasks.len() as u32;
    // A zone with capacity for all waiting tasks comes first, then zones where machines can be rented, then those with
    // the most capacity.
    let zones = zone_capacities(job, bins, fleet, needed);
    let best = zones.iter().max_by_key(|candidate| {
        let ZoneCapacity {
            zone,
            tasks,
            offered,
        } = **candidate;
        (tasks >= needed, offered, tasks, usize::MAX - zone)
    });
    best.map(|candidate| candidate.zone)
}

/// Capacity for a job of each zone that it may use.
fn zone_capacities(
    job: &JobSnapshot,
    bins: &[BinGroup],
    fleet: &FleetSnapshot,
    needed: u32,
) -> Vec<ZoneCapacity> {
    let mut zones: Vec<ZoneCapacity> = Vec::new();
    for bin in bins {
        let per_bin = bin.free.capacity_for(&job.task_resources, needed);
        let tasks = per_bin.saturating_mul(bin.count);
        if tasks > 0 && meets_constraints(job, bin.machine_type, bin.zone, bin.spot) {
            let here = zone_entry(&mut zones, bin.zone);
            here.tasks = here.tasks.saturating_add(tasks);
        }
    }
    for offer in fleet.offers.iter().filter(|offer| offer.available) {
        let fits = offer.total.can_fit(&job.task_resources);
        if fits && meets_constraints(job, offer.machine_type, offer.zone, offer.spot) {
            zone_entry(&mut zones, offer.zone).offered = true;
        }
    }
    zones
}

/// The entry of a zone, added if it is missing.
fn zone_entry(zones: &mut Vec<ZoneCapacity>, zone: usize) -> &mut ZoneCapacity {
    let known = zones.iter().position(|entry| entry.zone == zone);
    let at = known.unwrap_or_else(|| {
        zones.push(ZoneCapacity {
            zone,
            tasks: 0,
            offered: false,
        });
        zones.len() - 1
    });
    &mut zones[at]
}
