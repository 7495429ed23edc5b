//! Detects stalls. A process that did not run for a while (because it was stopped, lacked processor
//! time, or its machine was suspended) resumes with a backlog of the replies, heartbeats and
//! requests that arrived meanwhile, in order of arrival. None of them may be treated as current.

use super::Node;
use crate::effects::{Effects, Now};
use constants::PROCESS_STALL_MS;

/// Reason sent with the refusal of requests that waited during a stall.
const STALLED: &str = "this node stood still";

impl Node {
    /// Checks whether the process was stalled, that is whether it handled nothing for longer than a
    /// node ever sleeps.
    ///
    /// The first replies of a backlog may allow a task to start or a user to be answered, although
    /// a later message in the backlog is the notice that the job was cancelled. Therefore the
    /// leader starts no task until a lease renewal that is sent from now on is answered; that
    /// answer comes after the backlog. Users whose requests waited during the stall are asked to
    /// retry.
    pub(super) fn check_for_stall(&mut self, now: Now, effects: &mut Effects) {
        let stalled_ms = now.mono.saturating_sub(self.last_turn_at.mono);
        self.last_turn_at = now;
        if stalled_ms <= PROCESS_STALL_MS {
            return;
        }
        log::info!("event=process_stalled stalled_ms={stalled_ms}");
        self.election.on_stall(now.mono);
        self.rollout.reread(now.mono);
        if let Some(leader) = &mut self.leader {
            leader.on_stall(now.mono);
        }
        self.gateway.refuse_all(STALLED, effects);
        self.forwarded_requests.refuse_all(STALLED, effects);
    }
}
