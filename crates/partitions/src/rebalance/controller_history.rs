//! Observations of controllers: which are lost, and which are overloaded.

use super::{Candidate, Rebalancer};
use constants::{
    IMBALANCE_PERMILLE, LOST_OWNER_EXCLUSION_MAX_MS, LOST_OWNER_EXCLUSION_MS, OVERLOADED_PERMILLE,
    OWNER_LOST_TIMEOUT_MS, WEIGHT_MIN, WEIGHT_RECOVERY_INTERVAL_MS, WEIGHT_RECOVERY_STEP,
    WEIGHT_REDUCTION_INTERVAL_MS, WEIGHT_REDUCTION_STEP,
};
use wire::partitions::ControllerLoad;

/// Times that [`LOST_OWNER_EXCLUSION_MS`] is doubled at most: enough to reach [`LOST_OWNER_EXCLUSION_MAX_MS`], few
/// enough not to overflow.
const EXCLUSION_DOUBLINGS_MAX: u32 = 8;

/// What earlier observations of a controller have shown.
#[derive(Debug, Clone)]
pub(super) struct ControllerHistory {
    /// Weight of the controller's share, at most 1.
    pub(super) weight: f64,
    /// Time from which the weight may next be reduced.
    next_reduction_at: u64,
    /// Time from which the weight may next be raised.
    next_recovery_at: u64,
    /// Time until which the controller receives no partitions, because it was lost.
    excluded_until: u64,
    /// Number of times that the controller was lost.
    losses: u32,
    is_lost: bool,
}

impl Default for ControllerHistory {
    fn default() -> Self {
        ControllerHistory {
            weight: 1.0,
            next_reduction_at: 0,
            next_recovery_at: 0,
            excluded_until: 0,
            losses: 0,
            is_lost: false,
        }
    }
}

impl ControllerHistory {
    /// Whether the controller currently receives no partitions.
    pub(super) fn is_excluded(&self, now: u64) -> bool {
        self.is_lost || now < self.excluded_until
    }

    /// Updates whether the controller is lost. Each loss excludes it for longer than the previous one, up to
    /// [`LOST_OWNER_EXCLUSION_MAX_MS`].
    fn set_lost(&mut self, is_lost: bool, now: u64) {
        if is_lost && !self.is_lost {
            let exclusion_ms = LOST_OWNER_EXCLUSION_MS << self.losses.min(EXCLUSION_DOUBLINGS_MAX);
            self.losses += 1;
            self.excluded_until = now + exclusion_ms.min(LOST_OWNER_EXCLUSION_MAX_MS);
        }
        self.is_lost = is_lost;
    }

    /// Reduces the weight of a controller that is overloaded and imbalanced, which means much busier than the least
    /// busy one. Raises the weight slowly once the overload is over.
    fn adjust_weight(&mut self, is_overloaded: bool, is_imbalanced: bool, now: u64) {
        if is_overloaded && is_imbalanced && now >= self.next_reduction_at {
            self.weight = (self.weight - WEIGHT_REDUCTION_STEP).max(WEIGHT_MIN);
            self.next_reduction_at = now + WEIGHT_REDUCTION_INTERVAL_MS;
            self.next_recovery_at = now + WEIGHT_RECOVERY_INTERVAL_MS;
        } else if !is_overloaded && now >= self.next_recovery_at {
            self.weight = (self.weight + WEIGHT_RECOVERY_STEP).min(1.0);
            self.next_recovery_at = now + WEIGHT_RECOVERY_INTERVAL_MS;
        }
    }
}

impl Rebalancer {
    /// Updates which controllers are lost, and the weights of overloaded controllers.
    pub(super) fn observe(&mut self, candidates: &[Candidate], now: u64) {
        let least = candidates.iter().map(|c| utilization(&c.load)).min();
        let least = least.unwrap_or(0);
        for candidate in candidates {
            let history = self.histories.entry(candidate.label.clone()).or_default();
            let is_silent = now > candidate.heard_at + OWNER_LOST_TIMEOUT_MS;
            let is_lost = !candidate.is_leader && (is_silent || candidate.is_unreachable);
            history.set_lost(is_lost, now);
            let is_imbalanced = utilization(&candidate.load) >= least + IMBALANCE_PERMILLE;
            history.adjust_weight(is_overloaded(&candidate.load), is_imbalanced, now);
        }
    }
}

/// Utilization of a controller's scarcest resource, in thousandths.
fn utilization(load: &ControllerLoad) -> u16 {
    load.processor_permille.max(load.sockets_permille)
}

fn is_overloaded(load: &ControllerLoad) -> bool {
    utilization(load) >= OVERLOADED_PERMILLE
}
