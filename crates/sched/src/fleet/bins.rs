//! Free capacity of machines. Machines that are alike count together, so that a large fleet comes down to a few groups.

use super::{FleetSnapshot, Offer};
use crate::{ClusterSnapshot, Resources, RunningTask};

/// Machines that are alike, with the same resources free on each.
#[derive(Clone, Copy)]
pub(super) struct BinGroup {
    pub kind: usize,
    pub zone: usize,
    pub spot: bool,
    pub free: Resources,
    pub count: u32,
}

impl BinGroup {
    /// New machines of an offer.
    pub fn of_offer(offer: &Offer, count: u32) -> Self {
        BinGroup {
            kind: offer.kind,
            zone: offer.zone,
            spot: offer.spot,
            free: offer.total,
            count,
        }
    }

    fn is_like(&self, other: &BinGroup) -> bool {
        (self.kind, self.zone, self.spot) == (other.kind, other.zone, other.spot)
            && self.free == other.free
    }
}

/// Adds machines, to the group of those that are alike where there is one.
pub(super) fn add_bins(groups: &mut Vec<BinGroup>, added: BinGroup) {
    match groups.iter_mut().find(|group| group.is_like(&added)) {
        Some(group) => group.count += added.count,
        None => groups.push(added),
    }
}

/// Capacity of machines that are available or expected. Full machines are left out.
pub(super) fn available_bins(
    snapshot: &ClusterSnapshot,
    fleet: &FleetSnapshot,
    smallest_task: &Resources,
) -> Vec<BinGroup> {
    let mut groups: Vec<BinGroup> = Vec::new();
    for (machine, free) in snapshot.machines.iter().zip(free_soon(snapshot, fleet)) {
        if machine.usable && free.can_fit(smallest_task) {
            let bin = BinGroup {
                kind: machine.kind,
                zone: machine.zone,
                spot: machine.spot,
                free,
                count: 1,
            };
            add_bins(&mut groups, bin);
        }
    }
    for (offer, &count) in fleet.offers.iter().zip(&fleet.expected) {
        if count > 0 {
            add_bins(&mut groups, BinGroup::of_offer(offer, count));
        }
    }
    groups
}

/// What is free on each machine before a new one could be up: what running tasks leave by then is as good as a new
/// machine.
fn free_soon(snapshot: &ClusterSnapshot, fleet: &FleetSnapshot) -> Vec<Resources> {
    let mut free: Vec<Resources> = snapshot.machines.iter().map(|m| m.free).collect();
    let ends_soon = |task: &&RunningTask| task.remaining_s < fleet.horizon_s;
    for task in snapshot.running.iter().filter(ends_soon) {
        free[task.machine].add(&task.resources);
    }
    free
}
