//! Routing of HTTP requests by method and path: readiness checks, workers' heartbeats, and users' requests.

use super::Node;
use crate::effects::{Effects, RequestId};
use crate::forwarding::{ForwardedRequests, HttpRequest, HEARTBEAT_PATH};

/// Path of the load balancer's readiness check.
const READY_PATH: &str = "/ready";
/// Path of the users' jobs.
const SUBMISSIONS_PATH: &str = "/submissions";
/// What the paths of single jobs begin with.
const SUBMISSION_PREFIX: &str = "/submissions/";

/// HTTP status: done.
const OK: u16 = 200;
/// HTTP status: nothing is served under this path.
const NOT_FOUND: u16 = 404;
/// HTTP status: the path does not take this method.
const METHOD_NOT_ALLOWED: u16 = 405;
/// HTTP status: the request can't be served at the moment.
const SERVICE_UNAVAILABLE: u16 = 503;

/// Reason for a refusal by a node that serves no users.
const NOT_SERVING: &str = "this process stops, or may not take part";

impl Node {
    /// Handles a request from one of our sockets, or one that a peer has forwarded.
    pub(super) fn on_request(&mut self, request: HttpRequest, effects: &mut Effects) {
        let id = request.id;
        let path = request.target.split('?').next().unwrap_or_default();
        match (request.method, path) {
            ("GET", READY_PATH) => self.on_readiness_check(id, effects),
            ("POST", HEARTBEAT_PATH) => self.on_worker_heartbeat(id, request.body, effects),
            (_, READY_PATH | HEARTBEAT_PATH) => {
                effects.refuse(id, METHOD_NOT_ALLOWED, "method not allowed");
            }
            _ if !self.takes_requests() => effects.refuse(id, SERVICE_UNAVAILABLE, NOT_SERVING),
            _ if is_user_path(path) => self.on_user_request(request, path, effects),
            _ => effects.refuse(id, NOT_FOUND, "no such path"),
        }
    }

    fn on_readiness_check(&self, id: RequestId, effects: &mut Effects) {
        if self.is_cut_off(effects.now.mono) {
            let reason = "neither the state service nor a peer is reached";
            return effects.refuse(id, SERVICE_UNAVAILABLE, reason);
        }
        if !self.takes_requests() {
            return effects.refuse(id, SERVICE_UNAVAILABLE, NOT_SERVING);
        }
        effects.respond(id, OK, Vec::new());
    }

    /// A node without the state service forwards users' requests to a peer that reaches it, but none that a peer has
    /// forwarded already.
    fn on_user_request(&mut self, request: HttpRequest, path: &str, effects: &mut Effects) {
        let now = effects.now.mono;
        let HttpRequest {
            id, method, body, ..
        } = request;
        let is_state_up = self.state.is_up(now);
        if !is_state_up && !ForwardedRequests::is_from_peer(id) {
            if let Some(peer) = self.peers.with_state(now) {
                let peer = peer.to_string();
                return self.forwarded.forward(request, peer, effects);
            }
        }
        self.gateway
            .on_request(id, method, path, body, is_state_up, effects);
    }

    /// Whether users are served here.
    fn takes_requests(&self) -> bool {
        self.rollout.is_admitted() && self.planned_stop.is_none()
    }
}

fn is_user_path(path: &str) -> bool {
    path == SUBMISSIONS_PATH || path.starts_with(SUBMISSION_PREFIX)
}
