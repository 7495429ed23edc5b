//! Connections between controllers. Each controller opens one to every other and sends its messages on that one.

use crate::net::{Connection, KeySequence};
use constants::{CONNECT_TIMEOUT_MS, PEER_BACKLOG, PEER_RETRY_MS};
use control::Input;
use polling::Poller;
use std::collections::HashMap;
use std::net::SocketAddrV4;
use wire::peers::{decode_frame, encode_frame, PeerMessage};

/// Connections allowed for each peer. Two are in use, one in each direction; the rest allows for replaced ones.
const CONNECTIONS_A_PEER: usize = 4;
/// Connections allowed in addition to those of the peers.
const SPARE_CONNECTIONS: usize = 8;

/// A connection with a peer, in the direction in which it was opened.
struct PeerLink {
    connection: Connection,
    /// Bytes received that are not a whole frame yet.
    input: Vec<u8>,
    /// Label of the peer; of an incoming connection once it has said hello.
    label: Option<String>,
    is_connected: bool,
    opened_at: u64,
}

/// A peer to which this controller opens a connection.
struct Peer {
    label: String,
    addr: SocketAddrV4,
    /// Key of the connection, if there is one.
    key: Option<usize>,
    /// Steady clock from which a new connection may be tried.
    retry_at: u64,
    /// Whether the last connection was established when it ended.
    was_connected: bool,
}

/// A controller as the settings name it.
pub struct PeerAddress {
    /// Label.
    pub label: String,
    /// Address of its listener for peers.
    pub addr: SocketAddrV4,
}

/// Frames that a connection has yielded.
struct ReceivedFrames {
    inputs: Vec<Input>,
    /// Whether all frames could be read. If not, the connection is of no further use.
    is_valid: bool,
}

/// All connections with peers.
pub struct PeerLinks {
    /// This controller's own label.
    label: String,
    links: HashMap<usize, PeerLink>,
    peers: Vec<Peer>,
}

impl PeerLinks {
    /// `label` is this controller's own; `peers` are the other controllers.
    pub fn new(label: String, peers: Vec<PeerAddress>) -> Self {
        PeerLinks {
            label,
            links: HashMap::new(),
            peers: peers.into_iter().map(Peer::new).collect(),
        }
    }

    /// Adds a connection that a peer opened.
    pub fn accept(&mut self, poller: &Poller, key: usize, connection: Connection, now: u64) {
        self.add(poller, key, connection, None, now);
    }

    /// Adds a connection: an outgoing one with the peer's label, an incoming one without.
    fn add(
        &mut self,
        poller: &Poller,
        key: usize,
        connection: Connection,
        label: Option<String>,
        now: u64,
    ) {
        // Few controllers exist: more connections than that do not come from them.
        if self.links.len() > CONNECTIONS_A_PEER * self.peers.len() + SPARE_CONNECTIONS {
            return connection.close(poller);
        }
        let link = PeerLink {
            connection,
            input: Vec::new(),
            is_connected: label.is_none(),
            label,
            opened_at: now,
        };
        self.links.insert(key, link);
    }

    fn close(&mut self, poller: &Poller, key: usize) {
        let mut was_connected = false;
        if let Some(link) = self.links.remove(&key) {
            was_connected = link.is_connected;
            link.connection.close(poller);
        }
        for peer in &mut self.peers {
            if peer.key == Some(key) {
                peer.on_closed(was_connected);
            }
        }
    }

    /// Handles an event of the poller for one of these connections; returns the inputs for the node.
    pub fn on_event(&mut self, poller: &Poller, key: usize, buffer: &mut [u8]) -> Vec<Input> {
        let Some(link) = self.links.get_mut(&key) else {
            return Vec::new();
        };
        if !link.is_connected {
            if link.connection.check_connected().is_err() {
                return self.on_refused(poller, key).into_iter().collect();
            }
            link.is_connected = true;
        }
        let input = &mut link.input;
        let is_open = link
            .connection
            .exchange(poller, buffer, |bytes| input.extend_from_slice(bytes));
        let frames = link.read_frames();
        if !is_open || !frames.is_valid {
            self.close(poller, key);
        }
        frames.inputs
    }

    /// Handles a failed connection attempt. If the peer was connected until then, its process has probably ended.
    fn on_refused(&mut self, poller: &Poller, key: usize) -> Option<Input> {
        let ended = self
            .peers
            .iter()
            .find(|peer| peer.key == Some(key) && peer.was_connected);
        let label = ended.map(|peer| peer.label.clone());
        self.close(poller, key);
        label.map(|from| Input::PeerConnectionRefused { from })
    }

    /// Opens the connections that are missing, and closes those that make no progress.
    pub fn tick(&mut self, poller: &Poller, keys: &mut KeySequence, now: u64) {
        for index in 0..self.peers.len() {
            if let Some(key) = self.peers[index].key {
                if self.is_stuck(key, now) {
                    self.close(poller, key);
                }
            } else if now >= self.peers[index].retry_at {
                self.connect(index, poller, keys, now);
            }
        }
    }

    fn is_stuck(&self, key: usize, now: u64) -> bool {
        self.links.get(&key).is_none_or(|link| link.is_stuck(now))
    }

    /// Starts to connect to a peer, given by its index.
    fn connect(&mut self, index: usize, poller: &Poller, keys: &mut KeySequence, now: u64) {
        let peer = &mut self.peers[index];
        peer.retry_at = now + PEER_RETRY_MS;
        let key = keys.take();
        let Ok(mut connection) = Connection::connect(poller, peer.addr, key) else {
            return;
        };
        peer.key = Some(key);
        let label = peer.label.clone();
        let node = self.label.clone();
        encode_frame(connection.output(), &PeerMessage::Hello { node });
        self.add(poller, key, connection, Some(label), now);
    }

    /// Sends a message to the peer with the label `to`, or to all peers.
    pub fn send(&mut self, poller: &Poller, to: Option<&str>, message: &PeerMessage) {
        let mut frame = Vec::new();
        encode_frame(&mut frame, message);
        let receivers = self
            .peers
            .iter()
            .filter(|peer| to.is_none_or(|label| label == peer.label));
        let keys: Vec<usize> = receivers.filter_map(|peer| peer.key).collect();
        for key in keys {
            let Some(link) = self.links.get_mut(&key) else {
                continue;
            };
            if link.send(poller, &frame).is_err() {
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

    /// Takes note that its connection has ended.
    fn on_closed(&mut self, was_connected: bool) {
        self.key = None;
        self.was_connected = was_connected;
        if was_connected {
            // Retry at once, to learn whether the process still exists.
            self.retry_at = 0;
        }
    }
}

impl PeerLink {
    /// Whether the connection attempt takes too long, or the peer reads too slowly.
    fn is_stuck(&self, now: u64) -> bool {
        let is_overdue = !self.is_connected && now > self.opened_at + CONNECT_TIMEOUT_MS;
        is_overdue || self.connection.backlog() > PEER_BACKLOG
    }

    /// Appends a frame to the output, and writes it if the connection is established.
    fn send(&mut self, poller: &Poller, frame: &[u8]) -> std::io::Result<()> {
        self.connection.output().extend_from_slice(frame);
        if self.is_connected {
            self.connection.flush(poller)?;
        }
        Ok(())
    }

    /// Takes all whole frames from the received bytes.
    fn read_frames(&mut self) -> ReceivedFrames {
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
                Err(why) => {
                    log::info!("event=peer_bad_frame why={why}");
                    is_valid = false;
                    return ReceivedFrames { inputs, is_valid };
                }
            }
        }
    }
}
