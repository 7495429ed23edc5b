//! Owners' requests: what they relinquish, and which grants they have applied.

use super::{Delegation, Process};
use crate::hash::{partition_of, PARTITION_COUNT};
use constants::DRIFT;
use wire::partitions::{GrantRequest, Relinquished};

/// Why the leader rejects a request.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// Its sender knows another number of partitions.
    #[error("it knows {theirs} partitions, this build {PARTITION_COUNT}")]
    PartitionCount {
        /// Number that the sender knows.
        theirs: u16,
    },
}

/// A machine that an owner no longer answers, as the owner last heard it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelinquishedMachine {
    /// Machine.
    pub machine: String,
    /// Moment at which the owner last heard it, or somewhat later.
    pub heard_at: u64,
}

impl Delegation {
    /// Takes in what an owner says about permits and grants that are over. Returns the machines that it no longer
    /// answers, with the moments at which it last heard them.
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
        let mut heard = Vec::new();
        let process = Process {
            label: owner,
            boot: request.boot,
        };
        for relinquished in &request.relinquished {
            heard.push(self.on_relinquished(process, relinquished, now));
        }
        self.apply_confirmed(process, request.applied, now);
        Ok(heard)
    }

    /// Ends the grants and permits whose end the owner has confirmed by applying a grant of this number.
    fn apply_confirmed(&mut self, process: Process<'_>, applied: u64, now: u64) {
        let is_applied = |number: Option<u64>| number.is_some_and(|number| number <= applied);
        for state in &mut self.partitions {
            let grant = state.grant.as_mut();
            let Some(grant) = grant.filter(|grant| grant.holder.process() == process) else {
                continue;
            };
            if is_applied(grant.withheld_in) {
                grant.until = grant.until.min(now);
            }
            let (permits, answered) = (&mut state.permits, &mut self.answered);
            let ended = &mut self.ended;
            state.withdrawn.retain(|machine| {
                let recalled_in = permits.get(machine).and_then(|permit| permit.recalled_in);
                let is_confirmed = is_applied(recalled_in);
                if is_confirmed {
                    permits.remove(machine);
                    answered.note(machine, now);
                    ended.push(machine.clone());
                }
                !is_confirmed
            });
        }
    }

    /// An owner no longer uses a permit.
    fn on_relinquished(
        &mut self,
        process: Process<'_>,
        relinquished: &Relinquished,
        now: u64,
    ) -> RelinquishedMachine {
        // The interval is by the owner's clock. By ours it may be slightly shorter.
        let ago = |ms: u64| now.saturating_sub((ms as f64 / DRIFT) as u64);
        if let Some(ms) = relinquished.answered_ago_ms {
            self.answered.note(&relinquished.machine, ago(ms));
        }
        let state = &mut self.partitions[usize::from(partition_of(&relinquished.machine))];
        let is_holder = state.is_held_by(process);
        let permit = state.permits.get(&relinquished.machine);
        if is_holder && permit.is_some_and(|permit| permit.number <= relinquished.permit) {
            state.permits.remove(&relinquished.machine);
            state.withdrawn.remove(&relinquished.machine);
            self.ended.push(relinquished.machine.clone());
        }
        RelinquishedMachine {
            machine: relinquished.machine.clone(),
            heard_at: ago(relinquished.heard_ago_ms),
        }
    }
}
