//! The candidate. It reads the last term, requests a lease, and writes the leader key and the next
//! term in one transaction. The transaction commits only if neither has changed since they were
//! read.

use super::role::{Candidacy, Leadership, Role};
use super::Election;
use crate::effects::{Effects, NodeEvent};
use crate::requests::{ElectionStep, StateOp, StateReply};
use constants::{
    CANDIDACY_TIMEOUT_MS, ELECTION_JITTER_MS, HANDOVER_POLL_INTERVAL_MS, LEADER_LEASE_MS,
    LEADER_POLL_INTERVAL_MS,
};
use wire::records::{LeaderRecord, TermRecord, LEADER_KEY, TERM_KEY};
use wire::state::{Compare, Item, Txn, Write};

/// Minimum milliseconds until the next poll after a failed attempt.
const ELECTION_BACKOFF_MIN_MS: u64 = LEADER_POLL_INTERVAL_MS / 2;

/// The last term as stored in the state service.
struct StoredTerm {
    /// `None` if there has been no leader yet.
    record: Option<TermRecord>,
    /// Version of the record, or 0 if there is none.
    version: u64,
}

impl StoredTerm {
    /// Returns `None` if the reply doesn't tell what is stored.
    fn from_reply(reply: StateReply) -> Option<Self> {
        match reply {
            StateReply::Item(item) => Self::from_item(&item),
            StateReply::Missing => Some(StoredTerm {
                record: None,
                version: 0,
            }),
            _ => None,
        }
    }

    fn from_item(item: &Item) -> Option<Self> {
        let version = item.version;
        let Ok(record) = item.value.deserialized::<TermRecord>() else {
            log::error!("event=term_record_unreadable version={version}");
            return None;
        };
        Some(StoredTerm {
            record: Some(record),
            version,
        })
    }
}

impl Election {
    /// Starts an attempt to become the leader. `leader_version` is the version of the leader key,
    /// or 0 if the key is missing.
    pub(super) fn start_candidacy(&mut self, leader_version: u64, effects: &mut Effects) {
        self.role = Role::Candidate(Candidacy::new(leader_version, effects.now.mono));
        let step = ElectionStep::ReadTerm(self.attempt);
        self.request(StateOp::Get(TERM_KEY.into()), step, effects);
    }

    /// Handles the state service's reply to the read of the last term.
    pub(super) fn on_term_reply(&mut self, reply: StateReply, effects: &mut Effects) {
        let Some(stored) = StoredTerm::from_reply(reply) else {
            return self.back_off(effects);
        };
        let Role::Candidate(candidacy) = &mut self.role else {
            return;
        };
        let last_term = stored.record.as_ref().map_or(0, |record| record.term);
        candidacy.term = last_term.max(self.highest_term) + 1;
        candidacy.term_version = stored.version;
        candidacy.last_term = stored.record;
        let op = StateOp::Grant {
            ttl_ms: LEADER_LEASE_MS,
        };
        self.request(op, ElectionStep::GrantLease(self.attempt), effects);
    }

    /// Handles the state service's reply to the request for a lease.
    pub(super) fn on_lease_reply(&mut self, reply: StateReply, effects: &mut Effects) {
        let StateReply::Granted(lease) = reply else {
            return self.back_off(effects);
        };
        let Role::Candidate(candidacy) = &mut self.role else {
            return;
        };
        let now = effects.now.mono;
        if now > candidacy.started_at + CANDIDACY_TIMEOUT_MS {
            return self.back_off(effects);
        }
        candidacy.lease = Some(lease);
        candidacy.started_at = now;
        let record = LeaderRecord {
            node: self.label.clone(),
            term: candidacy.term,
            boot: self.boot,
            level: self.rules.level,
        };
        let txn = election_txn(candidacy, &record, lease, &self.rules.conditions);
        self.request(
            StateOp::Txn(txn),
            ElectionStep::Commit(self.attempt),
            effects,
        );
    }

