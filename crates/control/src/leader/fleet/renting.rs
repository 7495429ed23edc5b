//! Scale out: rental requests for what the waiting work needs.

use crate::effects::{Effects, Now};
use crate::leader::model::{Machine, RecordCell};
use crate::leader::planning::{type_resources, SchedulingSnapshot};
use crate::leader::{Leader, OfferKey, Rental};
use crate::requests::{CloudOp, CloudRequest, RecordId};
use constants::{HOUSEKEEPING_MS, RENTALS_OPEN, RENT_HORIZON, RENT_MAX};
use sched::{plan_fleet, FleetSnapshot, Offer, RentRequest};
use std::collections::VecDeque;
use wire::cloud::{MachineType, RentalRequest};
use wire::records::RentalRecord;

/// Milliseconds, for each second that the cloud's list may lag, after which rented machines are certainly listed: two
/// and a half lags.
const SHOWN_MS_PER_LAG_S: f64 = 2_500.0;
/// Milliseconds added to that, for the request and its reply.
const SHOWN_EXTRA_MS: u64 = 2_000;

/// What the cloud offers.
struct Offers {
    offers: Vec<Offer>,
    /// Type, zone and kind of each offer.
    keys: Vec<OfferKey>,
}

impl Offers {
    fn number(&self, key: &OfferKey) -> Option<usize> {
        self.keys.iter().position(|known| known == key)
    }
}

/// Machines that are on their way, by offer.
struct ExpectedMachines {
    counts: Vec<u32>,
    /// Whether a rental request is under way.
    requested: Vec<bool>,
}

fn rental_offer(record: &RentalRecord) -> OfferKey {
    OfferKey::new(&record.machine_type, &record.zone, record.spot)
}

impl Leader {
    /// Requests a rental from the cloud once its record is saved, unless the request is under way or answered.
    pub(in crate::leader) fn send_rental(&mut self, name: &str, effects: &mut Effects) {
        let Some(rental) = self.rentals.get_mut(name) else {
            return;
        };
        let Some(record) = rental.record.saved.clone() else {
            return;
        };
        if rental.sent || rental.granted_at.is_some() {
            return;
        }
        if rental.record.is_unsaved() || effects.now.mono < rental.retry_at {
            return;
        }
        rental.sent = true;
        let rent = RentalRequest {
            name: name.to_string(),
            machine_type: record.machine_type,
            zone: record.zone,
            spot: record.spot,
            count: record.count,
        };
        let request = CloudRequest::Rent(name.to_string());
        self.send_cloud_request(CloudOp::Rent(rent), request, effects);
    }

    /// Deletes the records of rentals whose machines are listed, and sends what is to be sent again.
    pub(super) fn maintain_rentals(&mut self, effects: &mut Effects) {
        self.delete_listed_rentals(effects.now);
        let names: Vec<String> = self.rentals.keys().cloned().collect();
        for name in names {
            self.send_rental(&name, effects);
        }
    }

    /// Deletes the record of a rental once the list certainly shows its machines. Until then a next leader requests it
    /// again by its name.
    fn delete_listed_rentals(&mut self, now: Now) {
        let list_lag_s = self.settings.deployment.cloud.list_lag_s;
        let shown_ms = (list_lag_s * SHOWN_MS_PER_LAG_S) as u64 + SHOWN_EXTRA_MS;
        let mut listed = Vec::new();
        for (name, rental) in &mut self.rentals {
            let is_shown = rental.granted_at.is_some_and(|at| now.mono > at + shown_ms);
            if is_shown && rental.record.desired.is_some() {
                rental.record.desired = None;
                listed.push(name.clone());
            }
        }
        for name in listed {
            self.queue_write(RecordId::Rental(name));
        }
    }

