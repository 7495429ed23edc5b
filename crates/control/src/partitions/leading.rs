//! The leader's part: the ownership table and its moves, answers to owners' requests, permits and recalls.

use super::redirects::Redirects;
use super::{send, PartitionsStatus, View};
use crate::effects::Effects;
use crate::leader::{AnsweredHeartbeat, Leader};
use crate::peers::Peers;
use crate::requests::{Priority, StateOp, StateReply, StateTag};
use ::partitions::rebalance::{Candidate, Pins, Rebalancer};
use ::partitions::{partition_of, Handover};
use constants::{
    HOUSEKEEPING_MS, PEER_FRESH_MS, PERMITS_A_FRAME, PERMITS_REVIEW_MS, PERMITS_WAIT_MS,
    REDIRECT_GRANT_MS, TABLE_RETRY_MS,
};
use std::collections::{BTreeMap, BTreeSet};
use wire::partitions::{ControllerLoad, GrantRequest, PartitionBody, PartitionId, Permit};
use wire::records::{PartitionsRecord, PARTITIONS};
use wire::state::Page;
use wire::workers::WorkerHeartbeat;

/// What is known of an owner in this term.
#[derive(Debug, Clone, Copy)]
struct HeardOwner {
    at: u64,
    load: ControllerLoad,
}

/// A request to the state service whose reply is awaited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Pending {
    Read,
    Write,
}

/// The leader's part, for one term.
pub(super) struct Leading {
    label: String,
    term: u64,
    leader_version: u64,
    since: u64,
    handover: Handover,
    rebalancer: Rebalancer,
    redirects: Redirects,
    owners: BTreeMap<String, HeardOwner>,
    /// Permits that wait to be sent, by owner and process.
    permits: BTreeMap<(String, u64), Vec<Permit>>,
    next_permits: u64,
    request: u64,
    pending: Option<Pending>,
    next_request: u64,
    next_look: u64,
    next_review: u64,
    /// A record of the table can't be used: nothing is granted.
    is_unusable: bool,
    own_load: ControllerLoad,
}

