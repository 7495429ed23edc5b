//! Notices of cancellations that a peer has confirmed to users, and whether any of them was missed.

use super::PeerHeartbeat;

/// The cancellations confirmed by one process of a peer that are known here.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ConfirmedCancellations {
    /// Number of the process.
    boot: u64,
    /// How many there are.
    count: u64,
    /// When the count was last taken from a heartbeat, 0 if never: no notice has been missed from then on.
    since: u64,
}

impl ConfirmedCancellations {
    /// Handles a heartbeat. If it is of another process, or a notice was lost with a broken connection, counting
    /// begins anew.
    pub fn on_heartbeat(&mut self, heartbeat: &PeerHeartbeat) {
        if self.boot != heartbeat.boot || self.count != heartbeat.aborts {
            *self = ConfirmedCancellations {
                boot: heartbeat.boot,
                count: heartbeat.aborts,
                since: heartbeat.at,
            };
        }
    }

    /// Handles the notice of the cancellation with this number.
    pub fn on_notice(&mut self, number: u64) {
        if number == self.count + 1 {
            self.count = number;
        }
    }

    /// Whether no notice has been missed since a moment.
    pub fn are_complete_since(&self, moment: u64) -> bool {
        self.since > 0 && self.since <= moment
    }
}
