//! Rental requests: requests to the cloud for machines.

use super::model::RecordCell;
use wire::records::RentalRecord;

/// Identifies an offer of the cloud: machines of one type in one zone, either spot or on-demand.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct OfferKey {
    /// Name of the machine type.
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Whether the machines are spot instances.
    pub spot: bool,
}

impl OfferKey {
    /// The key of the offer of a machine type in a zone.
    pub fn new(machine_type: &str, zone: &str, spot: bool) -> Self {
        OfferKey {
            machine_type: machine_type.to_string(),
            zone: zone.to_string(),
            spot,
        }
    }
}

/// Backoff of an offer for which the cloud had no capacity.
#[derive(Debug, Clone, Copy)]
pub(super) struct OfferBackoff {
    /// When machines of the offer may be requested again.
    pub retry_at: u64,
    /// Milliseconds of the present backoff, which doubles with each further refusal up to a maximum.
    pub pause_ms: u64,
}

/// A rental request. Times are in milliseconds of the monotonic clock.
#[derive(Debug, Clone)]
pub(super) struct Rental {
    /// Its record, which makes the request idempotent across leaders.
    pub record: RecordCell<RentalRecord>,
    /// Whether the request was sent to the cloud and its reply has not arrived yet.
    pub request_in_flight: bool,
    /// When the request may be sent again.
    pub retry_at: u64,
    /// When this leader created the request or read its record.
    pub known_since: u64,
    /// When the cloud replied with the names of the rented machines. The record is kept until the cloud's list
    /// certainly shows them.
    pub answered_at: Option<u64>,
}

impl Rental {
    /// A request that was read from its record. An earlier leader may have sent it to the cloud already.
    pub fn from_record(record: RentalRecord, version: u64, now: u64) -> Self {
        Rental {
            record: RecordCell::new(Some(record), version),
            request_in_flight: false,
            retry_at: 0,
            known_since: now,
            answered_at: None,
        }
    }
}
