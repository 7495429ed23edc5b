//! The number of partitions that each controller owns, and the number that it should own.

use super::{Candidate, Rebalancer};
use crate::table::OwnershipTable;
use constants::LEADER_WEIGHT;

impl Rebalancer {
    /// Actual and target numbers of partitions of each available controller, pinned partitions excluded.
    pub(super) fn shares(&self, table: &OwnershipTable, available: &[&Candidate]) -> Vec<Share> {
        let free = table.rows().filter(|(_, row)| !row.pinned).count() as f64;
        let pinned_share = |c: &Candidate| self.pins.shares.get(&c.label).copied();
        let is_free = |c: &&&Candidate| pinned_share(c).is_none();
        let pinned: f64 = available
            .iter()
            .filter_map(|candidate| pinned_share(candidate))
            .sum();
        let weights: f64 = available
            .iter()
            .filter(is_free)
            .map(|candidate| self.weight(candidate))
            .sum();
        let shares = available.iter().map(|c| {
            let of_all = pinned_share(c);
            let of_rest = (1.0 - pinned).max(0.0) * self.weight(c) / weights.max(f64::MIN_POSITIVE);
            let owned = table.owned_by(&c.label);
            let unpinned = owned.filter(|p| table.row(*p).is_some_and(|row| !row.pinned));
            Share {
                label: c.label.clone(),
                count: unpinned.count() as i32,
                target: free * of_all.unwrap_or(of_rest),
            }
        });
        shares.collect()
    }

    /// Weight of a controller among those without a pinned share.
    fn weight(&self, candidate: &Candidate) -> f64 {
        let history = self.histories.get(&candidate.label);
        let weight = history.map_or(1.0, |history| history.weight);
        match candidate.is_leader {
            true => weight * LEADER_WEIGHT,
            false => weight,
        }
    }
}

/// Number of partitions that a controller owns, and the number that it should own.
#[derive(Debug, Clone)]
pub(super) struct Share {
    pub(super) label: String,
    pub(super) count: i32,
    target: f64,
}

impl Share {
    /// Number of partitions by which the controller exceeds its target.
    pub(super) fn surplus(&self) -> f64 {
        f64::from(self.count) - self.target
    }

    /// Orders by surplus, and by label where it is equal.
    pub(super) fn surplus_order(&self, other: &Self) -> std::cmp::Ordering {
        let by_surplus = self.surplus().total_cmp(&other.surplus());
        by_surplus.then_with(|| self.label.cmp(&other.label))
    }
}
