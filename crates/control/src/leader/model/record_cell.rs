//! Records with their desired and their stored contents.

/// Desired content of a record, and its last known content in the store.
#[derive(Debug, Clone)]
pub(crate) struct RecordCell<T> {
    /// Content that the store is to hold; `None` if the record is to be deleted.
    pub desired: Option<T>,
    /// Content that the store is known to hold; `None` if the record does not exist.
    pub saved: Option<T>,
    /// Version of the record in the store, for compare-and-swap.
    pub version: u64,
    /// A transaction that writes the record, or a read of it, is in flight.
    pub in_flight: bool,
}

impl<T: PartialEq + Clone> RecordCell<T> {
    /// A record whose stored content is the desired one.
    pub fn new(saved: Option<T>, version: u64) -> Self {
        RecordCell {
            desired: saved.clone(),
            saved,
            version,
            in_flight: false,
        }
    }

    /// Whether the desired content differs from the stored one.
    pub fn is_unsaved(&self) -> bool {
        self.desired != self.saved
    }
}
