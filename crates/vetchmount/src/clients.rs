//! Our own calls: pooled connections, timeouts, bounded queues.

use crate::net::{Conn, KeySequence};
use constants::*;
use control::{CallError, CallId};
use http::{encode_request, ResponseParser};
use polling::Poller;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddrV4;

/// A call to be made.
pub struct Call {
    /// Its number.
    pub id: CallId,
    /// Whom to call.
    pub addr: SocketAddrV4,
    /// HTTP method.
    pub method: &'static str,
    /// HTTP target.
    pub path: String,
    /// Body.
    pub body: Vec<u8>,
    /// When it is given up.
    pub deadline: u64,
}

struct Link {
    conn: Conn,
    addr: SocketAddrV4,
    parser: ResponseParser,
    connected: bool,
    connect_by: u64,
    /// Call being answered, and when it is given up.
    open: Option<(CallId, u64)>,
    idle_since: u64,
}

/// What came of a call.
pub type Outcome = (CallId, Result<(u16, Vec<u8>), CallError>);

/// All connections of our own.
#[derive(Default)]
pub struct Clients {
    links: HashMap<usize, Link>,
    waiting: HashMap<SocketAddrV4, VecDeque<Call>>,
}

impl Clients {
    /// Whether a key is one of these connections.
    pub fn has(&self, key: usize) -> bool {
        self.links.contains_key(&key)
    }

    /// Makes a call, at once or when a connection is free.
    pub fn call(
        &mut self,
        poller: &Poller,
        call: Call,
        keys: &mut KeySequence,
        now: u64,
        done: &mut Vec<Outcome>,
    ) {
        let addr = call.addr;
        let queue = self.waiting.entry(addr).or_default();
        if queue.len() >= CLIENT_QUEUE {
            done.push((call.id, Err(CallError::NotSent)));
            return;
        }
        queue.push_back(call);
        self.drive(poller, addr, keys, now, done);
    }

    /// Gives waiting calls to free connections, opening more if there are too few.
    fn drive(
        &mut self,
        poller: &Poller,
        addr: SocketAddrV4,
        keys: &mut KeySequence,
        now: u64,
        done: &mut Vec<Outcome>,
    ) {
        loop {
            let Some(queue) = self.waiting.get_mut(&addr).filter(|q| !q.is_empty()) else {
                return;
            };
            let mine = || self.links.iter().filter(|(_, l)| l.addr == addr);
            let free = mine()
                .filter(|(_, l)| l.connected && l.open.is_none())
                .max_by_key(|(_, l)| l.idle_since)
                .map(|(k, _)| *k);
            if let Some(key) = free {
                let (Some(call), Some(link)) = (queue.pop_front(), self.links.get_mut(&key)) else {
                    return;
                };
                let host = addr.to_string();
                encode_request(link.conn.out(), call.method, &host, &call.path, &call.body);
                link.open = Some((call.id, call.deadline));
                if link.conn.flush(poller).is_err() {
                    self.drop_link(poller, key, done);
                }
                continue;
            }
            let connecting = mine().filter(|(_, l)| !l.connected).count();
            if connecting >= queue.len() || mine().count() >= CLIENT_CONNS {
                return;
            }
            let key = keys.take();
            match Conn::connect(poller, addr, key) {
                Ok(conn) => {
                    let link = Link {
                        conn,
                        addr,
                        parser: ResponseParser::default(),
                        connected: false,
                        connect_by: now + CONNECT_TIMEOUT_MS,
                        open: None,
                        idle_since: now,
                    };
                    self.links.insert(key, link);
                }
                Err(_) => {
                    for call in queue.drain(..) {
                        done.push((call.id, Err(CallError::NotSent)));
                    }
                    return;
                }
            }
        }
    }

    fn drop_link(&mut self, poller: &Poller, key: usize, done: &mut Vec<Outcome>) {
        if let Some(link) = self.links.remove(&key) {
            if let Some((id, _)) = link.open {
                done.push((id, Err(CallError::Unknown)));
            }
            link.conn.close(poller);
        }
    }

