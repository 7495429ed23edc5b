//! Scaling out: how many machines of which type and zone, spot or not, are to be rented.
//!
//! | module | subject |
//! | --- | --- |
//! | `bins` | free capacity, with machines that are alike counted together |
//! | `packing` | waiting tasks packed into free capacity and new machines |

mod bins;
mod packing;
#[cfg(test)]
mod tests;

use crate::{ClusterSnapshot, JobSnapshot, Resources};
use constants::MACHINES_PER_RENTAL_MAX;
use packing::Packing;

/// A type of machine in a zone, spot or not.
#[derive(Debug, Clone)]
pub struct Offer {
    /// Type, as the caller numbers them.
    pub kind: usize,
    /// Zone, as the caller numbers them.
    pub zone: usize,
    /// Whether its machines are spot instances.
    pub spot: bool,
    /// Resources of one machine.
    pub total: Resources,
    /// Price of a machine an hour.
    pub price: f64,
    /// Whether it may be asked for now (the cloud did not just refuse it).
    pub open: bool,
}

/// What fleet planning sees besides the round's snapshot.
#[derive(Debug, Clone, Default)]
pub struct FleetSnapshot {
    /// What the cloud offers.
    pub offers: Vec<Offer>,
    /// Machines of each offer that are requested, booting, or expected back soon.
    pub expected: Vec<u32>,
    /// Whether the objectives ask for low cost.
    pub minimizes_cost: bool,
    /// Seconds until a machine rented now could run a task.
    pub horizon_s: f64,
}

/// Machines of one offer to rent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RentRequest {
    /// Number of the offer.
    pub offer: usize,
    /// Number of machines.
    pub count: u32,
}

/// Machines that the waiting work needs beyond what is available and expected.
///
/// Waiting tasks are packed into free and expected capacity. The rest is packed into new machines, each task on the
/// offer with the lowest price for the task. Where cost does not count, every open offer is requested as much as one
/// request may: only the cloud's refusals show its capacity.
pub fn plan_fleet(snapshot: &ClusterSnapshot, fleet: &FleetSnapshot) -> Vec<RentRequest> {
    if !fleet.minimizes_cost {
        let all = |offer: &Offer| {
            if offer.open {
                MACHINES_PER_RENTAL_MAX
            } else {
                0
            }
        };
        return rent_requests(fleet.offers.iter().map(all).collect());
    }
    let is_waiting = |job: &&JobSnapshot| !job.waiting.is_empty() && !job.backed_off;
    let mut waiting: Vec<&JobSnapshot> = snapshot.jobs.iter().filter(is_waiting).collect();
    let tasks = waiting.iter().map(|job| job.task);
    let Some(smallest_task) = tasks.reduce(|a, b| a.min(&b)) else {
        return Vec::new();
    };
    waiting.sort_by_key(|job| (!job.gang, job.order));
    let mut packing = Packing::new(snapshot, fleet, smallest_task);
    for job in waiting {
        packing.pack(job);
    }
    rent_requests(packing.into_machines_by_offer())
}

/// Requests for the offers of which any machine is needed.
fn rent_requests(machines_by_offer: Vec<u32>) -> Vec<RentRequest> {
    machines_by_offer
        .into_iter()
        .enumerate()
        .filter(|(_, count)| *count > 0)
        .map(|(offer, count)| RentRequest { offer, count })
        .collect()
}
