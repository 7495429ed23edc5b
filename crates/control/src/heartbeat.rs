//! What a node tells its peers from time to time: heartbeats, the leader's open jobs, and jobs that have ended.
//!
//! A heartbeat says how long ago the state service and a worker were heard, and how many cancellations this process has
//! confirmed to users; it echoes the peer's clock, so that the peer knows up to when it has heard of all of them.

use crate::election::Election;
use crate::gateway::Gateway;
use crate::leader::Leader;
use crate::mail::{Mail, Output};
use crate::peers::Peers;
use crate::state::StateClient;
use constants::{COUNTS_MS, NEWS_MAX, PEER_BEAT_MS};
use wire::peers::PeerMessage;
use wire::records::Final;

/// Where the numbers of a process begin that its peers give back to it, so that what a peer echoes or answers of an
/// earlier process of ours is told apart. 31 bits stay free, of milliseconds three weeks.
pub(crate) fn process_base(boot: u64) -> u64 {
    (boot << 32) >> 1
}

/// Heartbeats and notices to peers.
pub(crate) struct Heartbeat {
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

impl Heartbeat {
    /// `boot` is the number of this process.
    pub fn new(boot: u64, now: u64) -> Self {
        Heartbeat {
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
    pub fn on_worker_report(&mut self, now: u64) {
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
        mail: &mut Mail,
    ) {
        let now = mail.now.mono;
        if now < self.next_heartbeat {
            return;
        }
        self.next_heartbeat = now + PEER_BEAT_MS;
        self.send_heartbeats(election, state, peers, mail);
        let leader = leader.filter(|l| l.is_ready());
        if let Some(leader) = leader.filter(|_| now >= self.next_open_jobs) {
            self.next_open_jobs = now + COUNTS_MS;
            send_open_jobs(leader, gateway, mail);
        }
        self.send_ended_jobs(mail);
    }

    fn send_heartbeats(
        &self,
        election: &Election,
        state: &StateClient,
        peers: &Peers,
        mail: &mut Mail,
    ) {
        let now = mail.now.mono;
        let ago = |at: u64| now.saturating_sub(at);
        let state_ago_ms = match state.last_good() {
            0 => ago(self.started_at),
            at => ago(at),
        };
        for (label, echo) in peers.echoes() {
            mail.out.push(Output::Peer {
                to: Some(label.clone()),
                message: PeerMessage::Beat {
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

    fn send_ended_jobs(&mut self, mail: &mut Mail) {
        let ended = std::mem::take(&mut self.ended_jobs);
        // A message beyond the size of a frame would not be sent at all.
        for jobs in ended.chunks(NEWS_MAX) {
            let jobs = jobs.to_vec();
            mail.out.push(Output::Peer {
                to: None,
                message: PeerMessage::Over { jobs },
            });
        }
    }
}

/// Tells all gateways, ours included, which jobs are open.
fn send_open_jobs(leader: &mut Leader, gateway: &mut Gateway, mail: &mut Mail) {
    let jobs = leader.next_news();
    gateway.hear(&jobs);
    let term = leader.term;
    mail.out.push(Output::Peer {
        to: None,
        message: PeerMessage::Counts { term, jobs },
    });
}

#[cfg(test)]
mod tests;
