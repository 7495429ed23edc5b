//! Requests that one controller handles for another.
//!
//! A node that doesn't reach the state service forwards users' requests to a peer that does. It
//! forwards worker heartbeats to a leader that workers don't reach. Each side numbers the requests
//! itself: the sender by call numbers, the receiver by request ids that differ from those of its
//! own sockets.

use crate::effects::{Effects, Output, RequestId};
use constants::{
    DEADLINE_CHECK_INTERVAL_MS, REPORT_FORWARD_TIMEOUT_MS, USER_REQUESTS_IN_FLIGHT_MAX,
    USER_REQUEST_TIMEOUT_MS,
};
use std::collections::HashMap;
use wire::peers::PeerMessage;

/// Path of worker heartbeats.
pub(crate) const HEARTBEAT_PATH: &str = "/v1/report";

/// Start of the range of ids of requests from peers. Ids of requests on this node's own sockets are
/// lower.
const FIRST_PEER_REQUEST_ID: RequestId = 1 << 62;

/// An HTTP request as it was received.
#[derive(Clone, Copy)]
pub(crate) struct HttpRequest<'a> {
    /// Id under which the request is answered.
    pub id: RequestId,
    /// HTTP method.
    pub method: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Body.
    pub body: &'a [u8],
}

impl HttpRequest<'_> {
    /// Returns the milliseconds within which a peer must answer the request.
    fn timeout_ms(&self) -> u64 {
        if self.target == HEARTBEAT_PATH {
            REPORT_FORWARD_TIMEOUT_MS
        } else {
            USER_REQUEST_TIMEOUT_MS
        }
    }
}

/// A request to this node that a peer is handling.
struct PendingCall {
    request: RequestId,
    /// The peer that must answer.
    peer: String,
    deadline: u64,
}

/// The call by which a peer forwarded a request to this node.
struct PeerCall {
    peer: String,
    call: u64,
}

/// Requests that were forwarded to peers or by peers.
pub(crate) struct ForwardedRequests {
    /// Requests that this node forwarded to peers, by call number.
    pending: HashMap<u64, PendingCall>,
    last_call: u64,
    /// Requests that peers forwarded to this node and that are not answered yet.
    accepted: HashMap<RequestId, PeerCall>,
    last_accepted_id: RequestId,
}

impl ForwardedRequests {
    /// `number_base` is the start of this process's call numbers. Answers meant for an earlier
    /// process of this node then match none of the calls.
    pub fn new(number_base: u64) -> Self {
        ForwardedRequests {
            pending: HashMap::new(),
            last_call: number_base,
            accepted: HashMap::new(),
            last_accepted_id: FIRST_PEER_REQUEST_ID,
        }
    }

    /// Returns whether a request was forwarded by a peer.
    pub fn is_from_peer(id: RequestId) -> bool {
        id >= FIRST_PEER_REQUEST_ID
    }

    /// Returns the peer that forwarded a request to this node, until the request is answered.
    pub fn forwarding_peer(&self, id: RequestId) -> Option<&str> {
        self.accepted.get(&id).map(|call| call.peer.as_str())
    }

    /// Returns when [`ForwardedRequests::tick`] must be called next.
    pub fn next_wake(&self, now: u64) -> Option<u64> {
        (!self.pending.is_empty()).then_some(now + DEADLINE_CHECK_INTERVAL_MS)
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
        self.forward_with_limit(request, peer, USER_REQUESTS_IN_FLIGHT_MAX, effects);
    }

    /// Forwards the heartbeat of a worker from the owner of its partition to the leader. There may
    /// be as many pending heartbeats as connected workers, so no limit applies.
    pub fn forward_worker_heartbeat(
        &mut self,
        request: HttpRequest,
        leader: String,
        effects: &mut Effects,
    ) {
        self.forward_with_limit(request, leader, usize::MAX, effects);
    }

    fn forward_with_limit(
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
        // An answer for an earlier process of this node, or from another peer, belongs to a
        // different request.
        let pending = self.pending.get(&call);
        if pending.is_none_or(|pending| pending.peer != from) {
            return;
        }
        if let Some(pending) = self.pending.remove(&call) {
            effects.respond_with_retry_after(pending.request, status, body);
        }
    }

    /// Accepts a request that `peer` forwarded to this node as `call`, and returns the id under
    /// which to handle it.
    pub fn accept_from_peer(&mut self, peer: &str, call: u64) -> RequestId {
        self.last_accepted_id += 1;
        let peer = peer.to_string();
        self.accepted
            .insert(self.last_accepted_id, PeerCall { peer, call });
        self.last_accepted_id
    }

    /// Turns the answer to a forwarded request into a message to the peer that forwarded it. Other
    /// outputs are returned unchanged. Returns `None` if the request was already answered.
    pub fn route_response(&mut self, output: Output) -> Option<Output> {
        match output {
            Output::Respond {
                id, status, body, ..
            } if Self::is_from_peer(id) => {
                let PeerCall { peer, call } = self.accepted.remove(&id)?;
                Some(Output::Peer {
                    to: Some(peer),
                    message: PeerMessage::Forwarded { call, status, body },
                })
            }
            other => Some(other),
        }
    }
}
