//! Handles worker heartbeats: decides which node answers a heartbeat, and where to redirect the
//! worker if another node should.

use super::Node;
use crate::effects::{Effects, RequestId};
use crate::forwarding::{ForwardedRequests, HttpRequest, HEARTBEAT_PATH};
use crate::leader::{AnsweredHeartbeat, HeartbeatOutcome};
use crate::pending_heartbeats::LeaderStatus;
use constants::{PEER_HEARTBEAT_INTERVAL_MS, WORKER_REPORT_TIMEOUT_MS};
use partitions::Decision;
use wire::workers::{HeartbeatResponse, Redirect, WorkerHeartbeat};

/// Milliseconds per second of the heartbeat interval after which a worker's next heartbeat should
/// have reached the leader: 1.5 times the interval.
const UNREACHED_MS_PER_REPORT_S: f64 = 1500.0;

impl Node {
    /// Handles a worker's heartbeat, which arrived directly or was forwarded by a peer.
    pub(super) fn on_worker_heartbeat(
        &mut self,
        id: RequestId,
        body: &[u8],
        effects: &mut Effects,
    ) {
        let now = effects.now.mono;
        if !ForwardedRequests::is_from_peer(id) {
            self.count_direct_heartbeat(now);
        }
        let heartbeat: WorkerHeartbeat = match wire::decode(body) {
            Ok(heartbeat) => heartbeat,
            Err(why) => return effects.refuse(id, 400, &why.to_string()),
        };
        let status = self.leader_status(now);
        let is_leading = matches!(status, LeaderStatus::Ready | LeaderStatus::Loading);
        if !is_leading && self.handle_as_follower(id, &heartbeat, body, effects) {
            return;
        }
        // While the leader is loading its records, an answer would renew the leases of tasks that
        // may have been cancelled.
        let must_wait = matches!(status, LeaderStatus::Unknown | LeaderStatus::Loading);
        if must_wait && self.pending_heartbeats.has_room() {
            return self.pending_heartbeats.push(id, body, now);
        }
        if is_leading {
            self.handle_as_leader(id, heartbeat, effects);
        } else {
            self.redirect_to_leader(id, body, effects);
        }
    }

    fn count_direct_heartbeat(&mut self, now: u64) {
        self.peer_heartbeats.note_worker_heartbeat(now);
        if let Some(partitions) = &mut self.partitions {
            partitions.load_meter().add_worker_heartbeat();
        }
    }

    fn leader_status(&self, now: u64) -> LeaderStatus {
        match &self.leader {
            Some(leader) if leader.is_ready() => LeaderStatus::Ready,
            Some(_) => LeaderStatus::Loading,
            None if self.election.leader_label(now).is_some() => LeaderStatus::Elsewhere,
            None => LeaderStatus::Unknown,
        }
    }

    /// Handles a heartbeat if this node is the leader.
    fn handle_as_leader(
        &mut self,
        id: RequestId,
        heartbeat: WorkerHeartbeat,
        effects: &mut Effects,
    ) {
        match self.redirect_target(id, &heartbeat, effects.now.mono) {
            Some(owner) => redirect(Some(owner), id, effects),
            None => self.answer_as_leader(id, heartbeat, effects),
        }
    }

    /// Returns the owner to which a worker that reports to this leader is redirected, if any.
    fn redirect_target(
        &mut self,
        id: RequestId,
        heartbeat: &WorkerHeartbeat,
        now: u64,
    ) -> Option<String> {
        if ForwardedRequests::is_from_peer(id) {
            return None;
        }
        let leader = self.leader.as_ref()?;
        self.partitions
            .as_mut()?
            .redirect_target(heartbeat, leader, now)
    }

    /// Handles a heartbeat if this node is not the leader. Returns true if it was handled, which is
    /// the case if this node owns the partition of the machine or knows its owner.
    fn handle_as_follower(
        &mut self,
        id: RequestId,
        heartbeat: &WorkerHeartbeat,
        body: &[u8],
        effects: &mut Effects,
    ) -> bool {
        if ForwardedRequests::is_from_peer(id) {
            return false;
        }
        let term = self.election.highest_term();
        let Some(partitions) = &mut self.partitions else {
            return false;
        };
        match partitions.decide(heartbeat, term, effects.now.mono) {
            Decision::Answer { term } => {
                let orders = Vec::new();
                effects.respond(id, 200, wire::encode(&HeartbeatResponse { term, orders }));
            }
            Decision::Forward => return self.forward_to_granting_leader(id, body, effects),
            Decision::Redirect(Some(owner)) => redirect(Some(owner), id, effects),
            Decision::Redirect(None) => return false,
            Decision::Outdated => effects.refuse(id, 503, "a late copy of a report"),
        }
        true
    }

    /// Forwards a heartbeat to the leader, on behalf of the owner of its partition. Returns false
    /// if no live leader is known.
    fn forward_to_granting_leader(
        &mut self,
        id: RequestId,
        body: &[u8],
        effects: &mut Effects,
    ) -> bool {
        let now = effects.now.mono;
        let known = self.election.leader_label(now);
        let term = self.election.highest_term();
        let partitions = self.partitions.as_ref();
        let leader = known.or(partitions.and_then(|p| p.granting_leader(term)));
        let alive = leader.filter(|leader| self.peers.live_process(leader, now).is_some());
        let Some(leader) = alive.map(str::to_string) else {
            return false;
        };
        let request = heartbeat_request(id, body);
        self.forwarded_requests
            .forward_worker_heartbeat(request, leader, effects);
        true
    }

