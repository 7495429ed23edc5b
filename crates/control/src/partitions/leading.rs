//! The leader's side of partitions: the ownership table and moves, answers to owners' grant
//! requests, permits and recalls.

mod grants;
mod moves;
mod permits;
mod table;

use super::redirects::Redirects;
use super::{NodeView, PartitionsStatus};
use crate::effects::Effects;
use crate::leader::Leader;
use ::partitions::rebalance::{Pins, Rebalancer};
use ::partitions::PartitionMover;
use constants::{HOUSEKEEPING_INTERVAL_MS, PERMIT_REVIEW_INTERVAL_MS};
use std::collections::BTreeMap;
use wire::partitions::{ControllerLoad, Permit};

/// The last grant request of an owner in this term.
#[derive(Debug, Clone, Copy)]
struct OwnerRequest {
    received_at: u64,
    load: ControllerLoad,
}

/// Kind of the pending request to the state service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestKind {
    Read,
    Write,
}

/// The leader's side of partitions in one term.
pub(super) struct PartitionLeader {
    label: String,
    /// Term in which this controller is the leader.
    term: u64,
    /// Version of the leader key, which fences writes.
    leader_version: u64,
    /// When this controller was elected.
    elected_at: u64,
    mover: PartitionMover,
    rebalancer: Rebalancer,
    redirects: Redirects,
    owner_requests: BTreeMap<String, OwnerRequest>,
    /// Permits to send, by owner and the owner's process.
    permits: BTreeMap<(String, u64), Vec<Permit>>,
    /// When the permits are due to be sent.
    permits_due_at: u64,
    /// Number of the last request to the state service.
    last_request: u64,
    pending_request: Option<RequestKind>,
    /// When the next request to the state service may be sent.
    next_request_at: u64,
    next_check_at: u64,
    next_permit_review_at: u64,
    /// Whether a record of the table is unusable. Nothing is granted in this case.
    is_table_unusable: bool,
    own_load: ControllerLoad,
}

impl PartitionLeader {
    /// Creates the state of a controller that was just elected. `leader_version` is the version of
    /// its leader key.
    pub fn new(label: String, pins: Pins, term: u64, leader_version: u64, now: u64) -> Self {
        PartitionLeader {
            mover: PartitionMover::new(&label),
            rebalancer: Rebalancer::new(pins),
            redirects: Redirects::new(),
            label,
            term,
            leader_version,
            elected_at: now,
            owner_requests: BTreeMap::new(),
            permits: BTreeMap::new(),
            permits_due_at: now,
            last_request: 0,
            pending_request: None,
            next_request_at: now,
            next_check_at: now,
            next_permit_review_at: now,
            is_table_unusable: false,
            own_load: ControllerLoad::default(),
        }
    }

    /// Returns the term in which this controller is the leader.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Returns when [`PartitionLeader::tick`] must be called next.
    pub fn next_wake(&self) -> u64 {
        match self.permits.is_empty() {
            true => self.next_check_at,
            false => self.next_check_at.min(self.permits_due_at),
        }
    }

    /// Sets the fields of `status` that only the leader knows.
    pub fn fill_status(&self, status: &mut PartitionsStatus) {
        let rows = self.mover.table().rows();
        status.ownership = rows
            .map(|(_, row)| (row.owner.clone(), row.epoch))
            .collect();
        status.moves_in_progress = self.mover.move_count();
    }

    /// Returns the number of partitions of each controller and of moves in progress, for the log.
    pub fn ownership_summary(&self) -> String {
        let mut owners: BTreeMap<&str, usize> = BTreeMap::new();
        for (_, row) in self.mover.table().rows() {
            *owners.entry(&row.owner).or_default() += 1;
        }
        let owners = owners
            .iter()
            .map(|(owner, count)| format!("{owner}:{count}"));
        format!(
            "owners={} moving={}",
            owners.collect::<Vec<String>>().join(","),
            self.mover.move_count()
        )
    }

    /// Performs the work that is due: sends recalls and permits, and moves partitions.
    pub fn tick(
        &mut self,
        view: &NodeView,
        own_load: ControllerLoad,
        leader: &mut Leader,
        effects: &mut Effects,
    ) {
        let now = effects.now.mono;
        self.own_load = own_load;
        if view.rollout.partitions_enabled() && leader.is_ready() {
            leader.begin_delegation();
        }
        self.send_recalls(leader, effects);
        self.send_permits(effects);
        if now < self.next_check_at {
            return;
        }
        self.next_check_at = now + HOUSEKEEPING_INTERVAL_MS;
        if now >= self.next_permit_review_at {
            self.next_permit_review_at = now + PERMIT_REVIEW_INTERVAL_MS;
            leader.review_delegation(now);
        }
        if !view.rollout.partitions_enabled() || self.is_table_unusable {
            return;
        }
        self.read_table(effects);
        self.plan_moves(now);
        self.write_table(effects);
    }
}
