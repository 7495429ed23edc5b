//! Leader election: a leader key attached to a lease, and a fencing term that only grows. Both are written
//! in the same transaction.
//!
//! - `role`: the role of this process, and what it knows of the others;
//! - `following`: polls of the leader key, and when this process stands for election;
//! - `candidacy`: the steps of a candidate up to the transaction that elects it;
//! - `renewal`: renewals of the leader's lease, and the ways to lose leadership.

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

/// Milliseconds before its expiry from which our lease no longer counts as certain: the clocks may drift
/// apart, and time passes between the check and what is done on it.
const LEASE_MARGIN_MS: u64 = 300;
/// Milliseconds until a request without a reply is taken as lost: longer than the state client waits for one.
const REPLY_LOST_MS: u64 = 3 * STATE_TIMEOUT_MS;

/// The election, as one process takes part in it.
pub(crate) struct Election {
    /// Label of this node.
    label: String,
    /// Number drawn at the start of this process. It tells our own leader record from one of an earlier process.
    boot: u64,
    role: Role,
    /// Number of the present attempt; replies to requests of earlier attempts are dropped.
    round: u64,
    /// When the next poll or renewal is due.
    next_at: u64,
    /// Until when the reply to the last request is awaited before the next one is sent.
    busy_until: u64,
    /// Until when this process does not stand, since it has resigned.
    paused_until: u64,
    /// The leader seen last, while it counts.
    known_leader: Option<KnownLeader>,
    /// Since when that leader has been known.
    known_since: u64,
    /// Lease of the leader seen last.
    known_lease: Option<u64>,
    /// Term of the last leader whose lease this process has revoked.
    revoked_term: u64,
    highest_term: u64,
    /// When this process resumed after its last stall; 0 if it never stalled.
    resumed_at: u64,
    rules: ElectionRules,
    /// Since when this process has seen no leader.
    vacant_since: Option<u64>,
    handover: Option<Handover>,
    rng: fastrand::Rng,
}

impl Election {
    /// A process that has just started. `boot` is drawn at random for each start.
    pub fn new(label: &str, boot: u64) -> Self {
        Election {
            label: label.to_string(),
            boot,
            role: Role::Follower,
            round: 0,
            next_at: 0,
            busy_until: 0,
            paused_until: 0,
            known_leader: None,
            known_since: 0,
            known_lease: None,
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

    /// Sets the rules that hold from now on.
    pub fn set_rules(&mut self, rules: ElectionRules) {
        self.rules = rules;
    }

    /// Term, if this node leads (perhaps without knowing that it no longer does).
    pub fn leads(&self) -> Option<u64> {
        match &self.role {
            Role::Leader(leadership) => Some(leadership.term),
            Role::Follower | Role::Candidate(_) => None,
        }
    }

    /// Whether the lease was certainly alive a moment ago, by our own clock.
    pub fn is_lease_valid(&self, now: u64) -> bool {
        let Role::Leader(Leadership { renewed_at, .. }) = self.role else {
            return false;
        };
        now < renewed_at + LEADER_LEASE_MS - LEASE_MARGIN_MS
    }

    /// The highest term that this process has seen or heard of.
    pub fn highest_term(&self) -> u64 {
        self.highest_term
    }

    /// Label of the leader, if it was seen lately.
    pub fn leader_label(&self, now: u64) -> Option<&str> {
        if self.leads().is_some() {
            return Some(&self.label);
        }
        let known = self.known_leader.as_ref()?;
        let is_recent = now < known.seen_at + LEADER_LEASE_MS;
        is_recent.then_some(known.record.node.as_str())
    }

    /// Since when this node has known the present leader.
    pub fn known_since(&self) -> u64 {
        self.known_since
    }

    /// When [`Election::tick`] wants to be called.
    pub fn next_wake(&self) -> u64 {
        self.next_at.max(self.busy_until)
    }

    /// Renews the lease or polls the leader key, if that is due.
    pub fn tick(&mut self, effects: &mut Effects) {
        if effects.now.mono < self.next_wake() {
            return;
        }
        match self.role {
            Role::Leader(Leadership { term, lease, .. }) => self.renew(term, lease, effects),
            Role::Follower | Role::Candidate(_) => self.poll(effects),
        }
    }

    /// The state service has replied to the request of a step. Replies that belong to an earlier attempt
    /// are dropped.
    pub fn on_reply(&mut self, step: ElectionStep, reply: StateReply, effects: &mut Effects) {
        match step {
            ElectionStep::Revoke => {}
            ElectionStep::Renew { term, sent_at } => {
                self.on_renewal(term, sent_at, &reply, effects)
            }
            ElectionStep::Poll(round)
            | ElectionStep::ReadTerm(round)
            | ElectionStep::GrantLease(round)
            | ElectionStep::Commit(round)
                if round != self.round => {}
            ElectionStep::Poll(_) => self.on_poll(reply, effects),
            ElectionStep::ReadTerm(_) => self.on_term(reply, effects),
            ElectionStep::GrantLease(_) => self.on_grant(reply, effects),
            ElectionStep::Commit(_) => self.on_commit(reply, effects),
        }
    }

    /// The process was stalled until now. Replies that waited meanwhile tell what was true when they were
    /// sent: by them a former leader would be taken for the present one, and an expired lease of ours for a
    /// valid one. So the leader key is polled, or the lease renewed, anew.
    pub fn on_stall(&mut self, now: u64) {
        self.resumed_at = now;
        self.next_at = now;
        self.busy_until = 0;
        match &mut self.role {
            Role::Leader(leadership) => leadership.renewed_at = 0,
            // A candidate that was elected meanwhile finds its own record under the leader key.
            Role::Follower | Role::Candidate(_) => self.round += 1,
        }
    }

    /// Sends the request of a step to the state service.
    fn request(&mut self, op: StateOp, step: ElectionStep, effects: &mut Effects) {
        self.busy_until = effects.now.mono + REPLY_LOST_MS;
        let tag = StateTag::Election(step);
        effects.request_state(Priority::Leadership, op, tag);
    }
}

/// Revokes a lease, by which the leader key that is attached to it is deleted.
fn revoke(lease: u64, effects: &mut Effects) {
    let tag = StateTag::Election(ElectionStep::Revoke);
    let op = StateOp::Revoke(lease);
    effects.request_state(Priority::Leadership, op, tag);
}
