//! When a node has something to do by the clock.

use super::Node;
use crate::leader::Leader;
use crate::partitions::Partitions;
use constants::GATEWAY_WAKE_INTERVAL_MS;

impl Node {
    /// When [`Node::tick`] wants to be called, on the steady clock.
    pub fn next_wake(&self) -> u64 {
        let now = self.last_now.mono;
        let leader = self.leader.as_ref();
        let leader_is_ready = leader.is_some_and(Leader::is_ready);
        let wakes = [
            Some(self.election.next_wake()),
            Some(self.heartbeat.next_wake()),
            leader.map(|leader| leader.next_wake(self.active(now))),
            self.state.next_wake(),
            self.cloud.next_wake(),
            (!self.gateway.is_idle()).then_some(now + GATEWAY_WAKE_INTERVAL_MS),
            Some(self.gateway.next_wake()),
            Some(self.rollout.next_wake()),
            self.partitions.as_ref().map(Partitions::next_wake),
            self.stop_wake(),
            self.forwarded.next_wake(now),
            self.pending_heartbeats.next_wake(leader_is_ready, now),
            self.deferred_answers.next_wake(),
        ];
        let earliest = wakes.into_iter().flatten().min();
        // Bounded by the last tick, not by the last input: under a flood there is an input at every moment,
        // and renewals, rounds and deadlines would never come.
        let soonest = self.last_tick + 1;
        earliest.map_or(soonest, |at| at.max(soonest))
    }
}
