//! The controller, without I/O. It consists of actors that own their state and communicate by
//! messages.
//!
//! [`Node`] is one controller. It takes [`Input`]s and the current time, and returns [`Output`]s.
//! Each of its actors owns one part of the state: the clients of the state service and of the
//! cloud, the election, the gateway for users, rollouts, partitions and the leader.
//! `effects::Effects` carries the requests of the actors to each other. The modules `forwarding`,
//! `peer_heartbeats`, `pending_heartbeats` and `leadership_watch` hold the smaller tasks of a node
//! that concern peers and workers.

mod cloud;
pub mod effects;
mod election;
mod forwarding;
mod gateway;
mod leader;
mod leadership_watch;
mod machine_types;
mod node;
mod offers;
mod partitions;
mod peer_heartbeats;
mod peers;
mod pending_heartbeats;
mod recent_map;
mod requests;
mod rollout;
pub mod settings;
mod state;
mod token_bucket;

pub use ::rollout::{ControllerStatus, RolloutStatus};
pub use effects::{CallError, CallId, CallTarget, Input, Now, Output, RequestId};
pub use node::Node;
pub use partitions::PartitionsStatus;
pub use settings::{Operator, Settings};

/// Reads a monotonic clock in microseconds. It is used to measure turns and scheduling rounds.
pub type Stopwatch = fn() -> u64;
