//! What is known of the other controllers.

use constants::PEER_FRESH_MS;
use std::collections::BTreeMap;

#[derive(Debug, Clone, Default)]
pub(crate) struct PeerState {
    /// When its last beat arrived.
    pub at: u64,
    /// Milliseconds since the state service had answered it well, at that moment.
    pub state_ago_ms: u64,
    /// Milliseconds since a worker had asked it, at that moment.
    pub worker_ago_ms: Option<u64>,
    /// The peer's clock when it sent that beat.
    pub sent: u64,
    /// Our clock at a moment that certainly came before that beat was sent (beats may be held up on the way).
    pub echo: u64,
}

/// Beats of the peers.
#[derive(Default)]
pub(crate) struct Peers {
    known: BTreeMap<String, PeerState>,
}

impl Peers {
    pub fn new(labels: impl Iterator<Item = String>) -> Self {
        Peers {
            known: labels.map(|l| (l, PeerState::default())).collect(),
        }
    }

    pub fn on_beat(&mut self, from: &str, beat: PeerState) {
        if let Some(p) = self.known.get_mut(from) {
            *p = beat;
        }
    }

    /// Labels, with the clock of each one's last beat.
    pub fn echoes(&self) -> impl Iterator<Item = (&String, u64)> {
        self.known.iter().map(|(l, p)| (l, p.sent))
    }

    fn fresh(&self, now: u64) -> impl Iterator<Item = (&String, &PeerState)> {
        self.known
            .iter()
            .filter(move |(_, p)| p.at > 0 && now < p.at + PEER_FRESH_MS)
    }

    /// A peer that the state service answers.
    pub fn with_state(&self, now: u64) -> Option<&str> {
        self.fresh(now)
            .filter(|(_, p)| p.state_ago_ms < PEER_FRESH_MS)
            .min_by_key(|(_, p)| p.state_ago_ms)
            .map(|(l, _)| l.as_str())
    }

    /// Until when it is known that no peer was answered by the state service after `mark`: abort requests that
    /// peers confirmed later than that can't be excluded.
    pub fn no_state_until(&self, mark: u64) -> Option<u64> {
        let mut until = u64::MAX;
        for p in self.known.values() {
            // The latest moment at which its last good answer can have come.
            let last_good = p.at.saturating_sub(p.state_ago_ms);
            if p.at == 0 || last_good > mark {
                return None;
            }
            until = until.min(p.echo);
        }
        Some(until)
    }

    /// Whether a peer heard a worker within the last moments.
    pub fn hear_workers(&self, now: u64) -> bool {
        self.fresh(now)
            .any(|(_, p)| p.worker_ago_ms.is_some_and(|ms| ms < PEER_FRESH_MS))
    }
}
