//! Scheduling decisions of vetchmount, as pure functions of a snapshot of the cluster.
//!
//! Job arrays are scheduled as in the Philae paper: pilot tasks are sampled to estimate the size of an array, jobs are
//! assigned to multi-level feedback queues by estimated size, queues share capacity by weight, and thin arrays (those
//! with few tasks) skip sampling. In addition, the scheduler supports guarantees and limits of teams, priorities and
//! preemption. This crate does no I/O and reads no clock.
//!
//! | module | subject |
//! | --- | --- |
//! | `snapshot` | the input of the scheduler: state of the cluster at one moment |
//! | `round` | one scheduling round: placement, reservation and preemption |
//! | `fleet` | scale-out: number of machines to rent |
//! | `sampling` | number of pilots, choice of the queue, weights of queues |
//! | `resources` | amounts of CPUs, GPUs and memory |
//! | `ranges` | compact sets of task numbers |
//! | `zones` | constraints on the zones of a job's tasks |

mod fleet;
mod ranges;
mod resources;
mod round;
mod sampling;
mod snapshot;
mod zones;

pub use fleet::{plan_fleet, FleetSnapshot, Offer, RentRequest};
pub use ranges::RangeSet;
pub use resources::{ResourceBounds, Resources};
pub use round::{Decision, Round, RoundOutcome};
pub use sampling::{pilot_count, queue_for_size, queue_weight, Policy};
pub use snapshot::{
    ClusterSnapshot, JobSnapshot, MachineSnapshot, RunningTask, TeamSnapshot, UNKNOWN_ZONE,
};
pub use zones::{max_tasks_per_zone, required_zones};
