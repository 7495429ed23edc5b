//! The moves that are due: away from lost owners, because of pins, and to balance shares.

use super::shares::Share;
use super::{Candidate, PlannedMove, Rebalancer};
use crate::table::OwnershipTable;
use constants::{CONCURRENT_LOST_OWNER_MOVES_MAX, CONCURRENT_MOVES_MAX};
use std::collections::BTreeSet;
use wire::partitions::PartitionId;

/// Minimum difference between two controllers' surpluses, in partitions, for a move between them.
const SURPLUS_DIFFERENCE_MIN: f64 = 2.0;
/// Minimum number of partitions by which a controller must exceed its target to lose one.
const SURPLUS_MIN: f64 = 0.5;

impl Rebalancer {
    /// Moves of the partitions of unavailable controllers, each to the controller furthest below its target.
    pub(super) fn lost_owner_moves(
        &self,
        table: &OwnershipTable,
        available: &[&Candidate],
        moving: &BTreeSet<PartitionId>,
    ) -> Vec<PlannedMove> {
        let mut shares = self.shares(table, available);
        let mut moves = Vec::new();
        for (partition, row) in table.rows() {
            let is_available = available.iter().any(|c| c.label == row.owner);
            if is_available || moving.contains(&partition) {
                continue;
            }
            if moving.len() + moves.len() >= CONCURRENT_LOST_OWNER_MOVES_MAX {
                break;
            }
            let Some(least) = shares.iter_mut().min_by(|a, b| a.surplus_order(b)) else {
                break;
            };
            least.count += 1;
            moves.push(PlannedMove {
                partition,
                to: least.label.clone(),
                pinned: false,
            });
        }
        moves
    }

    /// Moves of partitions to the controllers to which they are pinned. A partition whose pin was removed or whose
    /// pinned controller is not available stays where it is, without a pin.
    pub(super) fn pinned_moves(
        &self,
        table: &OwnershipTable,
        available: &[&Candidate],
        moving: &BTreeSet<PartitionId>,
    ) -> Vec<PlannedMove> {
        let mut moves = Vec::new();
        for (partition, row) in table.rows().filter(|(p, _)| !moving.contains(p)) {
            let pin = self.pins.partitions.get(&partition);
            let pin = pin.filter(|label| available.iter().any(|c| c.label == **label));
            let wanted = pin.map_or(row.owner.as_str(), String::as_str);
            let is_pinned = pin.is_some();
            if (row.owner.as_str(), row.pinned) != (wanted, is_pinned) {
                moves.push(PlannedMove {
                    partition,
                    to: wanted.to_string(),
                    pinned: is_pinned,
                });
            }
        }
        moves
    }

    /// Moves of partitions from the controller furthest above its target to the controller furthest below its target.
    pub(super) fn balancing_moves(
        &self,
        table: &OwnershipTable,
        available: &[&Candidate],
        moving: &BTreeSet<PartitionId>,
    ) -> Vec<PlannedMove> {
        let mut shares = self.shares(table, available);
        let mut unavailable: BTreeSet<PartitionId> = moving.clone();
        let mut moves = Vec::new();
        while moves.len() + moving.len() < CONCURRENT_MOVES_MAX {
            shares.sort_by(Share::surplus_order);
            let (Some(least), Some(most)) = (shares.first(), shares.last()) else {
                break;
            };
            // With a smaller difference, a move would only reverse the order of the two controllers.
            if most.surplus() - least.surplus() < SURPLUS_DIFFERENCE_MIN
                || most.surplus() < SURPLUS_MIN
            {
                break;
            }
            let (to, from) = (least.label.clone(), most.label.clone());
            let mut owned = table.rows().filter(|(_, row)| row.owner == from);
            let free =
                owned.find(|(partition, row)| !row.pinned && !unavailable.contains(partition));
            let Some((partition, _)) = free else {
                break;
            };
            unavailable.insert(partition);
            for share in &mut shares {
                share.count += i32::from(share.label == to);
                share.count -= i32::from(share.label == from);
            }
            moves.push(PlannedMove {
                partition,
                to,
                pinned: false,
            });
        }
        moves
    }
}
