//! Workers' reports: who answers them, and where workers are sent that report to another node.

use super::Node;
use crate::effects::{Effects, RequestId};
use crate::forwarding::{ForwardedRequests, HttpRequest, REPORT_PATH};
use crate::leader::{AnsweredHeartbeat, ReportOutcome};
use crate::pending_heartbeats::LeaderStatus;
use constants::{PEER_HEARTBEAT_MS, REPORT_DROP_MS};
use partitions::Decision;
use wire::workers::{Elsewhere, HeartbeatResponse, WorkerHeartbeat};

impl Node {
    pub(super) fn on_worker_heartbeat(
        &mut self,
        id: RequestId,
        body: &[u8],
        effects: &mut Effects,
    ) {
        let now = effects.now.mono;
        if !ForwardedRequests::is_from_peer(id) {
            self.heartbeat.note_worker_heartbeat(now);
            if let Some(partitions) = &mut self.partitions {
                partitions.load().add_report();
            }
        }
        let report: WorkerHeartbeat = match wire::decode(body) {
            Ok(report) => report,
            Err(why) => return effects.refuse(id, 400, &why.to_string()),
        };
        let status = self.leader_status(now);
        let is_led_elsewhere = matches!(status, LeaderStatus::Elsewhere | LeaderStatus::Unknown);
        if is_led_elsewhere && self.report_to_owner(id, &report, body, effects) {
            return;
        }
        // While the leader is loading, an answer would renew the leases of tasks that may be cancelled, for all it knows.
        let waits = matches!(status, LeaderStatus::Unknown | LeaderStatus::Loading);
        if waits && self.pending_heartbeats.has_room() {
            return self.pending_heartbeats.push(id, body, now);
        }
        match status {
            LeaderStatus::Ready | LeaderStatus::Loading => {
                if let Some(owner) = self.owner_to_redirect_to(id, &report, now) {
                    return send_to(Some(owner), id, effects);
                }
                self.report_to_leader(id, report, effects);
            }
            LeaderStatus::Elsewhere | LeaderStatus::Unknown => {
                self.pass_report_on(id, body, effects)
            }
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

    /// The owner that a worker which reports to this leader is to report to instead, if it is to.
    fn owner_to_redirect_to(
        &mut self,
        id: RequestId,
        report: &WorkerHeartbeat,
        now: u64,
    ) -> Option<String> {
        if ForwardedRequests::is_from_peer(id) {
            return None;
        }
        let leader = self.leader.as_ref()?;
        self.partitions.as_mut()?.redirect(report, leader, now)
    }

    /// A report at a node that does not lead. Whether it is dealt with, since this node owns its machine's partition or knows
    /// who does.
    fn report_to_owner(
        &mut self,
        id: RequestId,
        report: &WorkerHeartbeat,
        body: &[u8],
        effects: &mut Effects,
    ) -> bool {
        let term = self.election.highest_term();
        let partitions = self.partitions.as_mut();
        let Some(partitions) = partitions.filter(|_| !ForwardedRequests::is_from_peer(id)) else {
            return false;
        };
        match partitions.decide(report, term, effects.now.mono) {
            Decision::Answer { term } => {
                let orders = Vec::new();
                effects.respond(id, 200, wire::encode(&HeartbeatResponse { term, orders }));
            }
            Decision::PassOn => return self.pass_to_leader(id, body, effects),
            Decision::Redirect(Some(owner)) => send_to(Some(owner), id, effects),
            Decision::Redirect(None) => return false,
            Decision::Outdated => effects.refuse(id, 503, "a late copy of a report"),
        }
        true
    }

    /// Passes a report on to the leader; false if none is heard.
    fn pass_to_leader(&mut self, id: RequestId, body: &[u8], effects: &mut Effects) -> bool {
        let now = effects.now.mono;
        let known = self.election.leader_label(now);
        let term = self.election.highest_term();
        let partitions = self.partitions.as_ref();
        let leader = known.or(partitions.and_then(|p| p.granting_leader(term)));
        let heard = leader.filter(|leader| self.peers.process_of(leader, now).is_some());
        let Some(leader) = heard.map(str::to_string) else {
            return false;
        };
        let report = HttpRequest {
            id,
            method: "POST",
            target: REPORT_PATH,
            body,
        };
        self.forwarded.forward_report(report, leader, effects);
        true
    }

    fn report_to_leader(&mut self, id: RequestId, report: WorkerHeartbeat, effects: &mut Effects) {
        let now = effects.now;
        if !self.may_answer(now.mono) {
            return effects.refuse(id, 503, "not entitled to answer workers");
        }
        let active = self.active(now.mono);
        let Some(leader) = &mut self.leader else {
            return;
        };
        let about = AnsweredHeartbeat::new(&report);
        match leader.on_worker_heartbeat(report, active, now) {
            ReportOutcome::Answer(answer) => {
                if let Some(partitions) = self
                    .partitions
                    .as_mut()
                    .filter(|_| answer.orders.is_empty())
                {
                    if let Some(peer) = self.forwarded.peer_of(id) {
                        partitions.on_answered(peer, &about, leader, now.mono);
                    }
                }
                effects.respond(id, 200, wire::encode(&answer));
            }
            ReportOutcome::Defer(mut deferred) => {
                if self.is_crowded {
                    deferred.stop_waiting_for_work();
                }
                self.deferred_answers.push(id, deferred);
            }
            ReportOutcome::NewerTerm(term) => {
                self.election.heard_term(term, effects);
                effects.refuse(id, 503, "a newer leader exists");
            }
        }
    }

    /// Sends a worker to the leader, or passes its report on to a leader that lives but that no worker reaches: sent to
    /// it, the worker would lose another 4 s, and its lease before long.
    fn pass_report_on(&mut self, id: RequestId, body: &[u8], effects: &mut Effects) {
        let now = effects.now.mono;
        let unreached_ms =
            (self.settings.deployment.workers.report_s * 1500.0) as u64 + PEER_HEARTBEAT_MS;
        let leader = self.election.leader_label(now).map(str::to_string);
        let has_new_decisions = now > self.election.known_since() + 2 * REPORT_DROP_MS;
        let unreached = leader.filter(|l| {
            has_new_decisions && self.peers.is_unreached_by_workers(l, unreached_ms, now)
        });
        // Now and then one worker is sent there all the same, to find out whether it is reached again.
        let probe = unreached.is_some() && self.leader_probe.take_due(now);
        let forward_to = unreached.filter(|_| !probe && !ForwardedRequests::is_from_peer(id));
        if let Some(leader) = forward_to {
            let report = HttpRequest {
                id,
                method: "POST",
                target: REPORT_PATH,
                body,
            };
            return self.forwarded.forward(report, leader, effects);
        }
        self.send_elsewhere(id, effects);
    }

    fn send_elsewhere(&self, id: RequestId, effects: &mut Effects) {
        let leader = self
            .election
            .leader_label(effects.now.mono)
            .filter(|l| *l != self.settings.label)
            .map(str::to_string);
        send_to(leader, id, effects);
    }

    /// Goes on with reports that came while no leader was known, or before this one had read its records.
    pub(super) fn handle_pending_reports(&mut self, effects: &mut Effects) {
        if self.pending_heartbeats.is_empty() {
            return;
        }
        let now = effects.now.mono;
        let status = self.leader_status(now);
        // An owner passes those of its partitions on.
        let passes_on = status == LeaderStatus::Elsewhere && self.partitions.is_some();
        if status == LeaderStatus::Ready || passes_on {
            for report in self.pending_heartbeats.take_batch() {
                self.on_worker_heartbeat(report.id, &report.body, effects);
            }
            return;
        }
        for id in self.pending_heartbeats.take_redirected(status, now) {
            self.send_elsewhere(id, effects);
        }
    }
}

/// Sends a worker to a controller, or to the next one it knows.
fn send_to(leader: Option<String>, id: RequestId, effects: &mut Effects) {
    effects.respond(id, 421, wire::encode(&Elsewhere { leader }));
}
