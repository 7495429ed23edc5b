//! The leader's side of grants and permits: which owner may answer workers on its behalf, for which machines, and
//! until when an owner's answer can have been given.
//!
//! All times are by the leader's clock. The leader counts a grant from when it is given, and for slightly longer than
//! the owner, which counts it from its request. So an owner stops answering before the leader believes that it has.

mod grants;
mod permits;
mod requests;

pub use requests::{RelinquishedMachine, RequestError};

use crate::hash::{partition_of, PARTITION_COUNT};
use constants::{ANSWER_RETENTION_MS, STEADY_REPORTS};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use wire::partitions::{OtherOwner, PartitionId};

/// A process of a controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Process<'a> {
    label: &'a str,
    boot: u64,
}

/// The process that holds a grant for a partition, and the epoch it is for.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Holder {
    owner: String,
    boot: u64,
    epoch: u64,
}

impl Holder {
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
    holder: Holder,
    /// Latest moment at which the holder may answer.
    until: u64,
    /// Number of the first grant to the holder that no longer named the partition.
    withheld_in: Option<u64>,
}

/// A permit that its owner may be using.
#[derive(Debug, Clone)]
struct IssuedPermit {
    number: u64,
    issued_at: u64,
    /// Number of the first grant that recalled it.
    recalled_in: Option<u64>,
}

/// Grant and permits of one partition.
#[derive(Debug, Default)]
struct PartitionState {
    grant: Option<PartitionGrant>,
    permits: HashMap<String, IssuedPermit>,
    /// Machines whose permits are withdrawn, until the owner has confirmed it.
    withdrawn: BTreeSet<String>,
}

impl PartitionState {
    /// Whether a process holds the grant, which may have expired.
    fn is_held_by(&self, process: Process<'_>) -> bool {
        let grant = self.grant.as_ref();
        grant.is_some_and(|grant| grant.holder.process() == process)
    }
}

/// Latest moments at which machines may have been answered under permits that are over.
#[derive(Debug, Default)]
struct LastAnswers {
    by_machine: HashMap<String, u64>,
}

impl LastAnswers {
    /// Notes an answer, unless a later one is known.
    fn note(&mut self, machine: &str, at: u64) {
        match self.by_machine.get_mut(machine) {
            Some(known) => *known = at.max(*known),
            None => {
                self.by_machine.insert(machine.to_string(), at);
            }
        }
    }
}

/// Grants and permits of one term.
#[derive(Debug)]
pub struct Delegation {
    partitions: Vec<PartitionState>,
    answered: LastAnswers,
    /// Machines whose permits were withdrawn since recalls were last sent apart from grants.
    urgent: Vec<String>,
    /// Machines whose permits have ended since the caller last asked.
    ended: Vec<String>,
    last_permit: u64,
    last_grant: u64,
    report_ms: u64,
}

impl Delegation {
    /// Nothing is granted yet, for workers that report every `report_ms`.
    pub fn new(report_ms: u64) -> Self {
        let partitions = (0..PARTITION_COUNT).map(|_| PartitionState::default());
        Delegation {
            partitions: partitions.collect(),
            answered: LastAnswers::default(),
            urgent: Vec::new(),
            ended: Vec::new(),
            last_permit: 0,
            last_grant: 0,
            report_ms,
        }
    }

    /// The partition of a machine.
    fn state(&self, machine: &str) -> &PartitionState {
        &self.partitions[usize::from(partition_of(machine))]
    }

    /// Latest moment at which an owner may have answered, or may yet answer, a machine; `None` if none can have.
    pub fn answers_until(&self, machine: &str) -> Option<u64> {
        let state = self.state(machine);
        let permitted = state.permits.contains_key(machine);
        let grant = state.grant.as_ref().filter(|_| permitted);
        let open = grant.map(|grant| grant.until);
        open.max(self.answered.by_machine.get(machine).copied())
    }

    /// Whether an owner may answer for a partition now.
    pub fn is_granted(&self, partition: PartitionId, now: u64) -> bool {
        let state = self.partitions.get(usize::from(partition));
        let grant = state.and_then(|state| state.grant.as_ref());
        grant.is_some_and(|grant| now < grant.until)
    }

    /// Machines whose permits have ended since this was last asked.
    pub fn take_ended(&mut self) -> Vec<String> {
        std::mem::take(&mut self.ended)
    }

    /// Milliseconds after which a report of a steady machine has been forwarded again. If none has, the owner does not
    /// know the permit.
    pub fn refresh_overdue_ms(&self) -> u64 {
        2 * STEADY_REPORTS * self.report_ms
    }

    /// The process that may answer for a partition, if there is one.
    pub fn holder(&self, partition: PartitionId, now: u64) -> Option<&str> {
        let grant = self.partitions.get(usize::from(partition))?.grant.as_ref();
        let holds = |grant: &&PartitionGrant| now < grant.until && grant.withheld_in.is_none();
        grant.filter(holds).map(|grant| grant.holder.owner.as_str())
    }

    /// Number of permits that may be in use.
    pub fn permits(&self) -> usize {
        self.partitions.iter().map(|s| s.permits.len()).sum()
    }

    /// Partitions that other owners may answer for, by owner.
    fn granted_elsewhere(&self, asking: &str, now: u64) -> Vec<OtherOwner> {
        let mut owners: BTreeMap<&str, Vec<PartitionId>> = BTreeMap::new();
        for partition in 0..PARTITION_COUNT {
            if let Some(owner) = self.holder(partition, now).filter(|o| *o != asking) {
                owners.entry(owner).or_default().push(partition);
            }
        }
        let owned = owners.into_iter().map(|(owner, partitions)| OtherOwner {
            owner: owner.to_string(),
            partitions,
        });
        owned.collect()
    }

    /// Forgets answers from so long ago that no lease depends on them.
    pub fn prune(&mut self, now: u64) {
        self.answered
            .by_machine
            .retain(|_, at| now < *at + ANSWER_RETENTION_MS);
    }
}
