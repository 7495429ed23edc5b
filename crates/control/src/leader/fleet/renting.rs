//! Scale-out: rental requests for the machines that waiting tasks need.

use crate::effects::{Effects, Now};
use crate::leader::model::{Machine, RecordCell};
use crate::leader::planning::SchedulingSnapshot;
use crate::leader::{Leader, OfferKey, Rental};
use crate::offers::{offered_zones, type_resources};
use crate::requests::{CloudOp, CloudPurpose, RecordId};
use constants::{
    HOUSEKEEPING_INTERVAL_MS, MACHINES_PER_RENTAL_MAX, RENTALS_IN_FLIGHT_MAX,
    RENT_HORIZON_BOOT_FACTOR,
};
use sched::{plan_fleet, FleetSnapshot, Offer, RentRequest};
use std::collections::VecDeque;
use wire::cloud::{MachineType, RentalRequest};
use wire::records::RentalRecord;

/// Milliseconds, per second of the list's maximum lag, after which rented machines are certainly listed: two and a half
/// times the lag.
const LISTING_VISIBLE_MS_PER_LAG_S: f64 = 2_500.0;
/// Milliseconds added to that time for the request and its reply.
const LISTING_VISIBLE_EXTRA_MS: u64 = 2_000;

/// The offers of the cloud, as the planner sees them and by their keys.
struct Offers {
    offers: Vec<Offer>,
    /// Key of each offer, at the same index as in `offers`.
    keys: Vec<OfferKey>,
}

impl Offers {
    /// The index of the offer with a key.
    fn index_of(&self, key: &OfferKey) -> Option<usize> {
        self.keys.iter().position(|known| known == key)
    }
}

/// Machines that are expected to be up soon, by the index of their offer.
struct ExpectedMachines {
    /// Number of such machines.
    counts: Vec<u32>,
    /// Whether a rental request has not been answered yet.
    requested: Vec<bool>,
}

fn rental_offer(record: &RentalRecord) -> OfferKey {
    OfferKey::new(&record.machine_type, &record.zone, record.spot)
}

impl Leader {
    /// Sends a rental request to the cloud once its record is saved, unless it is in flight, answered or backed off.
    pub(in crate::leader) fn send_rental_request(&mut self, name: &str, effects: &mut Effects) {
        let Some(rental) = self.rentals.get_mut(name) else {
            return;
        };
        let Some(record) = rental.record.saved.clone() else {
            return;
        };
        if rental.request_in_flight || rental.answered_at.is_some() {
            return;
        }
        if rental.record.is_unsaved() || effects.now.mono < rental.retry_at {
            return;
        }
        rental.request_in_flight = true;
        let rent = RentalRequest {
            name: name.to_string(),
            machine_type: record.machine_type,
            zone: record.zone,
            spot: record.spot,
            count: record.count,
        };
        let request = CloudPurpose::Rent(name.to_string());
        self.send_cloud_request(CloudOp::Rent(rent), request, effects);
    }

    /// Deletes the records of rentals whose machines are listed, and sends the rental requests that are due.
    pub(super) fn maintain_rentals(&mut self, effects: &mut Effects) {
        self.delete_listed_rentals(effects.now);
        let names: Vec<String> = self.rentals.keys().cloned().collect();
        for name in names {
            self.send_rental_request(&name, effects);
        }
    }

    /// Deletes the records of rentals whose machines the list certainly shows by now. As long as a record exists, the
    /// next leader sends the request again under the same name.
    fn delete_listed_rentals(&mut self, now: Now) {
        let list_lag_s = self.settings.deployment.cloud.list_lag_s;
        let visible_ms =
            (list_lag_s * LISTING_VISIBLE_MS_PER_LAG_S) as u64 + LISTING_VISIBLE_EXTRA_MS;
        let mut listed = Vec::new();
        for (name, rental) in &mut self.rentals {
            let is_listed = rental
                .answered_at
                .is_some_and(|at| now.mono > at + visible_ms);
            if is_listed && rental.record.desired.is_some() {
                rental.record.desired = None;
                listed.push(name.clone());
            }
        }
        for name in listed {
            self.queue_write(RecordId::Rental(name));
        }
    }

    /// Plans new rentals and queues the writes of their records.
    pub(super) fn rent_machines(&mut self, effects: &mut Effects) {
        let now = effects.now;
        let Some(types) = self.machine_types.desired.clone() else {
            return;
        };
        // A new leader reads the list before it rents. Machines rented before its term may still be missing from
        // the list.
        if !self.machine_listing.has_completed() || now.mono < self.next_rental_at {
            return;
        }
        self.next_rental_at = now.mono + HOUSEKEEPING_INTERVAL_MS;
        let mut snapshot = self.scheduling_snapshot(now);
        let offers = self.offers(&types, &mut snapshot, now);
        let expected = self.expected_machines(&offers, now);
        let shortest_boot_s = types.iter().map(|t| t.boot_s).fold(f64::MAX, f64::min);
        let fleet = FleetSnapshot {
            offers: offers.offers,
            expected_by_offer: expected.counts,
            minimizes_cost: self.settings.minimizes_cost(),
            horizon_s: shortest_boot_s * RENT_HORIZON_BOOT_FACTOR,
        };
        let mut requests = VecDeque::from(plan_fleet(&snapshot.cluster, &fleet));
        requests.retain(|request| !expected.requested[request.offer]);
        self.create_rentals(requests, &offers.keys, now);
    }

