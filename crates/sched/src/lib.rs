//! Scheduling decisions of vetchmount, as pure functions of a snapshot of the cluster.
//!
//! Job arrays are scheduled as in Philae: pilot tasks sample a job's size, jobs queue by estimated size, queues share
//! capacity by weight, and thin arrays skip sampling. Guarantees, limits, priorities and preemption come on top.
//! Nothing here does I/O or reads a clock.
//!
//! | module | subject |
//! | --- | --- |
//! | `snapshot` | the cluster as the decisions see it |
//! | `round` | one round of placement, reservation and preemption |
//! | `fleet` | machines to rent |
//! | `sampling` | pilots, queues and their weights |
//! | `resources` | amounts of CPUs, GPUs and memory |
//! | `ranges` | compact sets of task numbers |

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