impl Leading {
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
            next_look: now,
            next_review: now,
            is_unusable: false,
            own_load: ControllerLoad::default(),
        }
    }

    pub fn term(&self) -> u64 {
        self.term
    }

    pub fn next_wake(&self) -> u64 {
        match self.permits.is_empty() {
            true => self.next_look,
            false => self.next_look.min(self.next_permits),
        }
    }

    pub fn describe(&self, status: &mut PartitionsStatus) {
        let rows = self.handover.table().rows();
        status.table = rows.map(|(_, r)| (r.owner.clone(), r.epoch)).collect();
        status.moving = self.handover.moves();
    }

    /// For the log: partitions of each controller.
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

    pub fn tick(
        &mut self,
        view: &View,
        own_load: ControllerLoad,
        leader: &mut Leader,
        effects: &mut Effects,
    ) {
        let now = effects.now.mono;
        self.own_load = own_load;
        if view.rollout.has_partitions() && leader.is_ready() {
            leader.begin_delegation();
        }
        self.send_recalls(leader, effects);
        self.send_permits(effects);
        if now < self.next_look {
            return;
        }
        self.next_look = now + HOUSEKEEPING_MS;
        if now >= self.next_review {
            self.next_review = now + PERMITS_REVIEW_MS;
            leader.review_delegation(now);
        }
        if !view.rollout.has_partitions() || self.is_unusable {
            return;
        }
        self.read_table(effects);
        self.plan_moves(now);
        self.write_table(effects);
    }

    fn read_table(&mut self, effects: &mut Effects) {
        let is_due = self.handover.must_reload() && effects.now.mono >= self.next_request;
        if is_due && self.pending.is_none() {
            self.ask_for_page(String::new(), effects);
        }
    }

    fn ask_for_page(&mut self, from: String, effects: &mut Effects) {
        let prefix = PARTITIONS;
        self.ask(Pending::Read, StateOp::List { prefix, from }, effects);
    }

    fn ask(&mut self, pending: Pending, op: StateOp, effects: &mut Effects) {
        self.request += 1;
        self.pending = Some(pending);
        let tag = StateTag::Partitions(self.term, self.request);
        effects.state.push((Priority::Leadership, op, tag));
    }

    fn write_table(&mut self, effects: &mut Effects) {
        let now = effects.now.mono;
        if self.pending.is_some() || now < self.next_request {
            return;
        }
        if let Some(txn) = self.handover.next_write(self.leader_version, now) {
            self.ask(Pending::Write, StateOp::Txn(txn), effects);
        }
    }

    pub fn on_state_reply(&mut self, number: u64, reply: StateReply, now: u64) {
        if number != self.request {
            return;
        }
        let pending = self.pending.take();
        match (pending, reply) {
            (Some(Pending::Read), StateReply::Page(page)) => self.on_table(page),
            (Some(Pending::Write), StateReply::Committed { version }) => {
                for partition in self.handover.committed(version) {
                    self.log_move(partition);
                }
            }
            (Some(Pending::Write), StateReply::Refused) => {
                self.handover.refused();
                self.next_request = now + TABLE_RETRY_MS;
            }
            (Some(Pending::Write), _) => {
                self.handover.unknown();
                self.next_request = now + TABLE_RETRY_MS;
            }
            _ => self.next_request = now + TABLE_RETRY_MS,
        }
        self.next_look = now;
    }

    /// The whole table fits into a page: four records of less than a kilobyte.
    fn on_table(&mut self, page: Page) {
        for item in page.items {
            let record = item.value.deserialized::<PartitionsRecord>();
            let read = record.map_err(|why| why.to_string()).and_then(|record| {
                let loaded = self.handover.load(&item.key, record, item.version);
                loaded.map_err(|why| why.to_string())
            });
            if let Err(why) = read {
                self.is_unusable = true;
                log::error!("event=partitions_unusable key={} why={why:?}", item.key);
            }
        }
        self.handover.loaded();
    }

    fn log_move(&self, partition: PartitionId) {
        if let Some(row) = self.handover.table().row(partition) {
            log::info!(
                "event=partition_moved partition={partition} owner={} epoch={} pinned={}",
                row.owner,
                row.epoch,
                row.pinned
            );
        }
    }

    fn plan_moves(&mut self, now: u64) {
        let candidates = self.candidates(now);
        let table = self.handover.table();
        let moving = table.rows().map(|(partition, _)| partition);
        let moving: BTreeSet<PartitionId> =
            moving.filter(|p| self.handover.is_moving(*p)).collect();
        let moves = self.rebalancer.plan(table, &candidates, &moving, now);
        for planned in moves {
            let partition = planned.partition;
            let begun = self
                .handover
                .begin(partition, &planned.to, planned.pinned, now);
            if begun {
                log::info!(
                    "event=partition_moves partition={partition} to={}",
                    planned.to
                );
            }
        }
    }

    /// Begins to move a partition that is not pinned to a controller that is there.
    pub fn begin_move(&mut self, partition: PartitionId, to: &str, now: u64) -> bool {
        let row = self.handover.table().row(partition);
        let is_free = row.is_some_and(|row| !row.pinned);
        let is_there = to == self.label || self.owners.contains_key(to);
        is_free && is_there && self.handover.begin(partition, to, false, now)
    }

    /// The leader itself, the controllers heard in this term, and those that own partitions.
    fn candidates(&self, now: u64) -> Vec<Candidate> {
        let mut heard: BTreeMap<String, HeardOwner> = BTreeMap::new();
        for (_, row) in self.handover.table().rows() {
            let unheard = HeardOwner {
                at: self.since,
                load: ControllerLoad::default(),
            };
            heard.insert(row.owner.clone(), unheard);
        }
        heard.extend(self.owners.clone());
        let own = HeardOwner {
            at: now,
            load: self.own_load,
        };
        heard.insert(self.label.clone(), own);
        let candidates = heard.into_iter().map(|(label, owner)| Candidate {
            is_leader: label == self.label,
            heard_at: owner.at,
            is_unreachable: self.redirects.is_unreachable(&label, now),
            load: owner.load,
            label,
        });
        candidates.collect()
    }

    /// An owner asks for its partitions.
    pub fn on_request(
        &mut self,
        from: &str,
        term: u64,
        request: &GrantRequest,
        view: &View,
        leader: &mut Leader,
        effects: &mut Effects,
    ) {
        let now = effects.now.mono;
        if let Some(why) = self.reason_to_refuse(from, term, request, view.peers, now) {
            log::info!("event=grant_request_refused from={from} term={term} why={why:?}");
            return;
        }
        self.hear(from, request, now);
        if !view.rollout.has_partitions() || self.is_unusable || view.grant_ms == 0 {
            return;
        }
        let entitled = self.handover.entitled(from);
        let grant = leader.on_grant_request(from, request, &entitled, view.grant_ms, now);
        match grant {
            Ok(Some(grant)) => send(from, self.term, PartitionBody::Grant(grant), effects),
            Ok(None) => {}
            Err(why) => log::error!("event=grant_request_refused from={from} why=\"{why}\""),
        }
    }

    fn reason_to_refuse(
        &self,
        from: &str,
        term: u64,
        request: &GrantRequest,
        peers: &Peers,
        now: u64,
    ) -> Option<&'static str> {
        if term != self.term {
            return Some("of another term");
        }
        let process = peers.process_of(from, now);
        (process != Some(request.boot)).then_some("not of the process that is heard")
    }

    fn hear(&mut self, from: &str, request: &GrantRequest, now: u64) {
        let load = request.load;
        let before = self
            .owners
            .insert(from.to_string(), HeardOwner { at: now, load });
        if before.is_none_or(|before| load.reports > before.load.reports) {
            self.redirects.owner_hears(from);
        }
    }

    /// The owner that a worker which reported here is sent to, if it is to be.
    pub fn redirect(
        &mut self,
        report: &WorkerHeartbeat,
        leader: &Leader,
        now: u64,
    ) -> Option<String> {
        let partition = partition_of(&report.machine);
        let owner = leader
            .holder_at(partition, now + REDIRECT_GRANT_MS)?
            .to_string();
        let heard = self.owners.get(&owner)?;
        let is_fresh = now < heard.at + PEER_FRESH_MS;
        let may =
            is_fresh && report.term == self.term && leader.may_be_redirected(&report.machine, now);
        let redirected = may && self.redirects.take(&report.machine, &owner, now);
        redirected.then_some(owner)
    }

    pub fn on_answered(
        &mut self,
        peer: &str,
        report: &AnsweredHeartbeat,
        leader: &mut Leader,
        now: u64,
    ) {
        self.redirects.reached(report.machine(), peer);
        let Some((boot, permit)) = leader.permit_after(peer, report, now) else {
            return;
        };
        if self.permits.is_empty() {
            self.next_permits = now + PERMITS_WAIT_MS;
        }
        let key = (peer.to_string(), boot);
        self.permits.entry(key).or_default().push(permit);
    }

    fn send_permits(&mut self, effects: &mut Effects) {
        if effects.now.mono < self.next_permits {
            return;
        }
        for ((owner, boot), permits) in std::mem::take(&mut self.permits) {
            for permits in permits.chunks(PERMITS_A_FRAME) {
                let permits = permits.to_vec();
                let body = PartitionBody::Permits { boot, permits };
                send(&owner, self.term, body, effects);
            }
        }
    }

    fn send_recalls(&mut self, leader: &mut Leader, effects: &mut Effects) {
        for ((owner, boot), recalled) in leader.urgent_recalls() {
            // Permits that are still here must not arrive after their recall.
            self.next_permits = 0;
            self.send_permits(effects);
            for permits in recalled.chunks(PERMITS_A_FRAME) {
                let permits = permits.to_vec();
                let body = PartitionBody::Recall { boot, permits };
                send(&owner, self.term, body, effects);
            }
        }
    }
}
