//! Grants, permits and recalls that arrive from the leader.

use super::{AppliedGrant, Owner, SteadyMachine};
use crate::hash::{partition_of, PARTITION_COUNT};
use constants::EXPIRED_GRANT_FORWARD_MS;
use std::collections::HashMap;
use wire::partitions::{Grant, Permit, RecalledPermit};
use wire::workers::WorkerHeartbeat;

impl Owner {
    /// Handles a grant. Returns whether it was applied.
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
        let previous = self.grant.as_ref().map(|before| &before.partitions);
        let shrunk = previous.filter(|previous| previous.len() > applied.partitions.len());
        if let Some(previous) = shrunk {
            self.formerly_granted = previous.clone();
            self.forward_until = now + EXPIRED_GRANT_FORWARD_MS;
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

    /// Handles permits. Ignores a permit that is out of order, or that is for a report other than the last one
    /// forwarded.
    pub fn on_permits(&mut self, term: u64, boot: u64, permits: Vec<Permit>, now: u64) {
        if term != self.term || boot != self.boot {
            return;
        }
        for permit in permits {
            let is_in_partition = partition_of(&permit.machine) == permit.partition.partition;
            if permit.number <= self.highest_permit || !is_in_partition {
                continue;
            }
            self.highest_permit = permit.number;
            let is_permitted = |report: &WorkerHeartbeat| {
                (report.incarnation, report.seq) == (permit.incarnation, permit.seq)
            };
            let Some(report) = self
                .forwarded_reports
                .remove(&permit.machine)
                .filter(is_permitted)
            else {
                continue;
            };
            let steady = SteadyMachine {
                partition: permit.partition,
                permit: permit.number,
                permitted_at: now,
                report,
                heard_at: now,
                answered_at: None,
            };
            self.steady.insert(permit.machine, steady);
        }
    }

    /// Handles the recall of permits.
    pub fn on_recall(&mut self, term: u64, boot: u64, permits: &[RecalledPermit]) {
        if term == self.term && boot == self.boot {
            permits.iter().for_each(|recalled| self.recall(recalled));
        }
    }

    /// Stops using a permit. Permits with a lower number that arrive later are ignored.
    fn recall(&mut self, recalled: &RecalledPermit) {
        self.highest_permit = self.highest_permit.max(recalled.permit);
        let steady = self.steady.get(&recalled.machine);
        if steady.is_some_and(|steady| steady.permit <= recalled.permit) {
            self.relinquish(&recalled.machine);
        }
    }
}
