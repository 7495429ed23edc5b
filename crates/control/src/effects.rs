//! What goes in and out of a node, and what its actors ask of each other.

mod actor_effects;
mod node_io;

pub(crate) use actor_effects::{Effects, NodeEvent};
pub use node_io::{CallError, CallId, Input, Now, Output, RequestId, Target};
