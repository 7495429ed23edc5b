//! Tracks notices of cancellations that a peer confirmed to users, and whether any notice was
//! missed.

use super::PeerHeartbeat;

/// Known cancellations that were confirmed by one process of a peer.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ConfirmedCancellations {
    /// Random number that identifies the process.
    boot: u64,
    /// Number of these cancellations.
    count: u64,
    /// When the count was last taken from a heartbeat, or 0 if never. No notice has been missed
    /// since then.
    complete_since: u64,
}

impl ConfirmedCancellations {
    /// Handles a heartbeat. If it comes from another process, or a notice was lost with a broken
    /// connection, counting starts again.
    pub fn on_heartbeat(&mut self, heartbeat: &PeerHeartbeat) {
        if self.boot != heartbeat.boot || self.count != heartbeat.cancellation_count {
            *self = ConfirmedCancellations {
                boot: heartbeat.boot,
                count: heartbeat.cancellation_count,
                complete_since: heartbeat.received_at,
            };
        }
    }

    /// Handles the notice of the cancellation with this number.
    pub fn on_notice(&mut self, number: u64) {
        if number == self.count + 1 {
            self.count = number;
        }
    }

    /// Returns whether no notice has been missed since `moment`.
    pub fn are_complete_since(&self, moment: u64) -> bool {
        self.complete_since > 0 && self.complete_since <= moment
    }
}
