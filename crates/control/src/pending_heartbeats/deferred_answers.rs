//! Answers to heartbeats that the leader has already handled, but answers only once it has made the
//! next decision for the worker. The decision then doesn't have to wait for the worker's next
//! heartbeat.

use crate::effects::{Effects, RequestId};
use crate::leader::{Authority, DeferredAnswer, Leader};
use constants::DEFERRED_ANSWERS_CHECK_INTERVAL_MS;

/// A request whose answer is deferred.
struct DeferredRequest {
    id: RequestId,
    answer: DeferredAnswer,
}

/// Answers that wait for a decision of the leader.
#[derive(Default)]
pub(crate) struct DeferredAnswers {
    requests: Vec<DeferredRequest>,
    /// When the answers are checked again even if no decision was made.
    next_check_at: u64,
}

impl DeferredAnswers {
    /// Adds the deferred answer to a request.
    pub fn push(&mut self, id: RequestId, answer: DeferredAnswer) {
        self.requests.push(DeferredRequest { id, answer });
    }

    /// Returns whether no answer is deferred.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns when the answers must be checked next.
    pub fn next_wake(&self) -> Option<u64> {
        (!self.requests.is_empty()).then_some(self.next_check_at)
    }

    /// Returns whether the answers must be checked: the leader has made a decision since, there is
    /// no leader here any more, or the check interval has passed. With hundreds of deferred
    /// answers, checking all of them at every message would cost more than handling the messages.
    pub fn is_due(&self, leader: Option<&mut Leader>, now: u64) -> bool {
        if self.requests.is_empty() {
            return false;
        }
        let has_new_decisions =
            leader.is_none_or(|leader| std::mem::take(&mut leader.has_new_decisions));
        has_new_decisions || now >= self.next_check_at
    }

    /// Sends the answers that have nothing left to wait for. `leader` must be `None` unless the
    /// leader may answer workers; all requests are then refused.
    pub fn release(
        &mut self,
        mut leader: Option<&mut Leader>,
        authority: Authority,
        effects: &mut Effects,
    ) {
        let now = effects.now;
        self.next_check_at = now.mono + DEFERRED_ANSWERS_CHECK_INTERVAL_MS;
        self.requests.retain(|request| {
            let Some(leader) = leader.as_mut() else {
                effects.refuse(request.id, 503, "not entitled to answer workers");
                return false;
            };
            let Some(response) = leader.answer_deferred(&request.answer, authority, now) else {
                return true;
            };
            effects.respond(request.id, 200, wire::encode(&response));
            false
        });
    }
}
