//! The controller, without I/O: actors that own their state and communicate by messages.
//!
//! [`Node`] is the whole of one controller. It is fed [`Input`]s and the time, and yields [`Output`]s.
//! Inside it, each actor owns what it knows: the clients of the state service and the cloud, the election,
//! the gateway for users, upgrades, partitions and the leader. `effects::Effects` carries what they ask of
//! each other. Smaller tasks of a node for its peers and for workers have modules of their own:
//! `forwarding`, `peer_heartbeats`, `pending_heartbeats` and `leadership_watch`.

mod cloud;
pub mod effects;
mod election;
mod forwarding;
mod gateway;
mod leader;
mod leadership_watch;
mod machine_types;
mod node;
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

/// Reads a steady clock in microseconds, to measure how long a round of decisions takes.
pub type Stopwatch = fn() -> u64;
