//! What this node knows of the other controllers from their heartbeats.

mod cancellations;

use cancellations::ConfirmedCancellations;
use constants::PEER_HEARTBEAT_FRESH_MS;
use std::collections::BTreeMap;

/// The last heartbeat of a peer.
#[derive(Debug, Clone, Default)]
pub(crate) struct PeerHeartbeat {
    /// When it was received; 0 if none has been received.
    pub received_at: u64,
    /// Milliseconds between the last successful reply of the state service to the peer and the
    /// sending of the heartbeat.
    pub state_ago_ms: u64,
    /// Milliseconds between the last heartbeat that a worker sent directly to the peer and the
    /// sending of this heartbeat.
    pub worker_ago_ms: Option<u64>,
    /// The peer's clock when the heartbeat was sent.
    pub sent_clock: u64,
    /// A time on this node's clock that is certainly before the heartbeat was sent. The peer echoes
    /// it because heartbeats may be delayed in transit. As received, it includes this process's
    /// clock offset.
    pub echoed_clock: u64,
    /// Random number that identifies the peer's process.
    pub boot: u64,
    /// Number of cancellations that the peer's process had confirmed.
    pub cancellation_count: u64,
}

impl PeerHeartbeat {
    /// Returns whether the peer reaches the state service.
    fn reaches_state(&self) -> bool {
        self.state_ago_ms < PEER_HEARTBEAT_FRESH_MS
    }

    /// Returns whether a worker recently sent a heartbeat directly to the peer.
    fn is_reached_by_workers(&self) -> bool {
        self.worker_ago_ms
            .is_some_and(|ms| ms < PEER_HEARTBEAT_FRESH_MS)
    }
}

/// The peers, by label.
#[derive(Default)]
pub(crate) struct Peers {
    heartbeats: BTreeMap<String, PeerHeartbeat>,
    cancellations: BTreeMap<String, ConfirmedCancellations>,
    /// Offset that this process adds to its clock in heartbeats.
    clock_offset: u64,
}

impl Peers {
    /// Creates peers from which nothing has been received yet. `clock_offset` is added to this
    /// process's clock in heartbeats.
    pub fn new(labels: impl Iterator<Item = String>, clock_offset: u64) -> Self {
        Peers {
            heartbeats: labels
                .map(|label| (label, PeerHeartbeat::default()))
                .collect(),
            cancellations: BTreeMap::new(),
            clock_offset,
        }
    }

    /// Handles a heartbeat.
    pub fn on_heartbeat(&mut self, from: &str, heartbeat: PeerHeartbeat) {
        let Some(peer) = self.heartbeats.get_mut(from) else {
            return;
        };
        let cancellations = self.cancellations.entry(from.to_string()).or_default();
        cancellations.on_heartbeat(&heartbeat);
        // An echo of a time that an earlier process of this node sent refers to that process's
        // clock and proves nothing.
        let echo = heartbeat
            .echoed_clock
            .checked_sub(self.clock_offset)
            .filter(|at| *at <= heartbeat.received_at);
        *peer = PeerHeartbeat {
            echoed_clock: echo.unwrap_or(0),
            ..heartbeat
        };
    }

    /// Handles a peer's notice of a cancellation that it is about to confirm.
    pub fn on_cancellation_notice(&mut self, from: &str, number: u64) {
        if let Some(cancellations) = self.cancellations.get_mut(from) {
            cancellations.on_notice(number);
        }
    }

    /// Returns the number that identifies a peer's process, if its heartbeats are recent.
    pub fn live_process(&self, label: &str, now: u64) -> Option<u64> {
        self.recent_peer(label, now).map(|peer| peer.boot)
    }

    /// Returns the peers' labels, each with the peer's clock in its last heartbeat.
    pub fn peer_clocks(&self) -> impl Iterator<Item = (&String, u64)> {
        self.heartbeats
            .iter()
            .map(|(label, peer)| (label, peer.sent_clock))
    }

    /// Returns the peers whose heartbeats are recent.
    fn recent_peers(&self, now: u64) -> impl Iterator<Item = (&str, &PeerHeartbeat)> {
        self.heartbeats
            .iter()
            .filter(move |(_, peer)| {
                peer.received_at > 0 && now < peer.received_at + PEER_HEARTBEAT_FRESH_MS
            })
            .map(|(label, peer)| (label.as_str(), peer))
    }

    /// Returns a peer if its heartbeats are recent.
    fn recent_peer(&self, label: &str, now: u64) -> Option<&PeerHeartbeat> {
        self.recent_peers(now)
            .find(|(peer_label, _)| *peer_label == label)
            .map(|(_, peer)| peer)
    }

    /// Returns when the last heartbeat of any peer was received, or `None` if there are no peers.
    pub fn last_heartbeat_at(&self) -> Option<u64> {
        self.heartbeats.values().map(|peer| peer.received_at).max()
    }

    /// Returns the peer that the state service answered most recently, if any peer reaches it.
    pub fn peer_reaching_state(&self, now: u64) -> Option<&str> {
        self.recent_peers(now)
            .filter(|(_, peer)| peer.reaches_state())
            .min_by_key(|(_, peer)| peer.state_ago_ms)
            .map(|(label, _)| label)
    }

    /// Returns all peers that reach the state service.
    pub fn peers_reaching_state(&self, now: u64) -> impl Iterator<Item = &str> {
        self.recent_peers(now)
            .filter(|(_, peer)| peer.reaches_state())
            .map(|(label, _)| label)
    }

    /// Returns up to when this node knows every cancellation that peers confirmed. All
    /// cancellations up to `read_sent_at` are known from the records, where `read_sent_at` is when
    /// the read of the records was sent.
    ///
    /// Notices and heartbeats of a process arrive in order. A heartbeat therefore proves that all
    /// notices sent before it have arrived, provided that none has been missed since before
    /// `read_sent_at`.
    pub fn cancellations_known_until(&self, read_sent_at: u64) -> u64 {
        let known_until = |(label, peer): (&String, &PeerHeartbeat)| {
            let cancellations = self.cancellations.get(label);
            match cancellations.is_some_and(|c| c.are_complete_since(read_sent_at)) {
                true => peer.echoed_clock,
                false => 0,
            }
        };
        let all_known_until = self.heartbeats.iter().map(known_until).min();
        all_known_until.map_or(read_sent_at, |until| until.max(read_sent_at))
    }

    /// Returns whether a peer is alive but has received no heartbeat directly from a worker for
    /// `ms` milliseconds.
    pub fn is_unreached_by_workers(&self, label: &str, ms: u64, now: u64) -> bool {
        self.recent_peer(label, now)
            .is_some_and(|peer| peer.worker_ago_ms.is_none_or(|ago_ms| ago_ms > ms))
    }

    /// Returns whether a worker recently sent a heartbeat directly to any peer.
    pub fn workers_reach_any_peer(&self, now: u64) -> bool {
        self.recent_peers(now)
            .any(|(_, peer)| peer.is_reached_by_workers())
    }
}

#[cfg(test)]
mod tests;
