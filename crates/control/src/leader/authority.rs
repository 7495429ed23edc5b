//! What the leader may do at a given time. The node determines it from the lease of the leader key and from what it
//! knows of cancellations.

/// What the leader may do now. Times are on the monotonic clock, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Authority {
    /// When this was determined.
    pub determined_at: u64,
    /// Whether the leader may make decisions: its lease is valid, and it knows every cancellation up to a recent time.
    pub is_active: bool,
    /// Time up to which every cancellation that was confirmed to a user is known; 0 if there is none.
    pub cancellations_known_until: u64,
}
