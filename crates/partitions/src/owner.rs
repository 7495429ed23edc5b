//! The owner's side of partitions: which workers' reports it answers by itself, and what it tells the leader.

mod decisions;
mod grants;
mod requests;

pub use decisions::Decision;

use constants::EXPIRED_GRANT_FORWARD_MS;
use std::collections::{BTreeMap, HashMap};
use wire::partitions::{PartitionEpoch, PartitionId};
use wire::workers::WorkerHeartbeat;

/// The grant that was applied last.
#[derive(Debug, Clone)]
struct AppliedGrant {
    number: u64,
    /// End of the grant, by this process's clock.
    ends_at: u64,
    /// Epochs of the granted partitions.
    partitions: BTreeMap<PartitionId, u64>,
}

/// A machine that the leader has issued a permit for.
#[derive(Debug, Clone)]
struct SteadyMachine {
    partition: PartitionEpoch,
    permit: u64,
    permitted_at: u64,
    /// The report that later ones must repeat. Its sequence number is that of the last report answered.
    report: WorkerHeartbeat,
    heard_at: u64,
    answered_at: Option<u64>,
}

/// A permit that this owner no longer uses. It is kept until the leader has confirmed that it knows.
#[derive(Debug, Clone)]
struct RelinquishedPermit {
    permit: u64,
    answered_at: Option<u64>,
    heard_at: u64,
    /// Number of the first request that contained it.
    reported_in: Option<u64>,
}

/// State of one process of a controller as an owner of partitions.
pub struct Owner {
    boot: u64,
    term: u64,
    grant: Option<AppliedGrant>,
    /// Time until which reports of `formerly_granted` partitions are forwarded although their grant has ended.
    forward_until: u64,
    formerly_granted: BTreeMap<PartitionId, u64>,
    /// Highest number of a permit that was accepted or recalled. Permits with lower numbers arrive out of order.
    highest_permit: u64,
    steady: HashMap<String, SteadyMachine>,
    relinquished: BTreeMap<String, RelinquishedPermit>,
    /// The last forwarded report of each machine, for the permit that may follow.
    forwarded_reports: HashMap<String, WorkerHeartbeat>,
    /// Owners of the partitions that the leader has granted to other controllers.
    other_owners: HashMap<PartitionId, String>,
    /// Times at which machines were last redirected to another owner.
    redirected_at: HashMap<String, u64>,
    last_request: u64,
    next_request_at: u64,
    report_interval_ms: u64,
    next_silence_check_at: u64,
}

impl Owner {
    /// Creates the owner of the process with the random number `boot`, for workers that report every
    /// `report_interval_ms`.
    pub fn new(boot: u64, report_interval_ms: u64) -> Self {
        Owner {
            boot,
            term: 0,
            grant: None,
            forward_until: 0,
            formerly_granted: BTreeMap::new(),
            highest_permit: 0,
            steady: HashMap::new(),
            relinquished: BTreeMap::new(),
            forwarded_reports: HashMap::new(),
            other_owners: HashMap::new(),
            redirected_at: HashMap::new(),
            last_request: 0,
            next_request_at: 0,
            report_interval_ms,
            next_silence_check_at: 0,
        }
    }

    /// Handles the number of a term. A newer term invalidates the grant and permits of the previous one.
    pub fn on_term(&mut self, term: u64, now: u64) {
        if term <= self.term {
            return;
        }
        self.term = term;
        self.end_grant(now);
        self.steady.clear();
        self.relinquished.clear();
        self.other_owners.clear();
        self.highest_permit = 0;
        self.next_request_at = now;
    }

    /// Ends the grant. Reports of its partitions are still forwarded for [`EXPIRED_GRANT_FORWARD_MS`].
    fn end_grant(&mut self, now: u64) {
        if let Some(grant) = self.grant.take() {
            self.formerly_granted = grant.partitions;
            self.forward_until = now.min(grant.ends_at) + EXPIRED_GRANT_FORWARD_MS;
        }
    }

    /// The grant that was applied last, unless it has expired.
    fn valid_grant(&self, now: u64) -> Option<&AppliedGrant> {
        self.grant.as_ref().filter(|grant| now < grant.ends_at)
    }

    /// Time at which [`Owner::next_request`] is next due.
    pub fn next_request_at(&self) -> u64 {
        self.next_request_at
    }

    /// Whether this owner has a valid grant for a partition.
    pub fn holds_grant(&self, partition: PartitionId, now: u64) -> bool {
        let grant = self.valid_grant(now);
        grant.is_some_and(|grant| grant.partitions.contains_key(&partition))
    }

    /// Number of partitions for which this owner has a valid grant.
    pub fn held_partition_count(&self, now: u64) -> usize {
        let grant = self.valid_grant(now);
        grant.map_or(0, |grant| grant.partitions.len())
    }

    /// Number of machines for which this owner has a permit.
    pub fn steady_machine_count(&self) -> usize {
        self.steady.len()
    }
}
