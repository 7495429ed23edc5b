//! Moves of partitions between controllers.

use super::{Leading, ReportingOwner};
use ::partitions::rebalance::Candidate;
use std::collections::{BTreeMap, BTreeSet};
use wire::partitions::{ControllerLoad, PartitionId};

impl Leading {
    /// Begins the moves that are due.
    pub(super) fn plan_moves(&mut self, now: u64) {
        let candidates = self.candidates(now);
        let table = self.handover.table();
        let moving = table.rows().map(|(partition, _)| partition);
        let moving: BTreeSet<PartitionId> = moving
            .filter(|partition| self.handover.is_moving(*partition))
            .collect();
        let moves = self.rebalancer.plan(table, &candidates, &moving, now);
        for planned in moves {
            let partition = planned.partition;
            let begun = self
                .handover
                .begin_move(partition, &planned.to, planned.pinned, now);
            if begun {
                log::info!(
                    "event=partition_moves partition={partition} to={}",
                    planned.to
                );
            }
        }
    }

    /// Begins to move a partition that is not pinned to a controller that is known.
    pub fn begin_move(&mut self, partition: PartitionId, to: &str, now: u64) -> bool {
        let row = self.handover.table().row(partition);
        let is_free = row.is_some_and(|row| !row.pinned);
        let is_known = to == self.label || self.owners.contains_key(to);
        is_free && is_known && self.handover.begin_move(partition, to, false, now)
    }

    /// The leader itself, the controllers heard in this term, and those that own partitions.
    fn candidates(&self, now: u64) -> Vec<Candidate> {
        let mut heard: BTreeMap<String, ReportingOwner> = BTreeMap::new();
        for (_, row) in self.handover.table().rows() {
            let silent = ReportingOwner {
                at: self.since,
                load: ControllerLoad::default(),
            };
            heard.insert(row.owner.clone(), silent);
        }
        heard.extend(self.owners.clone());
        let own = ReportingOwner {
            at: now,
            load: self.own_load,
        };
        heard.insert(self.label.clone(), own);
        let candidates = heard.into_iter().map(|(label, owner)| Candidate {
            is_leader: label == self.label,
            heard_at: owner.at,
            is_unreachable: self.redirects.is_unreachable(&label, now),
            load: owner.load,
            label,
        });
        candidates.collect()
    }
}
