//! Calls of this process to the state service, the cloud and workers.
//!
//! Connections are pooled per address and reused; calls for which none is free wait in a bounded queue. Every call has
//! a deadline, whether it is waiting or has been sent.

mod link;
mod pool;
mod waiting;

use crate::net::KeySequence;
use control::{CallError, CallId};
use polling::Poller;
use pool::{LinkChoice, LinkPool};
use std::net::SocketAddrV4;
use waiting::WaitingCalls;

/// A call to be made.
pub struct Call {
    /// Identifies the call in its outcome.
    pub id: CallId,
    /// Address of the recipient.
    pub addr: SocketAddrV4,
    /// HTTP method.
    pub method: &'static str,
    /// HTTP target.
    pub path: String,
    /// Body.
    pub body: Vec<u8>,
    /// Steady clock at which the call fails.
    pub deadline: u64,
}

/// How a call ended.
#[derive(Debug, PartialEq, Eq)]
pub struct CallOutcome {
    /// The call.
    pub call: CallId,
    /// HTTP status and body, or why there are none.
    pub result: Result<(u16, Vec<u8>), CallError>,
}

impl CallOutcome {
    /// The outcome of a call that has no reply.
    pub fn failed(call: CallId, error: CallError) -> Self {
        CallOutcome {
            call,
            result: Err(error),
        }
    }
}

/// All calls that are not over, and the connections that they use.
#[derive(Default)]
pub struct Clients {
    links: LinkPool,
    waiting: WaitingCalls,
}

impl Clients {
    /// Whether a poller key belongs to one of these connections.
    pub fn has(&self, key: usize) -> bool {
        self.links.has(key)
    }

    /// Makes a call, at once or when a connection is free. It fails at once if the queue of its address is full.
    pub fn call(
        &mut self,
        poller: &Poller,
        call: Call,
        keys: &mut KeySequence,
        now: u64,
        outcomes: &mut Vec<CallOutcome>,
    ) {
        let addr = call.addr;
        match self.waiting.push(call) {
            Ok(()) => self.send_waiting(poller, addr, keys, now, outcomes),
            Err(rejected) => outcomes.push(CallOutcome::failed(rejected.id, CallError::NotSent)),
        }
    }

    /// Gives waiting calls to free connections, and opens more connections if there are too few.
    fn send_waiting(
        &mut self,
        poller: &Poller,
        addr: SocketAddrV4,
        keys: &mut KeySequence,
        now: u64,
        outcomes: &mut Vec<CallOutcome>,
    ) {
        loop {
            let waiting = self.waiting.count(addr);
            if waiting == 0 {
                return;
            }
            match self.links.choose(addr, waiting) {
                LinkChoice::Free(key) => self.send_next(poller, addr, key, outcomes),
                LinkChoice::OpenAnother => {
                    let opened = self.links.open(poller, addr, keys, now);
                    if opened.is_err() {
                        return self.waiting.fail_all(addr, outcomes);
                    }
                }
                LinkChoice::Wait => return,
            }
        }
    }

    /// Sends the first waiting call of an address on a free connection.
    fn send_next(
        &mut self,
        poller: &Poller,
        addr: SocketAddrV4,
        key: usize,
        outcomes: &mut Vec<CallOutcome>,
    ) {
        let Some(link) = self.links.get_mut(key) else {
            return;
        };
        let Some(call) = self.waiting.pop(addr) else {
            return;
        };
        if link.send(poller, &call).is_err() {
            self.links.close(poller, key, outcomes);
        }
    }

    /// Handles an event of the poller for one of these connections.
    pub fn on_event(
        &mut self,
        poller: &Poller,
        key: usize,
        buffer: &mut [u8],
        keys: &mut KeySequence,
        now: u64,
        outcomes: &mut Vec<CallOutcome>,
    ) {
        let Some(link) = self.links.get_mut(key) else {
            return;
        };
        let addr = link.addr();
        if link.finish_connecting().is_err() {
            self.links.close(poller, key, outcomes);
            return self.fail_unreachable(addr, outcomes);
        }
        if !link.exchange(poller, buffer, now, outcomes) {
            self.links.close(poller, key, outcomes);
        }
        self.send_waiting(poller, addr, keys, now, outcomes);
    }

    /// Fails the calls that wait for an address to which no connection is left.
    fn fail_unreachable(&mut self, addr: SocketAddrV4, outcomes: &mut Vec<CallOutcome>) {
        if !self.links.has_address(addr) {
            self.waiting.fail_all(addr, outcomes);
        }
    }

    /// Fails calls whose deadline has passed, and closes connections that are no longer of use.
    pub fn expire(
        &mut self,
        poller: &Poller,
        keys: &mut KeySequence,
        now: u64,
        outcomes: &mut Vec<CallOutcome>,
    ) {
        self.waiting.expire(now, outcomes);
        let expired = self.links.expired(now);
        for (key, _) in &expired {
            self.links.close(poller, *key, outcomes);
        }
        for (_, addr) in expired {
            self.fail_unreachable(addr, outcomes);
            self.send_waiting(poller, addr, keys, now, outcomes);
        }
    }

    /// Steady clock at which the next call or connection times out.
    pub fn next_wake(&self) -> u64 {
        let links = self.links.next_expiry().unwrap_or(u64::MAX);
        let calls = self.waiting.next_deadline().unwrap_or(u64::MAX);
        links.min(calls)
    }
}

#[cfg(test)]
mod tests;
