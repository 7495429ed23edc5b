//! Requests that one controller handles for another.
//!
//! A node without the state service passes users' requests to a peer that has it, and reports of workers to a leader
//! that workers do not reach. Each side numbers its requests itself: the sender with calls, the peer with request ids
//! that are kept apart from those of its own sockets.

use crate::effects::{Effects, Output, RequestId};
use constants::{
    DEADLINE_CHECK_MS, REPORT_FORWARD_MS, RETRY_AFTER_S, USER_DEADLINE_MS, USER_INFLIGHT,
};
use std::collections::HashMap;
use wire::peers::PeerMessage;

/// Path of workers' reports.
pub(crate) const REPORT_PATH: &str = "/v1/report";

/// Where the ids of requests from peers begin, apart from those of our own sockets.
const FIRST_PEER_REQUEST: RequestId = 1 << 62;

/// An HTTP request as it came.
#[derive(Clone, Copy)]
pub(crate) struct HttpRequest<'a> {
    pub id: RequestId,
    pub method: &'a str,
    pub target: &'a str,
    pub body: &'a [u8],
}

/// A request of ours that a peer is handling.
struct PendingCall {
    request: RequestId,
    /// The peer that is to answer.
    peer: String,
    deadline: u64,
}

/// The call under which a peer sent us a request.
struct PeerCall {
    peer: String,
    call: u64,
}

/// Requests passed to peers, and those that peers passed to us.
pub(crate) struct ForwardedRequests {
    pending: HashMap<u64, PendingCall>,
    last_call: u64,
    serving: HashMap<RequestId, PeerCall>,
    last_served: RequestId,
}

impl ForwardedRequests {
    /// `number_base` is where this process's calls begin, so that answers to an earlier process match none of them.
    pub fn new(number_base: u64) -> Self {
        ForwardedRequests {
            pending: HashMap::new(),
            last_call: number_base,
            serving: HashMap::new(),
            last_served: FIRST_PEER_REQUEST,
        }
    }

    /// Whether a request was passed on by a peer.
    pub fn is_from_peer(id: RequestId) -> bool {
        id >= FIRST_PEER_REQUEST
    }

    /// The peer that passed a request to us, while it has not been answered.
    pub fn peer_of(&self, id: RequestId) -> Option<&str> {
        self.serving.get(&id).map(|call| call.peer.as_str())
    }

    /// When [`ForwardedRequests::tick`] wants to be called.
    pub fn next_wake(&self, now: u64) -> Option<u64> {
        (!self.pending.is_empty()).then_some(now + DEADLINE_CHECK_MS)
    }

    /// Refuses the requests that peers have not answered in time.
    pub fn tick(&mut self, effects: &mut Effects) {
        let now = effects.now.mono;
        let is_late = |pending: &PendingCall| now > pending.deadline;
        let late_calls: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, pending)| is_late(pending))
            .map(|(call, _)| *call)
            .collect();
        for call in late_calls {
            if let Some(late) = self.pending.remove(&call) {
                effects.refuse(late.request, 503, "no answer from the peer");
            }
        }
    }

    /// Refuses everything that peers have not answered yet.
    pub fn refuse_all(&mut self, reason: &str, effects: &mut Effects) {
        for (_, pending) in self.pending.drain() {
            effects.refuse(pending.request, 503, reason);
        }
    }

    /// Passes a request of ours to a peer.
    pub fn forward(&mut self, request: HttpRequest, peer: String, effects: &mut Effects) {
        self.forward_within(request, peer, USER_INFLIGHT, effects);
    }

    /// The same for a worker's report that its owner passes on: as many may be in hand as workers are connected.
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
        let timeout_ms = if request.target == REPORT_PATH {
            REPORT_FORWARD_MS
        } else {
            USER_DEADLINE_MS
        };
        self.last_call += 1;
        let pending = PendingCall {
            request: request.id,
            peer: peer.clone(),
            deadline: effects.now.mono + timeout_ms,
        };
        self.pending.insert(self.last_call, pending);
        effects.out.push(Output::Peer {
            to: Some(peer),
            message: PeerMessage::Forward {
                call: self.last_call,
                method: request.method.to_string(),
                target: request.target.to_string(),
                body: request.body.to_vec(),
            },
        });
    }

    /// Answers our request with what a peer answered to `call`.
    pub fn on_answer(
        &mut self,
        from: &str,
        call: u64,
        status: u16,
        body: Vec<u8>,
        effects: &mut Effects,
    ) {
        // Answers to an earlier process of ours, or of another peer, are about something else.
        if self.pending.get(&call).is_none_or(|p| p.peer != from) {
            return;
        }
        if let Some(pending) = self.pending.remove(&call) {
            effects.out.push(Output::Respond {
                id: pending.request,
                status,
                retry_after_s: matches!(status, 429 | 503).then_some(RETRY_AFTER_S),
                body,
            });
        }
    }

    /// The id under which to handle a request that `peer` passed to us as `call`.
    pub fn accept(&mut self, peer: &str, call: u64) -> RequestId {
        self.last_served += 1;
        let peer = peer.to_string();
        self.serving
            .insert(self.last_served, PeerCall { peer, call });
        self.last_served
    }

    /// Sends the answer to a peer's request back to that peer; other outputs stay as they are. `None` if the request
    /// has been answered already.
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
