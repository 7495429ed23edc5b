//! Client of the state service. Sends requests by priority within a budget and interprets the
//! replies.

mod budget;
mod calls;
mod replies;
#[cfg(test)]
mod tests;

use crate::effects::{CallError, CallId, Effects, Now};
use crate::requests::{Priority, StateOp, StateReply, StateTag};
use budget::RequestBudget;
use calls::encode_call;
use constants::{
    RATE_LIMIT_RETRY_MS, STATE_RETRY_MS, STATE_UNAVAILABLE_MS, USER_REQUEST_TIMEOUT_MS,
};
use replies::decode_reply;
use std::collections::{HashMap, VecDeque};

/// HTTP status of a request that exceeds the rate limit.
const TOO_MANY_REQUESTS: u16 = 429;

/// Result of a call: status and body, or the reason why there is no reply.
type CallResult = Result<(u16, Vec<u8>), CallError>;

/// A request and its sender.
struct Request {
    op: StateOp,
    tag: StateTag,
}

/// A request that waits until the budget allows it.
struct QueuedRequest {
    request: Request,
    /// When it was queued.
    queued_at: u64,
}

/// Sends the requests of a node's actors to the state service.
pub(crate) struct StateClient {
    budget: RequestBudget,
    /// One queue for each priority.
    queues: [VecDeque<QueuedRequest>; Priority::ALL.len()],
    in_flight: HashMap<CallId, Request>,
    /// Until when only requests of [`Priority::Leadership`] are sent, after a failed request.
    paused_until: u64,
    /// Whether status queries go ahead of read validations, with which they share a rate. True if
    /// the last request of either kind was a read validation.
    status_query_is_next: bool,
    next_send_at: Option<u64>,
    last_success_at: u64,
    last_failure_at: u64,
}

impl StateClient {
    /// Creates the client of one of `controller_count` controllers that share these rates of
    /// requests and writes per second.
    pub fn new(rps: f64, write_rps: f64, controller_count: usize) -> Self {
        StateClient {
            budget: RequestBudget::new(rps, write_rps, controller_count),
            queues: Default::default(),
            in_flight: HashMap::new(),
            paused_until: 0,
            status_query_is_next: false,
            next_send_at: None,
            last_success_at: 0,
            last_failure_at: 0,
        }
    }

    /// Sets the rates that the controllers share from now on.
    pub fn set_rates(&mut self, rps: f64, write_rps: f64) {
        self.budget.set_rates(rps, write_rps);
    }

    /// Returns whether the state service has recently answered requests successfully.
    pub fn is_available(&self, now: u64) -> bool {
        let last_succeeded = self.last_success_at >= self.last_failure_at;
        self.last_success_at > 0
            && (last_succeeded || now < self.last_success_at + STATE_UNAVAILABLE_MS)
    }

    /// Returns the time of the last successful reply, or 0 if there has been none.
    pub fn last_success_at(&self) -> u64 {
        self.last_success_at
    }

    /// Queues a request. It is sent by [`StateClient::send_due`].
    pub fn enqueue(&mut self, now: Now, priority: Priority, op: StateOp, tag: StateTag) {
        let request = Request { op, tag };
        let queued_at = now.mono;
        self.queues[priority as usize].push_back(QueuedRequest { request, queued_at });
    }

    /// Drops the queued writes of a former leader.
    pub fn drop_leader_requests(&mut self) {
        self.queues[Priority::LeaderRecords as usize].clear();
    }

    /// Sends the queued requests that the budget allows. Requests that have waited too long are
    /// added to `expired` as refused.
    pub fn send_due(
        &mut self,
        next_call: &mut CallId,
        effects: &mut Effects,
        expired: &mut Vec<(StateTag, StateReply)>,
    ) {
        let now = effects.now.mono;
        self.next_send_at = None;
        self.budget.recover_leader_writes(now);
        for priority in self.send_order() {
            self.send_from_queue(priority, next_call, effects, expired);
        }
    }

