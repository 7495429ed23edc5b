//! Creates a node and its actors.

use super::partition_view::new_partitions;
use super::Node;
use crate::cloud::CloudClient;
use crate::effects::Now;
use crate::election::Election;
use crate::forwarding::ForwardedRequests;
use crate::gateway::Gateway;
use crate::leadership_watch::{LeaderProbe, LeadershipWatch};
use crate::machine_types::MachineTypesReader;
use crate::peer_heartbeats::{process_number_base, PeerHeartbeats};
use crate::peers::Peers;
use crate::pending_heartbeats::{DeferredAnswers, PendingHeartbeats};
use crate::rollout::Rollout;
use crate::settings::{Operator, Settings};
use crate::state::StateClient;
use std::collections::VecDeque;

impl Node {
    /// Creates the node of a process that has just started. `boot` is drawn at random at each start
    /// and identifies the process; `stopwatch` measures turns and scheduling rounds.
    pub fn new(
        settings: Settings,
        operator: Operator,
        now: Now,
        boot: u64,
        stopwatch: crate::Stopwatch,
    ) -> Self {
        let deployment = &settings.deployment;
        let limits = &deployment.state;
        let controllers = settings.siblings.len() + 1;
        let peer_labels = settings.siblings.iter().map(|s| s.label.clone());
        let number_base = process_number_base(boot);
        let max_connections = deployment.quota.max_connections;
        Node {
            state: StateClient::new(limits.rps, limits.write_rps, controllers),
            cloud: CloudClient::new(deployment.cloud.rps),
            election: Election::new(&settings.label, boot),
            gateway: Gateway::new(deployment),
            rollout: Rollout::new(&settings, operator.rollout.as_ref(), boot, now.mono),
            partitions: new_partitions(&settings, &operator, boot, now.mono),
            planned_stop: None,
            leader: None,
            pending_heartbeats: PendingHeartbeats::new(max_connections),
            deferred_answers: DeferredAnswers::default(),
            leadership_watch: LeadershipWatch::default(),
            leader_probe: LeaderProbe::new(now.mono),
            peers: Peers::new(peer_labels, number_base),
            peer_heartbeats: PeerHeartbeats::new(boot, now.mono),
            last_call: 0,
            outputs: VecDeque::new(),
            machine_types: MachineTypesReader::new(now.mono),
            forwarded_requests: ForwardedRequests::new(number_base),
            has_socket_shortage: false,
            last_turn_at: now,
            turn_started_us: 0,
            last_tick_at: 0,
            operator,
            stopwatch,
            settings,
        }
    }
}
