//! Connections between controllers: each opens one to every other, and speaks on that one.

use crate::net::{Conn, KeySequence};
use constants::{CONNECT_TIMEOUT_MS, PEER_BACKLOG, PEER_RETRY_MS};
use control::Input;
use polling::Poller;
use std::collections::HashMap;
use std::net::SocketAddrV4;
use wire::peers::{decode_frame, encode_frame, PeerMessage};

/// A connection with a peer, in the direction it was opened.
struct PeerLink {
    conn: Conn,
    inbox: Vec<u8>,
    /// Label; of an incoming connection once it has said hello.
    label: Option<String>,
    connected: bool,
    opened_at: u64,
}

/// A peer we open a connection to.
struct Peer {
    label: String,
    addr: SocketAddrV4,
    /// Of the connection, if there is one.
    key: Option<usize>,
    retry_at: u64,
    /// It was connected when its connection broke.
    broke: bool,
}

/// All connections with peers.
pub struct PeerLinks {
    /// Our own label.
    label: String,
    links: HashMap<usize, PeerLink>,
    peers: Vec<Peer>,
}

impl PeerLinks {
    /// `label` is our own; `peers` are the labels and addresses of the others.
    pub fn new(label: String, peers: Vec<(String, SocketAddrV4)>) -> Self {
        let peer = |(label, addr)| Peer {
            label,
            addr,
            key: None,
            retry_at: 0,
            broke: false,
        };
        PeerLinks {
            label,
            links: HashMap::new(),
            peers: peers.into_iter().map(peer).collect(),
        }
    }

    /// Takes a connection that a peer opened.
    pub fn accept(&mut self, poller: &Poller, key: usize, conn: Conn, now: u64) {
        self.add(poller, key, conn, None, now);
    }

    fn add(&mut self, poller: &Poller, key: usize, conn: Conn, label: Option<String>, now: u64) {
        // Few controllers exist; anything beyond that many connections is not one of them.
        if self.links.len() > 4 * self.peers.len() + 8 {
            return conn.close(poller);
        }
        let link = PeerLink {
            conn,
            inbox: Vec::new(),
            // An incoming connection has no label yet, and is connected.
            connected: label.is_none(),
            label,
            opened_at: now,
        };
        self.links.insert(key, link);
    }

    fn close(&mut self, poller: &Poller, key: usize) {
        let mut connected = false;
        if let Some(link) = self.links.remove(&key) {
            connected = link.connected;
            link.conn.close(poller);
        }
        for peer in self.peers.iter_mut().filter(|p| p.key == Some(key)) {
            peer.key = None;
            peer.broke = connected;
            if connected {
                // At once, to learn whether the process is still there.
                peer.retry_at = 0;
            }
        }
    }

    /// Something can be read or written; returns what that means for the node.
    pub fn on_event(&mut self, poller: &Poller, key: usize, buf: &mut [u8]) -> Vec<Input> {
        let Some(link) = self.links.get_mut(&key) else {
            return Vec::new();
        };
        if !link.connected {
            if link.conn.connected().is_err() {
                return self.on_refused(poller, key).into_iter().collect();
            }
            link.connected = true;
        }
        let inbox = &mut link.inbox;
        let open = link.conn.read(buf, |bytes| inbox.extend_from_slice(bytes));
        let flushed = link.conn.flush(poller);
        let (messages, valid) = read_frames(link);
        if flushed.is_err() || !matches!(open, Ok(true)) || !valid {
            self.close(poller, key);
        }
        messages
    }

    /// A connection attempt failed. If the peer was connected until then, its process is likely gone.
    fn on_refused(&mut self, poller: &Poller, key: usize) -> Option<Input> {
        let gone = self.peers.iter().find(|p| p.key == Some(key) && p.broke);
        let from = gone.map(|p| p.label.clone());
        self.close(poller, key);
        from.map(|from| Input::PeerRefuses { from })
    }

    /// Keeps a connection open to each peer.
    pub fn tick(&mut self, poller: &Poller, keys: &mut KeySequence, now: u64) {
        for i in 0..self.peers.len() {
            if let Some(key) = self.peers[i].key {
                if self.is_stuck(key, now) {
                    self.close(poller, key);
                }
            } else if now >= self.peers[i].retry_at {
                self.connect(i, poller, keys, now);
            }
        }
    }

    fn is_stuck(&self, key: usize, now: u64) -> bool {
        self.links.get(&key).is_none_or(|link| {
            (!link.connected && now > link.opened_at + CONNECT_TIMEOUT_MS)
                || link.conn.backlog() > PEER_BACKLOG
        })
    }

    fn connect(&mut self, peer: usize, poller: &Poller, keys: &mut KeySequence, now: u64) {
        self.peers[peer].retry_at = now + PEER_RETRY_MS;
        let key = keys.take();
        let Ok(mut conn) = Conn::connect(poller, self.peers[peer].addr, key) else {
            return;
        };
        let node = self.label.clone();
        encode_frame(conn.out(), &PeerMessage::Hello { node });
        let label = self.peers[peer].label.clone();
        self.add(poller, key, conn, Some(label), now);
        self.peers[peer].key = Some(key);
    }

    /// Sends a message to a peer, or to all.
    pub fn send(&mut self, poller: &Poller, to: Option<&str>, message: &PeerMessage) {
        let mut frame = Vec::new();
        encode_frame(&mut frame, message);
        let receivers = self.peers.iter();
        let receivers = receivers.filter(|p| to.is_none_or(|label| label == p.label));
        let keys: Vec<usize> = receivers.filter_map(|p| p.key).collect();
        for key in keys {
            let Some(link) = self.links.get_mut(&key) else {
                continue;
            };
            link.conn.out().extend_from_slice(&frame);
            if link.connected && link.conn.flush(poller).is_err() {
                self.close(poller, key);
            }
        }
    }
}

/// The whole messages that a link has received, and whether all of them were as they should be.
fn read_frames(link: &mut PeerLink) -> (Vec<Input>, bool) {
    let mut messages = Vec::new();
    let mut valid = true;
    loop {
        match decode_frame(&mut link.inbox) {
            Ok(Some(PeerMessage::Hello { node })) => link.label = Some(node),
            Ok(Some(message)) => match link.label.clone() {
                Some(from) => messages.push(Input::Peer { from, message }),
                None => valid = false,
            },
            Ok(None) => return (messages, valid),
            Err(why) => {
                log::info!("event=peer_bad_frame why={why}");
                return (messages, false);
            }
        }
    }
}