    fn send_from_queue(
        &mut self,
        priority: Priority,
        next_call: &mut CallId,
        effects: &mut Effects,
        expired: &mut Vec<(StateTag, StateReply)>,
    ) {
        let now = effects.now.mono;
        let queue = priority as usize;
        while let Some(first) = self.queues[queue].front() {
            if priority.is_for_user() && now > first.queued_at + USER_REQUEST_TIMEOUT_MS {
                if let Some(queued) = self.queues[queue].pop_front() {
                    expired.push((queued.request.tag, StateReply::Refused));
                }
                continue;
            }
            let writes = write_count(&first.request.op);
            if let Some(at) = self.blocked_until(priority, writes, now) {
                self.next_send_at = Some(self.next_send_at.map_or(at, |next| next.min(at)));
                return;
            }
            self.budget.spend(priority, writes);
            self.note_sent(priority);
            if let Some(queued) = self.queues[queue].pop_front() {
                *next_call += 1;
                effects
                    .outputs
                    .push(encode_call(&queued.request.op, *next_call));
                self.in_flight.insert(*next_call, queued.request);
            }
        }
    }

    /// Returns until when a request must wait, or `None` if it may be sent now.
    fn blocked_until(&mut self, priority: Priority, writes: f64, now: u64) -> Option<u64> {
        if priority != Priority::Leadership && now < self.paused_until {
            return Some(self.paused_until);
        }
        let wait_ms = self.budget.wait_ms(priority, writes, now);
        (wait_ms > 0).then_some(now + wait_ms)
    }

    /// Returns the order in which the queues are served. Read validations and status queries share
    /// a rate and take turns. Otherwise, with 4,000 machines, there was always a read validation to
    /// send, and a status query that needs reads of its own, for a job that depends on other jobs,
    /// was never answered.
    fn send_order(&self) -> [Priority; Priority::ALL.len()] {
        let mut order = Priority::ALL;
        if self.status_query_is_next {
            let last = order.len() - 1;
            order.swap(last - 1, last);
        }
        order
    }

    fn note_sent(&mut self, priority: Priority) {
        match priority {
            Priority::ReadValidation => self.status_query_is_next = true,
            Priority::StatusQuery => self.status_query_is_next = false,
            _ => {}
        }
    }

    /// Returns when [`StateClient::send_due`] must be called again for queued requests.
    pub fn next_wake(&self) -> Option<u64> {
        self.next_send_at
    }

    /// Interprets a reply if the call is one of this client's.
    pub fn on_reply(
        &mut self,
        now: Now,
        call: CallId,
        result: &CallResult,
    ) -> Option<(StateTag, StateReply)> {
        let Request { op, tag } = self.in_flight.remove(&call)?;
        let reply = decode_reply(&op, result);
        match &reply {
            StateReply::Refused | StateReply::Unknown => self.on_failure(now.mono, &op, result),
            _ => self.last_success_at = now.mono,
        }
        Some((tag, reply))
    }

    fn on_failure(&mut self, now: u64, op: &StateOp, result: &CallResult) {
        if matches!(result, Ok((TOO_MANY_REQUESTS, _))) {
            // Hitting the rate limit is not an outage, so users' requests must not be refused
            // because of it.
            if write_count(op) > 0.0 {
                self.budget.throttle_leader_writes(now);
            }
            self.paused_until = now + RATE_LIMIT_RETRY_MS;
            return;
        }
        // A failed watch is a weak sign of an outage: it may just have been open when the
        // connection was lost.
        if !matches!(op, StateOp::Watch { .. }) {
            self.last_failure_at = now;
        }
        self.paused_until = now + STATE_RETRY_MS;
    }
}

/// Returns the number of writes that a request takes from the budget.
fn write_count(op: &StateOp) -> f64 {
    match op {
        StateOp::Txn(txn) => txn.writes.len() as f64,
        _ => 0.0,
    }
}
