//! HTTP server: connections opened by users, workers and the load balancer.

mod connection;

use crate::net::TcpConnection;
use connection::{CallerConnection, NextRequest};
use constants::{RESERVED_SOCKETS, SERVER_SOCKET_SHARE, SOCKET_SHORTAGE_MS, SOCKET_SHORTAGE_SHARE};
use control::RequestId;
use polling::Poller;
use std::collections::HashMap;

/// HTTP request target of workers' reports.
const REPORT_TARGET: &str = "/v1/report";

/// A complete request.
pub struct ReceivedRequest {
    /// Identifies the request in its response.
    pub id: RequestId,
    /// The parsed HTTP request.
    pub request: http::Request,
    /// Whether it is a worker's report.
    pub is_worker_report: bool,
}

/// The response to a request.
pub struct Response {
    /// The request.
    pub id: RequestId,
    /// HTTP status.
    pub status: u16,
    /// Seconds after which the caller should retry.
    pub retry_after_s: Option<u32>,
    /// Response body.
    pub body: Vec<u8>,
}

/// All connections of callers.
pub struct HttpServer {
    connections: HashMap<usize, CallerConnection>,
    /// Poller key of the connection on which each request waits for its response.
    key_by_request: HashMap<RequestId, usize>,
    last_request: RequestId,
    max_connections: usize,
    /// Number of connections from which sockets count as short.
    shortage_threshold: usize,
    /// Monotonic time until which sockets count as short because a new connection exceeded the maximum.
    shortage_until: u64,
}

impl HttpServer {
    /// Creates a server that uses the callers' share of the `max_sockets` that the process may open.
    pub fn new(max_sockets: usize) -> Self {
        let share = (max_sockets as f64 * SERVER_SOCKET_SHARE) as usize;
        let max_connections = share.max(max_sockets.saturating_sub(RESERVED_SOCKETS));
        HttpServer {
            connections: HashMap::new(),
            key_by_request: HashMap::new(),
            last_request: 0,
            max_connections,
            shortage_threshold: (max_connections as f64 * SOCKET_SHORTAGE_SHARE) as usize,
            shortage_until: 0,
        }
    }

    /// Whether sockets are short. While they are, workers' connections are closed after each response.
    pub fn has_socket_shortage(&self, now: u64) -> bool {
        self.connections.len() >= self.shortage_threshold || now < self.shortage_until
    }

    /// Whether a poller key belongs to one of the server's connections.
    pub fn contains_key(&self, key: usize) -> bool {
        self.connections.contains_key(&key)
    }

    /// Whether the caller still waits for the response to a request.
    pub fn is_awaiting_response(&self, request: RequestId) -> bool {
        self.key_by_request.contains_key(&request)
    }

    /// Adds a new connection. At the maximum number of connections, evicts the one that has been idle longest; if none
    /// can be evicted, closes the new one.
    pub fn add(&mut self, poller: &Poller, tcp: TcpConnection, key: usize, now: u64) {
        if self.connections.len() >= self.max_connections {
            self.shortage_until = now + SOCKET_SHORTAGE_MS;
            match self.eviction_candidate(now) {
                Some(idle_key) => self.close(poller, idle_key),
                None => return tcp.close(poller),
            }
        }
        let connection = CallerConnection::new(tcp, now);
        self.connections.insert(key, connection);
    }

    /// Key of the connection that has been idle longest. Workers' connections are exempt: a worker that can't connect
    /// loses its lease.
    fn eviction_candidate(&self, now: u64) -> Option<usize> {
        self.connections
            .iter()
            .filter(|(_, connection)| connection.is_evictable(now))
            .min_by_key(|(_, connection)| connection.last_used())
            .map(|(key, _)| *key)
    }

    fn close(&mut self, poller: &Poller, key: usize) {
        let Some(connection) = self.connections.remove(&key) else {
            return;
        };
        if let Some(request) = connection.close(poller) {
            self.key_by_request.remove(&request);
        }
    }

    /// Handles a poller event for one of the server's connections.
    pub fn on_event(
        &mut self,
        poller: &Poller,
        key: usize,
        buffer: &mut [u8],
        now: u64,
        requests: &mut Vec<ReceivedRequest>,
    ) {
        let Some(connection) = self.connections.get_mut(&key) else {
            return;
        };
        if !connection.read_and_flush(poller, buffer, now) {
            return self.close(poller, key);
        }
        self.receive_next(poller, key, requests);
    }

    /// Appends the next request of a connection to `requests`, if it is complete and no earlier one is in flight.
    fn receive_next(&mut self, poller: &Poller, key: usize, requests: &mut Vec<ReceivedRequest>) {
        let Some(connection) = self.connections.get_mut(&key) else {
            return;
        };
        match connection.next_request(poller) {
            NextRequest::NotReady => {}
            NextRequest::Close => self.close(poller, key),
            NextRequest::Ready(request) => {
                self.last_request += 1;
                let id = self.last_request;
                let is_worker_report = request.target == REPORT_TARGET;
                connection.begin_request(id, request.close, is_worker_report);
                self.key_by_request.insert(id, key);
                requests.push(ReceivedRequest {
                    id,
                    request,
                    is_worker_report,
                });
            }
        }
    }

    /// Responds to a request. The next request of the same connection is appended to `requests` if it is complete.
    pub fn respond(
        &mut self,
        poller: &Poller,
        response: &Response,
        now: u64,
        requests: &mut Vec<ReceivedRequest>,
    ) {
        let Some(key) = self.key_by_request.remove(&response.id) else {
            return;
        };
        let has_socket_shortage = self.has_socket_shortage(now);
        let Some(connection) = self.connections.get_mut(&key) else {
            return;
        };
        if !connection.respond(poller, response, has_socket_shortage) {
            return self.close(poller, key);
        }
        self.receive_next(poller, key, requests);
    }
}
