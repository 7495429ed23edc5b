//! Watching over who leads: when this leader had better make room for a peer, and whether a leader that workers do not
//! reach is reached again.

use crate::election::Election;
use crate::leader::Leader;
use crate::peers::Peers;
use crate::state::StateClient;
use constants::{
    LEADER_LEASE_MS, PROBE_MS, STATE_DOWN_MS, UNSURE_EVERY_MS, UNTOLD_MS, WITHOUT_WORKERS_MS,
};

/// Why a leader makes room for a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ResignReason {
    /// The state service refuses this node alone.
    PeerReachesState,
    /// No worker reaches this node.
    WorkersReachPeer,
    /// No worker reaches this node, or none is reached by it, and no peer is known for certain to do better.
    NoWorkerFollows,
}

impl ResignReason {
    /// As it is logged.
    pub fn as_str(self) -> &'static str {
        match self {
            ResignReason::PeerReachesState => "a peer reaches the state service",
            ResignReason::WorkersReachPeer => "workers reach a peer but not us",
            ResignReason::NoWorkerFollows => "no worker can be led",
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
    /// Since when this leader hears no worker, or none hears it.
    cut_off_since: Option<u64>,
    /// When leadership may next be given up without knowing that workers reach a peer and hear it.
    next_unsure: u64,
}

impl LeadershipWatch {
    /// Whether a leader whom the state service refuses alone, or whom no worker follows, should make room for a peer.
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
            self.cut_off_since = None;
            return None;
        };
        let lease_holds = election.lease_holds(now);
        let without_state = !lease_holds
            && now > state.last_good() + LEADER_LEASE_MS
            && peers.with_state(now).is_some();
        if self.is_without_state_for_long(without_state, now) {
            return Some(ResignReason::PeerReachesState);
        }
        let silent = lease_holds && leader.no_worker_reports(now);
        let unheard = lease_holds && leader.no_worker_receives(now);
        let peer_hears = peers.hear_workers(now);
        if self.is_without_workers_for_long(silent && peer_hears, now) {
            return Some(ResignReason::WorkersReachPeer);
        }
        let cut_off_ms = self.cut_off_ms(silent || unheard, now)?;
        // Workers that move from one node to the next are heard by a peer only now and then.
        let told = peer_hears && cut_off_ms > WITHOUT_WORKERS_MS;
        // The peer that hears them may be the one that can't tell.
        let untold = silent && leader.knows_machines() && cut_off_ms > UNTOLD_MS;
        self.may_resign_unsure(told || untold, now)
            .then_some(ResignReason::NoWorkerFollows)
    }

    /// After an outage a peer may simply be the first to notice its end.
    fn is_without_state_for_long(&mut self, without_state: bool, now: u64) -> bool {
        if !without_state {
            self.without_state_since = None;
            return false;
        }
        let for_long = now > *self.without_state_since.get_or_insert(now) + STATE_DOWN_MS;
        if for_long {
            self.without_state_since = None;
        }
        for_long
    }

    fn is_without_workers_for_long(&mut self, without_workers: bool, now: u64) -> bool {
        if !without_workers {
            self.without_workers_since = None;
            return false;
        }
        let for_long = now > *self.without_workers_since.get_or_insert(now) + WITHOUT_WORKERS_MS;
        if for_long {
            self.without_workers_since = None;
        }
        for_long
    }

    /// For how long this leader has heard no worker, or none has heard it.
    fn cut_off_ms(&mut self, cut_off: bool, now: u64) -> Option<u64> {
        if !cut_off {
            self.cut_off_since = None;
            return None;
        }
        Some(now - *self.cut_off_since.get_or_insert(now))
    }

    /// All nodes may be cut off alike, and would take turns for nothing: so this is done once in a while only.
    fn may_resign_unsure(&mut self, wanted: bool, now: u64) -> bool {
        let may = wanted && now >= self.next_unsure;
        if may {
            self.cut_off_since = None;
            self.next_unsure = now + UNSURE_EVERY_MS;
        }
        may
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
