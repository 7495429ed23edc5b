//! Routing of the poller's events to the listener or connection that each belongs to.

use super::Daemon;
use crate::net::TcpConnection;
use constants::ACCEPTS_PER_TURN_MAX;

/// Poller key of the listener for users, workers and the load balancer.
pub(super) const PUBLIC_LISTENER_KEY: usize = 0;
/// Poller key of the listener for the other controllers.
pub(super) const PEER_LISTENER_KEY: usize = 1;
/// Smallest poller key of connections.
pub(super) const FIRST_CONNECTION_KEY: usize = 2;

impl Daemon {
    /// Handles one event of the poller. `now` is the monotonic time at the start of the turn.
    pub(super) fn route_event(&mut self, key: usize, buffer: &mut [u8], now: u64) {
        if key == PUBLIC_LISTENER_KEY {
            self.accept_callers(now);
        } else if key == PEER_LISTENER_KEY {
            self.accept_peers(now);
        } else if self.http_server.contains_key(key) {
            let requests = &mut self.pending.requests;
            self.http_server
                .on_event(&self.poller, key, buffer, now, requests);
        } else if self.http_client.contains_key(key) {
            let outcomes = &mut self.pending.call_outcomes;
            let keys = &mut self.poller_keys;
            self.http_client
                .on_event(&self.poller, key, buffer, keys, now, outcomes);
        } else {
            self.handle_peer_event(key, buffer);
        }
    }

    /// Accepts a limited number of connections. The poller reports the others again in the next turn.
    fn accept_callers(&mut self, now: u64) {
        for _ in 0..ACCEPTS_PER_TURN_MAX {
            let Some(stream) = self.public_listener.accept() else {
                break;
            };
            let key = self.poller_keys.allocate();
            if let Ok(tcp) = TcpConnection::from_accepted(&self.poller, stream, key) {
                self.http_server.add(&self.poller, tcp, key, now);
            }
        }
    }

    fn accept_peers(&mut self, now: u64) {
        while let Some(stream) = self.peer_listener.accept() {
            let key = self.poller_keys.allocate();
            if let Ok(tcp) = TcpConnection::from_accepted(&self.poller, stream, key) {
                self.peers.add_incoming(&self.poller, key, tcp, now);
            }
        }
    }

    /// Delivers peers' messages to the node at once, each with the time at which it is handled.
    fn handle_peer_event(&mut self, key: usize, buffer: &mut [u8]) {
        for input in self.peers.on_event(&self.poller, key, buffer) {
            let now = self.now();
            self.node.handle(now, input);
        }
    }
}
