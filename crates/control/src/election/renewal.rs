//! A leader's part: renewals of its lease, and the ways to lose leadership.

use super::role::Role;
use super::{revoke, Election};
use crate::effects::{Effects, NodeEvent};
use crate::requests::{ElectionStep, StateOp, StateReply};
use constants::{LEADER_POLL_INTERVAL_MS, LEADER_RENEW_INTERVAL_MS, RESIGN_PAUSE_MS};

impl Election {
    /// Asks the state service to renew the lease.
    pub(super) fn renew(&mut self, term: u64, lease: u64, effects: &mut Effects) {
        let now = effects.now.mono;
        let step = ElectionStep::Renew { term, sent_at: now };
        self.request(StateOp::Renew(lease), step, effects);
        self.next_at = now + LEADER_RENEW_INTERVAL_MS;
        // Renewals don't wait for the reply to the one before: the lease would expire meanwhile.
        self.busy_until = now + LEADER_RENEW_INTERVAL_MS;
    }

    /// The state service has replied to the renewal sent at `sent_at` in `renewed_term`.
    pub(super) fn on_renewal(
        &mut self,
        renewed_term: u64,
        sent_at: u64,
        reply: &StateReply,
        effects: &mut Effects,
    ) {
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        if leadership.term != renewed_term {
            return;
        }
        match reply {
            // No renewal from before a stall makes the lease valid again.
            StateReply::Renewed if sent_at < self.resumed_at => {}
            StateReply::Renewed => leadership.renewed_at = leadership.renewed_at.max(sent_at),
            StateReply::NoLease => self.step_down("the lease ran out", effects),
            _ => {}
        }
    }

    /// A peer knows of a term.
    pub fn observe_term(&mut self, term: u64, effects: &mut Effects) {
        self.highest_term = self.highest_term.max(term);
        if self.leads().is_some_and(|own_term| term > own_term) {
            self.step_down("a peer knows a newer term", effects);
        }
    }

    /// Gives leadership up and does not stand for a while, for a reason that the other nodes don't share.
    pub fn resign(&mut self, reason: &'static str, effects: &mut Effects) {
        let Role::Leader(leadership) = self.role else {
            return;
        };
        revoke(leadership.lease, effects);
        self.paused_until = effects.now.mono + RESIGN_PAUSE_MS;
        self.step_down(reason, effects);
    }

    /// A transaction of this leader failed, since the leader key is gone or was changed.
    pub fn on_fenced(&mut self, effects: &mut Effects) {
        if self.leads().is_some() {
            self.step_down("the leader key is not ours any more", effects);
        }
    }

    fn step_down(&mut self, reason: &'static str, effects: &mut Effects) {
        self.role = Role::Follower;
        self.round += 1;
        self.busy_until = 0;
        self.known_leader = None;
        self.next_at = effects.now.mono + LEADER_POLL_INTERVAL_MS;
        effects.emit(NodeEvent::SteppedDown { reason });
    }
}
