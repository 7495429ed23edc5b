//! What goes in and out of a node, and what its actors ask of each other.

mod actor_effects;
mod node_event;
mod node_io;

pub(crate) use actor_effects::{CloudCall, Effects, StateRequest, WorkerMessage};
pub(crate) use node_event::NodeEvent;
pub use node_io::{CallError, CallId, Input, Now, Output, RequestId, Target};
