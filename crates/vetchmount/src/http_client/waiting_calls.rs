//! The queues of calls that wait for a connection, one for each address.

use super::{Call, CallOutcome};
use constants::QUEUED_REQUESTS_PER_ADDRESS_MAX;
use control::CallError;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddrV4;

/// Calls that wait for a connection.
#[derive(Default)]
pub(super) struct WaitingCalls {
    queues: HashMap<SocketAddrV4, VecDeque<Call>>,
}

impl WaitingCalls {
    /// Appends a call to the queue of its address. Returns the call as the error if the queue is full.
    pub(super) fn push(&mut self, call: Call) -> Result<(), Call> {
        let queue = self.queues.entry(call.addr).or_default();
        if queue.len() >= QUEUED_REQUESTS_PER_ADDRESS_MAX {
            return Err(call);
        }
        queue.push_back(call);
        Ok(())
    }

    /// Removes the first call from the queue of an address.
    pub(super) fn pop(&mut self, addr: SocketAddrV4) -> Option<Call> {
        self.queues.get_mut(&addr)?.pop_front()
    }

    /// Number of calls in the queue of an address.
    pub(super) fn count(&self, addr: SocketAddrV4) -> usize {
        self.queues.get(&addr).map_or(0, VecDeque::len)
    }

    /// Fails all calls in the queue of an address as never sent.
    pub(super) fn fail_all(&mut self, addr: SocketAddrV4, outcomes: &mut Vec<CallOutcome>) {
        let calls = self.queues.remove(&addr).into_iter().flatten();
        outcomes.extend(calls.map(|call| CallOutcome::failed(call.id, CallError::NotSent)));
    }

    /// Fails calls whose deadline has passed as never sent.
    ///
    /// Checks every call, not only the first of each queue, because deadlines are not in queue order: a watch may wait
    /// four times as long as the transaction behind it. If an overdue call stayed in the queue behind calls that are
    /// not overdue, [`WaitingCalls::next_deadline`] would return a time in the past until those are over, and the main
    /// loop would spin.
    pub(super) fn expire(&mut self, now: u64, outcomes: &mut Vec<CallOutcome>) {
        for queue in self.queues.values_mut() {
            queue.retain(|call| {
                let is_overdue = now >= call.deadline;
                if is_overdue {
                    outcomes.push(CallOutcome::failed(call.id, CallError::NotSent));
                }
                !is_overdue
            });
        }
        self.queues.retain(|_, queue| !queue.is_empty());
    }

    /// The earliest deadline of all waiting calls.
    pub(super) fn next_deadline(&self) -> Option<u64> {
        let calls = self.queues.values().flatten();
        calls.map(|call| call.deadline).min()
    }
}
