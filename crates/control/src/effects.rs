//! What goes in and out of a node, and between its actors.

use crate::requests::{CloudOp, CloudTag, Priority, StateOp, StateTag};
use wire::peers::PeerMessage;
use wire::records::Final;

/// A moment: the steady clock for waits, the time of day for records. Milliseconds.
#[derive(Debug, Clone, Copy, Default)]
pub struct Now {
    /// Steady clock.
    pub mono: u64,
    /// Time of day.
    pub unix: u64,
}

/// A request from outside that wants an answer.
pub type RequestId = u64;
/// A call of ours that will get a reply.
pub type CallId = u64;

/// Whom a call is for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Target {
    /// The state service.
    State,
    /// The cloud.
    Cloud,
    /// A worker's own address.
    Worker(String),
}

/// Why a call has no reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallError {
    /// It never left: it was certainly not executed.
    NotSent,
    /// It may or may not have been executed, or may be later.
    Unknown,
}

/// What happens to a node.
#[derive(Debug, Clone)]
pub enum Input {
    /// A user, worker or load balancer asks.
    Request {
        /// Its number.
        id: RequestId,
        /// HTTP method.
        method: String,
        /// HTTP target.
        target: String,
        /// Body.
        body: Vec<u8>,
    },
    /// A call of ours is over.
    Reply {
        /// Its number.
        call: CallId,
        /// Status and body.
        result: Result<(u16, Vec<u8>), CallError>,
    },
    /// A peer's process is likely gone: its connection broke and a new one is refused.
    PeerRefuses {
        /// Its label.
        from: String,
    },
    /// A peer says something.
    Peer {
        /// Its label.
        from: String,
        /// What it says.
        message: PeerMessage,
    },
    /// The process is asked to stop.
    Stop,
}

/// What a node does.
#[derive(Debug, Clone)]
pub enum Output {
    /// Answers a request.
    Respond {
        /// Its number.
        id: RequestId,
        /// HTTP status.
        status: u16,
        /// Seconds until the caller should come back.
        retry_after_s: Option<u32>,
        /// Body.
        body: Vec<u8>,
    },
    /// Calls somebody.
    Call {
        /// Number of the call.
        call: CallId,
        /// Whom.
        target: Target,
        /// HTTP method.
        method: &'static str,
        /// HTTP target.
        path: String,
        /// Body.
        body: Vec<u8>,
        /// Milliseconds to wait.
        timeout_ms: u64,
    },
    /// Says something to a peer, or to all.
    Peer {
        /// Its label; `None` for all.
        to: Option<String>,
        /// What.
        message: PeerMessage,
    },
}

/// Something that concerns the whole node.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum NodeEvent {
    /// This node leads now.
    Elected { term: u64, version: u64 },
    /// This node leads no longer.
    SteppedDown(&'static str),
    /// A job is over for good.
    JobOver(String, Final),
    /// A user is about to be told that a job is cancelled.
    Aborted(String),
    /// Nobody is left who could not read what is new.
    Upgraded,
    /// Something shows that the upgrade is over.
    Proven(&'static str),
    /// A write found the cluster's feature level changed.
    LevelChanged,
    /// Machine types were read or changed.
    Types(Vec<wire::cloud::MachineType>),
}

/// What an actor wants done by others once it returns.
#[derive(Default)]
pub(crate) struct Effects {
    pub now: Now,
    pub state: Vec<(Priority, StateOp, StateTag)>,
    pub cloud: Vec<(CloudOp, CloudTag)>,
    pub events: Vec<NodeEvent>,
    pub out: Vec<Output>,
    pub direct: Vec<(String, Vec<u8>)>,
}

impl Effects {
    pub fn new(now: Now) -> Self {
        Effects {
            now,
            ..Effects::default()
        }
    }

    pub fn respond(&mut self, id: RequestId, status: u16, body: Vec<u8>) {
        self.out.push(Output::Respond {
            id,
            status,
            retry_after_s: None,
            body,
        });
    }

    pub fn refuse(&mut self, id: RequestId, status: u16, why: &str) {
        let body = wire::encode(&wire::users::Refusal {
            error: why.to_string(),
        });
        let retry_after_s = matches!(status, 429 | 503).then_some(constants::RETRY_AFTER_S);
        self.out.push(Output::Respond {
            id,
            status,
            retry_after_s,
            body,
        });
    }
}
