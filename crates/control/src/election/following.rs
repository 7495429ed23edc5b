//! A follower's part: it polls the leader key, and decides when to stand for election.

use super::role::{Handover, KnownLeader, Role};
use super::{revoke, Election};
use crate::effects::Effects;
use crate::requests::{ElectionStep, StateOp, StateReply};
use constants::{
    ELECTION_JITTER_MS, HANDOVER_MS, HANDOVER_POLL_MS, LEADER_POLL_MS, STATE_RETRY_MS,
    VACANT_POLL_MS,
};
use wire::records::{LeaderRecord, LEADER_KEY};
use wire::state::Item;

/// Least milliseconds between revoking an unreachable leader's lease and polling the leader key, for a
/// process that is not the named successor: that one goes first.
const REVOCATION_MS: u64 = STATE_RETRY_MS / 5;

impl Election {
    /// Asks the state service for the leader key.
    pub(super) fn poll(&mut self, effects: &mut Effects) {
        let now = effects.now.mono;
        self.round += 1;
        self.next_at = now + self.poll_interval_ms(now);
        let step = ElectionStep::Poll(self.round);
        self.request(StateOp::Get(LEADER_KEY.into()), step, effects);
    }

    fn poll_interval_ms(&self, now: u64) -> u64 {
        if self.is_named_successor(now) {
            HANDOVER_POLL_MS
        } else if self.leader_label(now).is_none() {
            VACANT_POLL_MS
        } else {
            LEADER_POLL_MS
        }
    }

    /// The state service has replied to a poll of the leader key.
    pub(super) fn on_poll(&mut self, reply: StateReply, effects: &mut Effects) {
        self.busy_until = 0;
        match reply {
            StateReply::Item(item) => self.on_leader_key(item, effects),
            StateReply::Missing => self.on_vacancy(effects),
            _ => {}
        }
    }

    fn on_leader_key(&mut self, item: Item, effects: &mut Effects) {
        let now = effects.now.mono;
        let Ok(record) = item.value.deserialized::<LeaderRecord>() else {
            log::error!("event=leader_record_unreadable version={}", item.version);
            return;
        };
        self.highest_term = self.highest_term.max(record.term);
        self.vacant_since = None;
        if self.handover.is_some_and(|h| record.term > h.term) {
            self.handover = None;
        }
        if record.node != self.label {
            self.follow(record, item.lease, now);
        } else if record.boot == self.boot {
            self.on_own_record(record, &item, effects);
        } else if self.may_stand(now) {
            // The record is of our own earlier process, which is gone: its lease need not be waited for.
            self.stand(item.version, effects);
        }
    }

    fn on_vacancy(&mut self, effects: &mut Effects) {
        let now = effects.now.mono;
        self.known_leader = None;
        if !self.may_stand(now) {
            return;
        }
        let since = *self.vacant_since.get_or_insert(now);
        if self.is_named_successor(now) || now >= since + self.rules.defer_ms {
            self.stand(0, effects);
        }
    }

    fn follow(&mut self, record: LeaderRecord, lease: Option<u64>, now: u64) {
        self.role = Role::Follower;
        let known = self.known_leader.as_ref();
        if known.is_none_or(|known| known.record != record) {
            self.known_since = now;
        }
        self.known_leader = Some(KnownLeader {
            record,
            seen_at: now,
        });
        self.known_lease = lease;
    }

    fn may_stand(&self, now: u64) -> bool {
        self.rules.may_stand && now >= self.paused_until
    }

    /// Whether the leader has lately named this process its successor.
    fn is_named_successor(&self, now: u64) -> bool {
        self.handover.is_some_and(|handover| now < handover.until)
    }

    /// The leader stops as planned, and names this process its successor: the leader key is polled at a
    /// short interval until it is vacant.
    pub fn on_handover(&mut self, from: &str, term: u64, effects: &mut Effects) {
        let is_leader = self
            .known_leader
            .as_ref()
            .is_none_or(|known| known.record.node == from && known.record.term == term);
        if !is_leader || term < self.highest_term || self.leads().is_some() {
            return;
        }
        log::info!("event=named_successor by={from} term={term}");
        let now = effects.now.mono;
        let until = now + HANDOVER_MS;
        self.handover = Some(Handover { term, until });
        self.round += 1;
        self.busy_until = 0;
        self.next_at = now;
    }

    /// A peer seems to have crashed. If it leads, its lease is revoked, once a term. That is safe even if
    /// the peer is alive (a packet filter between the nodes refuses connections, too): it loses leadership,
    /// no more.
    pub fn on_peer_refused(&mut self, label: &str, effects: &mut Effects) {
        let Some(known) = self.known_leader.as_ref() else {
            return;
        };
        let (node, term) = (&known.record.node, known.record.term);
        if node != label || term <= self.revoked_term {
            return;
        }
        let Some(lease) = self.known_lease else {
            return;
        };
        self.revoked_term = term;
        // Workers must not be sent to it any more.
        self.known_leader = None;
        log::info!("event=leader_unreachable node={label} term={term}");
        revoke(lease, effects);
        let now = effects.now.mono;
        // A named successor polls at once; the others leave it a moment.
        let pause_ms = if self.is_named_successor(now) {
            0
        } else {
            REVOCATION_MS + self.rng.u64(..ELECTION_JITTER_MS)
        };
        self.next_at = now + pause_ms;
        self.busy_until = 0;
    }
}
