//! The owner's side of partitions: which workers' reports it answers by itself, and what it reports to the leader.

mod decisions;
mod grants;
mod requests;

pub use decisions::Decision;

use constants::OWNER_RELAY_MS;
use std::collections::{BTreeMap, HashMap};
use wire::partitions::{PartitionEpoch, PartitionId};
use wire::workers::WorkerHeartbeat;

/// A grant that was applied.
#[derive(Debug, Clone)]
struct AppliedGrant {
    number: u64,
    /// End by our own clock.
    ends_at: u64,
    partitions: BTreeMap<PartitionId, u64>,
}

/// A machine that the leader has issued a permit for.
#[derive(Debug, Clone)]
struct SteadyMachine {
    partition: PartitionEpoch,
    permit: u64,
    since: u64,
    /// The report that later ones must repeat. Its sequence number is that of the last one answered.
    report: WorkerHeartbeat,
    heard_at: u64,
    answered_at: Option<u64>,
}

/// A permit that this owner no longer uses, until the leader has confirmed that it knows.
#[derive(Debug, Clone)]
struct RelinquishedPermit {
    permit: u64,
    answered_at: Option<u64>,
    heard_at: u64,
    /// Number of the first request that reported it.
    reported_in: Option<u64>,
}

/// The owner's side of one controller.
pub struct Owner {
    boot: u64,
    term: u64,
    grant: Option<AppliedGrant>,
    /// Until when reports of the partitions in `relayed` are forwarded although their grant has ended.
    relay_until: u64,
    relayed: BTreeMap<PartitionId, u64>,
    /// Highest number of a permit that was accepted or recalled. Lower ones arrive out of order.
    permit_floor: u64,
    steady: HashMap<String, SteadyMachine>,
    relinquished: BTreeMap<String, RelinquishedPermit>,
    /// The last forwarded report of each machine, for the permit that may follow.
    forwarded: HashMap<String, WorkerHeartbeat>,
    /// Owners of partitions that the leader has granted to others.
    other_owners: HashMap<PartitionId, String>,
    /// When machines were last redirected to another owner.
    redirected: HashMap<String, u64>,
    last_request: u64,
    next_request_at: u64,
    report_ms: u64,
    next_silence_check: u64,
}

impl Owner {
    /// The owner's side of a process, for workers that report every `report_ms`.
    pub fn new(boot: u64, report_ms: u64) -> Self {
        Owner {
            boot,
            term: 0,
            grant: None,
            relay_until: 0,
            relayed: BTreeMap::new(),
            permit_floor: 0,
            steady: HashMap::new(),
            relinquished: BTreeMap::new(),
            forwarded: HashMap::new(),
            other_owners: HashMap::new(),
            redirected: HashMap::new(),
            last_request: 0,
            next_request_at: 0,
            report_ms,
            next_silence_check: 0,
        }
    }

    /// A term became known. A newer one invalidates the grants and permits of the one before.
    pub fn on_term(&mut self, term: u64, now: u64) {
        if term <= self.term {
            return;
        }
        self.term = term;
        self.end_grant(now);
        self.steady.clear();
        self.relinquished.clear();
        self.other_owners.clear();
        self.permit_floor = 0;
        self.next_request_at = now;
    }

    /// Ends the grant, after which reports are forwarded for a while.
    fn end_grant(&mut self, now: u64) {
        if let Some(grant) = self.grant.take() {
            self.relayed = grant.partitions;
            self.relay_until = now.min(grant.ends_at) + OWNER_RELAY_MS;
        }
    }

    /// The grant that was applied last, unless it has expired.
    fn valid_grant(&self, now: u64) -> Option<&AppliedGrant> {
        self.grant.as_ref().filter(|grant| now < grant.ends_at)
    }

    /// When [`Owner::request`] is next due.
    pub fn next_wake(&self) -> u64 {
        self.next_request_at
    }

    /// Whether a valid grant names a partition.
    pub fn holds(&self, partition: PartitionId, now: u64) -> bool {
        let grant = self.valid_grant(now);
        grant.is_some_and(|grant| grant.partitions.contains_key(&partition))
    }

    /// Number of partitions under a valid grant.
    pub fn partitions_held(&self, now: u64) -> usize {
        let grant = self.valid_grant(now);
        grant.map_or(0, |grant| grant.partitions.len())
    }

    /// Number of machines that are answered here.
    pub fn steady_machines(&self) -> usize {
        self.steady.len()
    }
}
