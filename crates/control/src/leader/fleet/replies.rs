//! Replies of the cloud.

use crate::effects::{Effects, NodeEvent, Now};
use crate::leader::model::Machine;
use crate::leader::{Leader, OfferBackoff, OfferKey};
use crate::requests::{CloudOp, CloudReply, CloudRequest, RecordId};
use constants::{NO_CAPACITY_MAX_MS, NO_CAPACITY_MS};
use wire::cloud::{MachineType, RentalRequest};

/// Milliseconds until the machine types are requested again after a failure, while none are known.
const FIRST_TYPES_RETRY_MS: u64 = 1_000;
/// Milliseconds until they are requested again while those of an earlier reply can serve.
const TYPES_RETRY_MS: u64 = 10_000;
/// Milliseconds until a rental whose outcome is unknown is requested again, under the same name.
const RENTAL_RETRY_MS: u64 = 2_000;

/// The offer that a rental asked for.
fn requested_offer(rent: &RentalRequest) -> OfferKey {
    OfferKey::new(&rent.machine_type, &rent.zone, rent.spot)
}

impl Leader {
    /// Takes in the reply to a request of this leader.
    pub(in crate::leader) fn on_cloud_reply(
        &mut self,
        request: CloudRequest,
        op: CloudOp,
        reply: CloudReply,
        effects: &mut Effects,
    ) {
        let now = effects.now;
        match (request, reply) {
            (CloudRequest::Types, CloudReply::Types(types)) => self.on_types(types, effects),
            (CloudRequest::Types, _) => {
                let retry_ms = match self.types.desired.is_some() {
                    true => TYPES_RETRY_MS,
                    false => FIRST_TYPES_RETRY_MS,
                };
                self.next_types = now.mono + retry_ms;
            }
            (CloudRequest::List { asked }, CloudReply::Listed(page)) => {
                self.on_list_page(asked, page, effects);
            }
            (CloudRequest::List { .. }, _) => self.listing_since = None,
            (CloudRequest::Rent(name), reply) => {
                if let CloudOp::Rent(rent) = op {
                    self.on_rent_reply(&name, rent, reply, now);
                }
            }
            (CloudRequest::Return(names), CloudReply::Returned) => {
                for name in names {
                    self.on_machine_removed(&name, now);
                }
            }
            (CloudRequest::Return(names), reply) => {
                log::info!(
                    "event=return_failed machines={} reply={reply:?}",
                    names.len()
                );
                self.retry_returns(&names, now);
            }
        }
    }

    fn on_types(&mut self, types: Vec<MachineType>, effects: &mut Effects) {
        if self.types.desired.as_ref() != Some(&types) {
            effects.emit(NodeEvent::MachineTypesRead(types.clone()));
            self.types.desired = Some(types);
            self.queue_write(RecordId::Types);
            self.plan_due = true;
        }
    }

    fn on_rent_reply(&mut self, name: &str, rent: RentalRequest, reply: CloudReply, now: Now) {
        let Some(rental) = self.rentals.get_mut(name) else {
            return;
        };
        rental.sent = false;
        match reply {
            CloudReply::Rented(machines) => self.on_rented(name, rent, machines, now),
            CloudReply::NoCapacity | CloudReply::Invalid => {
                rental.record.desired = None;
                self.no_capacity(requested_offer(&rent), now);
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
            now.mono - rental.since
        );
        rental.granted_at = Some(now.mono);
        let offer = requested_offer(&rent);
        if machines.len() < rent.count as usize {
            self.no_capacity(offer, now);
        } else {
            self.offer_backoff.remove(&offer);
            self.filled_offers.insert(offer);
        }
        for machine in machines {
            if !self.departed.contains_key(&machine) {
                self.add_rented(machine, &rent, now);
            }
        }
    }

    fn add_rented(&mut self, name: String, rent: &RentalRequest, now: Now) {
        let machine = self
            .machines
            .entry(name)
            .or_insert_with(|| Machine::new(now.mono));
        machine.describe(&rent.machine_type, &rent.zone, rent.spot);
        machine.expected = true;
        machine.rented = machine.last_heartbeat.is_none() && !machine.listed;
    }

    /// Leaves an offer alone for a while, with exponential backoff.
    fn no_capacity(&mut self, offer: OfferKey, now: Now) {
        self.filled_offers.remove(&offer);
        let last_pause_ms = self
            .offer_backoff
            .get(&offer)
            .map_or(0, |backoff| backoff.pause_ms);
        let pause_ms = (last_pause_ms * 2).clamp(NO_CAPACITY_MS, NO_CAPACITY_MAX_MS);
        let OfferKey {
            machine_type: kind,
            zone,
            spot,
        } = &offer;
        log::info!("event=no_capacity kind={kind} zone={zone} spot={spot} pause_ms={pause_ms}");
        self.offer_backoff.insert(
            offer,
            OfferBackoff {
                until: now.mono + pause_ms,
                pause_ms,
            },
        );
    }
}
