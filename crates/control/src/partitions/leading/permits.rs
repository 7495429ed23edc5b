//! Issues permits for steady machines, and recalls them.

use super::PartitionLeader;
use crate::effects::Effects;
use crate::leader::{AnsweredHeartbeat, Leader};
use crate::partitions::send;
use constants::{PERMITS_PER_FRAME_MAX, PERMIT_BATCH_DELAY_MS};
use wire::partitions::PartitionMessageBody;

impl PartitionLeader {
    /// Handles the leader's answer to a heartbeat that a peer forwarded. The answer contained no
    /// orders, so the machine may get a permit.
    pub fn on_heartbeat_answered(
        &mut self,
        peer: &str,
        heartbeat: &AnsweredHeartbeat,
        leader: &mut Leader,
        now: u64,
    ) {
        self.redirects.on_owner_reached(heartbeat.machine(), peer);
        let Some((boot, permit)) = leader.permit_after_heartbeat(peer, heartbeat, now) else {
            return;
        };
        if self.permits.is_empty() {
            self.permits_due_at = now + PERMIT_BATCH_DELAY_MS;
        }
        let key = (peer.to_string(), boot);
        self.permits.entry(key).or_default().push(permit);
    }

    /// Sends the collected permits once they are due.
    pub(super) fn send_permits(&mut self, effects: &mut Effects) {
        if effects.now.mono < self.permits_due_at {
            return;
        }
        for ((owner, boot), permits) in std::mem::take(&mut self.permits) {
            for permits in permits.chunks(PERMITS_PER_FRAME_MAX) {
                let permits = permits.to_vec();
                let body = PartitionMessageBody::Permits { boot, permits };
                send(&owner, self.term, body, effects);
            }
        }
    }

    /// Sends recalls of the permits that were just withdrawn.
    pub(super) fn send_recalls(&mut self, leader: &mut Leader, effects: &mut Effects) {
        for ((owner, boot), recalled) in leader.urgent_recalls() {
            // Unsent permits must not arrive after their recall.
            self.permits_due_at = 0;
            self.send_permits(effects);
            for permits in recalled.chunks(PERMITS_PER_FRAME_MAX) {
                let permits = permits.to_vec();
                let body = PartitionMessageBody::Recall { boot, permits };
                send(&owner, self.term, body, effects);
            }
        }
    }
}
