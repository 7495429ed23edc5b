//! A record in memory beside its last known state in the store.

/// A record as it is wanted, and as it is known to be in the store.
#[derive(Debug, Clone)]
pub(crate) struct RecordCell<T> {
    /// What the store is to hold; nothing if the record is to be deleted.
    pub desired: Option<T>,
    /// What the store is known to hold.
    pub saved: Option<T>,
    /// Version of the record in the store, for compare-and-swap.
    pub version: u64,
    /// A transaction that writes it, or a read of it, is under way.
    pub in_flight: bool,
}

impl<T: PartialEq + Clone> RecordCell<T> {
    /// A record that the store holds as it is wanted.
    pub fn new(saved: Option<T>, version: u64) -> Self {
        RecordCell {
            desired: saved.clone(),
            saved,
            version,
            in_flight: false,
        }
    }

    /// Whether the store does not hold what is wanted.
    pub fn is_unsaved(&self) -> bool {
        self.desired != self.saved
    }
}
