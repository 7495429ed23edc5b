//! Owners' requests: which permits they relinquish, and which grants they have applied.

use super::{Delegation, Process};
use crate::hash::{partition_of, PARTITION_COUNT};
use constants::CLOCK_DRIFT_FACTOR;
use wire::partitions::{GrantRequest, Relinquished};

/// Reason why the leader rejects a request.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The sender's table has another number of partitions.
    #[error("the sender has {theirs} partitions, this build has {PARTITION_COUNT}")]
    PartitionCount {
        /// Number of partitions of the sender.
        theirs: u16,
    },
}

/// A machine that an owner no longer answers, and when the owner last received a report from it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelinquishedMachine {
    /// Name of the machine.
    pub machine: String,
    /// Time at which the owner last received a report from the machine, or slightly later.
    pub heard_at: u64,
}

impl Delegation {
    /// Handles the part of an owner's request that says which permits and grants have ended. Returns the machines that
    /// the owner no longer answers.
    pub fn on_request(
        &mut self,
        owner: &str,
        request: &GrantRequest,
        now: u64,
    ) -> Result<Vec<RelinquishedMachine>, RequestError> {
        if request.partition_count != PARTITION_COUNT {
            let theirs = request.partition_count;
            return Err(RequestError::PartitionCount { theirs });
        }
        let mut machines = Vec::new();
        let process = Process {
            label: owner,
            boot: request.boot,
        };
        for relinquished in &request.relinquished {
            machines.push(self.on_relinquished(process, relinquished, now));
        }
        self.end_confirmed(process, request.applied, now);
        Ok(machines)
    }

    /// Ends the grants and permits whose end the owner has confirmed by applying the grant with this number.
    fn end_confirmed(&mut self, process: Process<'_>, applied: u64, now: u64) {
        let is_applied = |number: Option<u64>| number.is_some_and(|number| number <= applied);
        for state in &mut self.partitions {
            let grant = state.grant.as_mut();
            let Some(grant) = grant.filter(|grant| grant.holder.process() == process) else {
                continue;
            };
            if is_applied(grant.omitted_in) {
                grant.expires_at = grant.expires_at.min(now);
            }
            let (permits, last_answers) = (&mut state.permits, &mut self.last_answers);
            let ended_permits = &mut self.ended_permits;
            state.withdrawn.retain(|machine| {
                let recalled_in = permits.get(machine).and_then(|permit| permit.recalled_in);
                let is_confirmed = is_applied(recalled_in);
                if is_confirmed {
                    permits.remove(machine);
                    last_answers.record(machine, now);
                    ended_permits.push(machine.clone());
                }
                !is_confirmed
            });
        }
    }

    /// Ends a permit that an owner no longer uses, and records the owner's last answer under it.
    fn on_relinquished(
        &mut self,
        process: Process<'_>,
        relinquished: &Relinquished,
        now: u64,
    ) -> RelinquishedMachine {
        // The interval is by the owner's clock. By the leader's clock it may be slightly shorter.
        let time_ago = |ms: u64| now.saturating_sub((ms as f64 / CLOCK_DRIFT_FACTOR) as u64);
        if let Some(ms) = relinquished.answered_ago_ms {
            self.last_answers
                .record(&relinquished.machine, time_ago(ms));
        }
        let state = &mut self.partitions[usize::from(partition_of(&relinquished.machine))];
        let is_holder = state.is_held_by(process);
        let permit = state.permits.get(&relinquished.machine);
        if is_holder && permit.is_some_and(|permit| permit.number <= relinquished.permit) {
            state.permits.remove(&relinquished.machine);
            state.withdrawn.remove(&relinquished.machine);
            self.ended_permits.push(relinquished.machine.clone());
        }
        RelinquishedMachine {
            machine: relinquished.machine.clone(),
            heard_at: time_ago(relinquished.heard_ago_ms),
        }
    }
}
