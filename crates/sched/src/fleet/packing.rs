//! Bin packing: waiting tasks into free capacity, and what is left over into new machines.

use super::bins::{add_bins, available_bins, BinGroup};
use super::{FleetSnapshot, Offer};
use crate::{ClusterSnapshot, JobSnapshot, Resources, TeamSnapshot};
use std::cmp::Ordering;

/// Tasks by which an offer's price is divided, at most. Bounds the share of a task that takes next to nothing.
const PRICED_TASKS: u32 = 1000;

/// Waiting tasks being packed into free capacity and new machines.
pub(super) struct Packing<'a> {
    fleet: &'a FleetSnapshot,
    /// The least that any waiting task takes, resource by resource.
    smallest_task: Resources,
    bins: Vec<BinGroup>,
    /// With what has been packed counted as used.
    teams: Vec<TeamSnapshot>,
    /// Machines to rent, by offer.
    machines_by_offer: Vec<u32>,
}

/// Where tasks of one job may be packed.
struct Constraints<'a> {
    job: &'a JobSnapshot,
    /// The zone of a job that must stay in one.
    only_zone: Option<usize>,
    /// Tasks by zone, those on machines included: machines in a zone the job can't use are of no help to it.
    tasks_by_zone: Vec<(usize, u32)>,
}

impl Constraints<'_> {
    /// How many more tasks a zone may take.
    fn zone_capacity(&self, zone: usize) -> u32 {
        let used = tasks_in_zone(&self.tasks_by_zone, zone);
        let most = self.job.max_per_zone;
        most.map_or(u32::MAX, |most| most.saturating_sub(used))
    }

    fn allow(&self, kind: usize, zone: usize, spot: bool) -> bool {
        may_use(self.job, kind, zone, spot)
            && self.only_zone.is_none_or(|only| only == zone)
            && self.zone_capacity(zone) > 0
    }
}

impl<'a> Packing<'a> {
    /// Nothing is packed yet.
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

    /// Machines to rent, by offer.
    pub fn into_machines_by_offer(self) -> Vec<u32> {
        self.machines_by_offer
    }

    /// Packs all waiting tasks of a job, as far as its team's limit and the offers go.
    pub fn pack(&mut self, job: &JobSnapshot) {
        let zone = || preferred_zone(job, &self.bins, self.fleet);
        let mut constraints = Constraints {
            job,
            only_zone: job.one_zone.then(zone).flatten(),
            tasks_by_zone: job.tasks_by_zone.clone(),
        };
        let mut left = job.waiting.len() as u32;
        while left > 0 && self.teams[job.team].allows(&job.task) {
            let bin = self.take_bin(&constraints);
            let Some(bin) = bin.or_else(|| self.rent_bin(&constraints)) else {
                break;
            };
            let most = left.min(constraints.zone_capacity(bin.zone));
            let packed = self.fill(job, bin, most);
            constraints.tasks_by_zone.push((bin.zone, packed));
            left -= packed;
        }
    }

    /// Takes the tightest bin that is available, spot instances first.
    fn take_bin(&mut self, constraints: &Constraints) -> Option<BinGroup> {
        let suits = |bin: &BinGroup| {
            bin.count > 0
                && bin.free.can_fit(&constraints.job.task)
                && constraints.allow(bin.kind, bin.zone, bin.spot)
        };
        let tightness = |bin: &BinGroup| (bin.free.gpus, !bin.spot);
        let group = self
            .bins
            .iter_mut()
            .filter(|bin| suits(bin))
            .min_by(|a, b| {
                let order = tightness(a).partial_cmp(&tightness(b));
                order.unwrap_or(Ordering::Equal)
            })?;
        group.count -= 1;
        Some(BinGroup { count: 1, ..*group })
    }

    /// Adds a machine of the offer that is cheapest for a task.
    fn rent_bin(&mut self, constraints: &Constraints) -> Option<BinGroup> {
        let task = &constraints.job.task;
        let price = |offer: &Offer| {
            let tasks = offer.total.capacity_for(task, PRICED_TASKS).max(1);
            offer.price / f64::from(tasks)
        };
        let suits = |offer: &Offer| {
            offer.open
                && constraints.allow(offer.kind, offer.zone, offer.spot)
                && offer.total.can_fit(task)
        };
        let offers = self.fleet.offers.iter().enumerate();
        let (number, cheapest) = offers
            .filter(|(_, offer)| suits(offer))
            .min_by(|(_, a), (_, b)| price(a).total_cmp(&price(b)))?;
        self.machines_by_offer[number] += 1;
        Some(BinGroup::of_offer(cheapest, 1))
    }

    /// Packs tasks into a bin, the first one in any case; returns how many. What is left of the bin stays available.
    fn fill(&mut self, job: &JobSnapshot, mut bin: BinGroup, most: u32) -> u32 {
        let mut packed = 0;
        while packed < most && bin.free.can_fit(&job.task) {
            if packed > 0 && !self.teams[job.team].allows(&job.task) {
                break;
            }
            bin.free.sub(&job.task);
            self.teams[job.team].used.add(&job.task);
            packed += 1;
        }
        if bin.free.can_fit(&self.smallest_task) {
            add_bins(&mut self.bins, bin);
        }
        packed
    }
}

fn tasks_in_zone(tasks_by_zone: &[(usize, u32)], zone: usize) -> u32 {
    let here = tasks_by_zone.iter().filter(|(known, _)| *known == zone);
    here.map(|(_, tasks)| tasks).sum()
}

/// Whether tasks of a job may go to machines of a type and zone, spot or not.
fn may_use(job: &JobSnapshot, kind: usize, zone: usize, spot: bool) -> bool {
    (job.spot || !spot)
        && job.zone.is_none_or(|only| only == zone)
        && job.kinds.as_ref().is_none_or(|kinds| kinds.contains(&kind))
}

/// What a zone has for a job.
struct ZoneCapacity {
    zone: usize,
    /// Tasks of the job that fit there now.
    tasks: u32,
    /// Whether machines for the job can be rented there.
    offered: bool,
}

/// The zone for a job that must stay in one: where it is, else where most fits, else where most is offered.
fn preferred_zone(job: &JobSnapshot, bins: &[BinGroup], fleet: &FleetSnapshot) -> Option<usize> {
    if let Some((zone, _)) = job.tasks_by_zone.iter().find(|(_, tasks)| *tasks > 0) {
        return Some(*zone);
    }
    let needed = job.waiting.len() as u32;
    // Enough capacity is best, else where more can be rented, else where most is.
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

/// What each zone that a job may use has for it.
fn zone_capacities(
    job: &JobSnapshot,
    bins: &[BinGroup],
    fleet: &FleetSnapshot,
    needed: u32,
) -> Vec<ZoneCapacity> {
    let mut zones: Vec<ZoneCapacity> = Vec::new();
    for bin in bins {
        let per_bin = bin.free.capacity_for(&job.task, needed);
        let tasks = per_bin.saturating_mul(bin.count);
        if tasks > 0 && may_use(job, bin.kind, bin.zone, bin.spot) {
            let here = zone_entry(&mut zones, bin.zone);
            here.tasks = here.tasks.saturating_add(tasks);
        }
    }
    for offer in fleet.offers.iter().filter(|offer| offer.open) {
        let fits = offer.total.can_fit(&job.task);
        if fits && may_use(job, offer.kind, offer.zone, offer.spot) {
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
