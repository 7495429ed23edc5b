//! Moves partitions between controllers.

use super::{OwnerRequest, PartitionLeader};
use ::partitions::rebalance::Candidate;
use std::collections::{BTreeMap, BTreeSet};
use wire::partitions::{ControllerLoad, PartitionId};

impl PartitionLeader {
    /// Starts the moves that are due.
    pub(super) fn plan_moves(&mut self, now: u64) {
        let candidates = self.candidates(now);
        let table = self.mover.table();
        let moving = table.rows().map(|(partition, _)| partition);
        let moving: BTreeSet<PartitionId> = moving
            .filter(|partition| self.mover.is_moving(*partition))
            .collect();
        let moves = self.rebalancer.plan(table, &candidates, &moving, now);
        for planned in moves {
            let partition = planned.partition;
            let begun = self
                .mover
                .begin_move(partition, &planned.to, planned.pinned, now);
            if begun {
                log::info!(
                    "event=partition_moves partition={partition} to={}",
                    planned.to
                );
            }
        }
    }

    /// Starts to move a partition, unless it is pinned or the target controller is unknown.
    pub fn begin_move(&mut self, partition: PartitionId, to: &str, now: u64) -> bool {
        let row = self.mover.table().row(partition);
        let is_free = row.is_some_and(|row| !row.pinned);
        let is_known = to == self.label || self.owner_requests.contains_key(to);
        is_free && is_known && self.mover.begin_move(partition, to, false, now)
    }

    /// Returns the leader itself, the controllers that sent grant requests in this term, and those
    /// that own partitions.
    fn candidates(&self, now: u64) -> Vec<Candidate> {
        let mut heard: BTreeMap<String, OwnerRequest> = BTreeMap::new();
        for (_, row) in self.mover.table().rows() {
            let silent = OwnerRequest {
                received_at: self.elected_at,
                load: ControllerLoad::default(),
            };
            heard.insert(row.owner.clone(), silent);
        }
        heard.extend(self.owner_requests.clone());
        let own = OwnerRequest {
            received_at: now,
            load: self.own_load,
        };
        heard.insert(self.label.clone(), own);
        let candidates = heard.into_iter().map(|(label, owner)| Candidate {
            is_leader: label == self.label,
            heard_at: owner.received_at,
            is_unreachable: self.redirects.is_unreachable(&label, now),
            load: owner.load,
            label,
        });
        candidates.collect()
    }
}
