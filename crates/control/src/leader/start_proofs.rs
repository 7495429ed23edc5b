//! Proofs that a job is not cancelled, which the leader needs before it starts the job's tasks.
//!
//! Any controller confirms cancellations. The leader learns of them from the watch and from the notices of its peers,
//! and it may be cut off from both while its lease is valid and workers reach it. An assignment that is recorded may
//! therefore have been cancelled since, although the leader knows of nothing. So a start needs proof that no
//! cancellation of its job had been confirmed up to at most [`START_PROOF_MAX_AGE_MS`] before. It comes from
//!
//! - a committed transaction that compared the version of the job's record, usually the one that recorded the
//!   assignment, or
//! - what is known of all jobs: the last watch, or the heartbeats of all peers.
//!
//! If both are too old, the leader reads the changes of open jobs and sends the start once the reply has arrived.

use super::{Authority, Leader};
use crate::effects::Effects;
use crate::requests::{Priority, StateOp, StatePurpose, StateReply};
use constants::{START_PROOF_MAX_AGE_MS, STATE_RETRY_MS};
use wire::records::JOB_PREFIX;
use wire::state::Txn;

/// The read of changed jobs that precedes a start.
#[derive(Debug, Default)]
pub(super) struct ChangeRead {
    /// Whether a start waits for the read.
    is_wanted: bool,
    in_flight: bool,
    /// When the next read may be sent after a failure.
    retry_at: u64,
}

impl ChangeRead {
    /// Requests a read. It also serves later requests until it is sent.
    pub fn request(&mut self) {
        self.is_wanted = true;
    }

    /// When the read must be sent, unless it is not wanted or one is in flight.
    pub fn next_wake(&self) -> Option<u64> {
        (self.is_wanted && !self.in_flight).then_some(self.retry_at)
    }
}

impl Leader {
    /// Whether a job is certainly not cancelled, except by a cancellation that was confirmed a moment ago.
    pub(super) fn is_start_proven(&self, id: &str, authority: Authority) -> bool {
        let expires_at = self.uncancelled_until(id, authority) + START_PROOF_MAX_AGE_MS;
        authority.determined_at < expires_at
    }

    /// Time up to which no cancellation of an open job had been confirmed to a user.
    pub(super) fn uncancelled_until(&self, id: &str, authority: Authority) -> u64 {
        let compared_at = self.jobs.get(id).map_or(0, |job| job.uncancelled_until);
        compared_at.max(authority.cancellations_known_until)
    }

    /// Notes that a transaction which was first sent at `sent_at` has been committed. The jobs whose versions it
    /// compares had not been cancelled before.
    pub(super) fn note_uncancelled_jobs(&mut self, txn: &Txn, sent_at: u64) {
        for compare in &txn.compares {
            let id = compare.key.strip_prefix(JOB_PREFIX);
            if let Some(job) = id.and_then(|id| self.jobs.get_mut(id)) {
                job.uncancelled_until = job.uncancelled_until.max(sent_at);
            }
        }
    }

    /// Sends the read of changed jobs if a start waits for it.
    pub(super) fn send_wanted_change_read(&mut self, effects: &mut Effects) {
        let now = effects.now.mono;
        if self.change_read.next_wake().is_none_or(|at| now < at) {
            return;
        }
        self.change_read.is_wanted = false;
        self.change_read.in_flight = true;
        let op = StateOp::Watch {
            prefix: JOB_PREFIX,
            from: self.job_watch.revision,
            hold_ms: 0,
        };
        let purpose = StatePurpose::ReadChanges(now);
        self.send_state_request(Priority::Leadership, op, purpose, effects);
    }

    /// Handles the reply to the read of changed jobs that was sent at `sent_at`.
    ///
    /// If changes since the last watch are no longer available, the watch finds that out as well and reads all jobs
    /// again.
    pub(super) fn on_change_read_reply(
        &mut self,
        sent_at: u64,
        reply: StateReply,
        effects: &mut Effects,
    ) {
        self.change_read.in_flight = false;
        let StateReply::Changes(changes) = reply else {
            self.change_read.retry_at = effects.now.mono + STATE_RETRY_MS;
            return;
        };
        self.apply_changes(sent_at, changes, effects);
        // Answers to workers wait for the proof.
        self.has_new_decisions = true;
        self.tick(false, effects);
    }
}
