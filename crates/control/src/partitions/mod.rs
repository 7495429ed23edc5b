//! Partitions of the fleet in one controller. As an owner it answers workers under the leader's grants. As the leader
//! it issues grants and moves partitions between controllers.
//!
//! The state machines are in the `partitions` crate. This module connects them to the state service, the peers and the
//! leader's state.

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
use constants::PARTITIONS_LOG_MS;
use leading::Leading;
use load::LoadMeter;
use wire::partitions::{PartitionBody, PartitionId, PartitionMessage};
use wire::peers::PeerMessage;
use wire::workers::WorkerHeartbeat;

/// What a controller knows of partitions, for tests and measurements.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PartitionsStatus {
    /// Partitions that it may answer for under a grant.
    pub granted: usize,
    /// Machines that it answers by itself.
    pub steady: usize,
    /// Owner and epoch of each partition, as it has recorded them if it leads.
    pub table: Vec<(String, u64)>,
    /// Moves under way, if it leads.
    pub moving: usize,
}

/// The state of the rest of the node at this moment.
pub(crate) struct View<'a> {
    /// Which features may be used.
    pub rollout: &'a Rollout,
    /// Which processes of the other controllers are heard.
    pub peers: &'a Peers,
    /// Label of the leader, if one is known.
    pub leader: Option<&'a str>,
    /// Highest term known.
    pub term: u64,
    /// Milliseconds for which owners may be granted partitions: no longer than this node may answer itself.
    pub grant_ms: u64,
}

impl<'a> View<'a> {
    /// The view at the time `now`.
    pub fn new(
        rollout: &'a Rollout,
        peers: &'a Peers,
        election: &'a Election,
        grant_ms: u64,
        now: u64,
    ) -> Self {
        View {
            rollout,
            peers,
            leader: election.leader_label(now),
            term: election.highest_term(),
            grant_ms,
        }
    }
}

/// A leader that has granted partitions.
struct GrantingLeader {
    label: String,
    term: u64,
}

/// Partitions of the fleet, from the point of view of this controller.
pub(crate) struct Partitions {
    label: String,
    pins: Pins,
    owner: Owner,
    load: LoadMeter,
    leading: Option<Leading>,
    /// The leader that granted us partitions last.
    granted_by: Option<GrantingLeader>,
    next_status_log: u64,
}

impl Partitions {
    /// A process that has just started.
    pub fn new(settings: &Settings, pins: Pins, boot: u64, now: u64) -> Self {
        let report_ms = (settings.deployment.workers.report_s * 1000.0) as u64;
        Partitions {
            label: settings.label.clone(),
            pins,
            owner: Owner::new(boot, report_ms),
            load: LoadMeter::new(now),
            leading: None,
            granted_by: None,
            next_status_log: now + PARTITIONS_LOG_MS,
        }
    }

    /// The meter of this process's load.
    pub fn load(&mut self) -> &mut LoadMeter {
        &mut self.load
    }

    /// What this controller knows of partitions.
    pub fn status(&self, now: u64) -> PartitionsStatus {
        let mut status = PartitionsStatus {
            granted: self.owner.partitions_held(now),
            steady: self.owner.steady_machines(),
            ..PartitionsStatus::default()
        };
        if let Some(leading) = &self.leading {
            leading.describe(&mut status);
        }
        status
    }

    /// When [`Partitions::tick`] is to be called next.
    pub fn next_wake(&self) -> u64 {
        let leading = self.leading.as_ref().map(Leading::next_wake);
        let wake = leading.unwrap_or(self.owner.next_wake());
        wake.min(self.next_status_log)
    }

    /// This node leads now.
    pub fn on_elected(&mut self, term: u64, version: u64, now: Now) {
        self.owner.on_term(term, now.mono);
        let (label, pins) = (self.label.clone(), self.pins.clone());
        self.leading = Some(Leading::new(label, pins, term, version, now.mono));
    }

    /// This node leads no longer.
    pub fn on_stepped_down(&mut self) {
        self.leading = None;
    }

    /// Begins to move a partition, if this node leads.
    pub fn begin_move(&mut self, partition: PartitionId, to: &str, now: u64) -> bool {
        let leading = self.leading.as_mut();
        leading.is_some_and(|leading| leading.begin_move(partition, to, now))
    }

