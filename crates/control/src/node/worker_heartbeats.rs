//! Heartbeats of workers at a node: who answers them, and where a worker is redirected whose heartbeat another node
//! is to answer.

use super::Node;
use crate::effects::{Effects, RequestId};
use crate::forwarding::{ForwardedRequests, HttpRequest, HEARTBEAT_PATH};
use crate::leader::{AnsweredHeartbeat, HeartbeatOutcome};
use crate::pending_heartbeats::LeaderStatus;
use constants::{PEER_HEARTBEAT_MS, REPORT_DROP_MS};
use partitions::Decision;
use wire::workers::{HeartbeatResponse, Redirect, WorkerHeartbeat};

/// Milliseconds per second between heartbeats after which a worker's next heartbeat should have reached the leader:
/// one and a half times as long.
const UNREACHED_MS_PER_S: f64 = 1500.0;

impl Node {
    /// Handles the heartbeat of a worker, which came directly or was passed on by a peer.
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
        // While the leader is loading, an answer would renew the leases of tasks that may have been cancelled.
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
        self.heartbeat.note_worker_heartbeat(now);
        if let Some(partitions) = &mut self.partitions {
            partitions.load().add_report();
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

    /// Handles a heartbeat at a node that leads.
    fn handle_as_leader(
        &mut self,
        id: RequestId,
        heartbeat: WorkerHeartbeat,
        effects: &mut Effects,
    ) {
        match self.owner_to_redirect_to(id, &heartbeat, effects.now.mono) {
            Some(owner) => redirect(Some(owner), id, effects),
            None => self.answer_as_leader(id, heartbeat, effects),
        }
    }

    /// The owner that a worker which reports to this leader should report to instead, if there is one.
    fn owner_to_redirect_to(
        &mut self,
        id: RequestId,
        heartbeat: &WorkerHeartbeat,
        now: u64,
    ) -> Option<String> {
        if ForwardedRequests::is_from_peer(id) {
            return None;
        }
        let leader = self.leader.as_ref()?;
        self.partitions.as_mut()?.redirect(heartbeat, leader, now)
    }

    /// Handles a heartbeat at a node that does not lead. Returns whether it is handled, because this node owns its
    /// machine's partition or knows who does.
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
            Decision::Forward => return self.pass_to_granting_leader(id, body, effects),
            Decision::Redirect(Some(owner)) => redirect(Some(owner), id, effects),
            Decision::Redirect(None) => return false,
            Decision::Outdated => effects.refuse(id, 503, "a late copy of a report"),
        }
        true
    }

    /// Passes a heartbeat on to the leader, as an owner does. Returns false if no leader is alive as far as is known.
    fn pass_to_granting_leader(
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
        let alive = leader.filter(|leader| self.peers.process_of(leader, now).is_some());
        let Some(leader) = alive.map(str::to_string) else {
            return false;
        };
        let request = heartbeat_request(id, body);
        self.forwarded.forward_report(request, leader, effects);
        true
    }

    /// Has the leader of this node answer a heartbeat.
    fn answer_as_leader(
        &mut self,
        id: RequestId,
        heartbeat: WorkerHeartbeat,
        effects: &mut Effects,
    ) {
        let now = effects.now;
        if !self.may_answer(now.mono) {
            return effects.refuse(id, 503, "not entitled to answer workers");
        }
        let active = self.active(now.mono);
        let Some(leader) = &mut self.leader else {
            return;
        };
        let answered = AnsweredHeartbeat::new(&heartbeat);
        match leader.on_worker_heartbeat(heartbeat, active, now) {
            HeartbeatOutcome::Answer(response) => {
                if response.orders.is_empty() {
                    self.delegate_machine(id, &answered, now.mono);
                }
                effects.respond(id, 200, wire::encode(&response));
            }
            HeartbeatOutcome::Defer(mut deferred) => {
                if self.is_crowded {
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

    /// Lets the owner that passed on a heartbeat answer further ones of the machine, if the machine is steady.
    fn delegate_machine(&mut self, id: RequestId, answered: &AnsweredHeartbeat, now: u64) {
        let (Some(partitions), Some(leader)) = (&mut self.partitions, &mut self.leader) else {
            return;
        };
        if let Some(owner) = self.forwarded.peer_of(id) {
            partitions.on_answered(owner, answered, leader, now);
        }
    }

    /// Redirects a worker to the leader, or passes its heartbeat on to a leader that is alive but that no worker
    /// reaches. A worker redirected to such a leader would lose another 4 s, and its lease before long.
    fn redirect_to_leader(&mut self, id: RequestId, body: &[u8], effects: &mut Effects) {
        let now = effects.now.mono;
        let unreached = self.leader_unreached_by_workers(now);
        // Now and then a worker is redirected all the same, to find out whether the leader is reached again.
        let is_probe = unreached.is_some() && self.leader_probe.take_due(now);
        let forward_to = unreached.filter(|_| !is_probe && !ForwardedRequests::is_from_peer(id));
        match forward_to {
            Some(leader) => {
                let request = heartbeat_request(id, body);
                self.forwarded.forward(request, leader, effects);
            }
            None => self.redirect_to_known_leader(id, effects),
        }
    }

    /// The leader, if it has led for long enough to be reached by workers, and is alive, but no worker reaches it.
    fn leader_unreached_by_workers(&self, now: u64) -> Option<String> {
        let report_s = self.settings.deployment.workers.report_s;
        let unreached_ms = (report_s * UNREACHED_MS_PER_S) as u64 + PEER_HEARTBEAT_MS;
        if now <= self.election.known_since() + 2 * REPORT_DROP_MS {
            return None;
        }
        let leader = self.election.leader_label(now)?;
        self.peers
            .is_unreached_by_workers(leader, unreached_ms, now)
            .then(|| leader.to_string())
    }

    /// Redirects a worker to the leader, or to the next controller it knows if this node knows of no other leader.
    fn redirect_to_known_leader(&self, id: RequestId, effects: &mut Effects) {
        let leader = self
            .election
            .leader_label(effects.now.mono)
            .filter(|leader| *leader != self.settings.label)
            .map(str::to_string);
        redirect(leader, id, effects);
    }

    /// Handles heartbeats that were received while no leader was known, or before this one had read its records.
    pub(super) fn handle_pending_heartbeats(&mut self, effects: &mut Effects) {
        if self.pending_heartbeats.is_empty() {
            return;
        }
        let now = effects.now.mono;
        let status = self.leader_status(now);
        // An owner passes on the heartbeats of its partitions.
        let passes_on = status == LeaderStatus::Elsewhere && self.partitions.is_some();
        if status == LeaderStatus::Ready || passes_on {
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

/// The request by which a worker sent a heartbeat.
fn heartbeat_request(id: RequestId, body: &[u8]) -> HttpRequest<'_> {
    HttpRequest {
        id,
        method: "POST",
        target: HEARTBEAT_PATH,
        body,
    }
}

/// Redirects a worker to a controller, or to the next one it knows.
fn redirect(controller: Option<String>, id: RequestId, effects: &mut Effects) {
    let leader = controller;
    effects.respond(id, 421, wire::encode(&Redirect { controller: leader }));
}
