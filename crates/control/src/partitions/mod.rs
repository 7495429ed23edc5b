//! Partitions of the fleet in one controller. An owner answers workers under grants of the leader.
//! The leader issues grants and moves partitions between controllers.
//!
//! The state machines are in the `partitions` crate. This module connects them to the state
//! service, the peers and the leader's state.

mod leading;
mod load;
mod redirects;

use crate::effects::{Effects, Now};
use crate::election::Election;
use crate::leader::{AnsweredHeartbeat, Leader};
use crate::peers::Peers;
use crate::requests::StateReply;
use crate::rollout::Rollout;
use crate::settings::Settings;
use ::partitions::rebalance::Pins;
use ::partitions::{Decision, Owner};
use constants::PARTITIONS_LOG_INTERVAL_MS;
use leading::PartitionLeader;
use load::LoadMeter;
use wire::partitions::{PartitionId, PartitionMessage, PartitionMessageBody};
use wire::peers::PeerMessage;
use wire::workers::WorkerHeartbeat;

/// What a controller knows of partitions, for tests and measurements.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PartitionsStatus {
    /// Number of partitions for which the controller may answer under a grant.
    pub granted_partitions: usize,
    /// Number of machines that the controller answers by itself.
    pub steady_machines: usize,
    /// Owner and epoch of each partition, as recorded by the leader. Empty if the controller is not
    /// the leader.
    pub ownership: Vec<(String, u64)>,
    /// Number of moves in progress, if the controller is the leader.
    pub moves_in_progress: usize,
}

/// The current state of the rest of the node.
pub(crate) struct NodeView<'a> {
    /// Tells which features may be used.
    pub rollout: &'a Rollout,
    /// Tells which processes of the other controllers send heartbeats.
    pub peers: &'a Peers,
    /// Label of the leader, if one is known.
    pub leader: Option<&'a str>,
    /// The highest term known.
    pub term: u64,
    /// Milliseconds for which owners may be granted partitions: no longer than this node itself may
    /// answer workers.
    pub grant_ms: u64,
}

impl<'a> NodeView<'a> {
    /// Creates the view at the time `now`.
    pub fn new(
        rollout: &'a Rollout,
        peers: &'a Peers,
        election: &'a Election,
        grant_ms: u64,
        now: u64,
    ) -> Self {
        NodeView {
            rollout,
            peers,
            leader: election.leader_label(now),
            term: election.highest_term(),
            grant_ms,
        }
    }
}

/// A leader that has granted partitions to this controller.
struct GrantingLeader {
    label: String,
    term: u64,
}

/// Partitions of the fleet, from the point of view of this controller.
pub(crate) struct Partitions {
    label: String,
    pins: Pins,
    owner: Owner,
    load_meter: LoadMeter,
    partition_leader: Option<PartitionLeader>,
    /// The last leader that granted partitions to this controller.
    granted_by: Option<GrantingLeader>,
    next_status_log_at: u64,
}

impl Partitions {
    /// Creates the actor of a process that has just started.
    pub fn new(settings: &Settings, pins: Pins, boot: u64, now: u64) -> Self {
        let report_ms = (settings.deployment.workers.report_s * 1000.0) as u64;
        Partitions {
            label: settings.label.clone(),
            pins,
            owner: Owner::new(boot, report_ms),
            load_meter: LoadMeter::new(now),
            partition_leader: None,
            granted_by: None,
            next_status_log_at: now + PARTITIONS_LOG_INTERVAL_MS,
        }
    }

    /// Returns the meter of this process's load.
    pub fn load_meter(&mut self) -> &mut LoadMeter {
        &mut self.load_meter
    }

    /// Returns what this controller knows of partitions.
    pub fn status(&self, now: u64) -> PartitionsStatus {
        let mut status = PartitionsStatus {
            granted_partitions: self.owner.held_partition_count(now),
            steady_machines: self.owner.steady_machine_count(),
            ..PartitionsStatus::default()
        };
        if let Some(partition_leader) = &self.partition_leader {
            partition_leader.fill_status(&mut status);
        }
        status
    }

    /// Returns when [`Partitions::tick`] must be called next.
    pub fn next_wake(&self) -> u64 {
        let leader_wake = self
            .partition_leader
            .as_ref()
            .map(PartitionLeader::next_wake);
        let wake = leader_wake.unwrap_or(self.owner.next_request_at());
        wake.min(self.next_status_log_at)
    }

    /// Handles the election of this node.
    pub fn on_elected(&mut self, term: u64, version: u64, now: Now) {
        self.owner.on_term(term, now.mono);
        let (label, pins) = (self.label.clone(), self.pins.clone());
        self.partition_leader = Some(PartitionLeader::new(label, pins, term, version, now.mono));
    }

    /// Handles the loss of leadership of this node.
    pub fn on_stepped_down(&mut self) {
        self.partition_leader = None;
    }

    /// Starts to move a partition, if this node is the leader.
    pub fn begin_move(&mut self, partition: PartitionId, to: &str, now: u64) -> bool {
        let partition_leader = self.partition_leader.as_mut();
        partition_leader
            .is_some_and(|partition_leader| partition_leader.begin_move(partition, to, now))
    }

