//! Answers to heartbeats that the leader has handled and answers once it has decided what comes next. So a decision
//! need not wait for the worker's next heartbeat.

use crate::effects::{Effects, RequestId};
use crate::leader::{DeferredAnswer, Leader};
use constants::DEFERRED_ANSWERS_CHECK_INTERVAL_MS;

/// A request whose answer is deferred.
struct DeferredRequest {
    id: RequestId,
    answer: DeferredAnswer,
}

/// Answers that wait for what the leader is about to decide.
#[derive(Default)]
pub(crate) struct DeferredAnswers {
    requests: Vec<DeferredRequest>,
    /// When they are checked again even if nothing was decided.
    next_check: u64,
}

impl DeferredAnswers {
    /// Adds the deferred answer to a request.
    pub fn push(&mut self, id: RequestId, answer: DeferredAnswer) {
        self.requests.push(DeferredRequest { id, answer });
    }

    /// Whether no answer is deferred.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// When they are to be checked again.
    pub fn next_wake(&self) -> Option<u64> {
        (!self.requests.is_empty()).then_some(self.next_check)
    }

    /// Whether it is time to check them: the leader has decided something since, or leads no more, or a while has
    /// passed. With hundreds of deferred answers, checking all of them at every message would cost more than the
    /// messages themselves.
    pub fn is_due(&self, leader: Option<&mut Leader>, now: u64) -> bool {
        if self.requests.is_empty() {
            return false;
        }
        let has_new_decisions =
            leader.is_none_or(|leader| std::mem::take(&mut leader.has_new_decisions));
        has_new_decisions || now >= self.next_check
    }

    /// Sends the answers that have nothing left to wait for. `leader` is the leader if it may answer workers; without
    /// one all requests are refused.
    pub fn release(
        &mut self,
        mut leader: Option<&mut Leader>,
        active: bool,
        effects: &mut Effects,
    ) {
        let now = effects.now;
        self.next_check = now.mono + DEFERRED_ANSWERS_CHECK_INTERVAL_MS;
        self.requests.retain(|request| {
            let Some(leader) = leader.as_mut() else {
                effects.refuse(request.id, 503, "not entitled to answer workers");
                return false;
            };
            let Some(response) = leader.answer_deferred(&request.answer, active, now) else {
                return true;
            };
            effects.respond(request.id, 200, wire::encode(&response));
            false
        });
    }
}
