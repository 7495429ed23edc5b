//! The follower. It polls the leader key and decides when to stand for election.

use super::role::{Handover, KnownLeader, Role};
use super::{revoke, Election};
use crate::effects::Effects;
use crate::requests::{ElectionStep, StateOp, StateReply};
use constants::{
    ELECTION_JITTER_MS, HANDOVER_POLL_DURATION_MS, HANDOVER_POLL_INTERVAL_MS,
    LEADER_POLL_INTERVAL_MS, STATE_RETRY_MS, VACANT_LEADER_POLL_INTERVAL_MS,
};
use wire::records::{LeaderRecord, LEADER_KEY};
use wire::state::Item;

/// Minimum milliseconds between revoking the lease of an unreachable leader and polling the leader
/// key. It applies unless this process is the named successor, which goes first.
const REVOCATION_POLL_DELAY_MIN_MS: u64 = STATE_RETRY_MS / 5;

impl Election {
    /// Reads the leader key from the state service.
    pub(super) fn poll(&mut self, effects: &mut Effects) {
        let now = effects.now.mono;
        self.attempt += 1;
        self.next_request_at = now + self.poll_interval_ms(now);
        let step = ElectionStep::Poll(self.attempt);
        self.request(StateOp::Get(LEADER_KEY.into()), step, effects);
    }

    fn poll_interval_ms(&self, now: u64) -> u64 {
        if self.is_named_successor(now) {
            HANDOVER_POLL_INTERVAL_MS
        } else if self.leader_label(now).is_none() {
            VACANT_LEADER_POLL_INTERVAL_MS
        } else {
            LEADER_POLL_INTERVAL_MS
        }
    }

    /// Handles the state service's reply to a poll of the leader key.
    pub(super) fn on_poll_reply(&mut self, reply: StateReply, effects: &mut Effects) {
        self.reply_awaited_until = 0;
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
            // The record was written by an earlier process of this node, which no longer runs, so
            // its lease need not be waited for.
            self.start_candidacy(item.version, effects);
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
            self.start_candidacy(0, effects);
        }
    }

    fn follow(&mut self, record: LeaderRecord, lease: Option<u64>, now: u64) {
        self.role = Role::Follower;
        let known = self.known_leader.as_ref();
        if known.is_none_or(|known| known.record != record) {
            self.leader_known_since = now;
        }
        self.known_leader = Some(KnownLeader {
            record,
            seen_at: now,
        });
        self.leader_lease = lease;
    }

    fn may_stand(&self, now: u64) -> bool {
        self.rules.may_stand && now >= self.no_candidacy_until
    }

    /// Returns whether the leader recently named this process its successor.
    fn is_named_successor(&self, now: u64) -> bool {
        self.handover.is_some_and(|handover| now < handover.until)
    }

    /// Handles the notice that the leader stops as planned and names this process its successor.
    /// The leader key is polled at a short interval until it is vacant.
    pub fn on_handover(&mut self, from: &str, term: u64, effects: &mut Effects) {
        let is_leader = self
            .known_leader
            .as_ref()
            .is_none_or(|known| known.record.node == from && known.record.term == term);
        if !is_leader || term < self.highest_term || self.leading_term().is_some() {
            return;
        }
        log::info!("event=named_successor by={from} term={term}");
        let now = effects.now.mono;
        let until = now + HANDOVER_POLL_DURATION_MS;
        self.handover = Some(Handover { term, until });
        self.attempt += 1;
        self.reply_awaited_until = 0;
        self.next_request_at = now;
    }

    /// Handles a peer that refuses connections and has probably crashed. If it is the leader, its
    /// lease is revoked, at most once per term. This is safe even if the peer is alive (a packet
    /// filter between the nodes also refuses connections): the peer only loses leadership.
    pub fn on_peer_connection_refused(&mut self, label: &str, effects: &mut Effects) {
        let Some(known) = self.known_leader.as_ref() else {
            return;
        };
        let (node, term) = (&known.record.node, known.record.term);
        if node != label || term <= self.revoked_term {
            return;
        }
        let Some(lease) = self.leader_lease else {
            return;
        };
        self.revoked_term = term;
        // Workers must no longer be redirected to it.
        self.known_leader = None;
        log::info!("event=leader_unreachable node={label} term={term}");
        revoke(lease, effects);
        let now = effects.now.mono;
        // A named successor polls at once. Other nodes wait a short time to let it go first.
        let pause_ms = if self.is_named_successor(now) {
            0
        } else {
            REVOCATION_POLL_DELAY_MIN_MS + self.rng.u64(..ELECTION_JITTER_MS)
        };
        self.next_request_at = now + pause_ms;
        self.reply_awaited_until = 0;
    }
}
