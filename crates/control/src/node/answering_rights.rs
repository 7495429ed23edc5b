//! Determines what this node may decide and whom it may answer, based on its lease and on the
//! cancellations that it knows of.

use super::Node;
use crate::leader::Authority;
use constants::{CANCELLATION_KNOWLEDGE_MAX_AGE_MS, ISOLATION_NOT_READY_MS};

/// Microseconds per millisecond.
const US_PER_MS: u64 = 1_000;

impl Node {
    /// Returns whether this node has for a while reached neither the state service nor a peer
    /// through which it could serve users.
    ///
    /// An isolated node refuses every request, and reports to the load balancer that it is not
    /// ready. Otherwise the load balancer keeps sending users to it: in one network cut a third of
    /// the users were refused until the cut ended. During an outage of the state service peers are
    /// still heard from, so no node is taken out of service.
    pub(super) fn is_isolated(&self, now: u64) -> bool {
        let Some(peer_contact_at) = self.peers.last_heartbeat_at() else {
            return false;
        };
        let last_contact_at = self
            .peer_heartbeats
            .started_at()
            .max(peer_contact_at)
            .max(self.state.last_success_at());
        !self.state.is_available(now) && now > last_contact_at + ISOLATION_NOT_READY_MS
    }

    /// Returns the time up to which the leader knows every cancellation that was confirmed to a
    /// user. The leader knows the cancellations up to its last read of the records, and later ones
    /// as long as all peers announce the cancellations that they confirm. A successful reply of the
    /// state service to any other request doesn't extend this time.
    pub(super) fn cancellations_known_until(&self) -> Option<u64> {
        let read_until = self.leader.as_ref()?.cancellations_known_until()?;
        Some(self.peers.cancellations_known_until(read_until))
    }

    /// Returns whether the leader may make decisions and start tasks: its lease is valid and it
    /// knows every cancellation up to a recent time.
    pub(super) fn is_active(&self, now: u64) -> bool {
        self.planned_stop.is_none()
            && self.election.is_lease_valid(now)
            && self.are_cancellations_known_within(CANCELLATION_KNOWLEDGE_MAX_AGE_MS, now)
    }

    /// Returns what the leader may do now, in a turn that began at `turn_start`. The turn may have included a
    /// scheduling round since.
    pub(super) fn leader_authority(&self, turn_start: u64) -> Authority {
        let now = turn_start + self.turn_duration_us() / US_PER_MS;
        Authority {
            determined_at: now,
            is_active: self.is_active(now),
            cancellations_known_until: self.cancellations_known_until().unwrap_or(0),
        }
    }

    /// Returns whether the leader may answer workers, which renews the leases of their tasks.
    ///
    /// Jobs may be cancelled without the leader's knowledge, in particular while it doesn't reach
    /// the state service. Their tasks must not be kept alive for longer than `cancel_s`. A leader
    /// that hasn't read its records yet knows of no cancellation.
    pub(super) fn may_answer_workers(&self, now: u64) -> bool {
        let keepalive_ms = self.settings.keepalive_ms();
        self.is_active(now) || self.are_cancellations_known_within(keepalive_ms, now)
    }

    /// Returns whether every cancellation is known up to a time less than `period_ms` ago.
    fn are_cancellations_known_within(&self, period_ms: u64, now: u64) -> bool {
        let cancellations_known_until = self.cancellations_known_until();
        cancellations_known_until.is_some_and(|until| now < until + period_ms)
    }
}
