//! The pool of connections, for all addresses.

use super::link::Link;
use super::CallOutcome;
use crate::net::KeySequence;
use constants::CONNECTIONS_PER_ADDRESS_MAX;
use control::CallError;
use polling::Poller;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddrV4;

/// How the next waiting call of an address gets a connection.
pub(super) enum LinkChoice {
    /// The connection with this key is free.
    Free(usize),
    /// Another connection should be opened.
    OpenAnother,
    /// The call has to wait.
    Wait,
}

/// All connections by their poller keys.
#[derive(Default)]
pub(super) struct LinkPool {
    links: HashMap<usize, Link>,
}

impl LinkPool {
    /// Whether a poller key belongs to the pool.
    pub(super) fn has(&self, key: usize) -> bool {
        self.links.contains_key(&key)
    }

    /// Whether any connection to an address exists, established or not.
    pub(super) fn has_address(&self, addr: SocketAddrV4) -> bool {
        self.links.values().any(|link| link.addr() == addr)
    }

    /// The connection with a key.
    pub(super) fn get_mut(&mut self, key: usize) -> Option<&mut Link> {
        self.links.get_mut(&key)
    }

    /// Chooses a connection for an address for which `waiting` calls wait. Of several free connections the one used
    /// last is taken, so that the others time out.
    pub(super) fn choose(&self, addr: SocketAddrV4, waiting: usize) -> LinkChoice {
        let same_address = || self.links.iter().filter(|(_, link)| link.addr() == addr);
        let free = same_address()
            .filter_map(|(key, link)| Some((*key, link.idle_since()?)))
            .max_by_key(|(_, idle_since)| *idle_since);
        if let Some((key, _)) = free {
            return LinkChoice::Free(key);
        }
        let connecting = same_address()
            .filter(|(_, link)| link.is_connecting())
            .count();
        if connecting >= waiting || same_address().count() >= CONNECTIONS_PER_ADDRESS_MAX {
            return LinkChoice::Wait;
        }
        LinkChoice::OpenAnother
    }

    /// Starts to open a connection.
    pub(super) fn open(
        &mut self,
        poller: &Poller,
        addr: SocketAddrV4,
        keys: &mut KeySequence,
        now: u64,
    ) -> io::Result<()> {
        let key = keys.take();
        let link = Link::open(poller, addr, key, now)?;
        self.links.insert(key, link);
        Ok(())
    }

    /// Closes a connection. Whether the call that it carried was executed is unknown.
    pub(super) fn close(&mut self, poller: &Poller, key: usize, outcomes: &mut Vec<CallOutcome>) {
        let Some(link) = self.links.remove(&key) else {
            return;
        };
        if let Some(call) = link.close(poller) {
            outcomes.push(CallOutcome::failed(call, CallError::Unknown));
        }
    }

    /// Keys and addresses of the connections that have timed out.
    pub(super) fn expired(&self, now: u64) -> Vec<(usize, SocketAddrV4)> {
        self.links
            .iter()
            .filter(|(_, link)| now >= link.expires_at())
            .map(|(key, link)| (*key, link.addr()))
            .collect()
    }

    /// Steady clock at which the first connection times out.
    pub(super) fn next_expiry(&self) -> Option<u64> {
        self.links.values().map(Link::expires_at).min()
    }
}