    /// The offers for every machine type in every zone, each as spot and on-demand.
    fn offers(&self, types: &[MachineType], snapshot: &mut SchedulingSnapshot, now: Now) -> Offers {
        let (mut offers, mut keys) = (Vec::new(), Vec::new());
        for machine_type in types {
            for zone in offered_zones(machine_type, &self.settings.deployment.zones) {
                for spot in [false, true] {
                    let key = OfferKey::new(&machine_type.name, zone, spot);
                    let backoff = self.offer_backoff.get(&key);
                    offers.push(Offer {
                        machine_type: snapshot.machine_types.intern(&machine_type.name),
                        zone: snapshot.zones.intern(zone),
                        spot,
                        total: type_resources(machine_type),
                        price_per_hour: match spot {
                            true => machine_type.spot_price_per_hour,
                            false => machine_type.price_per_hour,
                        },
                        available: backoff.is_none_or(|backoff| now.mono >= backoff.retry_at),
                    });
                    keys.push(key);
                }
            }
        }
        Offers { offers, keys }
    }

    /// Counts machines that are booting, silent machines that are expected to report again, and the machines of rental
    /// requests that are not answered yet.
    fn expected_machines(&self, offers: &Offers, now: Now) -> ExpectedMachines {
        let mut counts = vec![0; offers.keys.len()];
        let mut requested = vec![false; offers.keys.len()];
        let heartbeat_timeout_ms = self.heartbeat_timeout_ms();
        for machine in self.machines.values() {
            if is_expected(machine, heartbeat_timeout_ms, now.mono) {
                let key = OfferKey::new(&machine.type_name, &machine.zone, machine.spot);
                if let Some(index) = offers.index_of(&key) {
                    counts[index] += 1;
                }
            }
        }
        for rental in self.unanswered_rentals() {
            let record = &rental.record;
            let Some(record) = record.desired.as_ref().or(record.saved.as_ref()) else {
                continue;
            };
            if let Some(index) = offers.index_of(&rental_offer(record)) {
                counts[index] += record.count;
                requested[index] = true;
            }
        }
        ExpectedMachines { counts, requested }
    }

    fn unanswered_rentals(&self) -> impl Iterator<Item = &Rental> {
        self.rentals.values().filter(|r| r.answered_at.is_none())
    }

    /// Creates rentals up to the number that may be in flight at a time. A request for more machines than one rental
    /// may have is split into several rentals only if the last rental of this offer was filled in full; otherwise only
    /// one rental is created for it.
    fn create_rentals(
        &mut self,
        mut requests: VecDeque<RentRequest>,
        offers: &[OfferKey],
        now: Now,
    ) {
        let mut in_flight = self.unanswered_rentals().count();
        while let Some(mut request) = requests.pop_front() {
            if in_flight >= RENTALS_IN_FLIGHT_MAX {
                break;
            }
            in_flight += 1;
            let offer = &offers[request.offer];
            let count = request.count.min(MACHINES_PER_RENTAL_MAX);
            request.count -= count;
            if request.count > 0 && self.filled_offers.contains(offer) {
                requests.push_back(request);
            }
            self.create_rental(offer, count, now);
        }
    }

    fn create_rental(&mut self, offer: &OfferKey, count: u32, now: Now) {
        let OfferKey {
            machine_type: kind,
            zone,
            spot,
        } = offer.clone();
        self.last_rental_number += 1;
        // The term makes the name unique across all leaders.
        let name = format!("t{}-{}", self.term, self.last_rental_number);
        log::info!("event=rent request={name} kind={kind} zone={zone} spot={spot} count={count}");
        let mut record = RecordCell::new(None, 0);
        record.desired = Some(RentalRecord {
            machine_type: kind,
            zone,
            spot,
            count,
        });
        let rental = Rental {
            record,
            request_in_flight: false,
            retry_at: 0,
            known_since: now.mono,
            answered_at: None,
        };
        self.rentals.insert(name.clone(), rental);
        self.queue_write(RecordId::Rental(name));
    }
}

/// Whether a machine without tasks is expected to be up soon: it is booting, or was up and is silent. A silent machine
/// is most likely cut off from the network or hangs, and recovers before a new machine would be up.
fn is_expected(machine: &Machine, heartbeat_timeout_ms: u64, now: u64) -> bool {
    let is_booting = machine.confirmed_by_cloud && !machine.is_reconciled;
    let is_silent = machine.is_reconciled
        && machine.assignments.is_empty()
        && machine
            .last_heartbeat
            .is_some_and(|at| now > at + heartbeat_timeout_ms);
    machine.is_described && (is_booting || is_silent) && !machine.failed && !machine.returning
}
