//! The controller process: one thread that waits for sockets and deadlines and drives a [`control::Node`].
//!
//! This module holds the main loop, one iteration of which is called a turn. The submodules start the process, route
//! the poller's events, deliver inputs to the node and execute the node's outputs.

mod clock;
mod error;
mod node_inputs;
mod node_outputs;
mod routing;
mod startup;

use crate::http_client::{CallOutcome, HttpClient};
use crate::http_server::{HttpServer, ReceivedRequest};
use crate::net::{KeyAllocator, Listener};
use crate::peer_connections::PeerConnections;
use clock::ProcessClock;
use constants::{
    EVENTS_PER_TURN_MAX, POLL_WAIT_MAX_MS, POLL_WAIT_MIN_MS, READ_BUFFER_BYTES, SLOW_TURN_MS,
};
use control::{Node, Now};
pub use error::DaemonError;
use node_outputs::ServiceAddresses;
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
    http_server: HttpServer,
    http_client: HttpClient,
    peers: PeerConnections,
    poller_keys: KeyAllocator,
    service_addresses: ServiceAddresses,
    pending: PendingInputs,
    /// Workers' reports, which wait until users' requests and the renewal of the leader's lease have been handled.
    worker_reports: VecDeque<ReceivedRequest>,
    node: Node,
    clock: ProcessClock,
    /// Set by the signal that asks the process to stop.
    stop_requested: Arc<AtomicBool>,
}

/// Inputs from the sockets that the node has not handled yet.
#[derive(Default)]
struct PendingInputs {
    requests: Vec<ReceivedRequest>,
    call_outcomes: Vec<CallOutcome>,
}

impl PendingInputs {
    fn is_empty(&self) -> bool {
        self.requests.is_empty() && self.call_outcomes.is_empty()
    }
}

/// Whether the main loop continues after a turn.
#[derive(Clone, Copy, PartialEq, Eq)]
enum LoopControl {
    Continue,
    Exit,
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
            self.wait_for_events(&mut events)?;
            if self.run_turn(&events, &mut buffer) == LoopControl::Exit {
                return Ok(());
            }
        }
    }

    /// Waits for events, at most until the next deadline of the node or of the HTTP client.
    fn wait_for_events(&self, events: &mut Events) -> Result<(), DaemonError> {
        let timeout = Duration::from_millis(self.poll_timeout_ms());
        events.clear();
        self.poller
            .wait(events, Some(timeout))
            .map_err(DaemonError::Poll)?;
        Ok(())
    }

    /// Milliseconds to wait for events.
    ///
    /// Unless workers' reports are pending, the loop waits even if a deadline has passed. Events that are ready end the
    /// wait at once, and a deadline that no code handles must not turn the loop into a busy loop that takes the whole
    /// processor share.
    fn poll_timeout_ms(&self) -> u64 {
        let now = self.now().mono;
        let next_wake = self.node.next_wake().min(self.http_client.next_wake());
        if self.worker_reports.is_empty() {
            next_wake
                .saturating_sub(now)
                .clamp(POLL_WAIT_MIN_MS, POLL_WAIT_MAX_MS)
        } else {
            0
        }
    }

    /// Handles events and deadlines once. Workers' reports are handled last, so that they delay nothing else.
    fn run_turn(&mut self, events: &Events, buffer: &mut [u8]) -> LoopControl {
        let now = self.now();
        for event in events.iter() {
            self.route_event(event.key, buffer, now.mono);
        }
        self.expire_calls(now.mono);
        self.node
            .set_socket_shortage(self.http_server.has_socket_shortage(now.mono));
        self.deliver_inputs();
        let tick_time = self.now();
        if tick_time.mono >= self.node.next_wake() {
            self.node.tick(tick_time);
        }
        self.peers
            .tick(&self.poller, &mut self.poller_keys, tick_time.mono);
        self.deliver_inputs();
        self.deliver_worker_reports();
        if self.stop_requested.load(Ordering::Relaxed) && self.stop_node() {
            return LoopControl::Exit;
        }
        self.log_if_slow(now, events.len());
        LoopControl::Continue
    }

    fn expire_calls(&mut self, now: u64) {
        let outcomes = &mut self.pending.call_outcomes;
        self.http_client
            .expire(&self.poller, &mut self.poller_keys, now, outcomes);
    }

    fn log_if_slow(&self, turn_start: Now, events: usize) {
        let took_ms = self.now().mono.saturating_sub(turn_start.mono);
        if took_ms >= SLOW_TURN_MS {
            log::info!("event=slow_turn took_ms={took_ms} events={events}");
        }
    }
}
