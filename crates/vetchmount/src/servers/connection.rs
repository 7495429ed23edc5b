//! One connection of a caller. It serves one request at a time.

use super::Response;
use crate::net::Connection;
use constants::CALLER_IDLE_TIMEOUT_MS;
use control::RequestId;
use http::{encode_response, ParseError, RequestParser};
use polling::Poller;

/// HTTP status for a request that can't be parsed.
const BAD_REQUEST: u16 = 400;
/// HTTP status for a request that is too large.
const PAYLOAD_TOO_LARGE: u16 = 413;

/// A request that has not been responded to.
struct OpenRequest {
    id: RequestId,
    /// Whether the caller asked to close the connection after the response.
    close_after: bool,
}

/// What a connection has after some bytes were read.
pub(super) enum ReadResult {
    /// No complete request, or one before it is still open.
    Incomplete,
    /// A complete request.
    Request(http::Request),
    /// The connection has served its purpose and is to be closed.
    Finished,
}

/// A connection with the state of its requests.
pub(super) struct CallerConnection {
    connection: Connection,
    parser: RequestParser,
    open_request: Option<OpenRequest>,
    /// Whether the connection ends once its output is written.
    is_closing: bool,
    last_used: u64,
    /// Whether a worker has reported on it. Such a connection is not evicted when sockets run short.
    is_worker: bool,
}

impl CallerConnection {
    /// A connection that was accepted now.
    pub(super) fn new(connection: Connection, now: u64) -> Self {
        CallerConnection {
            connection,
            parser: RequestParser::default(),
            open_request: None,
            is_closing: false,
            last_used: now,
            is_worker: false,
        }
    }

    /// Steady clock at the last event of the connection.
    pub(super) fn last_used(&self) -> u64 {
        self.last_used
    }

    /// Whether the connection may be closed in favour of a new one.
    pub(super) fn may_be_evicted(&self, now: u64) -> bool {
        self.open_request.is_none()
            && !self.is_worker
            && now > self.last_used + CALLER_IDLE_TIMEOUT_MS
    }

    /// Reads and writes what is possible now. Returns whether the connection goes on.
    pub(super) fn exchange(&mut self, poller: &Poller, buffer: &mut [u8], now: u64) -> bool {
        self.last_used = now;
        let parser = &mut self.parser;
        let is_open = self
            .connection
            .exchange(poller, buffer, |bytes| parser.feed(bytes));
        is_open && !self.is_finished()
    }

    /// Writes what can be written now. Returns whether the connection goes on.
    fn flush(&mut self, poller: &Poller) -> bool {
        let is_flushed = self.connection.flush(poller).is_ok();
        is_flushed && !self.is_finished()
    }

    /// Whether the last response has been written completely.
    fn is_finished(&self) -> bool {
        self.is_closing && self.connection.backlog() == 0
    }

    /// The next complete request, unless one is open. A request that can't be parsed is refused here.
    pub(super) fn next_request(&mut self, poller: &Poller) -> ReadResult {
        if self.open_request.is_some() || self.is_closing {
            return ReadResult::Incomplete;
        }
        match self.parser.next_request() {
            Ok(None) => ReadResult::Incomplete,
            Ok(Some(request)) => ReadResult::Request(request),
            Err(error) => self.refuse(poller, error),
        }
    }

    /// Responds to a request that can't be parsed, and closes the connection once that is written.
    fn refuse(&mut self, poller: &Poller, error: ParseError) -> ReadResult {
        let status = if error == ParseError::TooLarge {
            PAYLOAD_TOO_LARGE
        } else {
            BAD_REQUEST
        };
        encode_response(self.connection.output(), status, None, b"", true);
        self.is_closing = true;
        if self.flush(poller) {
            ReadResult::Incomplete
        } else {
            ReadResult::Finished
        }
    }

    /// Takes note of a request that now waits for its response.
    pub(super) fn begin_request(&mut self, id: RequestId, close_after: bool, is_report: bool) {
        self.is_worker |= is_report;
        self.open_request = Some(OpenRequest { id, close_after });
    }

    /// Writes the response to the open request. Returns whether the connection goes on. Workers take turns if sockets
    /// are short: their connections are closed after each response then.
    pub(super) fn respond(
        &mut self,
        poller: &Poller,
        response: &Response,
        is_crowded: bool,
    ) -> bool {
        let request = self.open_request.take();
        let is_asked_to_close = request.is_some_and(|request| request.close_after);
        let close = is_asked_to_close || (self.is_worker && is_crowded);
        encode_response(
            self.connection.output(),
            response.status,
            response.retry_after_s,
            &response.body,
            close,
        );
        self.is_closing |= close;
        self.flush(poller)
    }

    /// Closes the connection; returns the request that was open.
    pub(super) fn close(self, poller: &Poller) -> Option<RequestId> {
        self.connection.close(poller);
        self.open_request.map(|request| request.id)
    }
}
