//! Grants: leases on answering for partitions. One process at a time holds the grant of a partition.

use super::{Delegation, GrantHolder, PartitionGrant, Process};
use crate::hash::PARTITION_COUNT;
use constants::{CLOCK_DRIFT_FACTOR, RECALLS_PER_GRANT_MAX};
use wire::partitions::{Grant, GrantRequest, PartitionEpoch, PartitionId};

impl Delegation {
    /// Grants the `entitled` partitions to an owner's process for `valid_ms` from its request on, except those for
    /// which another grant may still be in use. The caller must first have withdrawn the permits of all machines that
    /// it now knows not to be steady.
    pub fn issue_grant(
        &mut self,
        owner: &str,
        request: &GrantRequest,
        entitled: &[PartitionEpoch],
        valid_ms: u64,
        now: u64,
    ) -> Grant {
        self.last_grant += 1;
        let number = self.last_grant;
        let expires_at = now + (valid_ms as f64 * CLOCK_DRIFT_FACTOR).ceil() as u64;
        let process = Process {
            label: owner,
            boot: request.boot,
        };
        let recalled = self.recalls_for(process, number, now);
        // A grant must contain every pending recall. If they do not all fit, no partition is granted until the owner
        // has confirmed those that fit.
        let is_complete = recalled.len() <= RECALLS_PER_GRANT_MAX;
        let entitled = if is_complete { entitled } else { &[] };
        let mut granted = Vec::new();
        for partition in 0..PARTITION_COUNT {
            let entry = entitled.iter().find(|entry| entry.partition == partition);
            let holder = entry.map(|entry| GrantHolder {
                owner: owner.to_string(),
                boot: request.boot,
                epoch: entry.epoch,
            });
            let is_granted =
                holder.is_some_and(|holder| self.extend(partition, holder, expires_at, now));
            match is_granted {
                true => granted.extend(entry),
                false => self.note_omission(partition, process, number),
            }
        }
        Grant {
            boot: request.boot,
            request: request.request,
            sent: request.sent,
            number,
            valid_ms,
            partitions: granted,
            recalled: recalled.into_iter().take(RECALLS_PER_GRANT_MAX).collect(),
            elsewhere: self.granted_to_others(owner, now),
        }
    }

    /// Grants a partition, or extends its grant. Returns false while another grant for it may still be in use.
    fn extend(
        &mut self,
        partition: PartitionId,
        holder: GrantHolder,
        expires_at: u64,
        now: u64,
    ) -> bool {
        let state = &mut self.partitions[usize::from(partition)];
        match &mut state.grant {
            Some(grant) if grant.holder == holder => {
                grant.expires_at = grant.expires_at.max(expires_at);
                grant.omitted_in = None;
                return true;
            }
            Some(grant) if now <= grant.expires_at => return false,
            Some(grant) => {
                for (machine, _) in state.permits.drain() {
                    self.last_answers.record(&machine, grant.expires_at);
                    self.ended_permits.push(machine);
                }
                state.withdrawn.clear();
            }
            None => {}
        }
        state.grant = Some(PartitionGrant {
            holder,
            expires_at,
            omitted_in: None,
        });
        true
    }

    /// Notes that a grant to a process omits a partition for which the process may hold an earlier grant.
    fn note_omission(&mut self, partition: PartitionId, process: Process<'_>, number: u64) {
        let grant = self.partitions[usize::from(partition)].grant.as_mut();
        if let Some(grant) = grant.filter(|grant| grant.holder.process() == process) {
            grant.omitted_in.get_or_insert(number);
        }
    }
}
