//! When a leader should resign in favour of a peer, and when to check whether workers reach a leader again.

use crate::election::Election;
use crate::leader::Leader;
use crate::peers::Peers;
use crate::state::StateClient;
use constants::{
    LEADER_LEASE_MS, LEADER_PROBE_INTERVAL_MS, RESIGN_WITHOUT_PEER_NOTICE_MS,
    RESIGN_WITHOUT_REPORTS_MS, STATE_UNAVAILABLE_MS, UNCERTAIN_RESIGN_INTERVAL_MS,
};

/// Why a leader resigns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ResignReason {
    /// The state service refuses this node alone.
    PeerReachesState,
    /// No worker reaches this node, but workers reach a peer.
    WorkersReachPeer,
    /// No worker reaches this node, or none is reached by it, and no peer is known for certain to do better.
    NoWorkerFollows,
}

impl ResignReason {
    /// The reason as it is logged.
    pub fn as_str(self) -> &'static str {
        match self {
            ResignReason::PeerReachesState => "a peer reaches the state service",
            ResignReason::WorkersReachPeer => "workers reach a peer but not us",
            ResignReason::NoWorkerFollows => "no worker can be led",
        }
    }
}

/// For how long a condition has been true without a break.
#[derive(Default)]
struct ConditionTimer {
    since: Option<u64>,
}

impl ConditionTimer {
    /// Notes whether the condition is true now. Returns the milliseconds for which it has been, if it is.
    fn update(&mut self, is_true: bool, now: u64) -> Option<u64> {
        if !is_true {
            self.since = None;
            return None;
        }
        Some(now.saturating_sub(*self.since.get_or_insert(now)))
    }

    /// Notes whether the condition is true now. Returns whether it has been for more than `limit_ms`; if so, the time
    /// is counted anew.
    fn exceeds(&mut self, limit_ms: u64, is_true: bool, now: u64) -> bool {
        let is_exceeded = self.update(is_true, now).is_some_and(|ms| ms > limit_ms);
        if is_exceeded {
            self.reset();
        }
        is_exceeded
    }

    fn reset(&mut self) {
        self.since = None;
    }
}

/// Decides when a leader resigns.
#[derive(Default)]
pub(crate) struct LeadershipWatch {
    /// Peers reach the state service and this leader does not.
    without_state: ConditionTimer,
    /// Workers reach peers and not this leader.
    without_workers: ConditionTimer,
    /// This leader receives nothing from workers, or they receive nothing from it.
    cut_off: ConditionTimer,
    /// When the leader may next resign without knowing that a peer reaches workers and they reach it.
    next_unsure: u64,
}

impl LeadershipWatch {
    /// Why the leader should resign now, if it should: the state service refuses this node alone, or no worker
    /// follows it.
    pub fn reason_to_resign(
        &mut self,
        leader: Option<&Leader>,
        election: &Election,
        state: &StateClient,
        peers: &Peers,
        now: u64,
    ) -> Option<ResignReason> {
        let Some(leader) = leader else {
            self.without_workers.reset();
            self.cut_off.reset();
            return None;
        };
        let has_lease = election.is_lease_valid(now);
        let is_without_state = !has_lease
            && now > state.last_good() + LEADER_LEASE_MS
            && peers.with_state(now).is_some();
        // After an outage of the state service a peer may simply be the first to notice its end.
        if self
            .without_state
            .exceeds(STATE_UNAVAILABLE_MS, is_without_state, now)
        {
            return Some(ResignReason::PeerReachesState);
        }
        self.reason_without_workers(leader, has_lease, peers, now)
    }

    /// Why the leader should resign because no worker follows it, if it should.
    fn reason_without_workers(
        &mut self,
        leader: &Leader,
        has_lease: bool,
        peers: &Peers,
        now: u64,
    ) -> Option<ResignReason> {
        let none_reports = has_lease && leader.all_workers_silent(now);
        let none_receives = has_lease && leader.no_worker_receives_answers(now);
        let workers_reach_peer = peers.are_reached_by_workers(now);
        let is_without_workers = none_reports && workers_reach_peer;
        if self
            .without_workers
            .exceeds(RESIGN_WITHOUT_REPORTS_MS, is_without_workers, now)
        {
            return Some(ResignReason::WorkersReachPeer);
        }
        let cut_off_ms = self.cut_off.update(none_reports || none_receives, now)?;
        // Workers that move from one node to the next reach a peer only now and then.
        let may_peer_lead = workers_reach_peer && cut_off_ms > RESIGN_WITHOUT_REPORTS_MS;
        // The peer that workers reach may be the one that can't tell this node.
        let is_no_peer_known = none_reports
            && leader.expects_worker_heartbeats()
            && cut_off_ms > RESIGN_WITHOUT_PEER_NOTICE_MS;
        self.may_resign_unsure(may_peer_lead || is_no_peer_known, now)
            .then_some(ResignReason::NoWorkerFollows)
    }

    /// Whether the leader may resign although no peer is known to do better. All nodes may be cut off alike, and would
    /// take turns without any use, so this happens only once in a while.
    fn may_resign_unsure(&mut self, is_wanted: bool, now: u64) -> bool {
        let may_resign = is_wanted && now >= self.next_unsure;
        if may_resign {
            self.cut_off.reset();
            self.next_unsure = now + UNCERTAIN_RESIGN_INTERVAL_MS;
        }
        may_resign
    }
}

/// Decides when a worker is redirected to a leader that workers do not reach, to find out whether it is reached again.
pub(crate) struct LeaderProbe {
    next_probe: u64,
}

impl LeaderProbe {
    /// The first probe is due a while after `now`.
    pub fn new(now: u64) -> Self {
        LeaderProbe {
            next_probe: now + LEADER_PROBE_INTERVAL_MS,
        }
    }

    /// Whether a probe is due. If so, the next one is due a while later.
    pub fn take_due(&mut self, now: u64) -> bool {
        let is_due = now >= self.next_probe;
        if is_due {
            self.next_probe = now + LEADER_PROBE_INTERVAL_MS;
        }
        is_due
    }
}
