//! What is on its way in the simulated network.

use control::{CallError, Input, Node};

/// What becomes of a call: status and body, or why there is none.
pub(crate) type CallResult = Result<(u16, Vec<u8>), CallError>;

/// A message that arrives at some moment.
pub(crate) enum Event {
    /// A node gets input.
    ToNode {
        node: usize,
        /// Start of the node's process that the input is for. Input for an earlier process is dropped.
        start: u64,
        input: Input,
    },
    /// The state service gets a request.
    ToState(Call),
    /// The cloud gets a request of a node.
    ToCloud {
        sender: Sender,
        method: &'static str,
        path: String,
        body: Vec<u8>,
    },
    /// A worker's own address gets orders from a node.
    ToWorker {
        from: usize,
        machine: String,
        body: Vec<u8>,
    },
    /// A worker gets the answer to its report of this number.
    Answer {
        machine: String,
        seq: u64,
        status: u16,
        body: Vec<u8>,
    },
}

/// The process that made a call, and the call's number.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Sender {
    pub node: usize,
    /// Start of the node's process.
    pub start: u64,
    pub call: u64,
}

/// A request to the state service, the cloud or a worker.
pub(crate) struct Call {
    /// The sender. `None` for a late request, whose answer nobody waits for.
    pub from: Option<Sender>,
    pub method: &'static str,
    pub path: String,
    pub body: Vec<u8>,
    /// When the sender stops waiting.
    pub deadline: u64,
}

/// A configured node, whether its process runs or not.
pub(crate) struct NodeSlot {
    pub node: Option<Node>,
    /// Number of starts and crashes, so that answers to an earlier process are dropped.
    pub start: u64,
}
