//! Permits: the steady machines that an owner may answer by itself. A permit that is no longer valid is withdrawn by
//! the leader and recalled from the owner.

use super::{Delegation, IssuedPermit, Process};
use crate::hash::partition_of;
use std::collections::BTreeMap;
use wire::partitions::{PartitionEpoch, Permit, RecalledPermit};

impl Delegation {
    /// Withdraws the permit for a machine that is no longer steady, if there is one.
    pub fn withdraw_permit(&mut self, machine: &str) {
        let state = &mut self.partitions[usize::from(partition_of(machine))];
        if state.permits.contains_key(machine) && state.withdrawn.insert(machine.to_string()) {
            self.urgent_recalls.push(machine.to_string());
        }
    }

    /// Withdraws the permits for all machines that are not steady.
    pub fn withdraw_unsteady_permits(&mut self, is_steady: impl Fn(&str) -> bool) {
        let permitted = self
            .partitions
            .iter()
            .flat_map(|state| state.permits.keys());
        let unsteady = permitted.filter(|machine| !is_steady(machine));
        let unsteady: Vec<String> = unsteady.cloned().collect();
        unsteady
            .iter()
            .for_each(|machine| self.withdraw_permit(machine));
    }

    /// Permits that the grant with this number has to recall: those that are withdrawn, and those that are overdue for
    /// a refresh, since the owner does not seem to know them.
    pub(super) fn recalls_for(
        &mut self,
        process: Process<'_>,
        number: u64,
        now: u64,
    ) -> Vec<RecalledPermit> {
        let overdue_ms = self.refresh_overdue_ms();
        let mut recalled = Vec::new();
        for state in &mut self.partitions {
            if !state.is_held_by(process) {
                continue;
            }
            let overdue = state.permits.iter();
            let overdue = overdue.filter(|(_, permit)| now >= permit.issued_at + overdue_ms);
            state
                .withdrawn
                .extend(overdue.map(|(machine, _)| machine.clone()));
            for machine in &state.withdrawn {
                if let Some(permit) = state.permits.get_mut(machine) {
                    permit.recalled_in.get_or_insert(number);
                    recalled.push(RecalledPermit {
                        machine: machine.clone(),
                        permit: permit.number,
                    });
                }
            }
        }
        recalled
    }

    /// Returns the recalls of permits that were withdrawn since the last call, by label and process number of the
    /// owner. They are sent ahead of the next grant, which repeats them.
    pub fn take_urgent_recalls(&mut self) -> BTreeMap<(String, u64), Vec<RecalledPermit>> {
        let mut recalls: BTreeMap<(String, u64), Vec<RecalledPermit>> = BTreeMap::new();
        for machine in std::mem::take(&mut self.urgent_recalls) {
            let state = &self.partitions[usize::from(partition_of(&machine))];
            let permit = state.permits.get(&machine).map(|permit| permit.number);
            let (Some(grant), Some(permit)) = (&state.grant, permit) else {
                continue;
            };
            let key = (grant.holder.owner.clone(), grant.holder.boot);
            let recalled = RecalledPermit { machine, permit };
            recalls.entry(key).or_default().push(recalled);
        }
        recalls
    }

    /// Issues a permit for a steady machine to `owner`, which has forwarded the machine's report, if `owner` holds the
    /// grant. Returns the permit with the random number of the process that it is for.
    pub fn issue_permit(
        &mut self,
        owner: &str,
        machine: &str,
        (incarnation, seq): (u64, u64),
        now: u64,
    ) -> Option<(u64, Permit)> {
        let partition = partition_of(machine);
        let state = &mut self.partitions[usize::from(partition)];
        let grant = state.grant.as_ref()?;
        if grant.holder.owner != owner || now >= grant.expires_at || grant.omitted_in.is_some() {
            return None;
        }
        self.last_permit += 1;
        let number = self.last_permit;
        let issued = IssuedPermit {
            number,
            issued_at: now,
            recalled_in: None,
        };
        state.permits.insert(machine.to_string(), issued);
        state.withdrawn.remove(machine);
        let epoch = grant.holder.epoch;
        let permit = Permit {
            machine: machine.to_string(),
            partition: PartitionEpoch { partition, epoch },
            number,
            incarnation,
            seq,
        };
        Some((grant.holder.boot, permit))
    }
}
