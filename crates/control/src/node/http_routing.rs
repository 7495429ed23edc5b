//! Routes HTTP requests by method and path: readiness checks, worker heartbeats, and user requests.

use super::Node;
use crate::effects::{Effects, RequestId};
use crate::forwarding::{ForwardedRequests, HttpRequest, HEARTBEAT_PATH};
use crate::gateway::{Acceptance, NodeStatus};

/// Path of the load balancer's readiness check.
const READY_PATH: &str = "/ready";
/// Path of the collection of users' jobs.
const SUBMISSIONS_PATH: &str = "/submissions";
/// Prefix of the paths of single jobs.
const SUBMISSION_PREFIX: &str = "/submissions/";

/// HTTP status of a successful request.
const OK: u16 = 200;
/// HTTP status of a request for an unknown path.
const NOT_FOUND: u16 = 404;
/// HTTP status of a request whose path doesn't support its method.
const METHOD_NOT_ALLOWED: u16 = 405;
/// HTTP status of a request that can't be served at the moment.
const SERVICE_UNAVAILABLE: u16 = 503;

/// Reason sent with a refusal while this node doesn't serve users.
const NOT_SERVING: &str = "this process stops, or may not take part";

impl Node {
    /// Handles a request that arrived on a socket of this node or was forwarded by a peer.
    pub(super) fn on_request(&mut self, request: HttpRequest, effects: &mut Effects) {
        let id = request.id;
        let path = request.target.split('?').next().unwrap_or_default();
        match (request.method, path) {
            ("GET", READY_PATH) => self.on_readiness_check(id, effects),
            ("POST", HEARTBEAT_PATH) => self.on_worker_heartbeat(id, request.body, effects),
            (_, READY_PATH | HEARTBEAT_PATH) => {
                effects.refuse(id, METHOD_NOT_ALLOWED, "method not allowed");
            }
            _ if !self.accepts_user_requests() => {
                effects.refuse(id, SERVICE_UNAVAILABLE, NOT_SERVING)
            }
            _ if is_user_path(path) => self.on_user_request(request, path, effects),
            _ => effects.refuse(id, NOT_FOUND, "no such path"),
        }
    }

    fn on_readiness_check(&self, id: RequestId, effects: &mut Effects) {
        if self.is_isolated(effects.now.mono) {
            let reason = "neither the state service nor a peer is reached";
            return effects.refuse(id, SERVICE_UNAVAILABLE, reason);
        }
        if !self.accepts_user_requests() {
            return effects.refuse(id, SERVICE_UNAVAILABLE, NOT_SERVING);
        }
        effects.respond(id, OK, Vec::new());
    }

    /// Handles a user's request. If this node doesn't reach the state service, it forwards the
    /// request to a peer that does, unless a peer forwarded the request to this node. A submission
    /// that only the leader can decide goes to the leader.
    fn on_user_request(&mut self, request: HttpRequest, path: &str, effects: &mut Effects) {
        let now = effects.now.mono;
        let is_state_available = self.state.is_available(now);
        if !is_state_available && !ForwardedRequests::is_from_peer(request.id) {
            if let Some(peer) = self.peers.peer_reaching_state(now) {
                let peer = peer.to_string();
                return self.forwarded_requests.forward(request, peer, effects);
            }
        }
        let status = NodeStatus {
            is_state_available,
            is_leader: self.leader.is_some(),
        };
        let user_request = HttpRequest {
            target: path,
            ..request
        };
        let acceptance = self.gateway.on_request(user_request, status, effects);
        if acceptance == Acceptance::NeedsLeader {
            self.forward_to_leader(request, effects);
        }
    }

    /// Forwards a submission that only the leader can decide. A request from a peer is not forwarded
    /// again, since nodes may disagree on who leads.
    fn forward_to_leader(&mut self, request: HttpRequest, effects: &mut Effects) {
        let now = effects.now.mono;
        let is_alive = |leader: &&str| self.peers.live_process(leader, now).is_some();
        let leader = self.election.leader_label(now).filter(is_alive);
        match leader.filter(|_| !ForwardedRequests::is_from_peer(request.id)) {
            Some(leader) => {
                let leader = leader.to_string();
                self.forwarded_requests.forward(request, leader, effects);
            }
            None => self.gateway.refuse_unconfirmed(request.id, effects),
        }
    }

    /// Returns whether this node serves users.
    fn accepts_user_requests(&self) -> bool {
        self.rollout.is_admitted() && self.planned_stop.is_none()
    }
}

fn is_user_path(path: &str) -> bool {
    path == SUBMISSIONS_PATH || path.starts_with(SUBMISSION_PREFIX)
}
