//! Watching over who leads: when this leader had better make room for a peer, and whether a leader that workers do not
//! reach is reached again.

use crate::election::Election;
use crate::leader::Leader;
use crate::peers::Peers;
use crate::state::StateClient;
use constants::{LEADER_LEASE_MS, PEER_FRESH_MS, PROBE_MS, STATE_DOWN_MS};

/// Milliseconds without workers, while a peer hears some, after which a leader resigns.
const WITHOUT_WORKERS_MS: u64 = 2 * PEER_FRESH_MS;

/// Why a leader makes room for a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ResignReason {
    /// The state service refuses this node alone.
    PeerReachesState,
    /// No worker reaches this node.
    WorkersReachPeer,
}

impl ResignReason {
    /// As it is logged.
    pub fn as_str(self) -> &'static str {
        match self {
            ResignReason::PeerReachesState => "a peer reaches the state service",
            ResignReason::WorkersReachPeer => "workers reach a peer but not us",
        }
    }
}

/// Decides when a leader resigns.
#[derive(Default)]
pub(crate) struct LeadershipWatch {
    /// Since when peers reach the state service and this leader does not.
    without_state_since: Option<u64>,
    /// Since when workers reach peers and not this leader.
    without_workers_since: Option<u64>,
}

impl LeadershipWatch {
    /// Whether a leader whom the state service refuses alone, or whom no worker reaches, should make room for a peer.
    pub fn reason_to_resign(
        &mut self,
        leader: Option<&Leader>,
        election: &Election,
        state: &StateClient,
        peers: &Peers,
        now: u64,
    ) -> Option<ResignReason> {
        let Some(leader) = leader else {
            self.without_workers_since = None;
            return None;
        };
        let lease_holds = election.lease_holds(now);
        let without_state = !lease_holds
            && now > state.last_good() + LEADER_LEASE_MS
            && peers.with_state(now).is_some();
        if !without_state {
            self.without_state_since = None;
        }
        // After an outage a peer may simply be the first to notice its end.
        if without_state && now > *self.without_state_since.get_or_insert(now) + STATE_DOWN_MS {
            self.without_state_since = None;
            return Some(ResignReason::PeerReachesState);
        }
        let without_workers = lease_holds && leader.hears_nobody(now) && peers.hear_workers(now);
        if !without_workers {
            self.without_workers_since = None;
            return None;
        }
        if now > *self.without_workers_since.get_or_insert(now) + WITHOUT_WORKERS_MS {
            self.without_workers_since = None;
            return Some(ResignReason::WorkersReachPeer);
        }
        None
    }
}

/// Decides when a worker is sent to a leader that workers do not reach, to find out whether it is reached again.
pub(crate) struct LeaderProbe {
    next_probe: u64,
}

impl LeaderProbe {
    pub fn new(now: u64) -> Self {
        LeaderProbe {
            next_probe: now + PROBE_MS,
        }
    }

    /// Whether a probe is due; if so, the next one is due a while later.
    pub fn take_due(&mut self, now: u64) -> bool {
        let due = now >= self.next_probe;
        if due {
            self.next_probe = now + PROBE_MS;
        }
        due
    }
}
