//! A process that stood still (stopped, starved, or on a machine that was suspended) goes on with a backlog: replies,
//! reports and requests that waited for it, in the order in which they came. None of it may be taken as current.

use super::{Effects, Node, Now};
use constants::STANDSTILL_MS;

impl Node {
    /// Looks at the clock. If nothing happened here for longer than the node ever sleeps, it did not run meanwhile.
    ///
    /// The first replies of a backlog may release a start, or answer a user, before the notice behind them tells that
    /// the job is cancelled. So the leader starts nothing until a renewal sent from now on has been answered, which comes
    /// behind the backlog, and users who have waited all the time are asked to come back.
    pub(super) fn note_time(&mut self, now: Now, effects: &mut Effects) {
        let stood_ms = now.mono.saturating_sub(self.last_now.mono);
        self.last_now = now;
        if stood_ms <= STANDSTILL_MS {
            return;
        }
        log::info!("event=process_stalled stalled_ms={stood_ms}");
        self.election.on_stall(now.mono);
        self.rollout.read_anew(now.mono);
        if let Some(leader) = &mut self.leader {
            leader.on_stall(now.mono);
        }
        self.gateway.refuse_all("this node stood still", effects);
        self.forwarded.refuse_all("this node stood still", effects);
    }
}
