//! What is known of the other controllers from their heartbeats.

mod cancellations;

use cancellations::ConfirmedCancellations;
use constants::PEER_HEARTBEAT_FRESH_MS;
use std::collections::BTreeMap;

/// A peer's last heartbeat.
#[derive(Debug, Clone, Default)]
pub(crate) struct PeerHeartbeat {
    /// When it arrived; 0 if there has been none.
    pub at: u64,
    /// Milliseconds since the state service had answered the peer well, when it was sent.
    pub state_ago_ms: u64,
    /// Milliseconds since a worker had reported to the peer directly, when it was sent.
    pub worker_ago_ms: Option<u64>,
    /// The peer's clock when it was sent.
    pub sent: u64,
    /// A moment on our clock that certainly came before the heartbeat was sent, since heartbeats may be delayed on the
    /// way. As received, it includes what this process adds to its clock.
    pub echo: u64,
    /// Number of the peer's process.
    pub boot: u64,
    /// How many cancellations that process had confirmed.
    pub aborts: u64,
}

impl PeerHeartbeat {
    /// Whether the state service answers the peer.
    fn reaches_state(&self) -> bool {
        self.state_ago_ms < PEER_HEARTBEAT_FRESH_MS
    }

    /// Whether a worker reported to the peer directly in the last moments.
    fn is_reached_by_workers(&self) -> bool {
        self.worker_ago_ms
            .is_some_and(|ms| ms < PEER_HEARTBEAT_FRESH_MS)
    }
}

/// The peers, by label.
#[derive(Default)]
pub(crate) struct Peers {
    known: BTreeMap<String, PeerHeartbeat>,
    cancellations: BTreeMap<String, ConfirmedCancellations>,
    /// What this process adds to its clock in heartbeats.
    clock_base: u64,
}

impl Peers {
    /// Peers that have not been heard yet. `clock_base` is what this process adds to its clock in heartbeats.
    pub fn new(labels: impl Iterator<Item = String>, clock_base: u64) -> Self {
        Peers {
            known: labels
                .map(|label| (label, PeerHeartbeat::default()))
                .collect(),
            cancellations: BTreeMap::new(),
            clock_base,
        }
    }

    /// Handles a heartbeat.
    pub fn on_heartbeat(&mut self, from: &str, heartbeat: PeerHeartbeat) {
        let Some(peer) = self.known.get_mut(from) else {
            return;
        };
        let cancellations = self.cancellations.entry(from.to_string()).or_default();
        cancellations.on_heartbeat(&heartbeat);
        // An echo of what an earlier process of ours sent names a time on that process's clock, so it proves nothing.
        let echo = heartbeat
            .echo
            .checked_sub(self.clock_base)
            .filter(|at| *at <= heartbeat.at);
        *peer = PeerHeartbeat {
            echo: echo.unwrap_or(0),
            ..heartbeat
        };
    }

    /// Handles a peer's notice of a cancellation that it is about to confirm.
    pub fn on_abort(&mut self, from: &str, number: u64) {
        if let Some(cancellations) = self.cancellations.get_mut(from) {
            cancellations.on_notice(number);
        }
    }

    /// Number of a peer's process, if its heartbeats are recent.
    pub fn process_of(&self, label: &str, now: u64) -> Option<u64> {
        self.recent_peer(label, now).map(|peer| peer.boot)
    }

    /// Labels, with the clock of each peer's last heartbeat.
    pub fn echoes(&self) -> impl Iterator<Item = (&String, u64)> {
        self.known.iter().map(|(label, peer)| (label, peer.sent))
    }

    /// Peers whose heartbeats are recent.
    fn recent_peers(&self, now: u64) -> impl Iterator<Item = (&str, &PeerHeartbeat)> {
        self.known
            .iter()
            .filter(move |(_, peer)| peer.at > 0 && now < peer.at + PEER_HEARTBEAT_FRESH_MS)
            .map(|(label, peer)| (label.as_str(), peer))
    }

    /// A peer, if its heartbeats are recent.
    fn recent_peer(&self, label: &str, now: u64) -> Option<&PeerHeartbeat> {
        self.recent_peers(now)
            .find(|(peer_label, _)| *peer_label == label)
            .map(|(_, peer)| peer)
    }

    /// When the last heartbeat of any peer arrived. `None` where there are no peers.
    pub fn last_contact(&self) -> Option<u64> {
        self.known.values().map(|peer| peer.at).max()
    }

    /// The peer that the state service answered last, if it answers any.
    pub fn with_state(&self, now: u64) -> Option<&str> {
        self.recent_peers(now)
            .filter(|(_, peer)| peer.reaches_state())
            .min_by_key(|(_, peer)| peer.state_ago_ms)
            .map(|(label, _)| label)
    }

    /// All peers that the state service answers.
    pub fn all_with_state(&self, now: u64) -> impl Iterator<Item = &str> {
        self.recent_peers(now)
            .filter(|(_, peer)| peer.reaches_state())
            .map(|(label, _)| label)
    }

    /// Until when every cancellation confirmed by a peer is known here, given that all up to `read` are known from the
    /// records, where `read` is when that read was sent.
    ///
    /// Notices and heartbeats of a process arrive in order. So a heartbeat proves that all notices up to the time it
    /// was sent have arrived, if none has been missed since before `read`.
    pub fn cancellations_known_until(&self, read: u64) -> u64 {
        let known_until = |(label, peer): (&String, &PeerHeartbeat)| {
            let cancellations = self.cancellations.get(label);
            match cancellations.is_some_and(|c| c.are_complete_since(read)) {
                true => peer.echo,
                false => 0,
            }
        };
        let all_known_until = self.known.iter().map(known_until).min();
        all_known_until.map_or(read, |until| until.max(read))
    }

    /// Whether a peer is alive but no worker has reported to it directly for `ms`.
    pub fn is_unreached_by_workers(&self, label: &str, ms: u64, now: u64) -> bool {
        self.recent_peer(label, now)
            .is_some_and(|peer| peer.worker_ago_ms.is_none_or(|ago_ms| ago_ms > ms))
    }

    /// Whether a worker reported directly to any peer in the last moments.
    pub fn are_reached_by_workers(&self, now: u64) -> bool {
        self.recent_peers(now)
            .any(|(_, peer)| peer.is_reached_by_workers())
    }
}

#[cfg(test)]
mod tests;
