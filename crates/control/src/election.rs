//! Leader election. The leader key is attached to a lease and written in the same transaction as a
//! fencing term, which only increases.
//!
//! - `role`: the role of this process and what it knows of other candidates and leaders;
//! - `following`: polls the leader key and decides when to stand for election;
//! - `candidacy`: the steps of a candidate, up to the transaction that elects it;
//! - `renewal`: renews the leader's lease and handles the loss of leadership.

mod candidacy;
mod following;
mod renewal;
mod role;
#[cfg(test)]
mod tests;

pub(crate) use role::ElectionRules;

use crate::effects::Effects;
use crate::requests::{ElectionStep, Priority, StateOp, StateReply, StateTag};
use constants::{LEADER_LEASE_MS, STATE_TIMEOUT_MS};
use role::{Handover, KnownLeader, Leadership, Role};

/// Safety margin in milliseconds: the lease counts as valid only until this long before it expires,
/// because clocks may drift and time passes between a check of the lease and the action that
/// depends on it.
const LEADER_LEASE_MARGIN_MS: u64 = 300;
/// Milliseconds after which a request without a reply counts as lost. Longer than the state
/// client's own timeout.
const REPLY_TIMEOUT_MS: u64 = 3 * STATE_TIMEOUT_MS;

/// The election from the point of view of one process.
pub(crate) struct Election {
    /// Label of this node.
    label: String,
    /// Random number that identifies this process. It distinguishes this process's leader record
    /// from that of an earlier process of the same node.
    boot: u64,
    role: Role,
    /// Number of the current attempt. Replies to requests of earlier attempts are dropped.
    attempt: u64,
    /// When the next poll or renewal is due.
    next_request_at: u64,
    /// Until when to wait for the reply to the last request before the next one is sent.
    reply_awaited_until: u64,
    /// Until when this process doesn't stand for election after it resigned.
    no_candidacy_until: u64,
    /// The last leader seen. `None` once it no longer counts as the leader.
    known_leader: Option<KnownLeader>,
    /// Since when this leader has been known.
    leader_known_since: u64,
    /// Lease of the last leader seen.
    leader_lease: Option<u64>,
    /// Term of the last leader whose lease this process revoked.
    revoked_term: u64,
    highest_term: u64,
    /// When this process resumed after its last stall; 0 if it was never stalled.
    resumed_at: u64,
    rules: ElectionRules,
    /// Since when this process has seen no leader.
    vacant_since: Option<u64>,
    handover: Option<Handover>,
    rng: fastrand::Rng,
}

impl Election {
    /// Creates the election of a process that has just started. `boot` is drawn at random at each
    /// start.
    pub fn new(label: &str, boot: u64) -> Self {
        Election {
            label: label.to_string(),
            boot,
            role: Role::Follower,
            attempt: 0,
            next_request_at: 0,
            reply_awaited_until: 0,
            no_candidacy_until: 0,
            known_leader: None,
            leader_known_since: 0,
            leader_lease: None,
            revoked_term: 0,
            highest_term: 0,
            resumed_at: 0,
            rules: ElectionRules {
                may_stand: true,
                ..ElectionRules::default()
            },
            vacant_since: None,
            handover: None,
            rng: fastrand::Rng::with_seed(boot),
        }
    }

    /// Sets the rules that apply from now on.
    pub fn set_rules(&mut self, rules: ElectionRules) {
        self.rules = rules;
    }

    /// Returns the term if this node is the leader. The node may have lost leadership without
    /// knowing it yet.
    pub fn leading_term(&self) -> Option<u64> {
        match &self.role {
            Role::Leader(leadership) => Some(leadership.term),
            Role::Follower | Role::Candidate(_) => None,
        }
    }

    /// Returns whether the lease was certainly valid a moment ago, by the clock of this node.
    pub fn is_lease_valid(&self, now: u64) -> bool {
        let Role::Leader(Leadership { renewed_at, .. }) = self.role else {
            return false;
        };
        now < renewed_at + LEADER_LEASE_MS - LEADER_LEASE_MARGIN_MS
    }

    /// Returns the highest term that this process has seen or been told of.
    pub fn highest_term(&self) -> u64 {
        self.highest_term
    }

    /// Returns the label of the leader, if it was seen recently.
    pub fn leader_label(&self, now: u64) -> Option<&str> {
        if self.leading_term().is_some() {
            return Some(&self.label);
        }
        let known = self.known_leader.as_ref()?;
        let is_recent = now < known.seen_at + LEADER_LEASE_MS;
        is_recent.then_some(known.record.node.as_str())
    }

    /// Returns since when this node has known the current leader.
    pub fn leader_known_since(&self) -> u64 {
        self.leader_known_since
    }

    /// Returns when [`Election::tick`] must be called next.
    pub fn next_wake(&self) -> u64 {
        self.next_request_at.max(self.reply_awaited_until)
    }

    /// Renews the lease or polls the leader key if that is due.
    pub fn tick(&mut self, effects: &mut Effects) {
        if effects.now.mono < self.next_wake() {
            return;
        }
        match self.role {
            Role::Leader(Leadership { term, lease, .. }) => self.renew(term, lease, effects),
            Role::Follower | Role::Candidate(_) => self.poll(effects),
        }
    }

    /// Handles the state service's reply to the request of a step. Replies that belong to an
    /// earlier attempt are dropped.
    pub fn on_reply(&mut self, step: ElectionStep, reply: StateReply, effects: &mut Effects) {
        match step {
            ElectionStep::Revoke => {}
            ElectionStep::Renew { term, sent_at } => {
                self.on_renewal_reply(term, sent_at, &reply, effects)
            }
            ElectionStep::Poll(attempt)
            | ElectionStep::ReadTerm(attempt)
            | ElectionStep::GrantLease(attempt)
            | ElectionStep::Commit(attempt)
                if attempt != self.attempt => {}
            ElectionStep::Poll(_) => self.on_poll_reply(reply, effects),
            ElectionStep::ReadTerm(_) => self.on_term_reply(reply, effects),
            ElectionStep::GrantLease(_) => self.on_lease_reply(reply, effects),
            ElectionStep::Commit(_) => self.on_election_reply(reply, effects),
        }
    }

    /// Handles the end of a stall. Replies that waited during the stall describe the state at the
    /// time they were sent: a former leader would be taken for the current one, and an expired
    /// lease of this node for a valid one. Therefore the leader key is polled or the lease is
    /// renewed again.
    pub fn on_stall(&mut self, now: u64) {
        self.resumed_at = now;
        self.next_request_at = now;
        self.reply_awaited_until = 0;
        match &mut self.role {
            Role::Leader(leadership) => leadership.renewed_at = 0,
            // A candidate that was elected meanwhile finds its own record under the leader key.
            Role::Follower | Role::Candidate(_) => self.attempt += 1,
        }
    }

    /// Sends the request of a step to the state service.
    fn request(&mut self, op: StateOp, step: ElectionStep, effects: &mut Effects) {
        self.reply_awaited_until = effects.now.mono + REPLY_TIMEOUT_MS;
        let tag = StateTag::Election(step);
        effects.request_state(Priority::Leadership, op, tag);
    }
}

/// Revokes a lease, which deletes the leader key that is attached to it.
fn revoke(lease: u64, effects: &mut Effects) {
    let tag = StateTag::Election(ElectionStep::Revoke);
    let op = StateOp::Revoke(lease);
    effects.request_state(Priority::Leadership, op, tag);
}
