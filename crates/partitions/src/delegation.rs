//! The leader's side of grants and permits: which owners may answer workers on the leader's behalf, for which
//! machines, and the latest time at which an owner may have answered.
//!
//! All times are by the leader's clock. The leader counts the duration of a grant from when it issues the grant, and
//! adds a margin for clock drift. The owner counts it from its earlier request. So a grant has always ended on the
//! owner's side before it ends on the leader's side.

mod grants;
mod permits;
mod requests;

pub use requests::{RelinquishedMachine, RequestError};

use crate::hash::{partition_of, PARTITION_COUNT};
use constants::{ANSWER_RETENTION_MS, STEADY_REPORTS_PER_FORWARD};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use wire::partitions::{OtherOwner, PartitionId};

/// A process of a controller, identified by the controller's label and the process's random number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Process<'a> {
    label: &'a str,
    boot: u64,
}

/// The process that holds a grant for a partition, and the epoch in which the grant is valid.
#[derive(Debug, Clone, PartialEq, Eq)]
struct GrantHolder {
    owner: String,
    boot: u64,
    epoch: u64,
}

impl GrantHolder {
    fn process(&self) -> Process<'_> {
        Process {
            label: &self.owner,
            boot: self.boot,
        }
    }
}

/// A grant for a partition.
#[derive(Debug, Clone)]
struct PartitionGrant {
    holder: GrantHolder,
    /// Latest time at which the holder may answer.
    expires_at: u64,
    /// Number of the first grant to the holder that no longer named the partition.
    omitted_in: Option<u64>,
}

/// A permit that the owner may be using.
#[derive(Debug, Clone)]
struct IssuedPermit {
    number: u64,
    issued_at: u64,
    /// Number of the first grant that recalled the permit.
    recalled_in: Option<u64>,
}

/// The grant and the permits of one partition.
#[derive(Debug, Default)]
struct PartitionState {
    grant: Option<PartitionGrant>,
    permits: HashMap<String, IssuedPermit>,
    /// Machines whose permits are withdrawn, until the owner has confirmed the withdrawal.
    withdrawn: BTreeSet<String>,
}

impl PartitionState {
    /// Whether a process holds the grant, which may have expired.
    fn is_held_by(&self, process: Process<'_>) -> bool {
        let grant = self.grant.as_ref();
        grant.is_some_and(|grant| grant.holder.process() == process)
    }
}

/// Latest times at which machines may have been answered under permits that have ended.
#[derive(Debug, Default)]
struct LastAnswers {
    by_machine: HashMap<String, u64>,
}

impl LastAnswers {
    /// Records the time of an answer, unless a later one is known.
    fn record(&mut self, machine: &str, at: u64) {
        match self.by_machine.get_mut(machine) {
            Some(known) => *known = at.max(*known),
            None => {
                self.by_machine.insert(machine.to_string(), at);
            }
        }
    }
}

/// Grants and permits that the leader has issued in one term.
#[derive(Debug)]
pub struct Delegation {
    partitions: Vec<PartitionState>,
    last_answers: LastAnswers,
    /// Machines whose permits were withdrawn since [`Delegation::take_urgent_recalls`] was last called.
    urgent_recalls: Vec<String>,
    /// Machines whose permits have ended since [`Delegation::take_ended_permits`] was last called.
    ended_permits: Vec<String>,
    last_permit: u64,
    last_grant: u64,
    report_interval_ms: u64,
}

impl Delegation {
    /// Creates a delegation without grants, for workers that report every `report_interval_ms`.
    pub fn new(report_interval_ms: u64) -> Self {
        let partitions = (0..PARTITION_COUNT).map(|_| PartitionState::default());
        Delegation {
            partitions: partitions.collect(),
            last_answers: LastAnswers::default(),
            urgent_recalls: Vec::new(),
            ended_permits: Vec::new(),
            last_permit: 0,
            last_grant: 0,
            report_interval_ms,
        }
    }

    /// Grant and permits of the partition of a machine.
    fn state_of(&self, machine: &str) -> &PartitionState {
        &self.partitions[usize::from(partition_of(machine))]
    }

    /// Latest time at which an owner may have answered, or may still answer, a machine. `None` if no owner can have
    /// answered it.
    pub fn latest_possible_answer(&self, machine: &str) -> Option<u64> {
        let state = self.state_of(machine);
        let permitted = state.permits.contains_key(machine);
        let grant = state.grant.as_ref().filter(|_| permitted);
        let grant_end = grant.map(|grant| grant.expires_at);
        grant_end.max(self.last_answers.by_machine.get(machine).copied())
    }

    /// Whether an owner may still answer for a partition under its grant.
    pub fn is_granted(&self, partition: PartitionId, now: u64) -> bool {
        let state = self.partitions.get(usize::from(partition));
        let grant = state.and_then(|state| state.grant.as_ref());
        grant.is_some_and(|grant| now < grant.expires_at)
    }

    /// Returns the machines whose permits have ended since the last call.
    pub fn take_ended_permits(&mut self) -> Vec<String> {
        std::mem::take(&mut self.ended_permits)
    }

    /// Milliseconds from the issue of a permit within which its owner forwards another report of the machine. If it has
    /// not, it does not know the permit.
    pub fn refresh_overdue_ms(&self) -> u64 {
        2 * STEADY_REPORTS_PER_FORWARD * self.report_interval_ms
    }

    /// Label of the controller that holds a valid grant for a partition, if there is one.
    pub fn grant_holder(&self, partition: PartitionId, now: u64) -> Option<&str> {
        let grant = self.partitions.get(usize::from(partition))?.grant.as_ref();
        let holds = |grant: &&PartitionGrant| now < grant.expires_at && grant.omitted_in.is_none();
        grant.filter(holds).map(|grant| grant.holder.owner.as_str())
    }

    /// Number of permits that may be in use.
    pub fn permit_count(&self) -> usize {
        self.partitions.iter().map(|s| s.permits.len()).sum()
    }

    /// Partitions that are granted to owners other than `requester`, by owner.
    fn granted_to_others(&self, requester: &str, now: u64) -> Vec<OtherOwner> {
        let mut owners: BTreeMap<&str, Vec<PartitionId>> = BTreeMap::new();
        for partition in 0..PARTITION_COUNT {
            if let Some(owner) = self
                .grant_holder(partition, now)
                .filter(|o| *o != requester)
            {
                owners.entry(owner).or_default().push(partition);
            }
        }
        let owned = owners.into_iter().map(|(owner, partitions)| OtherOwner {
            owner: owner.to_string(),
            partitions,
        });
        owned.collect()
    }

    /// Forgets the times of answers that are older than [`ANSWER_RETENTION_MS`]. No lease depends on them.
    pub fn prune_answers(&mut self, now: u64) {
        self.last_answers
            .by_machine
            .retain(|_, at| now < *at + ANSWER_RETENTION_MS);
    }
}
