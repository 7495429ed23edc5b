//! The interface between a node and the process that runs it: inputs, outputs, calls and the current time.

use wire::peers::PeerMessage;

/// A point in time, in milliseconds, on two clocks: the monotonic clock for timeouts and the wall clock for records.
#[derive(Debug, Clone, Copy, Default)]
pub struct Now {
    /// Monotonic clock.
    pub mono: u64,
    /// Wall clock.
    pub unix: u64,
}

/// Identifies an incoming request that has to be answered.
pub type RequestId = u64;
/// Identifies an outgoing call of this node, which will receive a reply.
pub type CallId = u64;

/// The recipient of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallTarget {
    /// The state service.
    State,
    /// The cloud.
    Cloud,
    /// The worker with this address.
    Worker(String),
}

/// Reason why a call has no reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallError {
    /// The call was not sent, so it was not executed.
    NotSent,
    /// The call may have been executed, or may still be executed.
    Unknown,
}

/// An input of a node.
#[derive(Debug, Clone)]
pub enum Input {
    /// A user, a worker or a load balancer sent a request.
    Request {
        /// Identifies the request in [`Output::Respond`].
        id: RequestId,
        /// HTTP method.
        method: String,
        /// HTTP request target.
        target: String,
        /// Body.
        body: Vec<u8>,
    },
    /// A call of this node has completed or failed.
    Reply {
        /// Identifies the call, as in [`Output::Call`].
        call: CallId,
        /// HTTP status code and body, or the reason why there is no reply.
        result: Result<(u16, Vec<u8>), CallError>,
    },
    /// A peer refused a new connection after the previous one broke, so its process has probably ended.
    PeerConnectionRefused {
        /// Label of the peer.
        from: String,
    },
    /// A peer sent a message.
    Peer {
        /// Label of the peer.
        from: String,
        /// The message.
        message: PeerMessage,
    },
    /// The process has been asked to stop.
    Stop,
}

/// An output of a node: an action that its process executes.
#[derive(Debug, Clone)]
pub enum Output {
    /// Answer a request.
    Respond {
        /// Identifies the request, as in [`Input::Request`].
        id: RequestId,
        /// HTTP status code.
        status: u16,
        /// Seconds after which the client should retry.
        retry_after_s: Option<u32>,
        /// Body.
        body: Vec<u8>,
    },
    /// Call a service or a worker.
    Call {
        /// Identifies the call in [`Input::Reply`].
        call: CallId,
        /// The recipient.
        target: CallTarget,
        /// HTTP method.
        method: &'static str,
        /// HTTP request target.
        path: String,
        /// Body.
        body: Vec<u8>,
        /// Milliseconds to wait for the reply.
        timeout_ms: u64,
    },
    /// Send a message to one peer, or to all of them.
    Peer {
        /// Label of the peer; `None` for all.
        to: Option<String>,
        /// The message.
        message: PeerMessage,
    },
}
