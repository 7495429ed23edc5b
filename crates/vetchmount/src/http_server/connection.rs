//! One connection of a caller. It serves one request at a time.

use super::Response;
use crate::net::TcpConnection;
use constants::CALLER_IDLE_TIMEOUT_MS;
use control::RequestId;
use http::{encode_response, ParseError, RequestParser};
use polling::Poller;

/// HTTP status for a request that can't be parsed.
const BAD_REQUEST: u16 = 400;
/// HTTP status for a request that is too large.
const PAYLOAD_TOO_LARGE: u16 = 413;

/// A request whose response has not been written to the output buffer yet.
struct InFlightRequest {
    id: RequestId,
    /// Whether the caller asked to close the connection after the response.
    close_after: bool,
}

/// What a connection offers after bytes were read from it.
pub(super) enum NextRequest {
    /// The next request is incomplete, or the one before it is still in flight.
    NotReady,
    /// The next request is complete.
    Ready(http::Request),
    /// The connection is finished and is to be closed.
    Close,
}

/// A connection of a caller and the state of its requests.
pub(super) struct CallerConnection {
    tcp: TcpConnection,
    parser: RequestParser,
    in_flight: Option<InFlightRequest>,
    /// Whether the connection ends once its output is written.
    is_closing: bool,
    last_used: u64,
    /// Whether a worker has reported on this connection. Such a connection is not evicted when sockets are short.
    is_worker: bool,
}

impl CallerConnection {
    /// A connection that was accepted at `now`.
    pub(super) fn new(tcp: TcpConnection, now: u64) -> Self {
        CallerConnection {
            tcp,
            parser: RequestParser::default(),
            in_flight: None,
            is_closing: false,
            last_used: now,
            is_worker: false,
        }
    }

    /// Monotonic time of the connection's last event.
    pub(super) fn last_used(&self) -> u64 {
        self.last_used
    }

    /// Whether the connection may be closed to make room for a new one.
    pub(super) fn is_evictable(&self, now: u64) -> bool {
        self.in_flight.is_none() && !self.is_worker && now > self.last_used + CALLER_IDLE_TIMEOUT_MS
    }

    /// Reads all bytes that are available and writes as much output as the socket accepts. Returns whether the
    /// connection stays open.
    pub(super) fn read_and_flush(&mut self, poller: &Poller, buffer: &mut [u8], now: u64) -> bool {
        self.last_used = now;
        let parser = &mut self.parser;
        let is_open = self
            .tcp
            .read_and_flush(poller, buffer, |bytes| parser.feed(bytes));
        is_open && !self.is_finished()
    }

    /// Writes as much output as the socket accepts. Returns whether the connection stays open.
    fn flush(&mut self, poller: &Poller) -> bool {
        let is_flushed = self.tcp.flush(poller).is_ok();
        is_flushed && !self.is_finished()
    }

    /// Whether the last response has been written completely.
    fn is_finished(&self) -> bool {
        self.is_closing && self.tcp.unwritten_bytes() == 0
    }

    /// Returns the next complete request, unless one is in flight. Rejects a request that can't be parsed.
    pub(super) fn next_request(&mut self, poller: &Poller) -> NextRequest {
        if self.in_flight.is_some() || self.is_closing {
            return NextRequest::NotReady;
        }
        match self.parser.next_request() {
            Ok(None) => NextRequest::NotReady,
            Ok(Some(request)) => NextRequest::Ready(request),
            Err(error) => self.reject(poller, error),
        }
    }

    /// Responds to a request that can't be parsed, and closes the connection once the response is written.
    fn reject(&mut self, poller: &Poller, error: ParseError) -> NextRequest {
        let status = if error == ParseError::TooLarge {
            PAYLOAD_TOO_LARGE
        } else {
            BAD_REQUEST
        };
        encode_response(self.tcp.output_buffer(), status, None, b"", true);
        self.is_closing = true;
        if self.flush(poller) {
            NextRequest::NotReady
        } else {
            NextRequest::Close
        }
    }

    /// Records a request as in flight until [`CallerConnection::respond`].
    pub(super) fn begin_request(
        &mut self,
        id: RequestId,
        close_after: bool,
        is_worker_report: bool,
    ) {
        self.is_worker |= is_worker_report;
        self.in_flight = Some(InFlightRequest { id, close_after });
    }

    /// Writes the response to the request in flight. Returns whether the connection stays open. While sockets are
    /// short, a worker's connection is closed after the response, so that workers use the sockets in turn.
    pub(super) fn respond(
        &mut self,
        poller: &Poller,
        response: &Response,
        has_socket_shortage: bool,
    ) -> bool {
        let request = self.in_flight.take();
        let is_asked_to_close = request.is_some_and(|request| request.close_after);
        let close = is_asked_to_close || (self.is_worker && has_socket_shortage);
        encode_response(
            self.tcp.output_buffer(),
            response.status,
            response.retry_after_s,
            &response.body,
            close,
        );
        self.is_closing |= close;
        self.flush(poller)
    }

    /// Closes the connection. Returns the request that was in flight.
    pub(super) fn close(self, poller: &Poller) -> Option<RequestId> {
        self.tcp.close(poller);
        self.in_flight.map(|request| request.id)
    }
}
