//! Start of the process: listeners, addresses, signal handler and the node.

use super::clock::{stopwatch_us, ProcessClock};
use super::outputs::ServiceAddresses;
use super::routing::{FIRST_CONNECTION_KEY, PEER_LISTENER_KEY, PUBLIC_LISTENER_KEY};
use super::{Daemon, DaemonError, PendingInputs};
use crate::clients::Clients;
use crate::net::{KeySequence, Listener};
use crate::peer_links::{PeerAddress, PeerLinks};
use crate::servers::Servers;
use control::{Node, Operator, Settings};
use polling::Poller;
use signal_hook::consts::SIGTERM;
use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;

/// Low bits that are dropped from the random number of a process: 52 bits remain.
const BOOT_DROPPED_BITS: u32 = 12;

/// Runs a controller until it is killed, or has stopped as asked.
pub fn run(settings: Settings, operator: Operator) -> Result<(), DaemonError> {
    Daemon::start(settings, operator)?.serve()
}

impl Daemon {
    fn start(settings: Settings, operator: Operator) -> Result<Self, DaemonError> {
        let poller = Poller::new().map_err(DaemonError::CreatePoller)?;
        let max_connections = settings.deployment.quota.max_connections;
        // When a leader fails, all workers connect anew within a second or two.
        let backlog = max_connections as i32;
        let public_listener = listen(&poller, &settings.public_addr, PUBLIC_LISTENER_KEY, backlog)?;
        let peer_listener = listen(&poller, &settings.back, PEER_LISTENER_KEY, backlog)?;
        let peers = PeerLinks::new(settings.label.clone(), sibling_addresses(&settings)?);
        let clock = ProcessClock::start();
        let boot = fastrand::u64(..) >> BOOT_DROPPED_BITS;
        let services = ServiceAddresses {
            state: parse_address(&settings.outside.state)?,
            cloud: parse_address(&settings.outside.cloud)?,
        };
        log_start(&settings, boot);
        let stop_requested = stop_flag(&operator)?;
        let node = Node::new(settings, operator, clock.now(), boot, stopwatch_us);
        Ok(Daemon {
            poller,
            public_listener,
            peer_listener,
            servers: Servers::new(max_connections),
            clients: Clients::default(),
            peers,
            keys: KeySequence::starting_at(FIRST_CONNECTION_KEY),
            services,
            pending: PendingInputs::default(),
            worker_reports: VecDeque::new(),
            node,
            clock,
            stop_requested,
        })
    }
}

/// Reads an address of the settings or of a worker.
pub(super) fn parse_address(text: &str) -> Result<SocketAddrV4, DaemonError> {
    text.parse()
        .map_err(|_| DaemonError::BadAddress(text.to_string()))
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

fn log_start(settings: &Settings, boot: u64) {
    log::info!(
        "event=start node={} boot={boot} public={} back={}",
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