    /// Lets this node's leader answer a heartbeat.
    fn answer_as_leader(
        &mut self,
        id: RequestId,
        heartbeat: WorkerHeartbeat,
        effects: &mut Effects,
    ) {
        let now = effects.now;
        if !self.may_answer_workers(now.mono) {
            return effects.refuse(id, 503, "not entitled to answer workers");
        }
        let authority = self.leader_authority(now.mono);
        let Some(leader) = &mut self.leader else {
            return;
        };
        let answered = AnsweredHeartbeat::new(&heartbeat);
        match leader.on_worker_heartbeat(heartbeat, authority, now) {
            HeartbeatOutcome::Answer(response) => {
                if response.orders.is_empty() {
                    self.delegate_machine(id, &answered, now.mono);
                }
                effects.respond(id, 200, wire::encode(&response));
            }
            HeartbeatOutcome::Defer(mut deferred) => {
                if self.has_socket_shortage {
                    deferred.stop_waiting_for_work();
                }
                self.deferred_answers.push(id, deferred);
            }
            HeartbeatOutcome::NewerTerm(term) => {
                self.election.observe_term(term, effects);
                effects.refuse(id, 503, "a newer leader exists");
            }
        }
    }

    /// If the machine is steady, lets the owner that forwarded the heartbeat answer further
    /// heartbeats of this machine.
    fn delegate_machine(&mut self, id: RequestId, answered: &AnsweredHeartbeat, now: u64) {
        let (Some(partitions), Some(leader)) = (&mut self.partitions, &mut self.leader) else {
            return;
        };
        if let Some(owner) = self.forwarded_requests.forwarding_peer(id) {
            partitions.on_heartbeat_answered(owner, answered, leader, now);
        }
    }

    /// Redirects a worker to the leader, or forwards its heartbeat if the leader is alive but not
    /// reached by any worker. A worker that is redirected to such a leader loses another 4 s, and
    /// soon its lease.
    fn redirect_to_leader(&mut self, id: RequestId, body: &[u8], effects: &mut Effects) {
        let now = effects.now.mono;
        let unreached = self.leader_unreached_by_workers(now);
        // A worker is occasionally redirected anyway, to find out whether workers reach the leader
        // again.
        let is_probe = unreached.is_some() && self.leader_probe.take_due(now);
        let forward_to = unreached.filter(|_| !is_probe && !ForwardedRequests::is_from_peer(id));
        match forward_to {
            Some(leader) => {
                let request = heartbeat_request(id, body);
                self.forwarded_requests.forward(request, leader, effects);
            }
            None => self.redirect_to_known_leader(id, effects),
        }
    }

    /// Returns the leader if it is alive and has led for long enough to be reached by workers, but
    /// no worker reaches it.
    fn leader_unreached_by_workers(&self, now: u64) -> Option<String> {
        let report_s = self.settings.deployment.workers.report_s;
        let unreached_ms =
            (report_s * UNREACHED_MS_PER_REPORT_S) as u64 + PEER_HEARTBEAT_INTERVAL_MS;
        if now <= self.election.leader_known_since() + 2 * WORKER_REPORT_TIMEOUT_MS {
            return None;
        }
        let leader = self.election.leader_label(now)?;
        self.peers
            .is_unreached_by_workers(leader, unreached_ms, now)
            .then(|| leader.to_string())
    }

    /// Redirects a worker to the leader. If this node knows of no other leader, the worker is
    /// redirected to the next controller that it knows.
    fn redirect_to_known_leader(&self, id: RequestId, effects: &mut Effects) {
        let leader = self
            .election
            .leader_label(effects.now.mono)
            .filter(|leader| *leader != self.settings.label)
            .map(str::to_string);
        redirect(leader, id, effects);
    }

    /// Handles heartbeats that were received while no leader was known, or before this leader had
    /// read its records.
    pub(super) fn handle_pending_heartbeats(&mut self, effects: &mut Effects) {
        if self.pending_heartbeats.is_empty() {
            return;
        }
        let now = effects.now.mono;
        let status = self.leader_status(now);
        // Owners forward the heartbeats of their partitions to the leader.
        let is_forwarded = status == LeaderStatus::Elsewhere && self.partitions.is_some();
        if status == LeaderStatus::Ready || is_forwarded {
            for heartbeat in self.pending_heartbeats.take_batch() {
                self.on_worker_heartbeat(heartbeat.id, &heartbeat.body, effects);
            }
            return;
        }
        for id in self.pending_heartbeats.take_redirected(status, now) {
            self.redirect_to_known_leader(id, effects);
        }
    }
}

/// Builds the HTTP request with which a worker sent a heartbeat.
fn heartbeat_request(id: RequestId, body: &[u8]) -> HttpRequest<'_> {
    HttpRequest {
        id,
        method: "POST",
        target: HEARTBEAT_PATH,
        body,
    }
}

/// Redirects a worker to a controller, or without one to the next controller that the worker knows.
fn redirect(controller: Option<String>, id: RequestId, effects: &mut Effects) {
    let leader = controller;
    effects.respond(id, 421, wire::encode(&Redirect { controller: leader }));
}
