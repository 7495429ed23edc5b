//! One controller: it passes what comes in to its actors, and carries out what they ask of each other.
//!
//! - `construction`: a node that has just started;
//! - `dispatch`: inputs, ticks, and replies to calls;
//! - `http_routing`, `peer_messages`, `worker_heartbeats`: requests and messages by their sender;
//! - `delivery`, `events`: the effects of actors;
//! - `answering_rights`: what this node may decide and answer;
//! - `wakeup`: when it has something to do;
//! - `partition_view`, `planned_stop`, `stall`: partitions, orderly stops, and processes that did not run for
//!   a while.

mod answering_rights;
mod construction;
mod delivery;
mod dispatch;
mod events;
mod http_routing;
mod partition_view;
mod peer_messages;
mod planned_stop;
mod stall;
mod wakeup;
mod worker_heartbeats;

use crate::cloud::CloudClient;
use crate::effects::{CallId, Input, Now, Output};
use crate::election::Election;
use crate::forwarding::ForwardedRequests;
use crate::gateway::Gateway;
use crate::leader::Leader;
use crate::leadership_watch::{LeaderProbe, LeadershipWatch};
use crate::machine_types::MachineTypesReader;
use crate::partitions::Partitions;
use crate::peer_heartbeats::PeerHeartbeats;
use crate::peers::Peers;
use crate::pending_heartbeats::{DeferredAnswers, PendingHeartbeats};
use crate::rollout::Rollout;
use crate::settings::{Operator, Settings};
use crate::state::StateClient;
use ::rollout::RolloutStatus;
use planned_stop::PlannedStop;
use std::collections::VecDeque;

/// One controller.
pub struct Node {
    settings: Settings,
    operator: Operator,
    /// Measures turns, and the leader's rounds of decisions.
    stopwatch: crate::Stopwatch,
    state: StateClient,
    cloud: CloudClient,
    election: Election,
    gateway: Gateway,
    rollout: Rollout,
    /// `None` where partitions are not switched on.
    partitions: Option<Partitions>,
    /// Set once the process has been asked to stop.
    planned_stop: Option<PlannedStop>,
    /// Set while this node leads.
    leader: Option<Leader>,
    pending_heartbeats: PendingHeartbeats,
    deferred_answers: DeferredAnswers,
    leadership_watch: LeadershipWatch,
    leader_probe: LeaderProbe,
    peers: Peers,
    heartbeat: PeerHeartbeats,
    /// Number of the last call.
    last_call: CallId,
    /// Outputs that the process has yet to take.
    out: VecDeque<Output>,
    machine_types: MachineTypesReader,
    forwarded: ForwardedRequests,
    /// Whether sockets are short: then no answer is deferred for work that may never come.
    is_crowded: bool,
    /// The moment of the last input or tick.
    last_now: Now,
    /// The moment of the last tick, on the steady clock.
    last_tick: u64,
}

impl Node {
    /// The next thing to do, if any.
    pub fn next_output(&mut self) -> Option<Output> {
        self.out.pop_front()
    }

    /// Tells whether sockets are short. A deferred answer keeps its worker's socket from other workers.
    pub fn set_crowded(&mut self, is_crowded: bool) {
        self.is_crowded = is_crowded;
        if let Some(partitions) = &mut self.partitions {
            partitions.load().set_crowded(is_crowded);
        }
    }

    /// Term, if this node leads.
    pub fn leads(&self) -> Option<u64> {
        self.election.leads()
    }

    /// The state of a staged upgrade, if those are switched on and it has been read.
    pub fn rollout_status(&self) -> Option<RolloutStatus> {
        self.rollout.status(self.last_now.mono)
    }

    /// Handles an input.
    pub fn handle(&mut self, now: Now, input: Input) {
        let started_us = self.start_turn();
        self.on_input(now, input);
        self.end_turn(started_us);
    }

    /// Does what is due by the clock.
    pub fn tick(&mut self, now: Now) {
        let started_us = self.start_turn();
        self.on_tick(now);
        self.end_turn(started_us);
    }

    /// Starts to measure a turn, if partitions are switched on: only they use the figures.
    fn start_turn(&self) -> Option<u64> {
        self.partitions.as_ref().map(|_| (self.stopwatch)())
    }

    fn end_turn(&mut self, started_us: Option<u64>) {
        if let (Some(partitions), Some(started_us)) = (&mut self.partitions, started_us) {
            let took_us = (self.stopwatch)().saturating_sub(started_us);
            partitions.load().add_turn(took_us);
        }
    }
}
