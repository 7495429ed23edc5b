//! Scheduling decisions of vetchmount, as pure functions of a snapshot of the cluster.
//!
//! The ordinary path follows Philae (sampling pilots, queues by estimated size, weighted sharing, thin bypass);
//! guarantees, limits, priorities and preemption frame it. Nothing here does I/O or reads a clock.

mod fleet;
mod ranges;
mod resources;
mod round;
mod sampling;
mod snapshot;

pub use fleet::{plan_fleet, FleetSnapshot, Offer, RentRequest};
pub use ranges::RangeSet;
pub use resources::{ResourceBounds, Resources};
pub use round::{Decision, Outcome, Round};
pub use sampling::{pilots_of, queue_of, weight_of, Policy};
pub use snapshot::{
    ClusterSnapshot, JobSnapshot, MachineSnapshot, RunningTask, TeamSnapshot, UNKNOWN_ZONE,
};
