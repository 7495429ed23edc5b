//! Messages that a node sends to its peers periodically: heartbeats, the leader's open jobs, and
//! jobs that have ended.
//!
//! A heartbeat tells how long ago the state service answered and a worker sent a heartbeat, and how
//! many cancellations this process has confirmed to users. It echoes the peer's clock, so that the
//! peer knows up to when it has received the notices of all these cancellations.

use crate::effects::{Effects, Output};
use crate::election::Election;
use crate::gateway::Gateway;
use crate::leader::Leader;
use crate::peers::Peers;
use crate::state::StateClient;
use constants::{
    JOB_UPDATES_PER_MESSAGE_MAX, OPEN_JOB_COUNTS_INTERVAL_MS, PEER_HEARTBEAT_INTERVAL_MS,
};
use wire::peers::PeerMessage;
use wire::records::JobOutcome;

/// Returns the start of the range of numbers that this process sends to peers and peers send back.
/// The range depends on the process, so an echo of, or an answer to, an earlier process of this
/// node can be recognized. The lower 31 bits stay free: as milliseconds, three weeks.
pub(crate) fn process_number_base(boot: u64) -> u64 {
    (boot << 32) >> 1
}

/// A job that has ended.
struct EndedJob {
    id: String,
    end: JobOutcome,
}

/// Sends heartbeats and notices to the peers.
pub(crate) struct PeerHeartbeats {
    /// Random number that identifies this process.
    boot: u64,
    /// Offset that is added to the clock in heartbeats.
    clock_offset: u64,
    started_at: u64,
    next_heartbeat_at: u64,
    next_open_jobs_at: u64,
    /// When a worker last sent a heartbeat directly to this node.
    last_worker_heartbeat_at: Option<u64>,
    /// Number of cancellations that this process has confirmed.
    cancellation_count: u64,
    /// Jobs archived since the last heartbeat to peers.
    ended_jobs: Vec<EndedJob>,
}

impl PeerHeartbeats {
    /// Starts with a heartbeat that is due now. `boot` is the random number that identifies this
    /// process.
    pub fn new(boot: u64, now: u64) -> Self {
        PeerHeartbeats {
            boot,
            clock_offset: process_number_base(boot),
            started_at: now,
            next_heartbeat_at: now,
            next_open_jobs_at: 0,
            last_worker_heartbeat_at: None,
            cancellation_count: 0,
            ended_jobs: Vec::new(),
        }
    }

    /// Returns when this process started.
    pub fn started_at(&self) -> u64 {
        self.started_at
    }

    /// Returns when the next heartbeat is due.
    pub fn next_wake(&self) -> u64 {
        self.next_heartbeat_at
    }

    /// Records that a worker sent a heartbeat directly to this node.
    pub fn note_worker_heartbeat(&mut self, now: u64) {
        self.last_worker_heartbeat_at = Some(now);
    }

    /// Records that a job has ended. Peers are notified together with the next heartbeat.
    pub fn on_job_ended(&mut self, job: String, end: JobOutcome) {
        self.ended_jobs.push(EndedJob { id: job, end });
    }

    /// Counts a cancellation that is about to be confirmed to a user, and returns the notice for
    /// the peers. The notice must be sent before the answer to the user, and before the next
    /// heartbeat, whose count includes it.
    pub fn on_cancellation(&mut self, job: String) -> Output {
        self.cancellation_count += 1;
        let number = self.cancellation_count;
        Output::Peer {
            to: None,
            message: PeerMessage::Aborted { number, job },
        }
    }

    /// Sends the messages that are due.
    pub fn tick(
        &mut self,
        election: &Election,
        state: &StateClient,
        peers: &Peers,
        leader: Option<&mut Leader>,
        gateway: &mut Gateway,
        effects: &mut Effects,
    ) {
        let now = effects.now.mono;
        if now < self.next_heartbeat_at {
            return;
        }
        self.next_heartbeat_at = now + PEER_HEARTBEAT_INTERVAL_MS;
        self.send_heartbeats(election, state, peers, effects);
        if let Some(leader) = leader.filter(|leader| leader.is_ready()) {
            self.send_open_jobs(leader, gateway, effects);
        }
        self.send_ended_jobs(effects);
    }

    fn send_heartbeats(
        &self,
        election: &Election,
        state: &StateClient,
        peers: &Peers,
        effects: &mut Effects,
    ) {
        let now = effects.now.mono;
        let ago = |at: u64| now.saturating_sub(at);
        let state_ago_ms = match state.last_success_at() {
            0 => ago(self.started_at),
            at => ago(at),
        };
        for (label, echo) in peers.peer_clocks() {
            let heartbeat = PeerMessage::Heartbeat {
                term: election.highest_term(),
                state_ago_ms,
                leads: election.leading_term().is_some(),
                worker_ago_ms: self.last_worker_heartbeat_at.map(ago),
                sent: self.clock_offset + now,
                echo,
                boot: self.boot,
                aborts: self.cancellation_count,
            };
            effects.send_to_peer(label.clone(), heartbeat);
        }
    }

    /// Announces the open jobs to all gateways, including that of this node.
    fn send_open_jobs(
        &mut self,
        leader: &mut Leader,
        gateway: &mut Gateway,
        effects: &mut Effects,
    ) {
        let now = effects.now.mono;
        if now < self.next_open_jobs_at {
            return;
        }
        self.next_open_jobs_at = now + OPEN_JOB_COUNTS_INTERVAL_MS;
        let jobs = leader.next_job_updates();
        gateway.on_job_updates(&jobs);
        let term = leader.term;
        effects.send_to_all_peers(PeerMessage::Counts { term, jobs });
    }

    fn send_ended_jobs(&mut self, effects: &mut Effects) {
        let ended = std::mem::take(&mut self.ended_jobs);
        // A message that exceeds the size of a frame would not be sent at all.
        for jobs in ended.chunks(JOB_UPDATES_PER_MESSAGE_MAX) {
            let is_done = |job: &EndedJob| job.end == JobOutcome::Done;
            let jobs = jobs.iter().map(|job| (job.id.clone(), is_done(job)));
            effects.send_to_all_peers(PeerMessage::Over {
                jobs: jobs.collect(),
            });
        }
    }
}

#[cfg(test)]
mod tests;
