//! Computes when a node has work that is due by the clock.

use super::Node;
use crate::leader::Leader;
use crate::partitions::Partitions;
use constants::GATEWAY_WAKE_INTERVAL_MS;

impl Node {
    /// Returns when [`Node::tick`] must be called next, on the monotonic clock.
    pub fn next_wake(&self) -> u64 {
        let now = self.last_turn_at.mono;
        let leader = self.leader.as_ref();
        let leader_is_ready = leader.is_some_and(Leader::is_ready);
        let wakes = [
            Some(self.election.next_wake()),
            Some(self.peer_heartbeats.next_wake()),
            leader.map(|leader| leader.next_wake(self.is_active(now))),
            self.state.next_wake(),
            self.cloud.next_wake(),
            (!self.gateway.is_idle()).then_some(now + GATEWAY_WAKE_INTERVAL_MS),
            Some(self.gateway.next_wake()),
            Some(self.rollout.next_wake()),
            self.partitions.as_ref().map(Partitions::next_wake),
            self.next_stop_check(),
            self.forwarded_requests.next_wake(now),
            self.pending_heartbeats.next_wake(leader_is_ready, now),
            self.deferred_answers.next_wake(),
        ];
        let earliest = wakes.into_iter().flatten().min();
        // The limit is relative to the last tick, not to the last input. Under a flood of requests
        // there is always a recent input, and a limit relative to it would delay renewals,
        // scheduling rounds and deadlines without end.
        let soonest = self.last_tick_at + 1;
        earliest.map_or(soonest, |at| at.max(soonest))
    }
}
