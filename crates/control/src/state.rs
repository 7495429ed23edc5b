//! Client of the state service: sends requests by priority within a budget, and interprets replies.

mod budget;
mod calls;
mod replies;
#[cfg(test)]
mod tests;

use crate::effects::{CallError, CallId, Effects, Now};
use crate::requests::{Priority, StateOp, StateReply, StateTag};
use budget::RequestBudget;
use calls::encode_call;
use constants::{RATE_RETRY_MS, STATE_DOWN_MS, STATE_RETRY_MS, USER_DEADLINE_MS};
use replies::decode_reply;
use std::collections::{HashMap, VecDeque};

/// HTTP status of a request beyond the rate limit.
const TOO_MANY_REQUESTS: u16 = 429;

/// What a call came to: status and body, or why there is no reply.
type CallResult = Result<(u16, Vec<u8>), CallError>;

/// A request, with who sent it.
struct Request {
    op: StateOp,
    tag: StateTag,
}

/// A request that waits for the budget.
struct QueuedRequest {
    request: Request,
    /// When it was queued.
    since: u64,
}

/// Sends the requests of a node's actors to the state service.
pub(crate) struct StateClient {
    budget: RequestBudget,
    /// One queue for each priority.
    queues: [VecDeque<QueuedRequest>; Priority::ALL.len()],
    in_flight: HashMap<CallId, Request>,
    /// Until when nothing but elections and renewals is sent, after a request that failed.
    paused_until: u64,
    /// Whether a single read goes ahead of proofs, with which it shares a rate: the last request sent was a proof.
    question_is_next: bool,
    wake: Option<u64>,
    last_success_at: u64,
    last_failure_at: u64,
}

impl StateClient {
    /// A client of one of `nodes` controllers that share these rates of requests and writes a second.
    pub fn new(rps: f64, write_rps: f64, nodes: usize) -> Self {
        StateClient {
            budget: RequestBudget::new(rps, write_rps, nodes),
            queues: Default::default(),
            in_flight: HashMap::new(),
            paused_until: 0,
            question_is_next: false,
            wake: None,
            last_success_at: 0,
            last_failure_at: 0,
        }
    }

    /// Divides these rates from now on.
    pub fn set_rates(&mut self, rps: f64, write_rps: f64) {
        self.budget.set_rates(rps, write_rps);
    }

    /// Whether requests have lately been answered well.
    pub fn is_up(&self, now: u64) -> bool {
        let last_succeeded = self.last_success_at >= self.last_failure_at;
        self.last_success_at > 0 && (last_succeeded || now < self.last_success_at + STATE_DOWN_MS)
    }

    /// Moment of the last good answer, 0 if there was none.
    pub fn last_good(&self) -> u64 {
        self.last_success_at
    }

    /// Queues a request. It is sent by [`StateClient::pump`].
    pub fn push(&mut self, now: Now, priority: Priority, op: StateOp, tag: StateTag) {
        let request = Request { op, tag };
        let since = now.mono;
        self.queues[priority as usize].push_back(QueuedRequest { request, since });
    }

    /// Drops what a former leader still wanted to write.
    pub fn drop_leader_requests(&mut self) {
        self.queues[Priority::LeaderRecords as usize].clear();
    }

    /// Sends what the budget allows. Requests that have waited too long are returned as refused.
    pub fn pump(
        &mut self,
        next_call: &mut CallId,
        effects: &mut Effects,
        expired: &mut Vec<(StateTag, StateReply)>,
    ) {
        let now = effects.now.mono;
        self.wake = None;
        self.budget.recover_leader_writes(now);
        for priority in self.send_order() {
            self.send_queued(priority, next_call, effects, expired);
        }
    }

    fn send_queued(
        &mut self,
        priority: Priority,
        next_call: &mut CallId,
        effects: &mut Effects,
        expired: &mut Vec<(StateTag, StateReply)>,
    ) {
        let now = effects.now.mono;
        let queue = priority as usize;
        while let Some(first) = self.queues[queue].front() {
            if priority.is_for_user() && now > first.since + USER_DEADLINE_MS {
                if let Some(queued) = self.queues[queue].pop_front() {
                    expired.push((queued.request.tag, StateReply::Refused));
                }
                continue;
            }
            let writes = write_count(&first.request.op);
            if let Some(at) = self.blocked_until(priority, writes, now) {
                self.wake = Some(self.wake.map_or(at, |wake| wake.min(at)));
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

    /// Until when a request has to wait; nothing if it may be sent now.
    fn blocked_until(&mut self, priority: Priority, writes: f64, now: u64) -> Option<u64> {
        if priority != Priority::Leadership && now < self.paused_until {
            return Some(self.paused_until);
        }
        let wait_ms = self.budget.wait_ms(priority, writes, now);
        (wait_ms > 0).then_some(now + wait_ms)
    }

    /// Proofs and single reads share a rate and take turns at it. With 4,000 machines there was always a proof to
    /// send, and a question that needs reads first, about a job that waits for others, was never answered.
    fn send_order(&self) -> [Priority; Priority::ALL.len()] {
        let mut order = Priority::ALL;
        if self.question_is_next {
            let last = order.len() - 1;
            order.swap(last - 1, last);
        }
        order
    }

    fn note_sent(&mut self, priority: Priority) {
        match priority {
            Priority::ReadValidation => self.question_is_next = true,
            Priority::StatusQuery => self.question_is_next = false,
            _ => {}
        }
    }

    /// When [`StateClient::pump`] has to be called again for requests that wait.
    pub fn next_wake(&self) -> Option<u64> {
        self.wake
    }

    /// Takes a reply if the call was one of this client's.
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
            // A rate limit that was hit is no outage: users need not be turned away for it.
            if write_count(op) > 0.0 {
                self.budget.throttle_leader_writes(now);
            }
            self.paused_until = now + RATE_RETRY_MS;
            return;
        }
        // A watch that breaks says little: it may just have been open when the connection was lost.
        if !matches!(op, StateOp::Watch { .. }) {
            self.last_failure_at = now;
        }
        self.paused_until = now + STATE_RETRY_MS;
    }
}

/// Writes that a request takes of the budget.
fn write_count(op: &StateOp) -> f64 {
    match op {
        StateOp::Txn(txn) => txn.writes.len() as f64,
        _ => 0.0,
    }
}
