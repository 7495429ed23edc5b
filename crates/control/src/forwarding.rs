//! Requests that one controller handles for another.
//!
//! A node that does not reach the state service forwards users' requests to a peer that does, and heartbeats of
//! workers to a leader that workers do not reach. Each side numbers the requests itself: the sender by calls, the
//! receiver by request ids that differ from those of its own sockets.

use crate::effects::{Effects, Output, RequestId};
use constants::{DEADLINE_CHECK_MS, REPORT_FORWARD_MS, USER_DEADLINE_MS, USER_REQUESTS_MAX};
use std::collections::HashMap;
use wire::peers::PeerMessage;

/// Path of workers' heartbeats.
pub(crate) const HEARTBEAT_PATH: &str = "/v1/report";

/// Where the ids of requests from peers begin. Ids of requests on this node's own sockets are below.
const FIRST_PEER_REQUEST: RequestId = 1 << 62;

/// An HTTP request as it was received.
#[derive(Clone, Copy)]
pub(crate) struct HttpRequest<'a> {
    /// Id under which it is answered.
    pub id: RequestId,
    /// Method.
    pub method: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Body.
    pub body: &'a [u8],
}

impl HttpRequest<'_> {
    /// Milliseconds within which a peer must answer it.
    fn timeout_ms(&self) -> u64 {
        if self.target == HEARTBEAT_PATH {
            REPORT_FORWARD_MS
        } else {
            USER_DEADLINE_MS
        }
    }
}

/// A request of this node that a peer is handling.
struct PendingCall {
    request: RequestId,
    /// The peer that is to answer.
    peer: String,
    deadline: u64,
}

/// The call under which a peer forwarded a request to this node.
struct PeerCall {
    peer: String,
    call: u64,
}

/// Requests forwarded to peers, and those that peers forwarded to this node.
pub(crate) struct ForwardedRequests {
    /// Requests forwarded to peers, by call.
    pending: HashMap<u64, PendingCall>,
    last_call: u64,
    /// Requests that peers forwarded to this node and that are not answered yet.
    serving: HashMap<RequestId, PeerCall>,
    last_accepted: RequestId,
}

impl ForwardedRequests {
    /// `number_base` is where this process's calls begin, so that answers to an earlier process match none of them.
    pub fn new(number_base: u64) -> Self {
        ForwardedRequests {
            pending: HashMap::new(),
            last_call: number_base,
            serving: HashMap::new(),
            last_accepted: FIRST_PEER_REQUEST,
        }
    }

    /// Whether a request was forwarded by a peer.
    pub fn is_from_peer(id: RequestId) -> bool {
        id >= FIRST_PEER_REQUEST
    }

    /// The peer that forwarded a request to this node, while it has not been answered.
    pub fn peer_of(&self, id: RequestId) -> Option<&str> {
        self.serving.get(&id).map(|call| call.peer.as_str())
    }

    /// When [`ForwardedRequests::tick`] is to be called next.
    pub fn next_wake(&self, now: u64) -> Option<u64> {
        (!self.pending.is_empty()).then_some(now + DEADLINE_CHECK_MS)
    }

    /// Refuses the requests that peers have not answered in time.
    pub fn tick(&mut self, effects: &mut Effects) {
        let now = effects.now.mono;
        self.pending.retain(|_, pending| {
            let is_late = now > pending.deadline;
            if is_late {
                effects.refuse(pending.request, 503, "no answer from the peer");
            }
            !is_late
        });
    }

    /// Refuses all requests that peers have not answered yet.
    pub fn refuse_all(&mut self, reason: &str, effects: &mut Effects) {
        for (_, pending) in self.pending.drain() {
            effects.refuse(pending.request, 503, reason);
        }
    }

    /// Forwards a request of this node to a peer.
    pub fn forward(&mut self, request: HttpRequest, peer: String, effects: &mut Effects) {
        self.forward_within(request, peer, USER_REQUESTS_MAX, effects);
    }

    /// Forwards a worker's heartbeat that an owner passes on to the leader. As many may be pending as workers are
    /// connected.
    pub fn forward_report(&mut self, request: HttpRequest, leader: String, effects: &mut Effects) {
        self.forward_within(request, leader, usize::MAX, effects);
    }

    fn forward_within(
        &mut self,
        request: HttpRequest,
        peer: String,
        capacity: usize,
        effects: &mut Effects,
    ) {
        if self.pending.len() >= capacity {
            return effects.refuse(request.id, 503, "too many requests in hand");
        }
        self.last_call += 1;
        let pending = PendingCall {
            request: request.id,
            peer: peer.clone(),
            deadline: effects.now.mono + request.timeout_ms(),
        };
        self.pending.insert(self.last_call, pending);
        let message = PeerMessage::Forward {
            call: self.last_call,
            method: request.method.to_string(),
            target: request.target.to_string(),
            body: request.body.to_vec(),
        };
        effects.send_to_peer(peer, message);
    }

    /// Answers the request that was forwarded as `call` with the peer's answer.
    pub fn on_answer(
        &mut self,
        from: &str,
        call: u64,
        status: u16,
        body: Vec<u8>,
        effects: &mut Effects,
    ) {
        // An answer to an earlier process of this node, or from another peer, belongs to another request.
        let pending = self.pending.get(&call);
        if pending.is_none_or(|pending| pending.peer != from) {
            return;
        }
        if let Some(pending) = self.pending.remove(&call) {
            effects.respond_with_retry_after(pending.request, status, body);
        }
    }

    /// The id under which to handle a request that `peer` forwarded to this node as `call`.
    pub fn accept(&mut self, peer: &str, call: u64) -> RequestId {
        self.last_accepted += 1;
        let peer = peer.to_string();
        self.serving
            .insert(self.last_accepted, PeerCall { peer, call });
        self.last_accepted
    }

    /// Turns the answer to a forwarded request into a message to the peer that forwarded it; other outputs stay as
    /// they are. `None` if the request has been answered already.
    pub fn route(&mut self, output: Output) -> Option<Output> {
        match output {
            Output::Respond {
                id, status, body, ..
            } if Self::is_from_peer(id) => {
                let PeerCall { peer, call } = self.serving.remove(&id)?;
                Some(Output::Peer {
                    to: Some(peer),
                    message: PeerMessage::Forwarded { call, status, body },
                })
            }
            other => Some(other),
        }
    }
}
