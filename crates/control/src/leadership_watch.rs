//! Decides when a leader resigns in favour of a peer, and when to check whether workers reach a
//! leader again.

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
    /// The state service doesn't answer this node but answers a peer.
    PeerReachesState,
    /// No worker reaches this node, but workers reach a peer.
    WorkersReachPeer,
    /// Workers don't reach this node or don't receive its answers, and it is not certain that a
    /// peer has better contact.
    NoWorkerContact,
}

impl ResignReason {
    /// Returns the reason as it is logged.
    pub fn as_str(self) -> &'static str {
        match self {
            ResignReason::PeerReachesState => "a peer reaches the state service",
            ResignReason::WorkersReachPeer => "workers reach a peer but not this node",
            ResignReason::NoWorkerContact => "no contact with workers",
        }
    }
}

/// Measures for how long a condition has been true without interruption.
#[derive(Default)]
struct ConditionTimer {
    since: Option<u64>,
}

impl ConditionTimer {
    /// Updates the condition. Returns the milliseconds for which it has been true, or `None` if it
    /// is false.
    fn update(&mut self, is_true: bool, now: u64) -> Option<u64> {
        if !is_true {
            self.since = None;
            return None;
        }
        Some(now.saturating_sub(*self.since.get_or_insert(now)))
    }

    /// Updates the condition. Returns whether it has been true for more than `limit_ms`; if so, the
    /// measurement starts again.
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
    /// Peers reach the state service and this leader doesn't.
    without_state: ConditionTimer,
    /// Workers reach peers and don't reach this leader.
    workers_reach_only_peers: ConditionTimer,
    /// This leader receives no heartbeats from workers, or they don't receive its answers.
    without_worker_contact: ConditionTimer,
    /// When the leader may next resign without knowing that a peer has contact with workers in both
    /// directions.
    next_uncertain_resignation_at: u64,
}

impl LeadershipWatch {
    /// Returns why the leader should resign now, if it should: the state service is unreachable for
    /// this node alone, or the leader has no contact with workers.
    pub fn reason_to_resign(
        &mut self,
        leader: Option<&Leader>,
        election: &Election,
        state: &StateClient,
        peers: &Peers,
        now: u64,
    ) -> Option<ResignReason> {
        let Some(leader) = leader else {
            self.workers_reach_only_peers.reset();
            self.without_worker_contact.reset();
            return None;
        };
        let has_lease = election.is_lease_valid(now);
        let is_without_state = !has_lease
            && now > state.last_success_at() + LEADER_LEASE_MS
            && peers.peer_reaching_state(now).is_some();
        // The limit is needed because after an outage of the state service a peer may merely be the
        // first to notice that the outage is over.
        if self
            .without_state
            .exceeds(STATE_UNAVAILABLE_MS, is_without_state, now)
        {
            return Some(ResignReason::PeerReachesState);
        }
        self.reason_without_workers(leader, has_lease, peers, now)
    }

    /// Returns why the leader should resign for lack of contact with workers, if it should.
    fn reason_without_workers(
        &mut self,
        leader: &Leader,
        has_lease: bool,
        peers: &Peers,
        now: u64,
    ) -> Option<ResignReason> {
        let none_reports = has_lease && leader.all_workers_silent(now);
        let none_receives = has_lease && leader.no_worker_receives_answers(now);
        let workers_reach_peer = peers.workers_reach_any_peer(now);
        let do_workers_reach_only_peers = none_reports && workers_reach_peer;
        if self.workers_reach_only_peers.exceeds(
            RESIGN_WITHOUT_REPORTS_MS,
            do_workers_reach_only_peers,
            now,
        ) {
            return Some(ResignReason::WorkersReachPeer);
        }
        let without_contact_ms = self
            .without_worker_contact
            .update(none_reports || none_receives, now)?;
        // Workers that try one node after another reach a peer only occasionally.
        let may_peer_lead = workers_reach_peer && without_contact_ms > RESIGN_WITHOUT_REPORTS_MS;
        // The peer that workers reach may be unable to notify this node.
        let is_peer_notice_overdue = none_reports
            && leader.expects_worker_heartbeats()
            && without_contact_ms > RESIGN_WITHOUT_PEER_NOTICE_MS;
        self.may_resign_uncertain(may_peer_lead || is_peer_notice_overdue, now)
            .then_some(ResignReason::NoWorkerContact)
    }

    /// Returns whether the leader may resign although no peer is known to have better contact. All
    /// nodes may be affected alike and would take turns at leading to no effect, so this is allowed
    /// only once per interval.
    fn may_resign_uncertain(&mut self, is_wanted: bool, now: u64) -> bool {
        let may_resign = is_wanted && now >= self.next_uncertain_resignation_at;
        if may_resign {
            self.without_worker_contact.reset();
            self.next_uncertain_resignation_at = now + UNCERTAIN_RESIGN_INTERVAL_MS;
        }
        may_resign
    }
}

/// Decides when a worker is redirected to a leader that workers don't reach, to find out whether it
/// can be reached again.
pub(crate) struct LeaderProbe {
    next_probe_at: u64,
}

impl LeaderProbe {
    /// Creates a probe that is first due one interval after `now`.
    pub fn new(now: u64) -> Self {
        LeaderProbe {
            next_probe_at: now + LEADER_PROBE_INTERVAL_MS,
        }
    }

    /// Returns whether a probe is due. If so, the next one is due one interval later.
    pub fn take_due(&mut self, now: u64) -> bool {
        let is_due = now >= self.next_probe_at;
        if is_due {
            self.next_probe_at = now + LEADER_PROBE_INTERVAL_MS;
        }
        is_due
    }
}
