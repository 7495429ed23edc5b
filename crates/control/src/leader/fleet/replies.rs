//! Handling of replies from the cloud.

use crate::effects::{Effects, Now};
use crate::leader::model::Machine;
use crate::leader::{Leader, OfferBackoff, OfferKey};
use crate::requests::{CloudOp, CloudPurpose, CloudReply, RecordId};
use constants::{NO_CAPACITY_BACKOFF_MAX_MS, NO_CAPACITY_BACKOFF_MS};
use wire::cloud::RentalRequest;

/// Milliseconds until a rental that was refused for now, or whose outcome is unknown, is requested again under the same
/// name.
const RENTAL_RETRY_MS: u64 = 2_000;

/// The offer that a rental request names.
fn requested_offer(rent: &RentalRequest) -> OfferKey {
    OfferKey::new(&rent.machine_type, &rent.zone, rent.spot)
}

impl Leader {
    /// Handles the reply to a request that this leader sent to the cloud.
    pub(in crate::leader) fn on_cloud_reply(
        &mut self,
        request: CloudPurpose,
        op: CloudOp,
        reply: CloudReply,
        effects: &mut Effects,
    ) {
        let now = effects.now;
        match (request, reply) {
            (CloudPurpose::Types, CloudReply::Types(types)) => {
                self.on_machine_types(types, effects)
            }
            (CloudPurpose::Types, _) => self.on_type_listing_failed(now),
            (
                CloudPurpose::List {
                    requested_at: asked,
                },
                CloudReply::Listed(page),
            ) => {
                self.on_list_page(asked, page, effects);
            }
            (CloudPurpose::List { .. }, _) => self.machine_listing.abandon(),
            (CloudPurpose::Rent(name), reply) => {
                if let CloudOp::Rent(rent) = op {
                    self.on_rent_reply(&name, rent, reply, now);
                }
            }
            (CloudPurpose::Return(names), CloudReply::Returned) => {
                for name in names {
                    self.on_machine_removed(&name, now);
                }
            }
            (CloudPurpose::Return(names), reply) => {
                log::info!(
                    "event=return_failed machines={} reply={reply:?}",
                    names.len()
                );
                self.retry_returns(&names, now);
            }
        }
    }

    fn on_rent_reply(&mut self, name: &str, rent: RentalRequest, reply: CloudReply, now: Now) {
        let Some(rental) = self.rentals.get_mut(name) else {
            return;
        };
        rental.request_in_flight = false;
        match reply {
            CloudReply::Rented(machines) => self.on_rented(name, rent, machines, now),
            CloudReply::NoCapacity | CloudReply::Invalid => {
                rental.record.desired = None;
                self.back_off_offer(requested_offer(&rent), now);
                self.queue_write(RecordId::Rental(name.to_string()));
            }
            _ => rental.retry_at = now.mono + RENTAL_RETRY_MS,
        }
    }

    fn on_rented(&mut self, name: &str, rent: RentalRequest, machines: Vec<String>, now: Now) {
        let Some(rental) = self.rentals.get_mut(name) else {
            return;
        };
        log::info!(
            "event=rented request={name} got={} of={} took_ms={}",
            machines.len(),
            rent.count,
            now.mono - rental.known_since
        );
        rental.answered_at = Some(now.mono);
        let offer = requested_offer(&rent);
        if machines.len() < rent.count as usize {
            self.back_off_offer(offer, now);
        } else {
            self.offer_backoff.remove(&offer);
            self.filled_offers.insert(offer);
        }
        for machine in machines {
            if !self.departed_machines.contains_key(&machine) {
                self.add_rented_machine(machine, &rent, now);
            }
        }
    }

    fn add_rented_machine(&mut self, name: String, rent: &RentalRequest, now: Now) {
        let machine = self
            .machines
            .entry(name)
            .or_insert_with(|| Machine::new(now.mono));
        machine.describe(&rent.machine_type, &rent.zone, rent.spot);
        machine.confirmed_by_cloud = true;
        machine.rented_by_this_leader = machine.last_heartbeat.is_none() && !machine.listed;
    }

    /// Stops requesting an offer for a while, with exponential backoff.
    fn back_off_offer(&mut self, offer: OfferKey, now: Now) {
        self.filled_offers.remove(&offer);
        let last_pause_ms = self
            .offer_backoff
            .get(&offer)
            .map_or(0, |backoff| backoff.pause_ms);
        let pause_ms =
            (last_pause_ms * 2).clamp(NO_CAPACITY_BACKOFF_MS, NO_CAPACITY_BACKOFF_MAX_MS);
        let OfferKey {
            machine_type: kind,
            zone,
            spot,
        } = &offer;
        log::info!("event=no_capacity kind={kind} zone={zone} spot={spot} pause_ms={pause_ms}");
        self.offer_backoff.insert(
            offer,
            OfferBackoff {
                retry_at: now.mono + pause_ms,
                pause_ms,
            },
        );
    }
}
