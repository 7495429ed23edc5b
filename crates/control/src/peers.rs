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
    /// Our clock at a moment that certainly came before that beat was sent (beats may be held up on the way). In a beat
    /// as it comes: that with what this process adds to it.
    pub echo: u64,
    /// Its process.
    pub boot: u64,
    /// Cancellations it had confirmed.
    pub aborts: u64,
}

/// Cancellations heard from a peer's process, without a gap since a moment of ours.
#[derive(Debug, Clone, Copy, Default)]
struct ReportOutcome {
    boot: u64,
    aborts: u64,
    since: u64,
}

/// Beats of the peers.
#[derive(Default)]
pub(crate) struct Peers {
    known: BTreeMap<String, PeerState>,
    heard: BTreeMap<String, ReportOutcome>,
    /// What this process adds to its clock in beats.
    base: u64,
}

impl Peers {
    pub fn new(labels: impl Iterator<Item = String>, base: u64) -> Self {
        Peers {
            known: labels.map(|l| (l, PeerState::default())).collect(),
            heard: BTreeMap::new(),
            base,
        }
    }

    pub fn on_heartbeat(&mut self, from: &str, beat: PeerState) {
        let Some(p) = self.known.get_mut(from) else {
            return;
        };
        let heard = self.heard.entry(from.to_string()).or_default();
        if heard.boot != beat.boot || heard.aborts != beat.aborts {
            // Another process, or a notice went missing with a broken connection: count anew from here.
            let (boot, aborts, since) = (beat.boot, beat.aborts, beat.at);
            *heard = ReportOutcome {
                boot,
                aborts,
                since,
            };
        }
        // An echo of what an earlier process of ours sent would vouch for a time that its clock named, not ours.
        let echo = beat.echo.checked_sub(self.base).filter(|at| *at <= beat.at);
        *p = PeerState {
            echo: echo.unwrap_or(0),
            ..beat
        };
    }

    /// A peer told of a cancellation it is about to confirm.
    pub fn on_abort(&mut self, from: &str, number: u64) {
        if let Some(heard) = self.heard.get_mut(from) {
            if number == heard.aborts + 1 {
                heard.aborts = number;
            }
        }
    }

    /// The process of a peer, if its heartbeats are recent.
    pub fn process_of(&self, label: &str, now: u64) -> Option<u64> {
        let mut fresh = self.fresh(now);
        fresh.find(|(l, _)| *l == label).map(|(_, peer)| peer.boot)
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

    /// Moment of the last heartbeat of any peer. Nothing where there are no peers.
    pub fn last_heard(&self) -> Option<u64> {
        self.known.values().map(|p| p.at).max()
    }

    /// A peer that the state service answers.
    pub fn with_state(&self, now: u64) -> Option<&str> {
        self.fresh(now)
            .filter(|(_, p)| p.state_ago_ms < PEER_FRESH_MS)
            .min_by_key(|(_, p)| p.state_ago_ms)
            .map(|(l, _)| l.as_str())
    }

    /// All peers that the state service answers.
    pub fn all_with_state(&self, now: u64) -> impl Iterator<Item = &str> {
        self.fresh(now)
            .filter(|(_, p)| p.state_ago_ms < PEER_FRESH_MS)
            .map(|(label, _)| label.as_str())
    }

    /// Until when every cancellation confirmed by a peer is known here, given that all up to `read` are (by our own
    /// reading of the records, dated by when it was sent). Notices and beats of a process come in order, so a beat
    /// vouches for the time it was sent, if no notice has been missed since before `read`.
    pub fn aborts_known_until(&self, read: u64) -> u64 {
        let mut until = u64::MAX;
        for (label, p) in &self.known {
            let whole = self
                .heard
                .get(label)
                .is_some_and(|h| h.since > 0 && h.since <= read);
            until = until.min(if whole { p.echo } else { 0 });
        }
        if self.known.is_empty() {
            return read;
        }
        until.max(read)
    }

    /// Whether a peer lives but no worker has reached it directly for `ms`.
    pub fn is_unreached_by_workers(&self, label: &str, ms: u64, now: u64) -> bool {
        let mut fresh = self.fresh(now);
        let peer = fresh.find(|(l, _)| l.as_str() == label);
        peer.is_some_and(|(_, p)| p.worker_ago_ms.is_none_or(|ago| ago > ms))
    }

    /// Whether a peer heard a worker within the last moments.
    pub fn hear_workers(&self, now: u64) -> bool {
        self.fresh(now)
            .any(|(_, p)| p.worker_ago_ms.is_some_and(|ms| ms < PEER_FRESH_MS))
    }
}

#[cfg(test)]
mod tests;
