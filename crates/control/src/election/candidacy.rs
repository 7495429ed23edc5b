//! A candidate's part. It reads the last term, has a lease granted, and writes leader key and next term in one
//! transaction, which commits only if neither has changed since they were read.

use super::role::{Candidacy, Leadership, Role};
use super::Election;
use crate::effects::{Effects, NodeEvent};
use crate::requests::{ElectionStep, StateOp, StateReply};
use constants::{
    ELECTION_JITTER_MS, ELECTION_STALE_MS, HANDOVER_POLL_MS, LEADER_LEASE_MS, LEADER_POLL_MS,
};
use wire::records::{LeaderRecord, TermRecord, LEADER_KEY, TERM_KEY};
use wire::state::{Compare, Item, Txn, Write};

/// Least milliseconds until the next poll after an attempt that failed.
const ELECTION_BACKOFF_MS: u64 = LEADER_POLL_MS / 2;

/// The last term as the state service has it.
struct StoredTerm {
    /// `None` if there was no leader yet.
    record: Option<TermRecord>,
    /// Version of the record; 0 if there is none.
    version: u64,
}

impl StoredTerm {
    /// `None` if the reply does not say what is stored.
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
    /// Begins an attempt to become the leader. `leader_version` is the version of the leader key, 0 if it
    /// is missing.
    pub(super) fn stand(&mut self, leader_version: u64, effects: &mut Effects) {
        self.role = Role::Candidate(Candidacy::new(leader_version, effects.now.mono));
        let step = ElectionStep::ReadTerm(self.round);
        self.request(StateOp::Get(TERM_KEY.into()), step, effects);
    }

    /// The state service has replied to the read of the last term.
    pub(super) fn on_term(&mut self, reply: StateReply, effects: &mut Effects) {
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
        self.request(op, ElectionStep::GrantLease(self.round), effects);
    }

    /// The state service has replied to the request for a lease.
    pub(super) fn on_grant(&mut self, reply: StateReply, effects: &mut Effects) {
        let StateReply::Granted(lease) = reply else {
            return self.back_off(effects);
        };
        let Role::Candidate(candidacy) = &mut self.role else {
            return;
        };
        let now = effects.now.mono;
        if now > candidacy.since + ELECTION_STALE_MS {
            return self.back_off(effects);
        }
        candidacy.lease = Some(lease);
        candidacy.since = now;
        let record = LeaderRecord {
            node: self.label.clone(),
            term: candidacy.term,
            boot: self.boot,
            level: self.rules.level,
        };
        let txn = election_txn(candidacy, &record, lease, &self.rules.conditions);
        self.request(StateOp::Txn(txn), ElectionStep::Commit(self.round), effects);
    }

    /// The state service has replied to the transaction that elects this process.
    pub(super) fn on_commit(&mut self, reply: StateReply, effects: &mut Effects) {
        let Role::Candidate(candidacy) = &self.role else {
            return;
        };
        let Some(lease) = candidacy.lease else {
            return;
        };
        let term = candidacy.term;
        match reply {
            StateReply::Committed { version } => self.win(term, lease, version, effects),
            // The role stays as it is: the next poll may find that this process was elected.
            StateReply::Unknown => self.back_off(effects),
            StateReply::Conflict { failed } if self.has_outdated_conditions(&failed) => {
                // Most often another controller has announced itself meanwhile: the level is read again first.
                self.role = Role::Follower;
                self.rules.may_stand = false;
                effects.emit(NodeEvent::LevelChanged);
                self.next_at = effects.now.mono + HANDOVER_POLL_MS;
                self.busy_until = 0;
            }
            _ => {
                self.role = Role::Follower;
                self.back_off(effects);
            }
        }
    }

    /// The leader key holds a record of this process, which does not lead yet: it was elected, but the
    /// reply was lost.
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
            Some(lease) => self.win(record.term, lease, item.version, effects),
            None => self.stand(item.version, effects),
        }
    }

    /// Whether a condition of the election besides those on leader and term no longer holds.
    fn has_outdated_conditions(&self, failed_keys: &[String]) -> bool {
        let mut conditions = self.rules.conditions.iter();
        conditions.any(|condition| failed_keys.contains(&condition.key))
    }

    fn win(&mut self, term: u64, lease: u64, version: u64, effects: &mut Effects) {
        // The lease may have been granted a while ago: it counts as valid only once it has been renewed.
        self.role = Role::Leader(Leadership {
            term,
            lease,
            renewed_at: 0,
        });
        self.highest_term = term;
        self.known_leader = None;
        self.vacant_since = None;
        self.handover = None;
        self.round += 1;
        self.busy_until = 0;
        self.next_at = effects.now.mono;
        effects.emit(NodeEvent::Elected { term, version });
        self.tick(effects);
    }

    /// Leaves the next attempt to a poll after a random pause, so that two candidates seldom collide again.
    fn back_off(&mut self, effects: &Effects) {
        self.busy_until = 0;
        let pause_ms = ELECTION_BACKOFF_MS + self.rng.u64(..ELECTION_JITTER_MS);
        self.next_at = effects.now.mono + pause_ms;
    }
}

/// The transaction that elects a candidate.
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
    // The record stays in the layout that was read. Once that is the fenced one, which builds without rollouts can't
    // read, it must not change back.
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
