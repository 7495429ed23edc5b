//! Workers' reports whose answers wait.
//!
//! [`PendingReports`] have not been handled yet: no leader is known, or this node leads and has yet to read its
//! records. [`HeldAnswers`] belong to reports that the leader has taken in; it answers them once it has decided, so that
//! what it decides need not wait for the next report.

use crate::leader::{Held, Leader};
use crate::mail::{Mail, RequestId};
use constants::{
    PENDING_REPORTS_A_TURN, PENDING_REPORTS_CHECK_MS, PENDING_REPORT_LOADING_MS, PENDING_REPORT_MS,
    PENDING_WAKE_MS, RELEASE_MS,
};

/// What a node knows of the leader, as far as pending reports are concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LeaderStatus {
    /// No leader is known.
    Unknown,
    /// Another node leads.
    Elsewhere,
    /// This node leads and is reading its records.
    Loading,
    /// This node leads and answers workers.
    Ready,
}

/// A report as it came.
pub(crate) struct PendingReport {
    pub id: RequestId,
    pub body: Vec<u8>,
    received_at: u64,
}

/// Reports that came while no leader was known, or before this one had read its records.
pub(crate) struct PendingReports {
    reports: Vec<PendingReport>,
    capacity: usize,
    next_check: u64,
}

impl PendingReports {
    /// At most `capacity` reports: as many as workers may be connected.
    pub fn new(capacity: usize) -> Self {
        PendingReports {
            reports: Vec::new(),
            capacity,
            next_check: 0,
        }
    }

    pub fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }

    pub fn has_room(&self) -> bool {
        self.reports.len() < self.capacity
    }

    pub fn push(&mut self, id: RequestId, body: &[u8], now: u64) {
        self.reports.push(PendingReport {
            id,
            body: body.to_vec(),
            received_at: now,
        });
    }

    /// When the reports are to be looked at again; at once if the leader can answer them.
    pub fn next_wake(&self, leader_is_ready: bool, now: u64) -> Option<u64> {
        match (self.is_empty(), leader_is_ready) {
            (true, _) => None,
            (false, true) => Some(now),
            (false, false) => Some(now + PENDING_WAKE_MS),
        }
    }

    /// The next reports for a leader that is ready: a few at a time, the oldest first.
    pub fn take_batch(&mut self) -> Vec<PendingReport> {
        let count = PENDING_REPORTS_A_TURN.min(self.reports.len());
        self.reports.drain(..count).collect()
    }

    /// Reports whose workers should try another node: all of them if another node leads, else those that have waited
    /// as long as they may.
    pub fn take_redirected(&mut self, leader: LeaderStatus, now: u64) -> Vec<RequestId> {
        let elsewhere = leader == LeaderStatus::Elsewhere;
        if !elsewhere && now < self.next_check {
            return Vec::new();
        }
        self.next_check = now + PENDING_REPORTS_CHECK_MS;
        let timeout_ms = match leader {
            LeaderStatus::Loading => PENDING_REPORT_LOADING_MS,
            _ => PENDING_REPORT_MS,
        };
        let mut redirected = Vec::new();
        self.reports.retain(|report| {
            let redirect = elsewhere || now > report.received_at + timeout_ms;
            if redirect {
                redirected.push(report.id);
            }
            !redirect
        });
        redirected
    }
}

/// A report whose answer the leader holds back.
struct HeldAnswer {
    id: RequestId,
    held: Held,
}

/// Answers that wait for what the leader is about to decide.
#[derive(Default)]
pub(crate) struct HeldAnswers {
    answers: Vec<HeldAnswer>,
    /// When they are looked at again even though nothing was decided.
    next_check: u64,
}

impl HeldAnswers {
    pub fn push(&mut self, id: RequestId, held: Held) {
        self.answers.push(HeldAnswer { id, held });
    }

    pub fn is_empty(&self) -> bool {
        self.answers.is_empty()
    }

    /// When they are to be looked at again.
    pub fn next_wake(&self) -> Option<u64> {
        (!self.answers.is_empty()).then_some(self.next_check)
    }

    /// Whether it is time to look at them: the leader has decided something since, or is no more, or a while has
    /// passed. With hundreds of workers held, looking at all of them at every message would cost more than the messages
    /// themselves.
    pub fn is_due(&self, leader: Option<&mut Leader>, now: u64) -> bool {
        if self.answers.is_empty() {
            return false;
        }
        let settled = leader.is_none_or(|l| std::mem::take(&mut l.settled));
        settled || now >= self.next_check
    }

    /// Sends the answers for which there is nothing left to wait for. `leader` is the leader if it may answer workers;
    /// without one all are refused.
    pub fn release(&mut self, mut leader: Option<&mut Leader>, active: bool, mail: &mut Mail) {
        let now = mail.now;
        self.next_check = now.mono + RELEASE_MS;
        self.answers.retain(|HeldAnswer { id, held }| {
            let Some(leader) = leader.as_mut() else {
                mail.refuse(*id, 503, "not entitled to answer workers");
                return false;
            };
            let Some(answer) = leader.held_answer(held, active, now) else {
                return true;
            };
            mail.respond(*id, 200, wire::encode(&answer));
            false
        });
    }
}
