//! Inputs and outputs of a node, and the effects that its actors request from each other.

mod actor_effects;
mod node_event;
mod node_io;

pub(crate) use actor_effects::{CloudCall, Effects, StateRequest, WorkerMessage};
pub(crate) use node_event::NodeEvent;
pub use node_io::{CallError, CallId, CallTarget, Input, Now, Output, RequestId};
