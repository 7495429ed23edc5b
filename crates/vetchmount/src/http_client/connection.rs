//! One connection to a recipient of calls. It carries one call at a time.

use super::{Call, CallOutcome};
use crate::net::TcpConnection;
use constants::{CLIENT_IDLE_TIMEOUT_MS, CONNECT_TIMEOUT_MS};
use control::CallId;
use http::{encode_request, ResponseParser};
use polling::Poller;
use std::io;
use std::net::SocketAddrV4;

/// State of a pooled connection. Times are of the monotonic clock.
#[derive(Clone, Copy)]
enum ConnectionState {
    /// The connection attempt that began at `since` is in progress.
    Connecting { since: u64 },
    /// No call is in flight. Before the first call, `since` is the start of the connection attempt.
    Idle { since: u64 },
    /// A call has been sent and its response has not arrived.
    Busy { call: CallId, deadline: u64 },
}

/// A connection of the pool and the call that is in flight on it.
pub(super) struct PooledConnection {
    tcp: TcpConnection,
    addr: SocketAddrV4,
    parser: ResponseParser,
    state: ConnectionState,
}

impl PooledConnection {
    /// Starts to connect to an address.
    pub(super) fn open(
        poller: &Poller,
        addr: SocketAddrV4,
        key: usize,
        now: u64,
    ) -> io::Result<Self> {
        Ok(PooledConnection {
            tcp: TcpConnection::connect(poller, addr, key)?,
            addr,
            parser: ResponseParser::default(),
            state: ConnectionState::Connecting { since: now },
        })
    }

    /// Address of the recipient.
    pub(super) fn addr(&self) -> SocketAddrV4 {
        self.addr
    }

    /// Monotonic time since which the connection is idle. `None` if it is busy or not established.
    pub(super) fn idle_since(&self) -> Option<u64> {
        match self.state {
            ConnectionState::Idle { since } => Some(since),
            ConnectionState::Connecting { .. } | ConnectionState::Busy { .. } => None,
        }
    }

    /// Whether the connection attempt is still in progress.
    pub(super) fn is_connecting(&self) -> bool {
        matches!(self.state, ConnectionState::Connecting { .. })
    }

    /// Monotonic time at which the call, the connection attempt or the idle connection times out.
    pub(super) fn expires_at(&self) -> u64 {
        match self.state {
            ConnectionState::Busy { deadline, .. } => deadline,
            ConnectionState::Connecting { since } => since + CONNECT_TIMEOUT_MS,
            ConnectionState::Idle { since } => since + CLIENT_IDLE_TIMEOUT_MS + 1,
        }
    }

    /// Sends a call. On an error the call counts as sent, because the recipient may have received it.
    pub(super) fn send(&mut self, poller: &Poller, call: &Call) -> io::Result<()> {
        let host = self.addr.to_string();
        let output = self.tcp.output_buffer();
        encode_request(output, call.method, &host, &call.path, &call.body);
        self.state = ConnectionState::Busy {
            call: call.id,
            deadline: call.deadline,
        };
        self.tcp.flush(poller)
    }

    /// Ends the connection attempt, if one is in progress. Returns an error if the attempt has failed.
    pub(super) fn finish_connecting(&mut self) -> io::Result<()> {
        if let ConnectionState::Connecting { since } = self.state {
            self.tcp.check_connected()?;
            self.state = ConnectionState::Idle { since };
        }
        Ok(())
    }

    /// Reads all bytes that are available and writes as much output as the socket accepts. Returns whether the
    /// connection can be reused.
    pub(super) fn read_and_flush(
        &mut self,
        poller: &Poller,
        buffer: &mut [u8],
        now: u64,
        outcomes: &mut Vec<CallOutcome>,
    ) -> bool {
        let parser = &mut self.parser;
        let is_open = self
            .tcp
            .read_and_flush(poller, buffer, |bytes| parser.feed(bytes));
        let is_reusable = self.take_response(now, outcomes);
        is_open && is_reusable
    }

    /// Appends the outcome of the call in flight to `outcomes` if its response is complete. Returns whether the
    /// connection can be reused.
    fn take_response(&mut self, now: u64, outcomes: &mut Vec<CallOutcome>) -> bool {
        let response = match self.parser.next_response() {
            Ok(Some(response)) => response,
            Ok(None) => return true,
            Err(_) => return false,
        };
        // After a response without a call in flight the connection can't be reused.
        let Some(call) = self.finish_call(now) else {
            return false;
        };
        outcomes.push(CallOutcome {
            call,
            result: Ok((response.status, response.body)),
        });
        !response.close
    }

    fn finish_call(&mut self, now: u64) -> Option<CallId> {
        let call = self.in_flight_call();
        self.state = ConnectionState::Idle { since: now };
        call
    }

    fn in_flight_call(&self) -> Option<CallId> {
        match self.state {
            ConnectionState::Busy { call, .. } => Some(call),
            ConnectionState::Connecting { .. } | ConnectionState::Idle { .. } => None,
        }
    }

    /// Closes the connection. Returns the call that was in flight.
    pub(super) fn close(self, poller: &Poller) -> Option<CallId> {
        let call = self.in_flight_call();
        self.tcp.close(poller);
        call
    }
}
