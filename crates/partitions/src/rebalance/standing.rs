//! What is observed of controllers: which are lost, and which are overloaded.

use super::{Candidate, Rebalancer};
use constants::{
    OVERLOADED_PERMILLE, OWNER_LOST_MS, OWNER_PAUSE_MAX_MS, OWNER_PAUSE_MS, UNEVEN_PERMILLE,
    WEIGHT_CUT, WEIGHT_CUT_EVERY_MS, WEIGHT_EASE, WEIGHT_EASE_EVERY_MS, WEIGHT_LEAST,
};
use wire::partitions::ControllerLoad;

/// Times that [`OWNER_PAUSE_MS`] is doubled at most: enough to reach [`OWNER_PAUSE_MAX_MS`], few enough not to
/// overflow.
const OWNER_PAUSE_DOUBLINGS: u32 = 8;

/// What is known of a controller from earlier observations.
#[derive(Debug, Clone)]
pub(super) struct Standing {
    pub(super) weight: f64,
    /// When the weight may next be reduced.
    next_cut: u64,
    /// When the weight may next be raised.
    next_ease: u64,
    /// Until when it receives no partitions, because it was lost.
    excluded_until: u64,
    /// How often it was lost.
    losses: u32,
    is_lost: bool,
}

impl Default for Standing {
    fn default() -> Self {
        Standing {
            weight: 1.0,
            next_cut: 0,
            next_ease: 0,
            excluded_until: 0,
            losses: 0,
            is_lost: false,
        }
    }
}

impl Standing {
    /// Whether the controller receives no partitions for now.
    pub(super) fn is_excluded(&self, now: u64) -> bool {
        self.is_lost || now < self.excluded_until
    }

    /// Excludes a controller that has just been lost, for longer each time.
    fn note_presence(&mut self, is_lost: bool, now: u64) {
        if is_lost && !self.is_lost {
            let pause_ms = OWNER_PAUSE_MS << self.losses.min(OWNER_PAUSE_DOUBLINGS);
            self.losses += 1;
            self.excluded_until = now + pause_ms.min(OWNER_PAUSE_MAX_MS);
        }
        self.is_lost = is_lost;
    }

    /// Reduces the weight of an overloaded controller, and raises it slowly once the overload is over.
    fn adjust_weight(&mut self, is_overloaded: bool, is_uneven: bool, now: u64) {
        if is_overloaded && is_uneven && now >= self.next_cut {
            self.weight = (self.weight - WEIGHT_CUT).max(WEIGHT_LEAST);
            self.next_cut = now + WEIGHT_CUT_EVERY_MS;
            self.next_ease = now + WEIGHT_EASE_EVERY_MS;
        } else if !is_overloaded && now >= self.next_ease {
            self.weight = (self.weight + WEIGHT_EASE).min(1.0);
            self.next_ease = now + WEIGHT_EASE_EVERY_MS;
        }
    }
}

impl Rebalancer {
    /// Notes which controllers are lost and which are overloaded.
    pub(super) fn observe(&mut self, candidates: &[Candidate], now: u64) {
        let least = candidates.iter().map(|c| busyness(&c.load)).min();
        let least = least.unwrap_or(0);
        for candidate in candidates {
            let standing = self.standings.entry(candidate.label.clone()).or_default();
            let is_silent = now > candidate.heard_at + OWNER_LOST_MS;
            let is_lost = !candidate.is_leader && (is_silent || candidate.is_unreachable);
            standing.note_presence(is_lost, now);
            let is_uneven = busyness(&candidate.load) >= least + UNEVEN_PERMILLE;
            standing.adjust_weight(is_overloaded(&candidate.load), is_uneven, now);
        }
    }
}

/// How busy a controller is with whatever is shortest, in thousandths.
fn busyness(load: &ControllerLoad) -> u16 {
    load.processor_permille.max(load.sockets_permille)
}

fn is_overloaded(load: &ControllerLoad) -> bool {
    busyness(load) >= OVERLOADED_PERMILLE
}
