//! The controller, without I/O: actors that own their state and are spoken to by messages.
//!
//! [`Node`] is the whole of one controller. It is fed [`Input`]s and the time, and yields [`Output`]s. Inside,
//! the state client, the election, the gateway for users, upgrades, the leader and the cloud client each
//! own what they know; `effects::Effects` carries what they say to each other. What a node does besides for its peers and for
//! workers is in modules of their own too: `forwarding`, `pending_reports`, `heartbeat`, `leadership_watch`.

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
pub use effects::{CallError, CallId, Input, Now, Output, RequestId, Target};
pub use node::Node;
pub use partitions::PartitionsStatus;
pub use settings::{Operator, Settings};

/// Microseconds of a steady clock, to measure how long a round of decisions takes.
pub type Stopwatch = fn() -> u64;
