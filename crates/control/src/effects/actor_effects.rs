//! What the actors of a node ask of each other.
//!
//! An actor never calls another one. It records what it wants in [`Effects`], and the node carries that out once the
//! actor has returned.

use super::{NodeEvent, Now, Output, RequestId};
use crate::requests::{CloudOp, CloudTag, Priority, StateOp, StateTag};
use constants::RETRY_AFTER_S;
use wire::peers::PeerMessage;
use wire::users::ErrorResponse;

/// HTTP status: the caller sends too many requests.
const TOO_MANY_REQUESTS: u16 = 429;
/// HTTP status: the request can't be served at the moment.
const SERVICE_UNAVAILABLE: u16 = 503;

/// A request to the state service.
#[derive(Debug)]
pub(crate) struct StateRequest {
    /// Its place in the order of sending.
    pub priority: Priority,
    /// What the state service is to do.
    pub op: StateOp,
    /// Who takes the reply.
    pub tag: StateTag,
}

/// A request to the cloud.
#[derive(Debug)]
pub(crate) struct CloudCall {
    /// What the cloud is to do.
    pub op: CloudOp,
    /// Who takes the reply.
    pub tag: CloudTag,
}

/// A message that is sent to a worker directly, rather than with the answer to a heartbeat.
#[derive(Debug)]
pub(crate) struct WorkerMessage {
    /// The worker's own address.
    pub address: String,
    /// Body of the message.
    pub body: Vec<u8>,
}

/// What an actor wants done by others once it has returned. Each list is carried out in the order of its entries.
#[derive(Default)]
pub(crate) struct Effects {
    /// The moment at which the actor was called.
    pub now: Now,
    /// Requests to the state service.
    pub state_requests: Vec<StateRequest>,
    /// Requests to the cloud.
    pub cloud_requests: Vec<CloudCall>,
    /// Events for the whole node.
    pub events: Vec<NodeEvent>,
    /// Outputs of the node.
    pub outputs: Vec<Output>,
    /// Messages to workers.
    pub worker_messages: Vec<WorkerMessage>,
}

impl Effects {
    /// No effects yet.
    pub fn new(now: Now) -> Self {
        Effects {
            now,
            ..Effects::default()
        }
    }

    /// Whether nothing is left to carry out.
    pub fn is_empty(&self) -> bool {
        self.state_requests.is_empty()
            && self.cloud_requests.is_empty()
            && self.worker_messages.is_empty()
            && self.events.is_empty()
            && self.outputs.is_empty()
    }

    /// Sends a request to the state service. The tag says who takes the reply.
    pub fn request_state(&mut self, priority: Priority, op: StateOp, tag: StateTag) {
        self.state_requests.push(StateRequest { priority, op, tag });
    }

    /// Sends a request to the cloud. The tag says who takes the reply.
    pub fn request_cloud(&mut self, op: CloudOp, tag: CloudTag) {
        self.cloud_requests.push(CloudCall { op, tag });
    }

    /// Reports an event to the whole node.
    pub fn emit(&mut self, event: NodeEvent) {
        self.events.push(event);
    }

    /// Sends a message to the worker at this address. No actor takes the reply.
    pub fn send_to_worker(&mut self, address: String, body: Vec<u8>) {
        self.worker_messages.push(WorkerMessage { address, body });
    }

    /// Sends a message to the peer with this label.
    pub fn send_to_peer(&mut self, label: String, message: PeerMessage) {
        let to = Some(label);
        self.outputs.push(Output::Peer { to, message });
    }

    /// Sends a message to all peers.
    pub fn send_to_all_peers(&mut self, message: PeerMessage) {
        self.outputs.push(Output::Peer { to: None, message });
    }

    /// Answers a request.
    pub fn respond(&mut self, id: RequestId, status: u16, body: Vec<u8>) {
        self.outputs.push(Output::Respond {
            id,
            status,
            retry_after_s: None,
            body,
        });
    }

    /// Answers a request. Where its status says that the request may succeed later, the answer says when to try again.
    pub fn respond_or_retry(&mut self, id: RequestId, status: u16, body: Vec<u8>) {
        let is_temporary = matches!(status, TOO_MANY_REQUESTS | SERVICE_UNAVAILABLE);
        self.outputs.push(Output::Respond {
            id,
            status,
            retry_after_s: is_temporary.then_some(RETRY_AFTER_S),
            body,
        });
    }

    /// Refuses a request. Where it may succeed later, the answer says when to try again.
    pub fn refuse(&mut self, id: RequestId, status: u16, reason: &str) {
        let body = wire::encode(&ErrorResponse {
            error: reason.to_string(),
        });
        self.respond_or_retry(id, status, body);
    }
}
