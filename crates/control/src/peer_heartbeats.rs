//! What a node tells its peers from time to time: heartbeats, the leader's open jobs, and jobs that have ended.
//!
//! A heartbeat says how long ago the state service and a worker were heard, and how many cancellations this process has
//! confirmed to users; it echoes the peer's clock, so that the peer knows up to when it has heard of all of them.

use crate::effects::{Effects, Output};
use crate::election::Election;
use crate::gateway::Gateway;
use crate::leader::Leader;
use crate::peers::Peers;
use crate::state::StateClient;
use constants::{COUNTS_MS, JOB_UPDATES_MAX, PEER_HEARTBEAT_MS};
use wire::peers::PeerMessage;
use wire::records::Final;

/// Where the numbers of a process begin that its peers give back to it, so that what a peer echoes or answers of an
/// earlier process of ours is told apart. 31 bits stay free, of milliseconds three weeks.
pub(crate) fn process_base(boot: u64) -> u64 {
    (boot << 32) >> 1
}

/// Heartbeats and notices to peers.
pub(crate) struct PeerHeartbeats {
    /// Number of this process.
    boot: u64,
    /// Added to the clock in heartbeats.
    clock_base: u64,
    started_at: u64,
    next_heartbeat: u64,
    next_open_jobs: u64,
    last_worker_report: Option<u64>,
    /// Cancellations that this process has confirmed.
    cancellations: u64,
    /// Jobs filed away since the last heartbeat, each with whether it is done.
    ended_jobs: Vec<(String, bool)>,
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
            last_worker_report: None,
            cancellations: 0,
            ended_jobs: Vec::new(),
        }
    }

    /// When this process began.
    pub fn started_at(&self) -> u64 {
        self.started_at
    }

    /// When the next heartbeat is due.
    pub fn next_wake(&self) -> u64 {
        self.next_heartbeat
    }

    /// A worker reported to this node directly.
    pub fn note_worker_heartbeat(&mut self, now: u64) {
        self.last_worker_report = Some(now);
    }

    /// A job has ended: peers hear of it with the next heartbeat.
    pub fn on_job_ended(&mut self, job: String, end: Final) {
        self.ended_jobs.push((job, end == Final::Done));
    }

    /// Counts a cancellation that a user is about to be told of. The notice has to leave before the user's answer, and
    /// before the next heartbeat counts it.
    pub fn on_cancellation(&mut self, job: String) -> Output {
        self.cancellations += 1;
        let number = self.cancellations;
        Output::Peer {
            to: None,
            message: PeerMessage::Aborted { number, job },
        }
    }

    /// Tells the peers what is due.
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
        let leader = leader.filter(|l| l.is_ready());
        if let Some(leader) = leader.filter(|_| now >= self.next_open_jobs) {
            self.next_open_jobs = now + COUNTS_MS;
            send_open_jobs(leader, gateway, effects);
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
            effects.out.push(Output::Peer {
                to: Some(label.clone()),
                message: PeerMessage::Heartbeat {
                    term: election.highest_term(),
                    state_ago_ms,
                    leads: election.leads().is_some(),
                    worker_ago_ms: self.last_worker_report.map(ago),
                    sent: self.clock_base + now,
                    echo,
                    boot: self.boot,
                    aborts: self.cancellations,
                },
            });
        }
    }

    fn send_ended_jobs(&mut self, effects: &mut Effects) {
        let ended = std::mem::take(&mut self.ended_jobs);
        // A message beyond the size of a frame would not be sent at all.
        for jobs in ended.chunks(JOB_UPDATES_MAX) {
            let jobs = jobs.to_vec();
            effects.out.push(Output::Peer {
                to: None,
                message: PeerMessage::Over { jobs },
            });
        }
    }
}

/// Tells all gateways, ours included, which jobs are open.
fn send_open_jobs(leader: &mut Leader, gateway: &mut Gateway, effects: &mut Effects) {
    let jobs = leader.next_job_updates();
    gateway.hear(&jobs);
    let term = leader.term;
    effects.out.push(Output::Peer {
        to: None,
        message: PeerMessage::Counts { term, jobs },
    });
}

#[cfg(test)]
mod tests;
