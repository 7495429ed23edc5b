//! Detection of stalls. A process that did not run for a while (stopped, starved of processor time, or on a
//! machine that was suspended) resumes with a backlog: the replies, heartbeats and requests that arrived
//! meanwhile, in their order. None of it may be taken as current.

use super::Node;
use crate::effects::{Effects, Now};
use constants::PROCESS_STALL_MS;

/// Reason for refusing the requests that waited through a stall.
const STALLED: &str = "this node stood still";

impl Node {
    /// Checks the clock. If nothing happened here for longer than the node ever sleeps, the process was stalled.
    ///
    /// The first replies of a backlog may release the start of a task, or answer a user, before the notice
    /// behind them tells that the job is cancelled. So the leader starts nothing until a renewal that is
    /// sent from now on has been answered, which comes after the backlog. Users who have waited all the
    /// time are asked to try again.
    pub(super) fn check_for_stall(&mut self, now: Now, effects: &mut Effects) {
        let stalled_ms = now.mono.saturating_sub(self.last_now.mono);
        self.last_now = now;
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
        self.forwarded.refuse_all(STALLED, effects);
    }
}
