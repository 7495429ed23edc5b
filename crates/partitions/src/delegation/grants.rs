//! Grants: leases for partitions, given to one process at a time.

use super::{Delegation, Holder, PartitionGrant, Process};
use crate::hash::PARTITION_COUNT;
use constants::{DRIFT, RECALLS_A_GRANT};
use wire::partitions::{Grant, GrantRequest, PartitionEpoch, PartitionId};

impl Delegation {
    /// Grants an owner's process its partitions for `valid_ms` from its request on, as far as no other grant for them
    /// may still be in use. The caller has withdrawn the permits of all machines that are not steady by what it knows
    /// now.
    pub fn grant(
        &mut self,
        owner: &str,
        request: &GrantRequest,
        entitled: &[PartitionEpoch],
        valid_ms: u64,
        now: u64,
    ) -> Grant {
        self.last_grant += 1;
        let number = self.last_grant;
        let until = now + (valid_ms as f64 * DRIFT).ceil() as u64;
        let process = Process {
            label: owner,
            boot: request.boot,
        };
        let recalled = self.recalls_for(process, number, now);
        // A grant must name every recall. If they do not fit, it grants nothing until those that fit are confirmed.
        let is_complete = recalled.len() <= RECALLS_A_GRANT;
        let entitled = if is_complete { entitled } else { &[] };
        let mut granted = Vec::new();
        for partition in 0..PARTITION_COUNT {
            let entry = entitled.iter().find(|entry| entry.partition == partition);
            let holder = entry.map(|entry| Holder {
                owner: owner.to_string(),
                boot: request.boot,
                epoch: entry.epoch,
            });
            let is_granted =
                holder.is_some_and(|holder| self.extend(partition, holder, until, now));
            match is_granted {
                true => granted.extend(entry),
                false => self.withhold(partition, process, number),
            }
        }
        Grant {
            boot: request.boot,
            request: request.request,
            sent: request.sent,
            number,
            valid_ms,
            partitions: granted,
            recalled: recalled.into_iter().take(RECALLS_A_GRANT).collect(),
            elsewhere: self.granted_elsewhere(owner, now),
        }
    }

    /// Grants a partition, or extends its grant; false while another one may still be in use.
    fn extend(&mut self, partition: PartitionId, holder: Holder, until: u64, now: u64) -> bool {
        let state = &mut self.partitions[usize::from(partition)];
        match &mut state.grant {
            Some(grant) if grant.holder == holder => {
                grant.until = grant.until.max(until);
                grant.withheld_in = None;
                return true;
            }
            Some(grant) if now <= grant.until => return false,
            Some(grant) => {
                for (machine, _) in state.permits.drain() {
                    self.answered.note(&machine, grant.until);
                    self.ended.push(machine);
                }
                state.withdrawn.clear();
            }
            None => {}
        }
        state.grant = Some(PartitionGrant {
            holder,
            until,
            withheld_in: None,
        });
        true
    }

    /// Notes that a grant to a process did not name a partition that it may hold.
    fn withhold(&mut self, partition: PartitionId, process: Process<'_>, number: u64) {
        let grant = self.partitions[usize::from(partition)].grant.as_mut();
        if let Some(grant) = grant.filter(|grant| grant.holder.process() == process) {
            grant.withheld_in.get_or_insert(number);
        }
    }
}
