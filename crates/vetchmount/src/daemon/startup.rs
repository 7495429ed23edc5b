//! Start of the process: listeners, addresses, signal handler and the node.

use super::clock::{monotonic_us, ProcessClock};
use super::node_outputs::ServiceAddresses;
use super::routing::{FIRST_CONNECTION_KEY, PEER_LISTENER_KEY, PUBLIC_LISTENER_KEY};
use super::{Daemon, DaemonError, PendingInputs};
use crate::http_client::HttpClient;
use crate::http_server::HttpServer;
use crate::net::{KeyAllocator, Listener};
use crate::peer_connections::{PeerAddress, PeerConnections};
use control::{Node, Operator, Settings};
use polling::Poller;
use signal_hook::consts::SIGTERM;
use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;

/// Low bits dropped from the random boot id of a process, which leaves 52 bits.
const BOOT_ID_DROPPED_BITS: u32 = 12;

/// Runs a controller until it is killed, or has stopped on request.
pub fn run(settings: Settings, operator: Operator) -> Result<(), DaemonError> {
    Daemon::start(settings, operator)?.serve()
}

impl Daemon {
    fn start(settings: Settings, operator: Operator) -> Result<Self, DaemonError> {
        let poller = Poller::new().map_err(DaemonError::CreatePoller)?;
        let max_connections = settings.deployment.quota.max_connections;
        // When a leader fails, all workers reconnect within a second or two.
        let backlog = max_connections as i32;
        let public_listener = listen(&poller, &settings.public_addr, PUBLIC_LISTENER_KEY, backlog)?;
        let peer_listener = listen(&poller, &settings.back, PEER_LISTENER_KEY, backlog)?;
        let peers = PeerConnections::new(settings.label.clone(), sibling_addresses(&settings)?);
        let clock = ProcessClock::start();
        let boot_id = fastrand::u64(..) >> BOOT_ID_DROPPED_BITS;
        let service_addresses = ServiceAddresses {
            state: parse_address(&settings.outside.state)?,
            cloud: parse_address(&settings.outside.cloud)?,
        };
        log_start(&settings, boot_id);
        let stop_requested = stop_flag(&operator)?;
        let node = Node::new(settings, operator, clock.now(), boot_id, monotonic_us);
        Ok(Daemon {
            poller,
            public_listener,
            peer_listener,
            http_server: HttpServer::new(max_connections),
            http_client: HttpClient::default(),
            peers,
            poller_keys: KeyAllocator::starting_at(FIRST_CONNECTION_KEY),
            service_addresses,
            pending: PendingInputs::default(),
            worker_reports: VecDeque::new(),
            node,
            clock,
            stop_requested,
        })
    }
}

/// Parses an address of the settings or of a worker.
pub(super) fn parse_address(text: &str) -> Result<SocketAddrV4, DaemonError> {
    text.parse()
        .map_err(|_| DaemonError::InvalidAddress(text.to_string()))
}

fn listen(
    poller: &Poller,
    address: &str,
    key: usize,
    backlog: i32,
) -> Result<Listener, DaemonError> {
    Listener::bind(poller, parse_address(address)?, key, backlog).map_err(|source| {
        DaemonError::Listen {
            address: address.to_string(),
            source,
        }
    })
}

/// Labels and addresses of the other controllers.
fn sibling_addresses(settings: &Settings) -> Result<Vec<PeerAddress>, DaemonError> {
    settings
        .siblings
        .iter()
        .map(|sibling| {
            Ok(PeerAddress {
                label: sibling.label.clone(),
                addr: parse_address(&sibling.addr)?,
            })
        })
        .collect()
}

fn log_start(settings: &Settings, boot_id: u64) {
    log::info!(
        "event=start node={} boot={boot_id} public={} back={}",
        settings.label,
        settings.public_addr,
        settings.back
    );
}

/// The flag that the termination signal sets. Without staged upgrades there is no leadership to hand over, so the
/// signal keeps its default action and ends the process at once.
fn stop_flag(operator: &Operator) -> Result<Arc<AtomicBool>, DaemonError> {
    let stop_requested = Arc::new(AtomicBool::new(false));
    if operator.rollout.is_some() {
        signal_hook::flag::register(SIGTERM, Arc::clone(&stop_requested))
            .map_err(DaemonError::SignalHandler)?;
    }
    Ok(stop_requested)
}
