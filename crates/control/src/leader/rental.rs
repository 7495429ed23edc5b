//! Rental requests: machines that were asked of the cloud.

use super::model::RecordCell;
use wire::records::RentalRecord;

/// What the cloud offers machines under.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct OfferKey {
    /// Machine type.
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Whether the machines are spot ones.
    pub spot: bool,
}

impl OfferKey {
    /// The offer of a machine type in a zone.
    pub fn new(machine_type: &str, zone: &str, spot: bool) -> Self {
        OfferKey {
            machine_type: machine_type.to_string(),
            zone: zone.to_string(),
            spot,
        }
    }
}

/// Time for which an offer is left alone after the cloud had no such machines.
#[derive(Debug, Clone, Copy)]
pub(super) struct OfferBackoff {
    /// When it may be asked for again.
    pub until: u64,
    /// Milliseconds of the pause, which doubles each time.
    pub pause_ms: u64,
}

/// A rental request. Times are of the steady clock, in milliseconds.
#[derive(Debug, Clone)]
pub(super) struct Rental {
    /// Its record, which makes the request idempotent across leaders.
    pub record: RecordCell<RentalRecord>,
    /// The cloud was asked.
    pub sent: bool,
    /// When the request may be sent again.
    pub retry_at: u64,
    /// When this leader made it, or read its record.
    pub since: u64,
    /// When the cloud named its machines. The record is kept until the cloud's list certainly shows them.
    pub granted_at: Option<u64>,
}

impl Rental {
    /// A request that was read from the records: the cloud may have been asked by an earlier leader.
    pub fn recorded(record: RentalRecord, version: u64, now: u64) -> Self {
        Rental {
            record: RecordCell::new(Some(record), version),
            sent: false,
            retry_at: 0,
            since: now,
            granted_at: None,
        }
    }
}