    /// Decides on new rentals, and queues their records.
    pub(super) fn rent_machines(&mut self, effects: &mut Effects) {
        let now = effects.now;
        let Some(types) = self.types.desired.clone() else {
            return;
        };
        // A new leader first reads the list, which may still hide what was rented before it.
        if !self.listed_once || now.mono < self.next_rent {
            return;
        }
        self.next_rent = now.mono + HOUSEKEEPING_MS;
        let mut snapshot = self.scheduling_snapshot(now);
        let offers = self.offers(&types, &mut snapshot, now);
        let expected = self.expected_machines(&offers, now);
        let shortest_boot_s = types.iter().map(|t| t.boot_s).fold(f64::MAX, f64::min);
        let fleet = FleetSnapshot {
            offers: offers.offers,
            expected: expected.counts,
            minimizes_cost: self.settings.minimizes_cost(),
            horizon_s: shortest_boot_s * RENT_HORIZON,
        };
        let mut requests = VecDeque::from(plan_fleet(&snapshot.view, &fleet));
        requests.retain(|request| !expected.requested[request.offer]);
        self.create_rentals(requests, &offers.keys, now);
    }

    /// Every type in every zone, spot or not.
    fn offers(&self, types: &[MachineType], snapshot: &mut SchedulingSnapshot, now: Now) -> Offers {
        let (mut offers, mut keys) = (Vec::new(), Vec::new());
        for machine_type in types {
            for zone in &machine_type.zones {
                for spot in [false, true] {
                    let key = OfferKey::new(&machine_type.name, zone, spot);
                    let backoff = self.offer_backoff.get(&key);
                    offers.push(Offer {
                        kind: snapshot.kinds.number(&machine_type.name),
                        zone: snapshot.zones.number(zone),
                        spot,
                        total: type_resources(machine_type),
                        price: match spot {
                            true => machine_type.spot_price_per_hour,
                            false => machine_type.price_per_hour,
                        },
                        open: backoff.is_none_or(|backoff| now.mono >= backoff.until),
                    });
                    keys.push(key);
                }
            }
        }
        Offers { offers, keys }
    }

    /// Machines that are booting, or away and expected back, and those of rentals that are not answered yet.
    fn expected_machines(&self, offers: &Offers, now: Now) -> ExpectedMachines {
        let mut counts = vec![0; offers.keys.len()];
        let mut requested = vec![false; offers.keys.len()];
        let silent_ms = self.silent_ms();
        for machine in self.machines.values() {
            if is_expected(machine, silent_ms, now.mono) {
                let key = OfferKey::new(&machine.kind, &machine.zone, machine.spot);
                if let Some(number) = offers.number(&key) {
                    counts[number] += 1;
                }
            }
        }
        for rental in self.unanswered_rentals() {
            let record = &rental.record;
            let Some(record) = record.desired.as_ref().or(record.saved.as_ref()) else {
                continue;
            };
            if let Some(number) = offers.number(&rental_offer(record)) {
                counts[number] += record.count;
                requested[number] = true;
            }
        }
        ExpectedMachines { counts, requested }
    }

    fn unanswered_rentals(&self) -> impl Iterator<Item = &Rental> {
        self.rentals.values().filter(|r| r.granted_at.is_none())
    }

    /// Creates rentals, as many as may be under way at a time. Of a request beyond what one rental may ask for, one
    /// rental goes out until the offer has been filled in full once.
    fn create_rentals(
        &mut self,
        mut requests: VecDeque<RentRequest>,
        offers: &[OfferKey],
        now: Now,
    ) {
        let mut under_way = self.unanswered_rentals().count();
        while let Some(mut request) = requests.pop_front() {
            if under_way >= RENTALS_OPEN {
                break;
            }
            under_way += 1;
            let offer = &offers[request.offer];
            let count = request.count.min(RENT_MAX);
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
        self.next_request += 1;
        // The term makes the name unique among all leaders there ever were.
        let name = format!("t{}-{}", self.term, self.next_request);
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
            sent: false,
            retry_at: 0,
            since: now.mono,
            granted_at: None,
        };
        self.rentals.insert(name.clone(), rental);
        self.queue_write(RecordId::Rental(name));
    }
}

/// Whether a machine without tasks is to be up soon. One that has fallen silent is most likely cut off or hangs: it is
/// back before a new one would be up.
fn is_expected(machine: &Machine, silent_ms: u64, now: u64) -> bool {
    let booting = machine.expected && !machine.is_reconciled;
    let away = machine.is_reconciled
        && machine.assignments.is_empty()
        && machine
            .last_heartbeat
            .is_some_and(|at| now > at + silent_ms);
    machine.known && (booting || away) && !machine.failed && !machine.returning
}
