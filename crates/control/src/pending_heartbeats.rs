//! Workers' reports whose answers wait.
//!
//! [`PendingHeartbeats`] have not been handled yet: no leader is known, or this node leads and has yet to read its
//! records. [`DeferredAnswers`] belong to reports that the leader has taken in; it answers them once it has decided, so that
//! what it decides need not wait for the next report.

use crate::effects::{Effects, RequestId};
use crate::leader::{DeferredAnswer, Leader};
use constants::{
    PENDING_HEARTBEATS_PER_TURN, PENDING_REPORTS_CHECK_MS, PENDING_REPORT_LOADING_MS,
    PENDING_REPORT_MS, PENDING_WAKE_MS, RELEASE_MS,
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
pub(crate) struct PendingHeartbeat {
    pub id: RequestId,
    pub body: Vec<u8>,
    received_at: u64,
}

/// Reports that came while no leader was known, or before this one had read its records.
pub(crate) struct PendingHeartbeats {
    reports: Vec<PendingHeartbeat>,
    capacity: usize,
    next_check: u64,
}

impl PendingHeartbeats {
    /// At most `capacity` reports: as many as workers may be connected.
    pub fn new(capacity: usize) -> Self {
        PendingHeartbeats {
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
        self.reports.push(PendingHeartbeat {
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
    pub fn take_batch(&mut self) -> Vec<PendingHeartbeat> {
        let count = PENDING_HEARTBEATS_PER_TURN.min(self.reports.len());
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
struct QueuedAnswer {
    id: RequestId,
    held: DeferredAnswer,
}

/// Answers that wait for what the leader is about to decide.
#[derive(Default)]
pub(crate) struct DeferredAnswers {
    answers: Vec<QueuedAnswer>,
    /// When they are looked at again even though nothing was decided.
    next_check: u64,
}

impl DeferredAnswers {
    pub fn push(&mut self, id: RequestId, held: DeferredAnswer) {
        self.answers.push(QueuedAnswer { id, held });
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
        let has_new_decisions = leader.is_none_or(|l| std::mem::take(&mut l.has_new_decisions));
        has_new_decisions || now >= self.next_check
    }

    /// Sends the answers for which there is nothing left to wait for. `leader` is the leader if it may answer workers;
    /// without one all are refused.
    pub fn release(
        &mut self,
        mut leader: Option<&mut Leader>,
        active: bool,
        effects: &mut Effects,
    ) {
        let now = effects.now;
        self.next_check = now.mono + RELEASE_MS;
        self.answers.retain(|QueuedAnswer { id, held }| {
            let Some(leader) = leader.as_mut() else {
                effects.refuse(*id, 503, "not entitled to answer workers");
                return false;
            };
            let Some(answer) = leader.answer_deferred(held, active, now) else {
                return true;
            };
            effects.respond(*id, 200, wire::encode(&answer));
            false
        });
    }
}
