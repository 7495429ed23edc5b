//! Events of the simulated network: messages in transit.

use control::{CallError, Input, Node};

/// Result of a call: status and body of the response, or the reason why there is no response.
pub(crate) type CallResult = Result<(u16, Vec<u8>), CallError>;

/// A message that is delivered at a scheduled time.
pub(crate) enum Event {
    /// Input for a node.
    ToNode {
        node: usize,
        /// [`NodeSlot::process_epoch`] of the process that the input is for. Input for an earlier process is dropped.
        process_epoch: u64,
        input: Input,
    },
    /// A late copy of a peer's message, for the process of the node that runs when it arrives.
    PeerCopy { node: usize, input: Input },
    /// A request to the state service.
    ToState(Call),
    /// A request of a node to the cloud.
    ToCloud {
        sender: Sender,
        method: &'static str,
        path: String,
        body: Vec<u8>,
    },
    /// Orders that a node sends to a worker's own address, or a late copy of them.
    ToWorker {
        from: usize,
        machine: String,
        body: Vec<u8>,
    },
    /// The response to the report of a worker with the sequence number `seq`.
    ReportResponse {
        machine: String,
        seq: u64,
        status: u16,
        body: Vec<u8>,
    },
}

/// The process that made a call, and the number of the call.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Sender {
    pub node: usize,
    /// [`NodeSlot::process_epoch`] of the calling process.
    pub process_epoch: u64,
    pub call: u64,
}

/// A request to the state service, the cloud or a worker.
pub(crate) struct Call {
    /// The sender. `None` for a late request, whose sender no longer waits for the response.
    pub from: Option<Sender>,
    pub method: &'static str,
    pub path: String,
    pub body: Vec<u8>,
    /// Time at which the sender stops waiting.
    pub deadline: u64,
}

/// A configured node, whether or not its process is running.
pub(crate) struct NodeSlot {
    pub node: Option<Node>,
    /// Number of starts and crashes so far. It identifies the process, so that responses to an earlier process are
    /// dropped.
    pub process_epoch: u64,
}
