//! Reconciliation with the cloud's list of machines.

use crate::effects::{Effects, Now};
use crate::leader::model::Machine;
use crate::leader::Leader;
use crate::requests::{CloudOp, CloudRequest};
use constants::{CLOUD_LIST_S, CLOUD_LIST_SHARE, LIST_MAX};
use wire::cloud::{ListedMachine, MachineList, MachinePhase};

/// Milliseconds, for each second that the cloud's list may lag, after which a machine must be listed: two lags.
const LISTED_MS_PER_LAG_S: f64 = 2_000.0;
/// Milliseconds added to that, for the request and its reply.
const LISTED_EXTRA_MS: u64 = 1_000;

impl Leader {
    /// Requests the first page of the list when it is due and no listing is in progress.
    pub(super) fn request_listing(&mut self, effects: &mut Effects) {
        let now = effects.now.mono;
        if now < self.next_list || self.listing_since.is_some() {
            return;
        }
        self.next_list = now + (self.listing_interval_s() * 1000.0) as u64;
        self.listing_since = Some(now);
        self.listed_machines.clear();
        let op = CloudOp::List {
            from: String::new(),
        };
        self.send_cloud_request(op, CloudRequest::List { asked: now }, effects);
    }

    /// Seconds between two listings. Pages are estimated by the machines known, so that the lists of a large fleet
    /// leave room for other calls.
    fn listing_interval_s(&self) -> f64 {
        let pages = 1.0 + (self.machines.len() / LIST_MAX) as f64;
        let calls_per_s = self.settings.deployment.cloud.rps;
        CLOUD_LIST_S.max(pages / calls_per_s / CLOUD_LIST_SHARE)
    }

    /// Takes in a page of the list that was begun at `asked`, and requests the next page if there is one.
    pub(super) fn on_list_page(&mut self, asked: u64, page: MachineList, effects: &mut Effects) {
        let last = page.machines.last().map(|machine| machine.name.clone());
        for machine in page.machines {
            self.on_listed(machine, effects.now);
        }
        match (page.has_more, last) {
            (true, Some(from)) => {
                let op = CloudOp::List { from };
                self.send_cloud_request(op, CloudRequest::List { asked }, effects);
            }
            _ => self.list_complete(asked),
        }
    }

    fn on_listed(&mut self, listed: ListedMachine, now: Now) {
        self.listed_machines.insert(listed.name.clone());
        if self.departed.contains_key(&listed.name) {
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
        machine.expected = true;
        machine.missed_listings = 0;
        if listed.phase == MachinePhase::Failed && !machine.failed {
            log::info!("event=machine_failed machine={}", listed.name);
            machine.failed = true;
            self.plan_due = true;
        }
    }

    /// Counts a missed listing of each machine that must be listed by now and is not: the cloud has taken it away.
    fn list_complete(&mut self, asked: u64) {
        self.listing_since = None;
        self.listed_once = true;
        if asked < self.last_listing_at {
            return;
        }
        self.last_listing_at = asked;
        let list_lag_s = self.settings.deployment.cloud.list_lag_s;
        let listed_ms = (list_lag_s * LISTED_MS_PER_LAG_S) as u64 + LISTED_EXTRA_MS;
        for (name, machine) in &mut self.machines {
            let due = machine.listed || asked > machine.known_since + listed_ms;
            if due && !self.listed_machines.contains(name) {
                machine.missed_listings += 1;
            }
        }
    }
}
