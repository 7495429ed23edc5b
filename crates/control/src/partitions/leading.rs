//! The leader's side of partitions: the ownership table and its moves, answers to owners' requests, permits and
//! recalls.

mod grants;
mod moves;
mod permits;
mod table;

use super::redirects::Redirects;
use super::{PartitionsStatus, View};
use crate::effects::Effects;
use crate::leader::Leader;
use ::partitions::rebalance::{Pins, Rebalancer};
use ::partitions::Handover;
use constants::{HOUSEKEEPING_MS, PERMITS_REVIEW_MS};
use std::collections::BTreeMap;
use wire::partitions::{ControllerLoad, Permit};

/// The last request of an owner in this term.
#[derive(Debug, Clone, Copy)]
struct ReportingOwner {
    at: u64,
    load: ControllerLoad,
}

/// The kind of the request to the state service whose reply is awaited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Pending {
    Read,
    Write,
}

/// The leader's side of partitions, for one term.
pub(super) struct Leading {
    label: String,
    /// Term that this controller leads.
    term: u64,
    /// Version of the leader key, by which writes are fenced.
    leader_version: u64,
    /// When the term began.
    since: u64,
    handover: Handover,
    rebalancer: Rebalancer,
    redirects: Redirects,
    owners: BTreeMap<String, ReportingOwner>,
    /// Permits that wait to be sent, by owner and process.
    permits: BTreeMap<(String, u64), Vec<Permit>>,
    /// When the permits are sent.
    next_permits: u64,
    /// Number of the last request to the state service.
    request: u64,
    pending: Option<Pending>,
    /// When the next request to the state service may be made.
    next_request: u64,
    next_check: u64,
    next_review: u64,
    /// A record of the table can't be used. Nothing is granted then.
    is_unusable: bool,
    own_load: ControllerLoad,
}

impl Leading {
    /// A controller that has just been elected, with the version of its leader key.
    pub fn new(label: String, pins: Pins, term: u64, leader_version: u64, now: u64) -> Self {
        Leading {
            handover: Handover::new(&label),
            rebalancer: Rebalancer::new(pins),
            redirects: Redirects::new(),
            label,
            term,
            leader_version,
            since: now,
            owners: BTreeMap::new(),
            permits: BTreeMap::new(),
            next_permits: now,
            request: 0,
            pending: None,
            next_request: now,
            next_check: now,
            next_review: now,
            is_unusable: false,
            own_load: ControllerLoad::default(),
        }
    }

    /// The term that this controller leads.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// When [`Leading::tick`] is to be called next.
    pub fn next_wake(&self) -> u64 {
        match self.permits.is_empty() {
            true => self.next_check,
            false => self.next_check.min(self.next_permits),
        }
    }

    /// Fills in what only the leader knows.
    pub fn describe(&self, status: &mut PartitionsStatus) {
        let rows = self.handover.table().rows();
        status.table = rows
            .map(|(_, row)| (row.owner.clone(), row.epoch))
            .collect();
        status.moving = self.handover.moves();
    }

    /// The number of partitions of each controller, for the log.
    pub fn summary(&self) -> String {
        let mut owners: BTreeMap<&str, usize> = BTreeMap::new();
        for (_, row) in self.handover.table().rows() {
            *owners.entry(&row.owner).or_default() += 1;
        }
        let owners = owners
            .iter()
            .map(|(owner, count)| format!("{owner}:{count}"));
        format!(
            "owners={} moving={}",
            owners.collect::<Vec<String>>().join(","),
            self.handover.moves()
        )
    }

    /// Time passed: sends recalls and permits, and moves partitions.
    pub fn tick(
        &mut self,
        view: &View,
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
        if now < self.next_check {
            return;
        }
        self.next_check = now + HOUSEKEEPING_MS;
        if now >= self.next_review {
            self.next_review = now + PERMITS_REVIEW_MS;
            leader.review_delegation(now);
        }
        if !view.rollout.partitions_enabled() || self.is_unusable {
            return;
        }
        self.read_table(effects);
        self.plan_moves(now);
        self.write_table(effects);
    }
}
