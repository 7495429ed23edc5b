//! What the actors of a node ask of each other.
//!
//! An actor never calls another one. It records what it wants in [`Effects`], and the node carries that out once the
//! actor has returned.

use super::{Now, Output, RequestId};
use crate::requests::{CloudOp, CloudTag, Priority, StateOp, StateTag};
use wire::records::Final;

/// HTTP status: the caller sends too many requests.
const TOO_MANY_REQUESTS: u16 = 429;
/// HTTP status: the request can't be served at the moment.
const SERVICE_UNAVAILABLE: u16 = 503;

/// An event that concerns the whole node.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum NodeEvent {
    /// This node has become the leader.
    Elected {
        /// Fencing term of the new leader.
        term: u64,
        /// Version of the leader key, which every transaction of this leader is conditional on.
        version: u64,
    },
    /// This node has lost or given up leadership, for the given reason.
    SteppedDown(&'static str),
    /// A job has reached its final state.
    JobEnded(String, Final),
    /// A user is about to receive the confirmation that a job is cancelled.
    JobCancelled(String),
    /// No controller is left that can't read the records of generation 1.
    Upgraded,
    /// An observation, named here, proves that every controller runs generation 1.
    UpgradeEvidence(&'static str),
    /// A write failed since the cluster's feature level has changed.
    LevelChanged,
    /// The machine types were read, or have changed.
    MachineTypesRead(Vec<wire::cloud::MachineType>),
}

/// What an actor wants done by others once it has returned.
#[derive(Default)]
pub(crate) struct Effects {
    /// The moment at which the actor was called.
    pub now: Now,
    /// Requests to the state service.
    pub state: Vec<(Priority, StateOp, StateTag)>,
    /// Requests to the cloud.
    pub cloud: Vec<(CloudOp, CloudTag)>,
    /// Events for the whole node.
    pub events: Vec<NodeEvent>,
    /// Outputs of the node.
    pub outputs: Vec<Output>,
    /// Messages to workers: address and body.
    pub worker_messages: Vec<(String, Vec<u8>)>,
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
        self.state.is_empty()
            && self.cloud.is_empty()
            && self.worker_messages.is_empty()
            && self.events.is_empty()
            && self.outputs.is_empty()
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

    /// Refuses a request. Where it may succeed later, the answer says when to try again.
    pub fn refuse(&mut self, id: RequestId, status: u16, reason: &str) {
        let body = wire::encode(&wire::users::Refusal {
            error: reason.to_string(),
        });
        let is_temporary = matches!(status, TOO_MANY_REQUESTS | SERVICE_UNAVAILABLE);
        self.outputs.push(Output::Respond {
            id,
            status,
            retry_after_s: is_temporary.then_some(constants::RETRY_AFTER_S),
            body,
        });
    }
}