    /// Returns the leader of a term if it granted partitions to this controller. It is known even
    /// while the state service is unreachable.
    pub fn granting_leader(&self, term: u64) -> Option<&str> {
        let granted_by = self.granted_by.as_ref();
        let current = granted_by.filter(|leader| leader.term == term);
        current.map(|leader| leader.label.as_str())
    }

    /// Decides how to handle a worker heartbeat if this node is not the leader.
    pub fn decide(&mut self, heartbeat: &WorkerHeartbeat, term: u64, now: u64) -> Decision {
        self.owner.on_term(term, now);
        self.owner.decide(heartbeat, now)
    }

    /// Returns the owner to which a worker that sent a heartbeat to this leader is redirected, if
    /// any.
    pub fn redirect_target(
        &mut self,
        heartbeat: &WorkerHeartbeat,
        leader: &Leader,
        now: u64,
    ) -> Option<String> {
        self.partition_leader
            .as_mut()?
            .redirect_target(heartbeat, leader, now)
    }

    /// Handles the leader's answer to a heartbeat that a peer forwarded. The answer contained no
    /// orders, so the machine may be steady.
    pub fn on_heartbeat_answered(
        &mut self,
        peer: &str,
        heartbeat: &AnsweredHeartbeat,
        leader: &mut Leader,
        now: u64,
    ) {
        if let Some(partition_leader) = &mut self.partition_leader {
            partition_leader.on_heartbeat_answered(peer, heartbeat, leader, now);
        }
    }

    /// Handles the state service's reply to the request of this term and number.
    pub fn on_state_reply(&mut self, term: u64, number: u64, reply: StateReply, now: u64) {
        let partition_leader = self.partition_leader.as_mut();
        if let Some(partition_leader) =
            partition_leader.filter(|partition_leader| partition_leader.term() == term)
        {
            partition_leader.on_state_reply(number, reply, now);
        }
    }

    /// Performs the work that is due by the clock.
    pub fn tick(&mut self, view: &NodeView, leader: Option<&mut Leader>, effects: &mut Effects) {
        let now = effects.now.mono;
        self.owner.on_term(view.term, now);
        match (&mut self.partition_leader, leader) {
            (Some(partition_leader), Some(leader)) => {
                partition_leader.tick(view, self.load_meter.measure(now), leader, effects);
            }
            _ => self.request_grant(view, effects),
        }
        self.log_status(now);
    }

    /// Requests a grant from the leader, if that is due and the leader supports partitions.
    fn request_grant(&mut self, view: &NodeView, effects: &mut Effects) {
        let now = effects.now.mono;
        let load = self.load_meter.measure(now);
        let Some(request) = self.owner.next_request(load, now) else {
            return;
        };
        let leader = view.leader.or(self.granting_leader(view.term));
        let leader = leader.filter(|leader| *leader != self.label);
        let has_partitions = |leader: &&str| view.rollout.peer_supports_partitions(leader, now);
        let Some(leader) = leader
            .filter(|_| view.rollout.partitions_enabled())
            .filter(has_partitions)
        else {
            return;
        };
        let body = PartitionMessageBody::Request(request);
        send(leader, view.term, body, effects);
    }

    /// Handles a peer's message about partitions.
    pub fn on_message(
        &mut self,
        from: &str,
        message: PartitionMessage,
        view: &NodeView,
        leader: Option<&mut Leader>,
        effects: &mut Effects,
    ) {
        let now = effects.now.mono;
        let PartitionMessage { term, body } = message;
        match body {
            PartitionMessageBody::Request(request) => {
                let (Some(partition_leader), Some(leader)) = (&mut self.partition_leader, leader)
                else {
                    log::debug!("event=grant_request_refused from={from} why=\"this node is not the leader\"");
                    return;
                };
                partition_leader.on_request(from, term, &request, view, leader, effects);
            }
            PartitionMessageBody::Grant(grant) => {
                let number = grant.number;
                if self.owner.on_grant(term, grant, now) {
                    let label = from.to_string();
                    self.granted_by = Some(GrantingLeader { label, term });
                } else {
                    log::info!(
                        "event=grant_refused from={from} term={term} number={number} \
                         why=\"the grant is from another term or process, or is not the newest\""
                    );
                }
            }
            PartitionMessageBody::Permits { boot, permits } => {
                self.owner.on_permits(term, boot, permits, now);
            }
            PartitionMessageBody::Recall { boot, permits } => {
                self.owner.on_recall(term, boot, &permits);
            }
        }
    }

    fn log_status(&mut self, now: u64) {
        if now < self.next_status_log_at {
            return;
        }
        self.next_status_log_at = now + PARTITIONS_LOG_INTERVAL_MS;
        log::info!(
            "event=partitions_status granted={} steady={} {}",
            self.owner.held_partition_count(now),
            self.owner.steady_machine_count(),
            self.partition_leader
                .as_ref()
                .map_or_else(String::new, PartitionLeader::ownership_summary)
        );
    }
}

/// Sends a message about partitions to a peer.
fn send(to: &str, term: u64, body: PartitionMessageBody, effects: &mut Effects) {
    let message = PeerMessage::Partitions(PartitionMessage { term, body });
    effects.send_to_peer(to.to_string(), message);
}
