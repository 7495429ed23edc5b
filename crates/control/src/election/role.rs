//! The role of a process in the election, and what it knows of other candidates and leaders.

use wire::records::{LeaderRecord, TermRecord};
use wire::state::Compare;

/// Rules for this process that are set from outside the election.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct ElectionRules {
    /// Whether this process may stand for election.
    pub may_stand: bool,
    /// The feature level to name in the leader record, if one may be named.
    pub level: Option<u32>,
    /// Conditions of this process's election in addition to those on leader key and term: what it
    /// has read of the cluster's feature level must still hold.
    pub conditions: Vec<Compare>,
    /// Milliseconds for which a vacancy is left to newer builds.
    pub defer_ms: u64,
}

/// A planned stop of the leader, which named this process its successor.
#[derive(Debug, Clone, Copy)]
pub(super) struct Handover {
    /// Term of the leader that stops.
    pub term: u64,
    /// Until when the leader key is polled at a short interval.
    pub until: u64,
}

/// A leader as described by its record under the leader key.
pub(super) struct KnownLeader {
    /// The record.
    pub record: LeaderRecord,
    /// When the record was read.
    pub seen_at: u64,
}

/// The role of a process.
pub(super) enum Role {
    /// Polls the leader key.
    Follower,
    /// Tries to write the leader key.
    Candidate(Candidacy),
    /// Has written the leader key and renews its lease.
    Leader(Leadership),
}

/// An attempt to become the leader.
pub(super) struct Candidacy {
    /// Version of the leader key when it was read, or 0 if it was missing.
    pub leader_version: u64,
    /// Term of this candidacy, or 0 until the last term has been read.
    pub term: u64,
    /// Version of the term record when it was read, or 0 if it was missing.
    pub term_version: u64,
    /// The term record as it was read, if there was one.
    pub last_term: Option<TermRecord>,
    /// The lease that was granted for this attempt.
    pub lease: Option<u64>,
    /// When the attempt started or, once sent, when its transaction was sent.
    pub started_at: u64,
}

impl Candidacy {
    /// Creates an attempt for which only the version of the leader key is known.
    pub fn new(leader_version: u64, now: u64) -> Self {
        Candidacy {
            leader_version,
            term: 0,
            term_version: 0,
            last_term: None,
            lease: None,
            started_at: now,
        }
    }
}

/// A term in which this process is the leader.
#[derive(Clone, Copy)]
pub(super) struct Leadership {
    /// The term.
    pub term: u64,
    /// Lease of the leader key.
    pub lease: u64,
    /// When the last successful renewal was sent, or 0 if there has been none.
    pub renewed_at: u64,
}
