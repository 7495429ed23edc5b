//! Decides which partitions move: because of pins, of lost owners, or of shares that do not match the controllers'
//! load.

mod controller_history;
mod moves;
mod shares;

use crate::table::OwnershipTable;
use constants::{CONCURRENT_MOVES_MAX, MOVE_INTERVAL_MS};
use controller_history::ControllerHistory;
use std::collections::{BTreeMap, BTreeSet};
use wire::partitions::{ControllerLoad, PartitionId};

/// Partitions and shares that operators have pinned to controllers.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Pins {
    /// The controllers to which partitions are pinned.
    pub partitions: BTreeMap<PartitionId, String>,
    /// Shares of all partitions that controllers are to own, between 0 and 1.
    pub shares: BTreeMap<String, f64>,
}

/// A controller that may own partitions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Label of the controller.
    pub label: String,
    /// Whether the controller is the leader.
    pub is_leader: bool,
    /// Time of its last request. For the leader, the current time.
    pub heard_at: u64,
    /// Whether redirected workers do not reach the controller.
    pub is_unreachable: bool,
    /// Load of the controller.
    pub load: ControllerLoad,
}

/// A move to begin.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedMove {
    /// Partition that moves.
    pub partition: PartitionId,
    /// Its new owner.
    pub to: String,
    /// Whether the partition is pinned to the new owner.
    pub pinned: bool,
}

/// Decides which partitions move, from the observations of one term.
#[derive(Debug, Default)]
pub struct Rebalancer {
    pins: Pins,
    histories: BTreeMap<String, ControllerHistory>,
    next_move_at: u64,
}

impl Rebalancer {
    /// Creates a rebalancer that has not observed any controller.
    pub fn new(pins: Pins) -> Self {
        Rebalancer {
            pins,
            ..Rebalancer::default()
        }
    }

    /// Labels of the controllers that currently receive no partitions because they were lost.
    pub fn excluded_controllers(&self, now: u64) -> impl Iterator<Item = &str> {
        let histories = self.histories.iter();
        histories
            .filter(move |(_, history)| history.is_excluded(now))
            .map(|(label, _)| label.as_str())
    }

    /// Plans the next moves, given the table, the controllers, and the partitions that are moving already. Candidates
    /// are the controllers that have sent a request in this term, and the owners that have not sent one yet. The latter
    /// must be given with the beginning of the term as `heard_at`, so that they have as much time as others.
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
        let lost = self.lost_owner_moves(table, &available, moving);
        if !lost.is_empty() {
            return lost;
        }
        if now < self.next_move_at || moving.len() >= CONCURRENT_MOVES_MAX {
            return Vec::new();
        }
        let mut moves = self.pinned_moves(table, &available, moving);
        if moves.is_empty() {
            moves = self.balancing_moves(table, &available, moving);
        }
        moves.truncate(CONCURRENT_MOVES_MAX - moving.len());
        if !moves.is_empty() {
            self.next_move_at = now + MOVE_INTERVAL_MS;
        }
        moves
    }

    /// Whether a controller may receive partitions.
    fn is_available(&self, label: &str, now: u64) -> bool {
        let history = self.histories.get(label);
        history.is_none_or(|history| !history.is_excluded(now))
    }
}
