//! Connections that callers opened: users, workers and the load balancer.

mod connection;

use crate::net::Connection;
use connection::{CallerConnection, ReadResult};
use constants::{RESERVED_SOCKETS, SERVER_SOCKET_SHARE, SOCKET_SHORTAGE_MS, SOCKET_SHORTAGE_SHARE};
use control::RequestId;
use polling::Poller;
use std::collections::HashMap;

/// HTTP target of workers' reports.
const REPORT_TARGET: &str = "/v1/report";

/// A complete request.
pub struct ReceivedRequest {
    /// Identifies the request in its response.
    pub id: RequestId,
    /// The request.
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
    /// Seconds after which the caller should try again.
    pub retry_after_s: Option<u32>,
    /// Body.
    pub body: Vec<u8>,
}

/// All connections of callers.
pub struct Servers {
    connections: HashMap<usize, CallerConnection>,
    /// Key of the connection that waits for the response to a request.
    key_by_request: HashMap<RequestId, usize>,
    last_request: RequestId,
    /// Connections at most.
    limit: usize,
    /// Number of connections from which workers' are closed after each response.
    crowded_from: usize,
    /// Steady clock until which sockets count as short because a connection found none.
    crowded_until: u64,
}

impl Servers {
    /// Takes the callers' share of the `sockets` that the process may open.
    pub fn new(sockets: usize) -> Self {
        let share = (sockets as f64 * SERVER_SOCKET_SHARE) as usize;
        let limit = share.max(sockets.saturating_sub(RESERVED_SOCKETS));
        Servers {
            connections: HashMap::new(),
            key_by_request: HashMap::new(),
            last_request: 0,
            limit,
            crowded_from: (limit as f64 * SOCKET_SHORTAGE_SHARE) as usize,
            crowded_until: 0,
        }
    }

    /// Whether sockets are short.
    pub fn is_crowded(&self, now: u64) -> bool {
        self.connections.len() >= self.crowded_from || now < self.crowded_until
    }

    /// Whether a poller key belongs to one of these connections.
    pub fn has(&self, key: usize) -> bool {
        self.connections.contains_key(&key)
    }

    /// Whether the caller still waits for the response to a request.
    pub fn is_open(&self, request: RequestId) -> bool {
        self.key_by_request.contains_key(&request)
    }

    /// Adds a new connection. If there is no room, the one that has been idle longest makes way for it; if none may be
    /// closed, the new one is.
    pub fn add(&mut self, poller: &Poller, connection: Connection, key: usize, now: u64) {
        if self.connections.len() >= self.limit {
            self.crowded_until = now + SOCKET_SHORTAGE_MS;
            match self.longest_idle(now) {
                Some(idle) => self.close(poller, idle),
                None => return connection.close(poller),
            }
        }
        let connection = CallerConnection::new(connection, now);
        self.connections.insert(key, connection);
    }

    /// The connection that has been idle longest. Workers' are exempt: a worker that can't connect loses its lease.
    fn longest_idle(&self, now: u64) -> Option<usize> {
        self.connections
            .iter()
            .filter(|(_, connection)| connection.may_be_evicted(now))
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

    /// Handles an event of the poller for one of these connections.
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
        if !connection.exchange(poller, buffer, now) {
            return self.close(poller, key);
        }
        self.receive_next(poller, key, requests);
    }

    /// Appends the next request of a connection to `requests`, if none is open there and the next one is complete.
    fn receive_next(&mut self, poller: &Poller, key: usize, requests: &mut Vec<ReceivedRequest>) {
        let Some(connection) = self.connections.get_mut(&key) else {
            return;
        };
        match connection.next_request(poller) {
            ReadResult::Incomplete => {}
            ReadResult::Finished => self.close(poller, key),
            ReadResult::Request(request) => {
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

    /// Responds to a request. The next request of its connection, if complete, is appended to `requests`.
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
        let is_crowded = self.is_crowded(now);
        let Some(connection) = self.connections.get_mut(&key) else {
            return;
        };
        if !connection.respond(poller, response, is_crowded) {
            return self.close(poller, key);
        }
        self.receive_next(poller, key, requests);
    }
}
