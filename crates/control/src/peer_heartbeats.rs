//! Messages that a node sends to its peers from time to time: heartbeats, the leader's open jobs, and jobs that have
//! ended.
//!
//! A heartbeat says how long ago the state service answered and a worker reported, and how many cancellations this
//! process has confirmed to users. It echoes the peer's clock, so that the peer knows up to when it has received
//! notice of all of them.

use crate::effects::{Effects, Output};
use crate::election::Election;
use crate::gateway::Gateway;
use crate::leader::Leader;
use crate::peers::Peers;
use crate::state::StateClient;
use constants::{COUNTS_MS, JOB_UPDATES_MAX, PEER_HEARTBEAT_MS};
use wire::peers::PeerMessage;
use wire::records::JobOutcome;

/// Where the numbers of a process begin that its peers send back to it. So an echo of, or an answer to, an earlier
/// process of this node can be recognised. 31 bits stay free, which as milliseconds is three weeks.
pub(crate) fn process_base(boot: u64) -> u64 {
    (boot << 32) >> 1
}

/// A job that has ended.
struct EndedJob {
    id: String,
    end: JobOutcome,
}

/// Sends heartbeats and notices to peers.
pub(crate) struct PeerHeartbeats {
    /// Number of this process.
    boot: u64,
    /// What is added to the clock in heartbeats.
    clock_base: u64,
    started_at: u64,
    next_heartbeat: u64,
    next_open_jobs: u64,
    /// When a worker last reported to this node directly.
    last_worker_heartbeat: Option<u64>,
    /// How many cancellations this process has confirmed.
    cancellations: u64,
    /// Jobs archived since the last heartbeat.
    ended_jobs: Vec<EndedJob>,
}

impl PeerHeartbeats {
    /// `boot` is the number of this process.
    pub fn new(boot: u64, now: u64) -> Self {
        PeerHeartbeats {
            boot,
            clock_base: process_base(boot),
            started_at: now,
            next_heartbeat: now,
            next_open_jobs: 0,
            last_worker_heartbeat: None,
            cancellations: 0,
            ended_jobs: Vec::new(),
        }
    }

    /// When this process started.
    pub fn started_at(&self) -> u64 {
        self.started_at
    }

    /// When the next heartbeat is due.
    pub fn next_wake(&self) -> u64 {
        self.next_heartbeat
    }

    /// Notes that a worker has reported to this node directly.
    pub fn note_worker_heartbeat(&mut self, now: u64) {
        self.last_worker_heartbeat = Some(now);
    }

    /// Notes that a job has ended. Peers are notified together with the next heartbeat.
    pub fn on_job_ended(&mut self, job: String, end: JobOutcome) {
        self.ended_jobs.push(EndedJob { id: job, end });
    }

    /// Counts a cancellation that is about to be confirmed to a user, and returns the notice of it to peers. The
    /// notice must be sent before the user's answer, and before the next heartbeat, which counts it.
    pub fn on_cancellation(&mut self, job: String) -> Output {
        self.cancellations += 1;
        let number = self.cancellations;
        Output::Peer {
            to: None,
            message: PeerMessage::Aborted { number, job },
        }
    }

    /// Sends what is due.
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
        if now < self.next_heartbeat {
            return;
        }
        self.next_heartbeat = now + PEER_HEARTBEAT_MS;
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
        let state_ago_ms = match state.last_good() {
            0 => ago(self.started_at),
            at => ago(at),
        };
        for (label, echo) in peers.echoes() {
            let heartbeat = PeerMessage::Heartbeat {
                term: election.highest_term(),
                state_ago_ms,
                leads: election.leads().is_some(),
                worker_ago_ms: self.last_worker_heartbeat.map(ago),
                sent: self.clock_base + now,
                echo,
                boot: self.boot,
                aborts: self.cancellations,
            };
            effects.send_to_peer(label.clone(), heartbeat);
        }
    }

    /// Tells all gateways, that of this node included, which jobs are open.
    fn send_open_jobs(
        &mut self,
        leader: &mut Leader,
        gateway: &mut Gateway,
        effects: &mut Effects,
    ) {
        let now = effects.now.mono;
        if now < self.next_open_jobs {
            return;
        }
        self.next_open_jobs = now + COUNTS_MS;
        let jobs = leader.next_job_updates();
        gateway.on_job_updates(&jobs);
        let term = leader.term;
        effects.send_to_all_peers(PeerMessage::Counts { term, jobs });
    }

    fn send_ended_jobs(&mut self, effects: &mut Effects) {
        let ended = std::mem::take(&mut self.ended_jobs);
        // A message beyond the size of a frame would not be sent at all.
        for jobs in ended.chunks(JOB_UPDATES_MAX) {
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
