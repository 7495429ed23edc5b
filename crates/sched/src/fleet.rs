//! Scale-out: determines how many machines of each offer (a type in a zone, spot or on-demand) to rent.
//!
//! | module | subject |
//! | --- | --- |
//! | `bins` | free capacity, with identical machines grouped |
//! | `packing` | bin packing of waiting tasks into free capacity and new machines |

mod bins;
mod packing;
#[cfg(test)]
mod tests;

use crate::{ClusterSnapshot, JobSnapshot, Resources};
use constants::MACHINES_PER_RENTAL_MAX;
use packing::Packing;

/// A machine type in a zone, as spot or on-demand machines, that the cloud rents out.
#[derive(Debug, Clone)]
pub struct Offer {
    /// Machine type, as numbered by the caller.
    pub machine_type: usize,
    /// Zone, as numbered by the caller.
    pub zone: usize,
    /// Whether its machines are spot machines.
    pub spot: bool,
    /// Resources of one machine.
    pub total: Resources,
    /// Price of one machine per hour.
    pub price_per_hour: f64,
    /// Whether it may be requested now. It may not for some time after the cloud has refused a request.
    pub available: bool,
}

/// Input of fleet planning, in addition to the cluster snapshot.
#[derive(Debug, Clone, Default)]
pub struct FleetSnapshot {
    /// The cloud's offers.
    pub offers: Vec<Offer>,
    /// Number of machines that are requested, booting, or silent and expected to report again soon, by offer.
    pub expected_by_offer: Vec<u32>,
    /// Whether the objectives include low cost.
    pub minimizes_cost: bool,
    /// Seconds until a machine rented now could run a task. Resources that running tasks free by then count as
    /// available.
    pub horizon_s: f64,
}

/// A number of machines of one offer to rent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RentRequest {
    /// Index of the offer in [`FleetSnapshot::offers`].
    pub offer: usize,
    /// Number of machines.
    pub count: u32,
}

/// Determines the machines that the waiting tasks need beyond available and expected ones.
///
/// Waiting tasks are packed into free and expected capacity. The remaining tasks are packed into new machines, each of
/// the offer with the lowest price per task. If low cost is not an objective, the maximum of one request is requested
/// of every available offer instead, since only the cloud's refusals show how much capacity it has.
pub fn plan_fleet(snapshot: &ClusterSnapshot, fleet: &FleetSnapshot) -> Vec<RentRequest> {
    if !fleet.minimizes_cost {
        let all = |offer: &Offer| {
            if offer.available {
                MACHINES_PER_RENTAL_MAX
            } else {
                0
            }
        };
        return rent_requests(fleet.offers.iter().map(all).collect());
    }
    let is_waiting = |job: &&JobSnapshot| !job.waiting_tasks.is_empty() && !job.backed_off;
    let mut waiting: Vec<&JobSnapshot> = snapshot.jobs.iter().filter(is_waiting).collect();
    let tasks = waiting.iter().map(|job| job.task_resources);
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

/// Requests for the offers of which at least one machine is needed.
fn rent_requests(machines_by_offer: Vec<u32>) -> Vec<RentRequest> {
    machines_by_offer
        .into_iter()
        .enumerate()
        .filter(|(_, count)| *count > 0)
        .map(|(offer, count)| RentRequest { offer, count })
        .collect()
}
