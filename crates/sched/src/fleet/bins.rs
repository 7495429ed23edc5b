//! Free capacity of machines. Identical machines are grouped, so that a large fleet is represented by a few groups.

use super::{FleetSnapshot, Offer};
use crate::{ClusterSnapshot, Resources, RunningTask};

/// Machines of the same type, zone and kind (spot or on-demand) with the same free resources.
#[derive(Clone, Copy)]
pub(super) struct BinGroup {
    pub machine_type: usize,
    pub zone: usize,
    pub spot: bool,
    pub free: Resources,
    pub count: u32,
}

impl BinGroup {
    /// A group of new machines of an offer.
    pub fn from_offer(offer: &Offer, count: u32) -> Self {
        BinGroup {
            machine_type: offer.machine_type,
            zone: offer.zone,
            spot: offer.spot,
            free: offer.total,
            count,
        }
    }

    /// Whether machines of both groups belong in the same group.
    fn is_same_kind(&self, other: &BinGroup) -> bool {
        (self.machine_type, self.zone, self.spot) == (other.machine_type, other.zone, other.spot)
            && self.free == other.free
    }
}

/// Adds machines to the group of identical machines, or as a new group if there is none.
pub(super) fn add_bins(groups: &mut Vec<BinGroup>, added: BinGroup) {
    match groups.iter_mut().find(|group| group.is_same_kind(&added)) {
        Some(group) => group.count += added.count,
        None => groups.push(added),
    }
}

/// Free capacity of machines that are available or expected. Omits machines without capacity for any waiting task.
pub(super) fn available_bins(
    snapshot: &ClusterSnapshot,
    fleet: &FleetSnapshot,
    smallest_task: &Resources,
) -> Vec<BinGroup> {
    let mut groups: Vec<BinGroup> = Vec::new();
    for (machine, free) in snapshot.machines.iter().zip(free_soon(snapshot, fleet)) {
        if machine.usable && free.can_fit(smallest_task) {
            let bin = BinGroup {
                machine_type: machine.machine_type,
                zone: machine.zone,
                spot: machine.spot,
                free,
                count: 1,
            };
            add_bins(&mut groups, bin);
        }
    }
    for (offer, &count) in fleet.offers.iter().zip(&fleet.expected_by_offer) {
        if count > 0 {
            add_bins(&mut groups, BinGroup::from_offer(offer, count));
        }
    }
    groups
}

/// Resources that are free on each machine before a newly rented one could be up. Resources that running tasks free by
/// then serve as well as a new machine.
fn free_soon(snapshot: &ClusterSnapshot, fleet: &FleetSnapshot) -> Vec<Resources> {
    let mut free: Vec<Resources> = snapshot.machines.iter().map(|m| m.free).collect();
    let ends_soon = |task: &&RunningTask| task.remaining_s < fleet.horizon_s;
    for task in snapshot.running_tasks.iter().filter(ends_soon) {
        free[task.machine].add(&task.resources);
    }
    free
}
