//! The role of a process in the election, and what it knows of the others.

use wire::records::{LeaderRecord, TermRecord};
use wire::state::Compare;

/// Rules for this process that come from outside the election.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct ElectionRules {
    /// Whether this process may stand.
    pub may_stand: bool,
    /// The feature level that its record names, if it may name one.
    pub level: Option<u32>,
    /// Conditions of its election besides those of every other: what it has read of the cluster's level still holds.
    pub conditions: Vec<Compare>,
    /// Milliseconds for which a vacancy is left to newer builds.
    pub defer_ms: u64,
}

/// A planned stop of the leader in which it named this process its successor.
#[derive(Debug, Clone, Copy)]
pub(super) struct Handover {
    /// Term of the leader that stops.
    pub term: u64,
    /// Until when the vacancy is polled for at a short interval.
    pub until: u64,
}

/// A leader as its record under the leader key showed it.
pub(super) struct KnownLeader {
    /// The record.
    pub record: LeaderRecord,
    /// When it was read.
    pub seen_at: u64,
}

/// What a process is in the election.
pub(super) enum Role {
    /// It polls the leader key.
    Follower,
    /// It is about to write the leader key.
    Candidate(Candidacy),
    /// It has written the leader key, and renews its lease.
    Leader(Leadership),
}

/// An attempt to become the leader.
pub(super) struct Candidacy {
    /// Version of the leader key as it was read, 0 if it was missing.
    pub leader_version: u64,
    /// The term aimed at; 0 until the last one has been read.
    pub term: u64,
    /// Version of the term's record as it was read, 0 if it was missing.
    pub term_version: u64,
    /// The record of the last term as it was read, if there was one.
    pub last_term: Option<TermRecord>,
    /// The lease that was granted for it.
    pub lease: Option<u64>,
    /// When the attempt, or its transaction, began.
    pub since: u64,
}

impl Candidacy {
    /// An attempt of which nothing is known but the version of the leader key.
    pub fn new(leader_version: u64, now: u64) -> Self {
        Candidacy {
            leader_version,
            term: 0,
            term_version: 0,
            last_term: None,
            lease: None,
            since: now,
        }
    }
}

/// A term in which this process leads.
#[derive(Clone, Copy)]
pub(super) struct Leadership {
    /// The term.
    pub term: u64,
    /// Lease of the leader key.
    pub lease: u64,
    /// When the last renewal that succeeded was sent; 0 if none has.
    pub renewed_at: u64,
}
