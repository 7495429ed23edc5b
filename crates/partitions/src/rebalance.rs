//! Which partitions move: pins, owners that are lost, and shares that do not fit the controllers' load.

use crate::table::OwnershipTable;
use constants::{
    LEADER_WEIGHT, LOST_MOVES_AT_ONCE, MOVES_AT_ONCE, MOVE_PAUSE_MS, OVERLOADED_PERMILLE,
    OWNER_LOST_MS, OWNER_PAUSE_MAX_MS, OWNER_PAUSE_MS, UNEVEN_PERMILLE, WEIGHT_CUT,
    WEIGHT_CUT_EVERY_MS, WEIGHT_EASE, WEIGHT_EASE_EVERY_MS, WEIGHT_LEAST,
};
use std::collections::{BTreeMap, BTreeSet};
use wire::partitions::{ControllerLoad, PartitionId};

/// What operators hold in place.
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

/// What is remembered of a controller.
#[derive(Debug, Clone)]
struct Standing {
    weight: f64,
    /// When the weight may next be lowered, and raised.
    next_cut: u64,
    next_ease: u64,
    /// Until when it gets nothing, since it was lost.
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

    /// Labels of controllers that were lost and get nothing for now.
    pub fn excluded(&self, now: u64) -> impl Iterator<Item = &str> {
        let standings = self.standings.iter();
        standings
            .filter(move |(_, s)| s.is_lost || now < s.excluded_until)
            .map(|(label, _)| label.as_str())
    }

    /// The next moves, given the table, the controllers, and the partitions that move already. Candidates are those heard
    /// in this term, and owners that have not been heard yet, as if heard at its beginning: they get the time of others.
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

    fn is_available(&self, label: &str, now: u64) -> bool {
        let standing = self.standings.get(label);
        standing.is_none_or(|s| !s.is_lost && now >= s.excluded_until)
    }

    /// Notes who is lost and who is overloaded.
    fn observe(&mut self, candidates: &[Candidate], now: u64) {
        let least = candidates.iter().map(|c| busyness(&c.load)).min();
        let least = least.unwrap_or(0);
        for candidate in candidates {
            let standing = self.standings.entry(candidate.label.clone()).or_default();
            let is_silent = now > candidate.heard_at + OWNER_LOST_MS;
            let is_lost = !candidate.is_leader && (is_silent || candidate.is_unreachable);
            if is_lost && !standing.is_lost {
                let pause_ms = OWNER_PAUSE_MS << standing.losses.min(8);
                standing.losses += 1;
                standing.excluded_until = now + pause_ms.min(OWNER_PAUSE_MAX_MS);
            }
            standing.is_lost = is_lost;
            let is_overloaded = is_overloaded(&candidate.load);
            let is_uneven = busyness(&candidate.load) >= least + UNEVEN_PERMILLE;
            if is_overloaded && is_uneven && now >= standing.next_cut {
                standing.weight = (standing.weight - WEIGHT_CUT).max(WEIGHT_LEAST);
                standing.next_cut = now + WEIGHT_CUT_EVERY_MS;
                standing.next_ease = now + WEIGHT_EASE_EVERY_MS;
            } else if !is_overloaded && now >= standing.next_ease {
                standing.weight = (standing.weight + WEIGHT_EASE).min(1.0);
                standing.next_ease = now + WEIGHT_EASE_EVERY_MS;
            }
        }
    }

    /// Partitions of controllers that are not there go to whoever has least for its target.
    fn moves_of_lost(
        &self,
        table: &OwnershipTable,
        available: &[&Candidate],
        moving: &BTreeSet<PartitionId>,
    ) -> Vec<PlannedMove> {
        let mut shares = self.shares(table, available);
        let mut moves = Vec::new();
        for (partition, row) in table.rows() {
            let is_there = available.iter().any(|c| c.label == row.owner);
            if is_there || moving.contains(&partition) {
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

    fn pinned_moves(
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

    fn balancing_moves(
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
            // Less than two apart, a move would only swap who has more.
            if most.surplus() - least.surplus() < 2.0 || most.surplus() < 0.5 {
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

    /// How many partitions each controller has and should have, apart from pinned ones.
    fn shares(&self, table: &OwnershipTable, available: &[&Candidate]) -> Vec<Share> {
        let free = table.rows().filter(|(_, row)| !row.pinned).count() as f64;
        let pinned_share = |c: &Candidate| self.pins.shares.get(&c.label).copied();
        let is_free = |c: &&&Candidate| pinned_share(c).is_none();
        let held: f64 = available.iter().filter_map(|c| pinned_share(c)).sum();
        let weights: f64 = available
            .iter()
            .filter(is_free)
            .map(|c| self.weight(c))
            .sum();
        let shares = available.iter().map(|c| {
            let of_all = pinned_share(c);
            let of_rest = (1.0 - held).max(0.0) * self.weight(c) / weights.max(f64::MIN_POSITIVE);
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

    fn weight(&self, candidate: &Candidate) -> f64 {
        let standing = self.standings.get(&candidate.label);
        let weight = standing.map_or(1.0, |s| s.weight);
        match candidate.is_leader {
            true => weight * LEADER_WEIGHT,
            false => weight,
        }
    }
}

/// Partitions of a controller, and how many it should have.
#[derive(Debug, Clone)]
struct Share {
    label: String,
    count: i32,
    target: f64,
}

impl Share {
    fn surplus(&self) -> f64 {
        f64::from(self.count) - self.target
    }

    fn surplus_order(&self, other: &Self) -> std::cmp::Ordering {
        let by_surplus = self.surplus().total_cmp(&other.surplus());
        by_surplus.then_with(|| self.label.cmp(&other.label))
    }
}

/// How busy a controller is with whatever is shortest, in thousandths.
fn busyness(load: &ControllerLoad) -> u16 {
    load.processor_permille.max(load.sockets_permille)
}

fn is_overloaded(load: &ControllerLoad) -> bool {
    busyness(load) >= OVERLOADED_PERMILLE
}
