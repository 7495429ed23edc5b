//! Grants, permits and recalls that arrive from the leader.

use super::{AppliedGrant, Owner, SteadyMachine};
use crate::hash::{partition_of, PARTITION_COUNT};
use constants::OWNER_RELAY_MS;
use std::collections::HashMap;
use wire::partitions::{Grant, Permit, RecalledPermit};
use wire::workers::WorkerHeartbeat;

impl Owner {
    /// A grant arrived. Returns whether it was applied.
    pub fn on_grant(&mut self, term: u64, grant: Grant, now: u64) -> bool {
        self.on_term(term, now);
        let is_newer = self
            .grant
            .as_ref()
            .is_none_or(|applied| grant.number > applied.number);
        if term != self.term || grant.boot != self.boot || !is_newer {
            return false;
        }
        self.relinquished.retain(|_, record| {
            record
                .reported_in
                .is_none_or(|request| request > grant.request)
        });
        for recalled in &grant.recalled {
            self.recall(recalled);
        }
        let partitions = grant.partitions.iter();
        let applied = AppliedGrant {
            number: grant.number,
            ends_at: grant.sent + grant.valid_ms,
            partitions: partitions
                .filter(|granted| granted.partition < PARTITION_COUNT)
                .map(|granted| (granted.partition, granted.epoch))
                .collect(),
        };
        let lost = self.grant.as_ref().map(|before| &before.partitions);
        if let Some(lost) = lost.filter(|lost| lost.len() > applied.partitions.len()) {
            self.relayed = lost.clone();
            self.relay_until = now + OWNER_RELAY_MS;
        }
        self.grant = Some(applied);
        self.other_owners = HashMap::new();
        for other in grant.elsewhere {
            for partition in other.partitions {
                self.other_owners.insert(partition, other.owner.clone());
            }
        }
        true
    }

    /// Permits arrived. A permit that is out of order, or is for a report other than the last one forwarded, is
    /// ignored.
    pub fn on_permits(&mut self, term: u64, boot: u64, permits: Vec<Permit>, now: u64) {
        if term != self.term || boot != self.boot {
            return;
        }
        for permit in permits {
            let is_in_partition = partition_of(&permit.machine) == permit.partition.partition;
            if permit.number <= self.permit_floor || !is_in_partition {
                continue;
            }
            self.permit_floor = permit.number;
            let follows = |report: &WorkerHeartbeat| {
                (report.incarnation, report.seq) == (permit.incarnation, permit.seq)
            };
            let Some(report) = self.forwarded.remove(&permit.machine).filter(follows) else {
                continue;
            };
            let steady = SteadyMachine {
                partition: permit.partition,
                permit: permit.number,
                since: now,
                report,
                heard_at: now,
                answered_at: None,
            };
            self.steady.insert(permit.machine, steady);
        }
    }

    /// Permits were withdrawn.
    pub fn on_recall(&mut self, term: u64, boot: u64, permits: &[RecalledPermit]) {
        if term == self.term && boot == self.boot {
            permits.iter().for_each(|recalled| self.recall(recalled));
        }
    }

    /// Stops using a permit, and ignores those with a lower number that arrive later.
    fn recall(&mut self, recalled: &RecalledPermit) {
        self.permit_floor = self.permit_floor.max(recalled.permit);
        let steady = self.steady.get(&recalled.machine);
        if steady.is_some_and(|steady| steady.permit <= recalled.permit) {
            self.relinquish(&recalled.machine);
        }
    }
}
