//! Listings of the machine types by the cloud.

use crate::effects::{Effects, NodeEvent, Now};
use crate::leader::Leader;
use crate::requests::{CloudOp, CloudPurpose, RecordId};
use constants::MACHINE_TYPES_INTERVAL_S;
use wire::cloud::MachineType;

/// Milliseconds until the machine types are requested again after a failure, if none are known yet.
const FIRST_RETRY_MS: u64 = 1_000;
/// Milliseconds until the machine types are requested again after a failure, if those of an earlier reply can be used.
const RETRY_MS: u64 = 10_000;

/// Progress of the listings of the machine types.
#[derive(Default)]
pub(in crate::leader) struct TypeListing {
    /// When the next listing is due.
    next_at: u64,
    /// Whether a listing has been requested and not answered.
    in_flight: bool,
}

impl Leader {
    /// Requests the machine types from the cloud if a listing is due.
    pub(super) fn request_machine_types(&mut self, effects: &mut Effects) {
        if effects.now.mono >= self.type_listing.next_at {
            self.list_machine_types_now(effects);
        }
    }

    /// Requests the machine types from the cloud, unless a request is in flight already or the recorded types have not
    /// been read yet.
    pub fn list_machine_types_now(&mut self, effects: &mut Effects) {
        if !self.is_ready() || self.type_listing.in_flight {
            return;
        }
        self.type_listing.in_flight = true;
        self.type_listing.next_at = effects.now.mono + (MACHINE_TYPES_INTERVAL_S * 1000.0) as u64;
        self.send_cloud_request(CloudOp::Types, CloudPurpose::Types, effects);
    }

    /// Handles the machine types that the cloud has listed.
    pub(super) fn on_machine_types(&mut self, types: Vec<MachineType>, effects: &mut Effects) {
        self.type_listing.in_flight = false;
        effects.emit(NodeEvent::MachineTypesListed(types.clone()));
        if self.machine_types.desired.as_ref() != Some(&types) {
            self.machine_types.desired = Some(types);
            self.queue_write(RecordId::Types);
            self.round_due = true;
        }
    }

    /// Handles a request for the machine types that failed.
    pub(super) fn on_type_listing_failed(&mut self, now: Now) {
        self.type_listing.in_flight = false;
        let retry_ms = match self.machine_types.desired.is_some() {
            true => RETRY_MS,
            false => FIRST_RETRY_MS,
        };
        self.type_listing.next_at = now.mono + retry_ms;
    }
}