    /// Handles the state service's reply to the transaction that elects this process.
    pub(super) fn on_election_reply(&mut self, reply: StateReply, effects: &mut Effects) {
        let Role::Candidate(candidacy) = &self.role else {
            return;
        };
        let Some(lease) = candidacy.lease else {
            return;
        };
        let term = candidacy.term;
        match reply {
            StateReply::Committed { version } => self.become_leader(term, lease, version, effects),
            // The role stays unchanged because the next poll may find that this process was
            // elected.
            StateReply::Unknown => self.back_off(effects),
            StateReply::Conflict { failed } if self.has_outdated_conditions(&failed) => {
                // Usually another controller has announced itself in the meantime. The feature
                // level must be read again before the next attempt.
                self.role = Role::Follower;
                self.rules.may_stand = false;
                effects.emit(NodeEvent::LevelChanged);
                self.next_request_at = effects.now.mono + HANDOVER_POLL_INTERVAL_MS;
                self.reply_awaited_until = 0;
            }
            _ => {
                self.role = Role::Follower;
                self.back_off(effects);
            }
        }
    }

    /// Handles a leader key that holds a record of this process although it is not the leader yet:
    /// it was elected, but the reply was lost.
    pub(super) fn on_own_record(
        &mut self,
        record: LeaderRecord,
        item: &Item,
        effects: &mut Effects,
    ) {
        let lease = match &self.role {
            Role::Candidate(candidacy) if candidacy.term == record.term => candidacy.lease,
            _ => None,
        };
        match lease {
            Some(lease) => self.become_leader(record.term, lease, item.version, effects),
            None => self.start_candidacy(item.version, effects),
        }
    }

    /// Returns whether a condition of the election other than those on leader key and term no
    /// longer holds.
    fn has_outdated_conditions(&self, failed_keys: &[String]) -> bool {
        let mut conditions = self.rules.conditions.iter();
        conditions.any(|condition| failed_keys.contains(&condition.key))
    }

    fn become_leader(&mut self, term: u64, lease: u64, version: u64, effects: &mut Effects) {
        // The lease may have been granted a while ago, so it counts as valid only after it has been
        // renewed.
        self.role = Role::Leader(Leadership {
            term,
            lease,
            renewed_at: 0,
        });
        self.highest_term = term;
        self.known_leader = None;
        self.vacant_since = None;
        self.handover = None;
        self.attempt += 1;
        self.reply_awaited_until = 0;
        self.next_request_at = effects.now.mono;
        effects.emit(NodeEvent::Elected { term, version });
        self.tick(effects);
    }

    /// Leaves the next attempt to a poll after a random pause, so that two candidates rarely
    /// collide again.
    fn back_off(&mut self, effects: &Effects) {
        self.reply_awaited_until = 0;
        let pause_ms = ELECTION_BACKOFF_MIN_MS + self.rng.u64(..ELECTION_JITTER_MS);
        self.next_request_at = effects.now.mono + pause_ms;
    }
}

/// Builds the transaction that elects a candidate.
fn election_txn(
    candidacy: &mut Candidacy,
    record: &LeaderRecord,
    lease: u64,
    conditions: &[Compare],
) -> Txn {
    let mut compares = vec![
        Compare::new(LEADER_KEY, candidacy.leader_version),
        Compare::new(TERM_KEY, candidacy.term_version),
    ];
    compares.extend(conditions.iter().cloned());
    let term = candidacy.term;
    // The record keeps the layout in which it was read. Once it has the fenced layout, which builds
    // without rollouts can't read, it must not change back.
    let next_term = match candidacy.last_term.take() {
        Some(last_term) => TermRecord { term, ..last_term },
        None => TermRecord::new(term),
    };
    let leader_key = Write::Put {
        key: LEADER_KEY.into(),
        value: wire::state::to_value(record),
        lease: Some(lease),
    };
    Txn {
        compares,
        writes: vec![leader_key, Write::put(TERM_KEY, &next_term)],
    }
}
