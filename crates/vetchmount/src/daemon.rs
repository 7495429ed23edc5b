//! The controller process: one thread that waits for sockets and deadlines and drives a [`control::Node`].
//!
//! This module holds the main loop. Its submodules start the process, route the poller's events, feed the node and
//! carry out the node's outputs.

mod clock;
mod error;
mod node_feed;
mod outputs;
mod routing;
mod startup;

use crate::clients::{CallOutcome, Clients};
use crate::net::{KeySequence, Listener};
use crate::peer_links::PeerLinks;
use crate::servers::{ReceivedRequest, Servers};
use clock::ProcessClock;
use constants::{
    EVENTS_PER_TURN_MAX, POLL_WAIT_MAX_MS, POLL_WAIT_MIN_MS, READ_BUFFER_BYTES, SLOW_TURN_MS,
};
use control::{Node, Now};
pub use error::DaemonError;
use outputs::ServiceAddresses;
use polling::{Events, Poller};
pub use startup::run;
use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// All state of the process.
struct Daemon {
    poller: Poller,
    /// Listener for users, workers and the load balancer.
    public_listener: Listener,
    /// Listener for the other controllers.
    peer_listener: Listener,
    servers: Servers,
    clients: Clients,
    peers: PeerLinks,
    keys: KeySequence,
    services: ServiceAddresses,
    pending: PendingInputs,
    /// Workers' reports that wait until users and the leader's lease have been served.
    worker_reports: VecDeque<ReceivedRequest>,
    node: Node,
    clock: ProcessClock,
    /// Set by the signal that asks the process to stop.
    stop_requested: Arc<AtomicBool>,
}

/// What the sockets have yielded and the node has not handled yet.
#[derive(Default)]
struct PendingInputs {
    requests: Vec<ReceivedRequest>,
    outcomes: Vec<CallOutcome>,
}

impl PendingInputs {
    fn is_empty(&self) -> bool {
        self.requests.is_empty() && self.outcomes.is_empty()
    }
}

/// Whether the main loop goes on after a turn.
#[derive(Clone, Copy, PartialEq, Eq)]
enum TurnEnd {
    Continue,
    Stopped,
}

impl Daemon {
    fn now(&self) -> Now {
        self.clock.now()
    }

    /// Runs the main loop until the process has been asked to stop and the node has finished its work.
    fn serve(mut self) -> Result<(), DaemonError> {
        let mut events = Events::with_capacity(EVENTS_PER_TURN_MAX);
        let mut buffer = vec![0u8; READ_BUFFER_BYTES];
        loop {
            self.wait(&mut events)?;
            if self.run_turn(&events, &mut buffer) == TurnEnd::Stopped {
                return Ok(());
            }
        }
    }

    /// Waits for events, or until the node or a call has to be looked after.
    fn wait(&self, events: &mut Events) -> Result<(), DaemonError> {
        let timeout = Duration::from_millis(self.wait_ms());
        events.clear();
        self.poller
            .wait(events, Some(timeout))
            .map_err(DaemonError::Poll)?;
        Ok(())
    }

    /// Milliseconds to wait for events.
    ///
    /// The loop waits even if a deadline has passed: events that are ready end the wait at once, and a deadline that
    /// nobody acts upon must never become a loop that takes the whole processor share.
    fn wait_ms(&self) -> u64 {
        let now = self.now().mono;
        let wake = self.node.next_wake().min(self.clients.next_wake());
        if self.worker_reports.is_empty() {
            wake.saturating_sub(now)
                .clamp(POLL_WAIT_MIN_MS, POLL_WAIT_MAX_MS)
        } else {
            0
        }
    }

    /// Handles events and deadlines once. Workers' reports come last, so that they delay nothing else.
    fn run_turn(&mut self, events: &Events, buffer: &mut [u8]) -> TurnEnd {
        let now = self.now();
        for event in events.iter() {
            self.route_event(event.key, buffer, now.mono);
        }
        self.expire_calls(now.mono);
        self.node
            .set_socket_shortage(self.servers.is_crowded(now.mono));
        self.feed_node(now);
        if now.mono >= self.node.next_wake() {
            self.node.tick(now);
        }
        self.peers.tick(&self.poller, &mut self.keys, now.mono);
        self.feed_node(now);
        self.feed_worker_reports();
        if self.stop_requested.load(Ordering::Relaxed) && self.stop_node() {
            return TurnEnd::Stopped;
        }
        self.log_if_slow(now, events.len());
        TurnEnd::Continue
    }

    fn expire_calls(&mut self, now: u64) {
        let outcomes = &mut self.pending.outcomes;
        self.clients
            .expire(&self.poller, &mut self.keys, now, outcomes);
    }

    fn log_if_slow(&self, turn_start: Now, events: usize) {
        let took_ms = self.now().mono.saturating_sub(turn_start.mono);
        if took_ms >= SLOW_TURN_MS {
            log::info!("event=slow_turn took_ms={took_ms} events={events}");
        }
    }
}