    /// The leader of a term, if it has granted us partitions. Known also while the state service is not.
    pub fn granting_leader(&self, term: u64) -> Option<&str> {
        let granted_by = self.granted_by.as_ref();
        let current = granted_by.filter(|leader| leader.term == term);
        current.map(|leader| leader.label.as_str())
    }

    /// What to do with a worker's report at a node that does not lead.
    pub fn decide(&mut self, report: &WorkerHeartbeat, term: u64, now: u64) -> Decision {
        self.owner.on_term(term, now);
        self.owner.decide(report, now)
    }

    /// The owner to which a worker that reported to this leader is redirected, if it is.
    pub fn redirect(
        &mut self,
        report: &WorkerHeartbeat,
        leader: &Leader,
        now: u64,
    ) -> Option<String> {
        self.leading.as_mut()?.redirect(report, leader, now)
    }

    /// The leader answered a report that a peer forwarded, without orders: the machine may be steady.
    pub fn on_answered(
        &mut self,
        peer: &str,
        report: &AnsweredHeartbeat,
        leader: &mut Leader,
        now: u64,
    ) {
        if let Some(leading) = &mut self.leading {
            leading.on_answered(peer, report, leader, now);
        }
    }

    /// The state service replied to a request of this term and number.
    pub fn on_state_reply(&mut self, term: u64, number: u64, reply: StateReply, now: u64) {
        let leading = self.leading.as_mut();
        if let Some(leading) = leading.filter(|leading| leading.term() == term) {
            leading.on_state_reply(number, reply, now);
        }
    }

    /// Time passed.
    pub fn tick(&mut self, view: &View, leader: Option<&mut Leader>, effects: &mut Effects) {
        let now = effects.now.mono;
        self.owner.on_term(view.term, now);
        match (&mut self.leading, leader) {
            (Some(leading), Some(leader)) => {
                leading.tick(view, self.load.measure(now), leader, effects);
            }
            _ => self.request_grant(view, effects),
        }
        self.log_status(now);
    }

    /// Requests a grant from the leader, if that is due and the leader has partitions.
    fn request_grant(&mut self, view: &View, effects: &mut Effects) {
        let now = effects.now.mono;
        let load = self.load.measure(now);
        let Some(request) = self.owner.request(load, now) else {
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
        let body = PartitionBody::Request(request);
        send(leader, view.term, body, effects);
    }

    /// A message of a peer about partitions arrived.
    pub fn on_message(
        &mut self,
        from: &str,
        message: PartitionMessage,
        view: &View,
        leader: Option<&mut Leader>,
        effects: &mut Effects,
    ) {
        let now = effects.now.mono;
        let PartitionMessage { term, body } = message;
        match body {
            PartitionBody::Request(request) => {
                let (Some(leading), Some(leader)) = (&mut self.leading, leader) else {
                    log::debug!("event=grant_request_refused from={from} why=\"does not lead\"");
                    return;
                };
                leading.on_request(from, term, &request, view, leader, effects);
            }
            PartitionBody::Grant(grant) => {
                let number = grant.number;
                if self.owner.on_grant(term, grant, now) {
                    let label = from.to_string();
                    self.granted_by = Some(GrantingLeader { label, term });
                } else {
                    log::info!(
                        "event=grant_refused from={from} term={term} number={number} \
                         why=\"of another term or process, or not the newest\""
                    );
                }
            }
            PartitionBody::Permits { boot, permits } => {
                self.owner.on_permits(term, boot, permits, now);
            }
            PartitionBody::Recall { boot, permits } => {
                self.owner.on_recall(term, boot, &permits);
            }
        }
    }

    fn log_status(&mut self, now: u64) {
        if now < self.next_status_log {
            return;
        }
        self.next_status_log = now + PARTITIONS_LOG_MS;
        log::info!(
            "event=partitions_status granted={} steady={} {}",
            self.owner.partitions_held(now),
            self.owner.steady_machines(),
            self.leading
                .as_ref()
                .map_or_else(String::new, Leading::summary)
        );
    }
}

/// Sends a message about partitions to a peer.
fn send(to: &str, term: u64, body: PartitionBody, effects: &mut Effects) {
    let message = PeerMessage::Partitions(PartitionMessage { term, body });
    effects.send_to_peer(to.to_string(), message);
}
