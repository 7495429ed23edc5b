//! The moves that are due: orphaned, pinned and balancing ones.

use super::shares::Share;
use super::{Candidate, PlannedMove, Rebalancer};
use crate::table::OwnershipTable;
use constants::{LOST_MOVES_AT_ONCE, MOVES_AT_ONCE};
use std::collections::BTreeSet;
use wire::partitions::PartitionId;

/// Partitions by which two controllers' surpluses must differ for a move between them.
const LEAST_DIFFERENCE: f64 = 2.0;
/// Partitions by which a controller must exceed its target to lose one.
const LEAST_SURPLUS: f64 = 0.5;

impl Rebalancer {
    /// Partitions of controllers that are not available go to the controller furthest below its target.
    pub(super) fn moves_of_lost(
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
            if moving.len() + moves.len() >= LOST_MOVES_AT_ONCE {
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

    /// Partitions go to where they are pinned, and lose a pin that operators have removed.
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

    /// Partitions go from the controller furthest above its target to the one furthest below.
    pub(super) fn balancing_moves(
        &self,
        table: &OwnershipTable,
        available: &[&Candidate],
        moving: &BTreeSet<PartitionId>,
    ) -> Vec<PlannedMove> {
        let mut shares = self.shares(table, available);
        let mut taken: BTreeSet<PartitionId> = moving.clone();
        let mut moves = Vec::new();
        while moves.len() + moving.len() < MOVES_AT_ONCE {
            shares.sort_by(Share::surplus_order);
            let (Some(least), Some(most)) = (shares.first(), shares.last()) else {
                break;
            };
            // With a smaller difference, a move would only swap which of the two has more.
            if most.surplus() - least.surplus() < LEAST_DIFFERENCE || most.surplus() < LEAST_SURPLUS
            {
                break;
            }
            let (to, from) = (least.label.clone(), most.label.clone());
            let mut owned = table.rows().filter(|(_, row)| row.owner == from);
            let free = owned.find(|(partition, row)| !row.pinned && !taken.contains(partition));
            let Some((partition, _)) = free else {
                break;
            };
            taken.insert(partition);
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
