//! Connections between controllers. Each controller opens one to every other, and sends its messages only on that one.

use crate::net::{KeyAllocator, TcpConnection};
use constants::{CONNECT_TIMEOUT_MS, PEER_QUEUE_MAX_BYTES, PEER_RECONNECT_INTERVAL_MS};
use control::Input;
use polling::Poller;
use std::collections::HashMap;
use std::net::SocketAddrV4;
use wire::peers::{decode_frame, encode_frame, PeerMessage};

/// Connections allowed for each peer. Two are in use, one in each direction; the others allow for connections that are
/// being replaced.
const CONNECTIONS_PER_PEER: usize = 4;
/// Connections allowed in addition to those of the peers.
const EXTRA_CONNECTIONS: usize = 8;

/// A connection with a peer, opened by either side.
struct PeerConnection {
    tcp: TcpConnection,
    /// Received bytes that are not a complete frame yet.
    input: Vec<u8>,
    /// Label of the peer. An incoming connection has none until its hello message has arrived.
    label: Option<String>,
    is_connected: bool,
    /// Monotonic time.
    opened_at: u64,
}

/// A peer to which this controller opens a connection.
struct Peer {
    label: String,
    addr: SocketAddrV4,
    /// Poller key of the outgoing connection, if there is one.
    key: Option<usize>,
    /// Monotonic time from which a new connection attempt is allowed.
    retry_at: u64,
    /// Whether the last connection had been established before it ended.
    was_connected: bool,
}

/// Another controller as the settings name it.
pub struct PeerAddress {
    /// Label of the controller.
    pub label: String,
    /// Address of its listener for peers.
    pub addr: SocketAddrV4,
}

/// Frames received on a connection.
struct ReceivedFrames {
    inputs: Vec<Input>,
    /// Whether all frames were valid. If not, the connection is closed.
    is_valid: bool,
}

/// All connections with peers.
pub struct PeerConnections {
    /// This controller's own label.
    label: String,
    /// Connections in both directions, by poller key.
    connections: HashMap<usize, PeerConnection>,
    peers: Vec<Peer>,
}

impl PeerConnections {
    /// `label` is this controller's own; `peers` are the other controllers.
    pub fn new(label: String, peers: Vec<PeerAddress>) -> Self {
        PeerConnections {
            label,
            connections: HashMap::new(),
            peers: peers.into_iter().map(Peer::new).collect(),
        }
    }

    /// Adds a connection that a peer opened.
    pub fn add_incoming(&mut self, poller: &Poller, key: usize, tcp: TcpConnection, now: u64) {
        self.add(poller, key, tcp, None, now);
    }

    /// Adds a connection: an outgoing one with the peer's label, an incoming one without a label.
    fn add(
        &mut self,
        poller: &Poller,
        key: usize,
        tcp: TcpConnection,
        label: Option<String>,
        now: u64,
    ) {
        // The number of controllers is small; connections beyond this limit do not come from controllers.
        let limit = CONNECTIONS_PER_PEER * self.peers.len() + EXTRA_CONNECTIONS;
        if self.connections.len() > limit {
            return tcp.close(poller);
        }
        let connection = PeerConnection {
            tcp,
            input: Vec::new(),
            is_connected: label.is_none(),
            label,
            opened_at: now,
        };
        self.connections.insert(key, connection);
    }

    fn close(&mut self, poller: &Poller, key: usize) {
        let mut was_connected = false;
        if let Some(connection) = self.connections.remove(&key) {
            was_connected = connection.is_connected;
            connection.tcp.close(poller);
        }
        for peer in &mut self.peers {
            if peer.key == Some(key) {
                peer.on_closed(was_connected);
            }
        }
    }

    /// Handles a poller event for one of these connections. Returns the inputs for the node.
    pub fn on_event(&mut self, poller: &Poller, key: usize, buffer: &mut [u8]) -> Vec<Input> {
        let Some(connection) = self.connections.get_mut(&key) else {
            return Vec::new();
        };
        if !connection.is_connected {
            if connection.tcp.check_connected().is_err() {
                return self.on_connect_failed(poller, key).into_iter().collect();
            }
            connection.is_connected = true;
        }
        let input = &mut connection.input;
        let is_open = connection
            .tcp
            .read_and_flush(poller, buffer, |bytes| input.extend_from_slice(bytes));
        let frames = connection.take_frames();
        if !is_open || !frames.is_valid {
            self.close(poller, key);
        }
        frames.inputs
    }

