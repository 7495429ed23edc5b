//! Scheduling decisions of vetchmount, as pure functions of a view of the cluster.
//!
//! The ordinary path follows Philae (sampling pilots, queues by estimated size, weighted sharing, thin bypass);
//! guarantees, limits, priorities and preemption frame it. Nothing here does I/O or reads a clock.

mod fleet;
mod ranges;
mod resources;
mod round;
mod sampling;
mod view;

pub use fleet::{plan_fleet, FleetView, Offer, RentWish};
pub use ranges::RangeSet;
pub use resources::Res;
pub use round::{Decision, Outcome, Round};
pub use sampling::{pilots_of, queue_of, weight_of, Policy};
pub use view::{JobView, MachineView, RunningView, TeamView, View, UNKNOWN_ZONE};
