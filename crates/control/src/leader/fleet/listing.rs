//! Reconciliation with the cloud's list of machines.

use crate::effects::{Effects, Now};
use crate::leader::model::Machine;
use crate::leader::Leader;
use crate::requests::{CloudOp, CloudPurpose};
use constants::{MACHINE_LIST_INTERVAL_S, MACHINE_LIST_PAGE_SIZE, MACHINE_LIST_RATE_SHARE};
use std::collections::BTreeSet;
use wire::cloud::{ListedMachine, MachineList, MachinePhase};

/// Milliseconds, per second of the list's maximum lag, after which a machine must be listed: twice the lag.
const LISTING_DUE_MS_PER_LAG_S: f64 = 2_000.0;
/// Milliseconds added to that time for the request and its reply.
const LISTING_DUE_EXTRA_MS: u64 = 1_000;

/// Progress of the listings of the machines.
#[derive(Default)]
pub(in crate::leader) struct MachineListing {
    /// When the next listing is due.
    next_at: u64,
    /// When the listing under way began.
    started_at: Option<u64>,
    /// Machines that the listing under way has returned so far.
    listed: BTreeSet<String>,
    /// When the last complete listing was requested.
    last_requested_at: u64,
    /// Whether the machines have been listed completely at least once in this term.
    has_completed: bool,
}

impl MachineListing {
    /// Whether the machines have been listed completely at least once in this term.
    pub fn has_completed(&self) -> bool {
        self.has_completed
    }

    /// Gives up the listing under way, since a request for one of its pages failed.
    pub fn abandon(&mut self) {
        self.started_at = None;
    }
}

impl Leader {
    /// Requests the first page of the list when it is due and no listing is in progress.
    pub(super) fn request_listing(&mut self, effects: &mut Effects) {
        let now = effects.now.mono;
        if now < self.machine_listing.next_at || self.machine_listing.started_at.is_some() {
            return;
        }
        self.machine_listing.next_at = now + (self.listing_interval_s() * 1000.0) as u64;
        self.machine_listing.started_at = Some(now);
        self.machine_listing.listed.clear();
        let op = CloudOp::List {
            from: String::new(),
        };
        self.send_cloud_request(op, CloudPurpose::List { requested_at: now }, effects);
    }

    /// Seconds between two listings. The number of pages is estimated from the number of known machines, so that
    /// listing a large fleet leaves part of the call rate for other requests.
    fn listing_interval_s(&self) -> f64 {
        let pages = 1.0 + (self.machines.len() / MACHINE_LIST_PAGE_SIZE) as f64;
        let calls_per_s = self.settings.deployment.cloud.rps;
        MACHINE_LIST_INTERVAL_S.max(pages / calls_per_s / MACHINE_LIST_RATE_SHARE)
    }

    /// Handles a page of the listing that began at `requested_at`, and requests the next page if there is one.
    pub(super) fn on_list_page(
        &mut self,
        requested_at: u64,
        page: MachineList,
        effects: &mut Effects,
    ) {
        let last = page.machines.last().map(|machine| machine.name.clone());
        for machine in page.machines {
            self.on_listed(machine, effects.now);
        }
        match (page.has_more, last) {
            (true, Some(from)) => {
                let op = CloudOp::List { from };
                self.send_cloud_request(op, CloudPurpose::List { requested_at }, effects);
            }
            _ => self.on_listing_complete(requested_at),
        }
    }

    fn on_listed(&mut self, listed: ListedMachine, now: Now) {
        self.machine_listing.listed.insert(listed.name.clone());
        if self.departed_machines.contains_key(&listed.name) {
            return;
        }
        let age_ms = (listed.age_s.max(0.0) * 1000.0) as u64;
        let machine = self
            .machines
            .entry(listed.name.clone())
            .or_insert_with(|| Machine::new(now.mono.saturating_sub(age_ms)));
        machine.describe(&listed.machine_type, &listed.zone, listed.spot);
        if machine.addr.is_none() {
            machine.addr = listed.addr.clone();
        }
        machine.listed = true;
        machine.confirmed_by_cloud = true;
        machine.missed_listings = 0;
        if listed.phase == MachinePhase::Failed && !machine.failed {
            log::info!("event=machine_failed machine={}", listed.name);
            machine.failed = true;
            self.round_due = true;
        }
    }

    /// Ends a listing. Counts a missed listing for each machine that must be listed by now and is not, which means that
    /// the cloud has removed the machine.
    fn on_listing_complete(&mut self, requested_at: u64) {
        let listing = &mut self.machine_listing;
        listing.started_at = None;
        listing.has_completed = true;
        if requested_at < listing.last_requested_at {
            return;
        }
        listing.last_requested_at = requested_at;
        let list_lag_s = self.settings.deployment.cloud.list_lag_s;
        let listing_due_ms = (list_lag_s * LISTING_DUE_MS_PER_LAG_S) as u64 + LISTING_DUE_EXTRA_MS;
        for (name, machine) in &mut self.machines {
            let is_due = machine.listed || requested_at > machine.known_since + listing_due_ms;
            if is_due && !listing.listed.contains(name) {
                machine.missed_listings += 1;
            }
        }
    }
}
