//! Handles messages from the other controllers.

use super::Node;
use crate::effects::Effects;
use crate::forwarding::HttpRequest;
use crate::peers::PeerHeartbeat;
use wire::peers::{JobUpdate, PeerMessage};
use wire::records::JobOutcome;

impl Node {
    pub(super) fn on_peer(&mut self, from: &str, message: PeerMessage, effects: &mut Effects) {
        match message {
            PeerMessage::Hello { .. } => {}
            PeerMessage::Heartbeat {
                term,
                state_ago_ms,
                worker_ago_ms,
                sent,
                echo,
                boot,
                aborts,
                ..
            } => {
                let heartbeat = PeerHeartbeat {
                    received_at: effects.now.mono,
                    state_ago_ms,
                    worker_ago_ms,
                    sent_clock: sent,
                    echoed_clock: echo,
                    boot,
                    cancellation_count: aborts,
                };
                self.on_peer_heartbeat(from, term, heartbeat, effects);
            }
            PeerMessage::Aborted { number, job } => {
                self.on_peer_cancellation(from, number, &job, effects);
            }
            PeerMessage::Counts { term, jobs } => self.on_open_jobs(term, &jobs),
            PeerMessage::Over { jobs } => self.on_ended_jobs(jobs),
            PeerMessage::Forward {
                call,
                method,
                target,
                body,
            } => {
                let request = HttpRequest {
                    id: self.forwarded_requests.accept_from_peer(from, call),
                    method: &method,
                    target: &target,
                    body: &body,
                };
                self.on_request(request, effects);
            }
            PeerMessage::Forwarded { call, status, body } => {
                self.forwarded_requests
                    .on_answer(from, call, status, body, effects);
            }
            PeerMessage::Handover { term } => self.election.on_handover(from, term, effects),
            PeerMessage::Partitions(message) => self.on_partition_message(from, message, effects),
        }
    }

    fn on_peer_heartbeat(
        &mut self,
        from: &str,
        term: u64,
        heartbeat: PeerHeartbeat,
        effects: &mut Effects,
    ) {
        let boot = heartbeat.boot;
        self.peers.on_heartbeat(from, heartbeat);
        self.rollout.on_heartbeat(from, boot, effects.now.mono);
        self.election.observe_term(term, effects);
    }

    /// Handles the notice that a peer is about to confirm a cancellation to a user. `number` is the
    /// sequence number of the cancellation within the peer's process.
    fn on_peer_cancellation(&mut self, from: &str, number: u64, job: &str, effects: &mut Effects) {
        self.peers.on_cancellation_notice(from, number);
        self.gateway.remember_cancelled(job);
        if let Some(leader) = &mut self.leader {
            leader.on_cancellation_notice(job, effects.now);
        }
    }

    /// Handles the open jobs that the leader of `term` announced. Announcements of former leaders
    /// are outdated and ignored.
    fn on_open_jobs(&mut self, term: u64, jobs: &[JobUpdate]) {
        if term >= self.election.highest_term() && self.leader.is_none() {
            self.gateway.on_job_updates(jobs);
        }
    }

    /// Handles the leader's notice of jobs that it archived. The flag of each job tells whether it
    /// is done or was cancelled.
    fn on_ended_jobs(&mut self, jobs: Vec<(String, bool)>) {
        for (id, is_done) in jobs {
            let end = if is_done {
                JobOutcome::Done
            } else {
                JobOutcome::Aborted
            };
            self.gateway.remember_outcome(id, end);
        }
    }
}
