//! The planned stop of a process: it accepts no new requests, hands leadership over, and completes those under way.

use super::Node;
use crate::effects::{Effects, Now, Output};
use crate::leader::Leader;
use constants::{HANDOVER_DRAIN_TIMEOUT_MS, SHUTDOWN_TIMEOUT_MS};
use wire::peers::PeerMessage;

/// Milliseconds between checks whether the leader's transactions have completed: a small part of the time they have.
const STOP_CHECK_MS: u64 = HANDOVER_DRAIN_TIMEOUT_MS / 10;

/// A planned stop under way.
#[derive(Debug, Clone, Copy)]
pub(super) struct PlannedStop {
    /// When the process was asked to stop.
    since: u64,
}

impl Node {
    /// The process is asked to stop. A second request changes nothing.
    pub(super) fn begin_stop(&mut self, now: Now) {
        if self.planned_stop.is_none() {
            log::info!("event=stopping leads={}", self.election.leads().is_some());
            self.planned_stop = Some(PlannedStop { since: now.mono });
        }
    }

    /// Whether the process has nothing left to do, or its time for stopping is over.
    pub fn is_stopped(&self, now: u64) -> bool {
        let Some(stop) = self.planned_stop else {
            return false;
        };
        let is_idle = self.election.leads().is_none()
            && self.gateway.is_idle()
            && self.deferred_answers.is_empty()
            && self.pending_heartbeats.is_empty()
            && now > stop.since;
        is_idle || now >= stop.since + SHUTDOWN_TIMEOUT_MS
    }

    /// Hands leadership over once no transaction of ours is under way, or has been for too long.
    ///
    /// The lease is revoked, and whatever of ours is still under way fails with it. So the handover is a loss of the
    /// lease like any other. Naming a successor only spares the others the search for one; a wrong name costs an
    /// election.
    pub(super) fn continue_stop(&mut self, effects: &mut Effects) {
        let (Some(stop), Some(term)) = (self.planned_stop, self.election.leads()) else {
            return;
        };
        let now = effects.now.mono;
        let leader = self.leader.as_ref();
        let is_busy = leader.is_some_and(Leader::has_writes_in_flight);
        if is_busy && now < stop.since + HANDOVER_DRAIN_TIMEOUT_MS {
            return;
        }
        let successor = self.rollout.successor(&self.peers, now);
        log::info!("event=handing_over term={term} to={successor:?}");
        if let Some(successor) = successor {
            // Ahead of the answers to workers, who look for the next leader at once.
            self.out.push_back(Output::Peer {
                to: Some(successor),
                message: PeerMessage::Handover { term },
            });
        }
        self.election.resign("a planned stop", effects);
    }

    /// When [`Node::continue_stop`] has something to do.
    pub(super) fn stop_wake(&self) -> Option<u64> {
        self.planned_stop.map(|_| self.last_tick + STOP_CHECK_MS)
    }
}
