//! Planned stop of a process: it accepts no new requests, hands leadership over, and completes
//! pending requests.

use super::Node;
use crate::effects::{Effects, Now, Output};
use crate::leader::Leader;
use constants::{HANDOVER_DRAIN_TIMEOUT_MS, SHUTDOWN_TIMEOUT_MS};
use wire::peers::PeerMessage;

/// Milliseconds between checks whether the leader's transactions have completed: a small fraction
/// of the time that they are given.
const STOP_CHECK_INTERVAL_MS: u64 = HANDOVER_DRAIN_TIMEOUT_MS / 10;

/// A planned stop in progress.
#[derive(Debug, Clone, Copy)]
pub(super) struct PlannedStop {
    /// When the process was asked to stop.
    requested_at: u64,
}

impl Node {
    /// Begins a planned stop. Further calls have no effect.
    pub(super) fn begin_planned_stop(&mut self, now: Now) {
        if self.planned_stop.is_none() {
            log::info!(
                "event=stopping leads={}",
                self.election.leading_term().is_some()
            );
            self.planned_stop = Some(PlannedStop {
                requested_at: now.mono,
            });
        }
    }

    /// Returns whether the process has no work left, or its time to stop is up.
    pub fn is_stopped(&self, now: u64) -> bool {
        let Some(stop) = self.planned_stop else {
            return false;
        };
        let is_idle = self.election.leading_term().is_none()
            && self.gateway.is_idle()
            && self.deferred_answers.is_empty()
            && self.pending_heartbeats.is_empty()
            && now > stop.requested_at;
        is_idle || now >= stop.requested_at + SHUTDOWN_TIMEOUT_MS
    }

    /// Hands leadership over once none of this leader's transactions is in flight, or after
    /// `HANDOVER_DRAIN_TIMEOUT_MS` at the latest.
    ///
    /// Leadership ends by revoking the lease, so transactions that are still in flight fail, as
    /// with any other loss of the lease. Naming a successor only saves the other controllers the
    /// search for one. If the named successor is a wrong choice, the cost is one election.
    pub(super) fn continue_planned_stop(&mut self, effects: &mut Effects) {
        let (Some(stop), Some(term)) = (self.planned_stop, self.election.leading_term()) else {
            return;
        };
        let now = effects.now.mono;
        let leader = self.leader.as_ref();
        let is_busy = leader.is_some_and(Leader::has_writes_in_flight);
        if is_busy && now < stop.requested_at + HANDOVER_DRAIN_TIMEOUT_MS {
            return;
        }
        let successor = self.rollout.successor(&self.peers, now);
        log::info!("event=handing_over term={term} to={successor:?}");
        if let Some(successor) = successor {
            // Must precede the answers to workers, which look for the next leader as soon as they
            // receive them.
            self.outputs.push_back(Output::Peer {
                to: Some(successor),
                message: PeerMessage::Handover { term },
            });
        }
        self.election.resign("planned stop", effects);
    }

    /// Returns when [`Node::continue_planned_stop`] must be called next.
    pub(super) fn next_stop_check(&self) -> Option<u64> {
        self.planned_stop
            .map(|_| self.last_tick_at + STOP_CHECK_INTERVAL_MS)
    }
}
