//! HTTP client for calls of this process to the state service, the cloud and workers.
//!
//! Connections are pooled per address and reused. Calls for which no connection is idle wait in a bounded queue. Every
//! call has a deadline, which covers the time in the queue as well as the time after it was sent.

mod connection;
mod pool;
mod waiting_calls;

use crate::net::KeyAllocator;
use control::{CallError, CallId};
use polling::Poller;
use pool::{ConnectionChoice, ConnectionPool};
use std::net::SocketAddrV4;
use waiting_calls::WaitingCalls;

/// A call to be made.
pub struct Call {
    /// Identifies the call in its outcome.
    pub id: CallId,
    /// Address of the recipient.
    pub addr: SocketAddrV4,
    /// HTTP method.
    pub method: &'static str,
    /// HTTP request target.
    pub path: String,
    /// Request body.
    pub body: Vec<u8>,
    /// Monotonic time at which the call fails.
    pub deadline: u64,
}

/// How a call ended.
#[derive(Debug, PartialEq, Eq)]
pub struct CallOutcome {
    /// The call.
    pub call: CallId,
    /// HTTP status and body, or the reason why there is no response.
    pub result: Result<(u16, Vec<u8>), CallError>,
}

impl CallOutcome {
    /// The outcome of a call that got no response.
    pub fn failed(call: CallId, error: CallError) -> Self {
        CallOutcome {
            call,
            result: Err(error),
        }
    }
}

/// All unfinished calls and the connections that carry them.
#[derive(Default)]
pub struct HttpClient {
    connections: ConnectionPool,
    waiting: WaitingCalls,
}

impl HttpClient {
    /// Whether a poller key belongs to one of the client's connections.
    pub fn contains_key(&self, key: usize) -> bool {
        self.connections.contains_key(key)
    }

    /// Sends a call as soon as a connection is idle. The call fails at once if the queue of its address is full.
    pub fn start_call(
        &mut self,
        poller: &Poller,
        call: Call,
        keys: &mut KeyAllocator,
        now: u64,
        outcomes: &mut Vec<CallOutcome>,
    ) {
        let addr = call.addr;
        match self.waiting.push(call) {
            Ok(()) => self.send_waiting(poller, addr, keys, now, outcomes),
            Err(rejected) => outcomes.push(CallOutcome::failed(rejected.id, CallError::NotSent)),
        }
    }

    /// Sends waiting calls of an address on idle connections, and opens more connections if there are too few.
    fn send_waiting(
        &mut self,
        poller: &Poller,
        addr: SocketAddrV4,
        keys: &mut KeyAllocator,
        now: u64,
        outcomes: &mut Vec<CallOutcome>,
    ) {
        loop {
            let waiting = self.waiting.count(addr);
            if waiting == 0 {
                return;
            }
            match self.connections.choose(addr, waiting) {
                ConnectionChoice::Idle(key) => {
                    self.send_first_waiting(poller, addr, key, outcomes);
                }
                ConnectionChoice::OpenNew => {
                    let opened = self.connections.open(poller, addr, keys, now);
                    if opened.is_err() {
                        return self.waiting.fail_all(addr, outcomes);
                    }
                }
                ConnectionChoice::Wait => return,
            }
        }
    }

    /// Sends the first waiting call of an address on the idle connection with the key `key`.
    fn send_first_waiting(
        &mut self,
        poller: &Poller,
        addr: SocketAddrV4,
        key: usize,
        outcomes: &mut Vec<CallOutcome>,
    ) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let Some(call) = self.waiting.pop(addr) else {
            return;
        };
        if connection.send(poller, &call).is_err() {
            self.connections.close(poller, key, outcomes);
        }
    }

    /// Handles a poller event for one of the client's connections.
    pub fn on_event(
        &mut self,
        poller: &Poller,
        key: usize,
        buffer: &mut [u8],
        keys: &mut KeyAllocator,
        now: u64,
        outcomes: &mut Vec<CallOutcome>,
    ) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let addr = connection.addr();
        if connection.finish_connecting().is_err() {
            self.connections.close(poller, key, outcomes);
            return self.fail_waiting_if_unconnected(addr, outcomes);
        }
        if !connection.read_and_flush(poller, buffer, now, outcomes) {
            self.connections.close(poller, key, outcomes);
        }
        self.send_waiting(poller, addr, keys, now, outcomes);
    }

    /// Fails the waiting calls of an address if no connection to it is left.
    fn fail_waiting_if_unconnected(&mut self, addr: SocketAddrV4, outcomes: &mut Vec<CallOutcome>) {
        if !self.connections.has_connection_to(addr) {
            self.waiting.fail_all(addr, outcomes);
        }
    }

    /// Fails calls whose deadline has passed, and closes connections that have timed out.
    pub fn expire(
        &mut self,
        poller: &Poller,
        keys: &mut KeyAllocator,
        now: u64,
        outcomes: &mut Vec<CallOutcome>,
    ) {
        self.waiting.expire(now, outcomes);
        let expired = self.connections.expired(now);
        for (key, _) in &expired {
            self.connections.close(poller, *key, outcomes);
        }
        for (_, addr) in expired {
            self.fail_waiting_if_unconnected(addr, outcomes);
            self.send_waiting(poller, addr, keys, now, outcomes);
        }
    }

    /// Monotonic time at which the next call or connection times out.
    pub fn next_wake(&self) -> u64 {
        let connections = self.connections.next_expiry().unwrap_or(u64::MAX);
        let calls = self.waiting.next_deadline().unwrap_or(u64::MAX);
        connections.min(calls)
    }
}

#[cfg(test)]
mod tests;
