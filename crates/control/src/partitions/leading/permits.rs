//! Permits for steady machines, and their recalls.

use super::Leading;
use crate::effects::Effects;
use crate::leader::{AnsweredHeartbeat, Leader};
use crate::partitions::send;
use constants::{PERMITS_A_FRAME, PERMITS_WAIT_MS};
use wire::partitions::PartitionMessageBody;

impl Leading {
    /// The leader answered a report that a peer forwarded, without orders: the machine may get a permit.
    pub fn on_answered(
        &mut self,
        peer: &str,
        report: &AnsweredHeartbeat,
        leader: &mut Leader,
        now: u64,
    ) {
        self.redirects.reached(report.machine(), peer);
        let Some((boot, permit)) = leader.permit_after_heartbeat(peer, report, now) else {
            return;
        };
        if self.permits.is_empty() {
            self.next_permits = now + PERMITS_WAIT_MS;
        }
        let key = (peer.to_string(), boot);
        self.permits.entry(key).or_default().push(permit);
    }

    /// Sends the permits that have been collected.
    pub(super) fn send_permits(&mut self, effects: &mut Effects) {
        if effects.now.mono < self.next_permits {
            return;
        }
        for ((owner, boot), permits) in std::mem::take(&mut self.permits) {
            for permits in permits.chunks(PERMITS_A_FRAME) {
                let permits = permits.to_vec();
                let body = PartitionMessageBody::Permits { boot, permits };
                send(&owner, self.term, body, effects);
            }
        }
    }

    /// Sends the recalls of permits that were just withdrawn.
    pub(super) fn send_recalls(&mut self, leader: &mut Leader, effects: &mut Effects) {
        for ((owner, boot), recalled) in leader.urgent_recalls() {
            // Permits that have not been sent yet must not arrive after their recall.
            self.next_permits = 0;
            self.send_permits(effects);
            for permits in recalled.chunks(PERMITS_A_FRAME) {
                let permits = permits.to_vec();
                let body = PartitionMessageBody::Recall { boot, permits };
                send(&owner, self.term, body, effects);
            }
        }
    }
}
