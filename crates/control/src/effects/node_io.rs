//! The interface between a node and the process that runs it: inputs, outputs, calls and the time.

use wire::peers::PeerMessage;

/// A moment in milliseconds: the steady clock for timeouts, the time of day for records.
#[derive(Debug, Clone, Copy, Default)]
pub struct Now {
    /// Steady clock.
    pub mono: u64,
    /// Time of day.
    pub unix: u64,
}

/// Identifies a request from outside that wants an answer.
pub type RequestId = u64;
/// Identifies a call of this node that will get a reply.
pub type CallId = u64;

/// The recipient of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Target {
    /// The state service.
    State,
    /// The cloud.
    Cloud,
    /// A worker, at its own address.
    Worker(String),
}

/// Why a call has no reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallError {
    /// The call was never sent, so it was certainly not executed.
    NotSent,
    /// The call may have been executed, or may still be.
    Unknown,
}

/// Something that happens to a node.
#[derive(Debug, Clone)]
pub enum Input {
    /// A user, a worker or a load balancer sent a request.
    Request {
        /// Identifies the request in [`Output::Respond`].
        id: RequestId,
        /// HTTP method.
        method: String,
        /// HTTP target.
        target: String,
        /// Body.
        body: Vec<u8>,
    },
    /// A call of this node has completed or failed.
    Reply {
        /// The call, as in [`Output::Call`].
        call: CallId,
        /// HTTP status and body.
        result: Result<(u16, Vec<u8>), CallError>,
    },
    /// A peer's process has probably ended: its connection broke, and a new one is refused.
    PeerRefused {
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
    /// The process is asked to stop.
    Stop,
}

/// Something that a node asks its process to do.
#[derive(Debug, Clone)]
pub enum Output {
    /// Answer a request.
    Respond {
        /// The request, as in [`Input::Request`].
        id: RequestId,
        /// HTTP status.
        status: u16,
        /// Seconds after which the caller should try again.
        retry_after_s: Option<u32>,
        /// Body.
        body: Vec<u8>,
    },
    /// Call a service or a worker.
    Call {
        /// Identifies the call in [`Input::Reply`].
        call: CallId,
        /// The recipient.
        target: Target,
        /// HTTP method.
        method: &'static str,
        /// HTTP target.
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