    /// Handles a failed connection attempt. Returns an input for the node if the connection before the attempt was
    /// established: the peer's process has then probably ended.
    fn on_connect_failed(&mut self, poller: &Poller, key: usize) -> Option<Input> {
        let ended = self
            .peers
            .iter()
            .find(|peer| peer.key == Some(key) && peer.was_connected);
        let label = ended.map(|peer| peer.label.clone());
        self.close(poller, key);
        label.map(|from| Input::PeerConnectionRefused { from })
    }

    /// Opens the connections that are missing, and closes those that make no progress.
    pub fn tick(&mut self, poller: &Poller, keys: &mut KeyAllocator, now: u64) {
        for index in 0..self.peers.len() {
            if let Some(key) = self.peers[index].key {
                if self.is_stalled(key, now) {
                    self.close(poller, key);
                }
            } else if now >= self.peers[index].retry_at {
                self.connect(index, poller, keys, now);
            }
        }
    }

    fn is_stalled(&self, key: usize, now: u64) -> bool {
        self.connections
            .get(&key)
            .is_none_or(|connection| connection.is_stalled(now))
    }

    /// Starts to connect to the peer with an index.
    fn connect(&mut self, index: usize, poller: &Poller, keys: &mut KeyAllocator, now: u64) {
        let peer = &mut self.peers[index];
        peer.retry_at = now + PEER_RECONNECT_INTERVAL_MS;
        let key = keys.allocate();
        let Ok(mut tcp) = TcpConnection::connect(poller, peer.addr, key) else {
            return;
        };
        peer.key = Some(key);
        let label = peer.label.clone();
        let node = self.label.clone();
        encode_frame(tcp.output_buffer(), &PeerMessage::Hello { node });
        self.add(poller, key, tcp, Some(label), now);
    }

    /// Sends a message to the peer with the label `to`, or to all peers.
    pub fn send(&mut self, poller: &Poller, to: Option<&str>, message: &PeerMessage) {
        let mut frame = Vec::new();
        encode_frame(&mut frame, message);
        let recipients = self
            .peers
            .iter()
            .filter(|peer| to.is_none_or(|label| label == peer.label));
        let keys: Vec<usize> = recipients.filter_map(|peer| peer.key).collect();
        for key in keys {
            let Some(connection) = self.connections.get_mut(&key) else {
                continue;
            };
            if connection.send(poller, &frame).is_err() {
                self.close(poller, key);
            }
        }
    }
}

impl Peer {
    fn new(address: PeerAddress) -> Self {
        Peer {
            label: address.label,
            addr: address.addr,
            key: None,
            retry_at: 0,
            was_connected: false,
        }
    }

    /// Records that the outgoing connection has ended.
    fn on_closed(&mut self, was_connected: bool) {
        self.key = None;
        self.was_connected = was_connected;
        if was_connected {
            // Reconnect at once, to find out whether the peer's process still exists.
            self.retry_at = 0;
        }
    }
}

impl PeerConnection {
    /// Whether the connection attempt has timed out, or the peer reads too slowly.
    fn is_stalled(&self, now: u64) -> bool {
        let is_overdue = !self.is_connected && now > self.opened_at + CONNECT_TIMEOUT_MS;
        is_overdue || self.tcp.unwritten_bytes() > PEER_QUEUE_MAX_BYTES
    }

    /// Appends a frame to the output, and writes it if the connection is established.
    fn send(&mut self, poller: &Poller, frame: &[u8]) -> std::io::Result<()> {
        self.tcp.output_buffer().extend_from_slice(frame);
        if self.is_connected {
            self.tcp.flush(poller)?;
        }
        Ok(())
    }

    /// Removes all complete frames from the received bytes and decodes them.
    fn take_frames(&mut self) -> ReceivedFrames {
        let mut inputs = Vec::new();
        let mut is_valid = true;
        loop {
            match decode_frame(&mut self.input) {
                Ok(Some(PeerMessage::Hello { node })) => self.label = Some(node),
                Ok(Some(message)) => match self.label.clone() {
                    Some(from) => inputs.push(Input::Peer { from, message }),
                    None => is_valid = false,
                },
                Ok(None) => return ReceivedFrames { inputs, is_valid },
                Err(error) => {
                    log::info!("event=peer_bad_frame why={error}");
                    is_valid = false;
                    return ReceivedFrames { inputs, is_valid };
                }
            }
        }
    }
}
