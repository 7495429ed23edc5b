//! Connections that others opened: users, workers, the load balancer.

use crate::net::Conn;
use constants::*;
use http::{encode_response, ParseError, RequestParser};
use polling::Poller;
use std::collections::HashMap;

struct Served {
    conn: Conn,
    parser: RequestParser,
    /// Request being handled, and whether the connection ends after it.
    open: Option<(u64, bool)>,
    closing: bool,
    last_used: u64,
    /// A worker's: kept when sockets run short.
    worker: bool,
}

/// A whole request that arrived.
pub struct Arrived {
    /// Its number.
    pub id: u64,
    /// What was asked.
    pub request: http::Request,
    /// Whether it is a worker's report.
    pub worker: bool,
}

/// The answer to a request.
pub struct Answer {
    /// The request's number.
    pub id: u64,
    /// HTTP status.
    pub status: u16,
    /// Seconds until the caller should come back.
    pub retry_after_s: Option<u32>,
    /// Body.
    pub body: Vec<u8>,
}

/// All connections of callers.
pub struct Servers {
    conns: HashMap<usize, Served>,
    by_request: HashMap<u64, usize>,
    next_request: u64,
    limit: usize,
    /// Connections from which on workers' are closed after each answer.
    crowded: usize,
    /// Until when sockets count as short because a connection found none.
    crowded_until: u64,
}

impl Servers {
    /// Callers' part of the `sockets` that the process may hold.
    pub fn new(sockets: usize) -> Self {
        let share = (sockets as f64 * SERVER_SOCKET_SHARE) as usize;
        let limit = share.max(sockets.saturating_sub(OWN_SOCKETS));
        Servers {
            conns: HashMap::new(),
            by_request: HashMap::new(),
            next_request: 0,
            limit,
            crowded: (limit as f64 * CROWDED_SHARE) as usize,
            crowded_until: 0,
        }
    }

    /// Whether sockets are short.
    pub fn is_crowded(&self, now: u64) -> bool {
        self.conns.len() >= self.crowded || now < self.crowded_until
    }

    /// Whether a key is one of these connections.
    pub fn has(&self, key: usize) -> bool {
        self.conns.contains_key(&key)
    }

    /// Takes a new connection, making room by closing the one that idled longest.
    pub fn add(&mut self, poller: &Poller, conn: Conn, key: usize, now: u64) {
        if self.conns.len() >= self.limit {
            self.crowded_until = now + CROWDED_MS;
            let idle = self
                .conns
                .iter()
                .filter(|(_, s)| s.open.is_none() && !s.worker && now > s.last_used + IDLE_CONN_MS)
                .min_by_key(|(_, s)| s.last_used)
                .map(|(k, _)| *k);
            match idle {
                Some(k) => self.close(poller, k),
                None => return conn.close(poller),
            }
        }
        let served = Served {
            conn,
            parser: RequestParser::default(),
            open: None,
            closing: false,
            last_used: now,
            worker: false,
        };
        self.conns.insert(key, served);
    }

    fn close(&mut self, poller: &Poller, key: usize) {
        if let Some(s) = self.conns.remove(&key) {
            if let Some((request, _)) = s.open {
                self.by_request.remove(&request);
            }
            s.conn.close(poller);
        }
    }

    /// Something can be read or written.
    pub fn on_event(
        &mut self,
        poller: &Poller,
        key: usize,
        buf: &mut [u8],
        now: u64,
        arrived: &mut Vec<Arrived>,
    ) {
        let Some(s) = self.conns.get_mut(&key) else {
            return;
        };
        s.last_used = now;
        let parser = &mut s.parser;
        let open = s.conn.read(buf, |bytes| parser.feed(bytes));
        let flushed = s.conn.flush(poller);
        let done = s.closing && s.conn.backlog() == 0;
        if !matches!(open, Ok(true)) || flushed.is_err() || done {
            return self.close(poller, key);
        }
        self.next(poller, key, arrived);
    }

    /// Hands out the next request of a connection that has none open.
    fn next(&mut self, poller: &Poller, key: usize, arrived: &mut Vec<Arrived>) {
        let Some(s) = self.conns.get_mut(&key) else {
            return;
        };
        if s.open.is_some() || s.closing {
            return;
        }
        match s.parser.next_request() {
            Ok(None) => {}
            Ok(Some(request)) => {
                self.next_request += 1;
                let worker = request.target == "/v1/report";
                s.worker |= worker;
                s.open = Some((self.next_request, request.close));
                self.by_request.insert(self.next_request, key);
                arrived.push(Arrived {
                    id: self.next_request,
                    request,
                    worker,
                });
            }
            Err(why) => {
                let status = if why == ParseError::TooLarge {
                    413
                } else {
                    400
                };
                encode_response(s.conn.out(), status, None, b"", true);
                s.closing = true;
                let failed = s.conn.flush(poller).is_err();
                if failed || s.conn.backlog() == 0 {
                    self.close(poller, key);
                }
            }
        }
    }

    /// Whether the caller still waits for the answer to a request.
    pub fn is_open(&self, request: u64) -> bool {
        self.by_request.contains_key(&request)
    }

    /// Answers a request; may hand out the next one of its connection.
    pub fn respond(
        &mut self,
        poller: &Poller,
        answer: &Answer,
        now: u64,
        arrived: &mut Vec<Arrived>,
    ) {
        let Some(key) = self.by_request.remove(&answer.id) else {
            return;
        };
        let is_crowded = self.is_crowded(now);
        let Some(s) = self.conns.get_mut(&key) else {
            return;
        };
        let asked_to_close = s.open.take().is_some_and(|(_, close)| close);
        let close = asked_to_close || (s.worker && is_crowded);
        encode_response(
            s.conn.out(),
            answer.status,
            answer.retry_after_s,
            &answer.body,
            close,
        );
        s.closing |= close;
        let failed = s.conn.flush(poller).is_err();
        if failed || (s.closing && s.conn.backlog() == 0) {
            return self.close(poller, key);
        }
        self.next(poller, key, arrived);
    }
}