    /// Fails what waits for an address nobody answers at.
    fn refuse_waiting(&mut self, addr: SocketAddrV4, done: &mut Vec<Outcome>) {
        let others = self.links.values().any(|l| l.addr == addr);
        if !others {
            for call in self.waiting.remove(&addr).into_iter().flatten() {
                done.push((call.id, Err(CallError::NotSent)));
            }
        }
    }

    /// Something can be read or written.
    pub fn on_event(
        &mut self,
        poller: &Poller,
        key: usize,
        buf: &mut [u8],
        keys: &mut KeySequence,
        now: u64,
        done: &mut Vec<Outcome>,
    ) {
        let Some(link) = self.links.get_mut(&key) else {
            return;
        };
        let addr = link.addr;
        if !link.connected {
            match link.conn.connected() {
                Ok(()) => link.connected = true,
                Err(_) => {
                    self.drop_link(poller, key, done);
                    return self.refuse_waiting(addr, done);
                }
            }
        }
        let parser = &mut link.parser;
        let open = link.conn.read(buf, |bytes| parser.feed(bytes));
        let flushed = link.conn.flush(poller);
        let mut useless = flushed.is_err() || !matches!(open, Ok(true));
        match link.parser.next_response() {
            Ok(Some(response)) => {
                link.idle_since = now;
                useless |= response.close;
                match link.open.take() {
                    Some((id, _)) => done.push((id, Ok((response.status, response.body)))),
                    None => useless = true,
                }
            }
            Ok(None) => {}
            Err(_) => useless = true,
        }
        if useless {
            self.drop_link(poller, key, done);
        }
        self.drive(poller, addr, keys, now, done);
    }

    /// Gives up what took too long.
    pub fn expire(
        &mut self,
        poller: &Poller,
        keys: &mut KeySequence,
        now: u64,
        done: &mut Vec<Outcome>,
    ) {
        self.expire_waiting(now, done);
        let dead: Vec<(usize, SocketAddrV4)> = self
            .links
            .iter()
            .filter(|(_, l)| match l.open {
                Some((_, deadline)) => now >= deadline,
                None if !l.connected => now >= l.connect_by,
                None => now > l.idle_since + IDLE_CLIENT_MS,
            })
            .map(|(k, l)| (*k, l.addr))
            .collect();
        for (key, _) in &dead {
            self.drop_link(poller, *key, done);
        }
        for (_, addr) in dead {
            self.refuse_waiting(addr, done);
            self.drive(poller, addr, keys, now, done);
        }
    }

    /// Gives up calls that have waited for a connection until their deadline.
    ///
    /// Each call has its own deadline, whatever its position in the queue: a watch may wait four times as long as the
    /// transaction behind it. A call that is overdue but left in the queue would make [`Clients::next_wake`] ask for a
    /// turn at once, again and again, until the first one is over.
    fn expire_waiting(&mut self, now: u64, done: &mut Vec<Outcome>) {
        for queue in self.waiting.values_mut() {
            queue.retain(|call| {
                let is_overdue = now >= call.deadline;
                if is_overdue {
                    done.push((call.id, Err(CallError::NotSent)));
                }
                !is_overdue
            });
        }
        self.waiting.retain(|_, queue| !queue.is_empty());
    }

    /// When the next call or connection times out.
    pub fn next_wake(&self) -> u64 {
        let link = |l: &Link| match l.open {
            Some((_, deadline)) => deadline,
            None if !l.connected => l.connect_by,
            None => l.idle_since + IDLE_CLIENT_MS + 1,
        };
        let links = self.links.values().map(link).min();
        let calls = self.waiting.values().flatten().map(|c| c.deadline).min();
        links.unwrap_or(u64::MAX).min(calls.unwrap_or(u64::MAX))
    }
}

#[cfg(test)]
mod tests;
