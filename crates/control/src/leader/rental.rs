//! Rental requests: machines that were asked of the cloud.

use super::model::RecordCell;
use wire::records::RentalRecord;

/// Type, zone and kind (`true` for spot) of machines that the cloud offers.
pub(super) type OfferKey = (String, String, bool);

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
