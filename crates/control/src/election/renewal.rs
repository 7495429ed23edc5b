//! The leader. Renews its lease and handles the ways to lose leadership.

use super::role::Role;
use super::{revoke, Election};
use crate::effects::{Effects, NodeEvent};
use crate::requests::{ElectionStep, StateOp, StateReply};
use constants::{LEADER_POLL_INTERVAL_MS, LEADER_RENEW_INTERVAL_MS, RESIGN_PAUSE_MS};

impl Election {
    /// Requests a renewal of the lease from the state service.
    pub(super) fn renew(&mut self, term: u64, lease: u64, effects: &mut Effects) {
        let now = effects.now.mono;
        let step = ElectionStep::Renew { term, sent_at: now };
        self.request(StateOp::Renew(lease), step, effects);
        self.next_request_at = now + LEADER_RENEW_INTERVAL_MS;
        // A renewal doesn't wait for the reply to the previous one, because the lease could expire
        // meanwhile.
        self.reply_awaited_until = now + LEADER_RENEW_INTERVAL_MS;
    }

    /// Handles the state service's reply to the renewal that was sent at `sent_at` in
    /// `renewed_term`.
    pub(super) fn on_renewal_reply(
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
            // A renewal that was sent before a stall doesn't make the lease valid again.
            StateReply::Renewed if sent_at < self.resumed_at => {}
            StateReply::Renewed => leadership.renewed_at = leadership.renewed_at.max(sent_at),
            StateReply::NoLease => self.step_down("the lease expired", effects),
            _ => {}
        }
    }

    /// Handles a term that a peer knows of.
    pub fn observe_term(&mut self, term: u64, effects: &mut Effects) {
        self.highest_term = self.highest_term.max(term);
        if self.leading_term().is_some_and(|own_term| term > own_term) {
            self.step_down("a peer knows of a newer term", effects);
        }
    }

    /// Gives up leadership, for a reason that doesn't apply to the other nodes, and doesn't stand
    /// for election for a while.
    pub fn resign(&mut self, reason: &'static str, effects: &mut Effects) {
        let Role::Leader(leadership) = self.role else {
            return;
        };
        revoke(leadership.lease, effects);
        self.no_candidacy_until = effects.now.mono + RESIGN_PAUSE_MS;
        self.step_down(reason, effects);
    }

    /// Handles a failed transaction of this leader: the leader key was deleted or changed.
    pub fn on_fenced(&mut self, effects: &mut Effects) {
        if self.leading_term().is_some() {
            self.step_down("the leader key no longer belongs to this node", effects);
        }
    }

    fn step_down(&mut self, reason: &'static str, effects: &mut Effects) {
        self.role = Role::Follower;
        self.attempt += 1;
        self.reply_awaited_until = 0;
        self.known_leader = None;
        self.next_request_at = effects.now.mono + LEADER_POLL_INTERVAL_MS;
        effects.emit(NodeEvent::SteppedDown { reason });
    }
}
