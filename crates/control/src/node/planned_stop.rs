//! A process that is asked to stop: it takes nothing new, hands the lead over, and ends what it has in hand.

use super::{Effects, Node, Now};
use constants::{HANDOVER_DRAIN_MS, STOP_MS};
use wire::peers::PeerMessage;

/// Since when the process is to stop.
#[derive(Debug, Clone, Copy)]
pub(super) struct PlannedStop {
    since: u64,
}

impl Node {
    /// The process is to stop. A second request changes nothing.
    pub(super) fn begin_stop(&mut self, now: Now) {
        if self.planned_stop.is_none() {
            log::info!("event=stopping leads={}", self.election.leads().is_some());
            self.planned_stop = Some(PlannedStop { since: now.mono });
        }
    }

    /// Whether the process has nothing left to do, or has had its time.
    pub fn is_stopped(&self, now: u64) -> bool {
        let Some(stop) = self.planned_stop else {
            return false;
        };
        let idle = self.election.leads().is_none()
            && self.gateway.is_idle()
            && self.deferred_answers.is_empty()
            && self.pending_heartbeats.is_empty()
            && now > stop.since;
        idle || now >= stop.since + STOP_MS
    }

    /// Hands the lead over once no transaction of ours is under way, or has been for too long.
    ///
    /// The lease is ended, and with it whatever of ours is still under way fails. So the hand-over is a loss of the lease
    /// like any other; naming a successor only saves the others' looking for one, and a wrong name costs an election.
    pub(super) fn go_on_stopping(&mut self, effects: &mut Effects) {
        let (Some(stop), Some(term)) = (self.planned_stop, self.election.leads()) else {
            return;
        };
        let now = effects.now.mono;
        let is_busy = self
            .leader
            .as_ref()
            .is_some_and(|l| l.has_writes_in_flight());
        if is_busy && now < stop.since + HANDOVER_DRAIN_MS {
            return;
        }
        let successor = self.rollout.successor(&self.peers, now);
        log::info!("event=handing_over term={term} to={successor:?}");
        if let Some(to) = successor {
            let message = PeerMessage::Handover { term };
            // Ahead of the answers to workers, who look for the next leader at once.
            self.out.push_back(crate::effects::Output::Peer {
                to: Some(to),
                message,
            });
        }
        self.election.resign("a planned stop", effects);
    }

    /// When [`Node::go_on_stopping`] has something to do.
    pub(super) fn stop_wake(&self) -> Option<u64> {
        self.planned_stop
            .map(|_| self.last_tick + HANDOVER_DRAIN_MS / 10)
    }
}
