//! What this node may decide, and whom it may answer, by its lease and by what it knows of cancellations.

use super::Node;
use constants::{CANCELLATION_KNOWLEDGE_MAX_AGE_MS, ISOLATION_NOT_READY_MS};

impl Node {
    /// Whether neither the state service nor a peer, through which users could be served, has been reached
    /// for a while.
    ///
    /// Such a node refuses every request. The load balancer has to be told: it offered such nodes to users
    /// all the same, and a third of the users were refused until the cut was over. In an outage of the
    /// state service peers are still heard, so that no node is taken out of service.
    pub(super) fn is_cut_off(&self, now: u64) -> bool {
        let Some(peer_contact_at) = self.peers.last_contact() else {
            return false;
        };
        let last_contact = self
            .heartbeat
            .started_at()
            .max(peer_contact_at)
            .max(self.state.last_good());
        !self.state.is_up(now) && now > last_contact + ISOLATION_NOT_READY_MS
    }

    /// The moment up to which every cancellation that was confirmed to a user is known to the leader: by
    /// its own reading of the records, and beyond it as long as all peers tell of the cancellations that
    /// they confirm. A successful reply of the state service to any other request proves nothing.
    pub(super) fn informed_until(&self) -> Option<u64> {
        let read_until = self.leader.as_ref()?.cancellations_known_until()?;
        Some(self.peers.cancellations_known_until(read_until))
    }

    /// Whether the leader may make decisions and start tasks: its lease holds, and every cancellation is
    /// known up to a recent moment.
    pub(super) fn active(&self, now: u64) -> bool {
        self.planned_stop.is_none()
            && self.election.is_lease_valid(now)
            && self.is_informed_within(CANCELLATION_KNOWLEDGE_MAX_AGE_MS, now)
    }

    /// Whether the leader may answer workers, that is renew their leases.
    ///
    /// Jobs may have been cancelled without its knowledge, in particular while it does not reach the state service.
    /// Their tasks must not be kept alive beyond `cancel_s`. A leader that has not read its records knows of no
    /// cancellation at all.
    pub(super) fn may_answer(&self, now: u64) -> bool {
        let keepalive_ms = self.settings.keepalive_ms();
        self.active(now) || self.is_informed_within(keepalive_ms, now)
    }

    /// Whether every cancellation is known up to a moment less than `period_ms` ago.
    fn is_informed_within(&self, period_ms: u64, now: u64) -> bool {
        let informed_until = self.informed_until();
        informed_until.is_some_and(|until| now < until + period_ms)
    }
}
