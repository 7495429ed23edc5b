//! One connection to a recipient of calls. It carries one call at a time.

use super::{Call, CallOutcome};
use crate::net::Connection;
use constants::{CLIENT_IDLE_TIMEOUT_MS, CONNECT_TIMEOUT_MS};
use control::CallId;
use http::{encode_request, ResponseParser};
use polling::Poller;
use std::io;
use std::net::SocketAddrV4;

/// What a connection is doing.
#[derive(Clone, Copy)]
enum LinkState {
    /// The connection attempt that began then is not over.
    Connecting { since: u64 },
    /// No call uses it. Until its first call this counts from the start of the connection attempt.
    Idle { since: u64 },
    /// A call has been sent and not been answered.
    Busy { call: CallId, deadline: u64 },
}

/// A connection with the call that it carries.
pub(super) struct Link {
    connection: Connection,
    addr: SocketAddrV4,
    parser: ResponseParser,
    state: LinkState,
}

impl Link {
    /// Starts to connect.
    pub(super) fn open(
        poller: &Poller,
        addr: SocketAddrV4,
        key: usize,
        now: u64,
    ) -> io::Result<Self> {
        Ok(Link {
            connection: Connection::connect(poller, addr, key)?,
            addr,
            parser: ResponseParser::default(),
            state: LinkState::Connecting { since: now },
        })
    }

    /// Address of the recipient.
    pub(super) fn addr(&self) -> SocketAddrV4 {
        self.addr
    }

    /// Since when no call uses the connection; `None` if it is busy or not established.
    pub(super) fn idle_since(&self) -> Option<u64> {
        match self.state {
            LinkState::Idle { since } => Some(since),
            LinkState::Connecting { .. } | LinkState::Busy { .. } => None,
        }
    }

    /// Whether the connection is not established yet.
    pub(super) fn is_connecting(&self) -> bool {
        matches!(self.state, LinkState::Connecting { .. })
    }

    /// Steady clock at which the call, the connection attempt or the idle connection times out.
    pub(super) fn expires_at(&self) -> u64 {
        match self.state {
            LinkState::Busy { deadline, .. } => deadline,
            LinkState::Connecting { since } => since + CONNECT_TIMEOUT_MS,
            LinkState::Idle { since } => since + CLIENT_IDLE_TIMEOUT_MS + 1,
        }
    }

    /// Sends a call. On an error the call counts as sent: the recipient may have received it.
    pub(super) fn send(&mut self, poller: &Poller, call: &Call) -> io::Result<()> {
        let host = self.addr.to_string();
        let output = self.connection.output();
        encode_request(output, call.method, &host, &call.path, &call.body);
        self.state = LinkState::Busy {
            call: call.id,
            deadline: call.deadline,
        };
        self.connection.flush(poller)
    }

    /// Takes note that the connection attempt, if one was under way, has ended.
    pub(super) fn finish_connecting(&mut self) -> io::Result<()> {
        if let LinkState::Connecting { since } = self.state {
            self.connection.check_connected()?;
            self.state = LinkState::Idle { since };
        }
        Ok(())
    }

    /// Reads and writes what is possible now. Returns whether the connection can be used further.
    pub(super) fn exchange(
        &mut self,
        poller: &Poller,
        buffer: &mut [u8],
        now: u64,
        outcomes: &mut Vec<CallOutcome>,
    ) -> bool {
        let parser = &mut self.parser;
        let is_open = self
            .connection
            .exchange(poller, buffer, |bytes| parser.feed(bytes));
        let is_usable = self.take_response(now, outcomes);
        is_open && is_usable
    }

    /// Takes the response to the call, if it is complete. Returns whether the connection can be used further.
    fn take_response(&mut self, now: u64, outcomes: &mut Vec<CallOutcome>) -> bool {
        let response = match self.parser.next_response() {
            Ok(Some(response)) => response,
            Ok(None) => return true,
            Err(_) => return false,
        };
        // A response that no call waits for makes the connection useless.
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
        let call = self.open_call();
        self.state = LinkState::Idle { since: now };
        call
    }

    fn open_call(&self) -> Option<CallId> {
        match self.state {
            LinkState::Busy { call, .. } => Some(call),
            LinkState::Connecting { .. } | LinkState::Idle { .. } => None,
        }
    }

    /// Closes the connection; returns the call that it carried.
    pub(super) fn close(self, poller: &Poller) -> Option<CallId> {
        let call = self.open_call();
        self.connection.close(poller);
        call
    }
}
