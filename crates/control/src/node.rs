//! One controller: routes inputs to its actors and carries out their effects.
//!
//! - `construction`: creates a node at process start;
//! - `dispatch`: handles inputs, ticks, and replies to calls;
//! - `http_routing`, `peer_messages`, `worker_heartbeats`: handle requests and messages by sender;
//! - `delivery`, `events`: carry out the effects of actors;
//! - `answering_rights`: determines what this node may decide and whom it may answer;
//! - `wakeup`: computes when the node must run next;
//! - `partition_view`, `planned_stop`, `stall`: partitions, planned stops, and stalled processes.

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
    /// Measures turns and the leader's scheduling rounds. A turn handles one input or one tick.
    stopwatch: crate::Stopwatch,
    state: StateClient,
    cloud: CloudClient,
    election: Election,
    gateway: Gateway,
    rollout: Rollout,
    /// `None` if partitions are disabled.
    partitions: Option<Partitions>,
    /// Set once the process was asked to stop.
    planned_stop: Option<PlannedStop>,
    /// Set while this node leads.
    leader: Option<Leader>,
    pending_heartbeats: PendingHeartbeats,
    deferred_answers: DeferredAnswers,
    leadership_watch: LeadershipWatch,
    leader_probe: LeaderProbe,
    peers: Peers,
    peer_heartbeats: PeerHeartbeats,
    /// Number of the last call to a service or worker.
    last_call: CallId,
    /// Outputs that the process has not taken yet.
    outputs: VecDeque<Output>,
    machine_types: MachineTypesReader,
    forwarded_requests: ForwardedRequests,
    /// Whether this process is short of sockets. If so, no answer is deferred to wait for work, which
    /// may never come.
    has_socket_shortage: bool,
    /// Time of the last input or tick.
    last_turn_at: Now,
    /// Reading of the stopwatch when the current turn began, in microseconds.
    turn_started_us: u64,
    /// Time of the last tick, on the monotonic clock.
    last_tick_at: u64,
}

impl Node {
    /// Removes and returns the next output, if any.
    pub fn next_output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// Sets whether the process is short of sockets. A deferred answer occupies its worker's
    /// socket, which other workers could use.
    pub fn set_socket_shortage(&mut self, has_socket_shortage: bool) {
        self.has_socket_shortage = has_socket_shortage;
        if let Some(partitions) = &mut self.partitions {
            partitions
                .load_meter()
                .set_socket_shortage(has_socket_shortage);
        }
    }

    /// Returns the term of this node if it is the leader.
    pub fn leading_term(&self) -> Option<u64> {
        self.election.leading_term()
    }

    /// Returns the state of the staged rollout, if rollouts are enabled and the state has been
    /// read.
    pub fn rollout_status(&self) -> Option<RolloutStatus> {
        self.rollout.status(self.last_turn_at.mono)
    }

    /// Handles an input.
    pub fn handle(&mut self, now: Now, input: Input) {
        self.start_turn();
        self.on_input(now, input);
        self.end_turn();
    }

    /// Performs the work that is due by the clock.
    pub fn tick(&mut self, now: Now) {
        self.start_turn();
        self.on_tick(now);
        self.end_turn();
    }

    fn start_turn(&mut self) {
        self.turn_started_us = (self.stopwatch)();
    }

    /// Returns the microseconds since the turn began.
    fn turn_duration_us(&self) -> u64 {
        (self.stopwatch)().saturating_sub(self.turn_started_us)
    }

    fn end_turn(&mut self) {
        let took_us = self.turn_duration_us();
        if let Some(partitions) = &mut self.partitions {
            partitions.load_meter().add_turn(took_us);
        }
    }
}
