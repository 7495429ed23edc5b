//! Which partitions move: pins, owners that are lost, and shares that do not fit the controllers' load.

mod moves;
mod shares;
mod standing;

use crate::table::OwnershipTable;
use constants::{MOVES_AT_ONCE, MOVE_PAUSE_MS};
use standing::Standing;
use std::collections::{BTreeMap, BTreeSet};
use wire::partitions::{ControllerLoad, PartitionId};

/// Partitions and shares that operators have pinned to controllers.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Pins {
    /// Partitions that belong to a controller.
    pub partitions: BTreeMap<PartitionId, String>,
    /// Shares of all partitions that controllers are to have, between 0 and 1.
    pub shares: BTreeMap<String, f64>,
}

/// A controller that may own partitions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Label.
    pub label: String,
    /// Whether it leads.
    pub is_leader: bool,
    /// Moment of its last request; the leader's is now.
    pub heard_at: u64,
    /// Whether workers that are sent to it do not reach it.
    pub is_unreachable: bool,
    /// Its load.
    pub load: ControllerLoad,
}

/// A move to begin.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedMove {
    /// Partition.
    pub partition: PartitionId,
    /// Its new owner.
    pub to: String,
    /// Whether it is pinned there.
    pub pinned: bool,
}

/// Decides on moves, from one term's observations.
#[derive(Debug, Default)]
pub struct Rebalancer {
    pins: Pins,
    standings: BTreeMap<String, Standing>,
    next_move_at: u64,
}

impl Rebalancer {
    /// Nothing is known of any controller yet.
    pub fn new(pins: Pins) -> Self {
        Rebalancer {
            pins,
            ..Rebalancer::default()
        }
    }

    /// Labels of controllers that were lost and receive no partitions for now.
    pub fn excluded(&self, now: u64) -> impl Iterator<Item = &str> {
        let standings = self.standings.iter();
        standings
            .filter(move |(_, standing)| standing.is_excluded(now))
            .map(|(label, _)| label.as_str())
    }

    /// The next moves, given the table, the controllers, and the partitions that are moving already. Candidates are
    /// the controllers heard in this term, and owners that have not been heard yet. The latter count as heard at the
    /// beginning of the term, so that they have as much time as others.
    pub fn plan(
        &mut self,
        table: &OwnershipTable,
        candidates: &[Candidate],
        moving: &BTreeSet<PartitionId>,
        now: u64,
    ) -> Vec<PlannedMove> {
        self.observe(candidates, now);
        let available: Vec<&Candidate> = candidates
            .iter()
            .filter(|c| self.is_available(&c.label, now))
            .collect();
        if available.is_empty() {
            return Vec::new();
        }
        let orphans = self.moves_of_lost(table, &available, moving);
        if !orphans.is_empty() {
            return orphans;
        }
        if now < self.next_move_at || moving.len() >= MOVES_AT_ONCE {
            return Vec::new();
        }
        let mut moves = self.pinned_moves(table, &available, moving);
        if moves.is_empty() {
            moves = self.balancing_moves(table, &available, moving);
        }
        moves.truncate(MOVES_AT_ONCE - moving.len());
        if !moves.is_empty() {
            self.next_move_at = now + MOVE_PAUSE_MS;
        }
        moves
    }

    /// Whether a controller may receive partitions.
    fn is_available(&self, label: &str, now: u64) -> bool {
        let standing = self.standings.get(label);
        standing.is_none_or(|standing| !standing.is_excluded(now))
    }
}
