//! Effects that the actors of a node request from each other.
//!
//! An actor never calls another actor. It records the effects that it requests in [`Effects`], and the node executes
//! them after the actor has returned.

use super::{NodeEvent, Now, Output, RequestId};
use crate::requests::{CloudOp, CloudTag, Priority, StateOp, StateTag};
use constants::RETRY_AFTER_S;
use wire::peers::PeerMessage;
use wire::users::ErrorResponse;

/// HTTP status code: the client has sent too many requests.
const TOO_MANY_REQUESTS: u16 = 429;
/// HTTP status code: the request can't be served at the moment.
const SERVICE_UNAVAILABLE: u16 = 503;

/// A request to the state service.
#[derive(Debug)]
pub(crate) struct StateRequest {
    /// Priority with which the request is sent.
    pub priority: Priority,
    /// Operation that the state service executes.
    pub op: StateOp,
    /// Identifies the receiver of the reply.
    pub tag: StateTag,
}

/// A request to the cloud.
#[derive(Debug)]
pub(crate) struct CloudCall {
    /// Operation that the cloud executes.
    pub op: CloudOp,
    /// Identifies the receiver of the reply.
    pub tag: CloudTag,
}

/// A message that is sent to a worker directly instead of in the answer to a heartbeat.
#[derive(Debug)]
pub(crate) struct WorkerMessage {
    /// The worker's own address.
    pub address: String,
    /// Body of the message.
    pub body: Vec<u8>,
}

/// Effects that an actor requests, to be executed after it has returned. Each list is executed in order.
#[derive(Default)]
pub(crate) struct Effects {
    /// Time at which the actor was called.
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
    /// Creates an empty list of effects.
    pub fn new(now: Now) -> Self {
        Effects {
            now,
            ..Effects::default()
        }
    }

    /// Whether no effects remain to be executed.
    pub fn is_empty(&self) -> bool {
        self.state_requests.is_empty()
            && self.cloud_requests.is_empty()
            && self.worker_messages.is_empty()
            && self.events.is_empty()
            && self.outputs.is_empty()
    }

    /// Sends a request to the state service. The tag identifies the receiver of the reply.
    pub fn request_state(&mut self, priority: Priority, op: StateOp, tag: StateTag) {
        self.state_requests.push(StateRequest { priority, op, tag });
    }

    /// Sends a request to the cloud. The tag identifies the receiver of the reply.
    pub fn request_cloud(&mut self, op: CloudOp, tag: CloudTag) {
        self.cloud_requests.push(CloudCall { op, tag });
    }

    /// Reports an event to the whole node.
    pub fn emit(&mut self, event: NodeEvent) {
        self.events.push(event);
    }

    /// Sends a message to the worker at this address. No actor receives the reply.
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

    /// Answers a request, without a retry hint.
    pub fn respond(&mut self, id: RequestId, status: u16, body: Vec<u8>) {
        self.outputs.push(Output::Respond {
            id,
            status,
            retry_after_s: None,
            body,
        });
    }

    /// Answers a request. If the status indicates that the request may succeed later, the answer states when to retry.
    pub fn respond_with_retry_after(&mut self, id: RequestId, status: u16, body: Vec<u8>) {
        let is_temporary = matches!(status, TOO_MANY_REQUESTS | SERVICE_UNAVAILABLE);
        self.outputs.push(Output::Respond {
            id,
            status,
            retry_after_s: is_temporary.then_some(RETRY_AFTER_S),
            body,
        });
    }

    /// Refuses a request. If the status indicates that it may succeed later, the answer states when to retry.
    pub fn refuse(&mut self, id: RequestId, status: u16, reason: &str) {
        let body = wire::encode(&ErrorResponse {
            error: reason.to_string(),
        });
        self.respond_with_retry_after(id, status, body);
    }
}
