//! The connection pool, for all addresses.

use super::connection::PooledConnection;
use super::CallOutcome;
use crate::net::KeyAllocator;
use constants::CONNECTIONS_PER_ADDRESS_MAX;
use control::CallError;
use polling::Poller;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddrV4;

/// How the next waiting call of an address gets a connection.
pub(super) enum ConnectionChoice {
    /// Use the idle connection with this key.
    Idle(usize),
    /// Open another connection.
    OpenNew,
    /// Wait for a connection that is busy or being established.
    Wait,
}

/// All connections by their poller keys.
#[derive(Default)]
pub(super) struct ConnectionPool {
    connections: HashMap<usize, PooledConnection>,
}

impl ConnectionPool {
    /// Whether a poller key belongs to a connection of the pool.
    pub(super) fn contains_key(&self, key: usize) -> bool {
        self.connections.contains_key(&key)
    }

    /// Whether the pool has a connection to an address, established or not.
    pub(super) fn has_connection_to(&self, addr: SocketAddrV4) -> bool {
        self.connections
            .values()
            .any(|connection| connection.addr() == addr)
    }

    /// The connection with a key.
    pub(super) fn get_mut(&mut self, key: usize) -> Option<&mut PooledConnection> {
        self.connections.get_mut(&key)
    }

    /// Chooses a connection to an address for which `waiting` calls wait. Of several idle connections it chooses the
    /// most recently used, so that the others time out.
    pub(super) fn choose(&self, addr: SocketAddrV4, waiting: usize) -> ConnectionChoice {
        let same_address = || {
            self.connections
                .iter()
                .filter(|(_, connection)| connection.addr() == addr)
        };
        let idle = same_address()
            .filter_map(|(key, connection)| Some((*key, connection.idle_since()?)))
            .max_by_key(|(_, idle_since)| *idle_since);
        if let Some((key, _)) = idle {
            return ConnectionChoice::Idle(key);
        }
        let connecting = same_address()
            .filter(|(_, connection)| connection.is_connecting())
            .count();
        if connecting >= waiting || same_address().count() >= CONNECTIONS_PER_ADDRESS_MAX {
            return ConnectionChoice::Wait;
        }
        ConnectionChoice::OpenNew
    }

    /// Starts to open a connection.
    pub(super) fn open(
        &mut self,
        poller: &Poller,
        addr: SocketAddrV4,
        keys: &mut KeyAllocator,
        now: u64,
    ) -> io::Result<()> {
        let key = keys.allocate();
        let connection = PooledConnection::open(poller, addr, key, now)?;
        self.connections.insert(key, connection);
        Ok(())
    }

    /// Closes a connection. The call that was in flight on it fails as [`CallError::Unknown`]: the recipient may have
    /// executed it.
    pub(super) fn close(&mut self, poller: &Poller, key: usize, outcomes: &mut Vec<CallOutcome>) {
        let Some(connection) = self.connections.remove(&key) else {
            return;
        };
        if let Some(call) = connection.close(poller) {
            outcomes.push(CallOutcome::failed(call, CallError::Unknown));
        }
    }

    /// Keys and addresses of the connections that have timed out.
    pub(super) fn expired(&self, now: u64) -> Vec<(usize, SocketAddrV4)> {
        self.connections
            .iter()
            .filter(|(_, connection)| now >= connection.expires_at())
            .map(|(key, connection)| (*key, connection.addr()))
            .collect()
    }

    /// Monotonic time at which the next connection times out.
    pub(super) fn next_expiry(&self) -> Option<u64> {
        self.connections
            .values()
            .map(PooledConnection::expires_at)
            .min()
    }
}
