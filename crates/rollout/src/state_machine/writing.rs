//! What this controller writes: its announcement, the mark of a level for which there is evidence, and the transitions
//! of the upgrade.

use super::{Output, RolloutStateMachine, Step};
use crate::heartbeats::Liveness;
use crate::levels::GENERATION_1;
use crate::plan::{self, Controller, PlanningInput, Transition};
use crate::request::{Event, Request};
use crate::snapshot::Snapshot;
use constants::{GENERATION_POLL_INTERVAL_MS, LEVEL_POLL_INTERVAL_MS};
use wire::records::RolloutPhase;

impl RolloutStateMachine {
    /// Writes what is due, or schedules the next cycle if nothing is.
    pub(super) fn write_next(&mut self, snapshot: &Snapshot, now: u64, unix_ms: u64) -> Output {
        if !self.is_admitted() {
            return self.idle_until(now + LEVEL_POLL_INTERVAL_MS);
        }
        if self.evidence.is_some() && snapshot.finalized() < GENERATION_1 {
            let txn = plan::finalize_by_evidence(snapshot, GENERATION_1);
            return self.send(Step::RaiseMark, Request::Commit(txn));
        }
        if let Some(txn) = plan::announcement_transaction(&self.identity, snapshot, unix_ms) {
            return self.send(Step::Announce, Request::Commit(txn));
        }
        if self.is_coordinator(snapshot, now) {
            if let Some(output) = self.write_transition(snapshot, now, unix_ms) {
                return output;
            }
        }
        let level = snapshot.level.record();
        let is_upgrade_complete = level.is_some_and(|level| {
            matches!(level.phase, RolloutPhase::Idle | RolloutPhase::Finalized)
        });
        let poll_ms = match is_upgrade_complete {
            true => LEVEL_POLL_INTERVAL_MS,
            false => GENERATION_POLL_INTERVAL_MS,
        };
        self.idle_until(now + poll_ms)
    }

    /// Sends the next transition if one is due.
    fn write_transition(&mut self, snapshot: &Snapshot, now: u64, unix_ms: u64) -> Option<Output> {
        let controllers = self.monitor.controllers(snapshot, now);
        let input = self.planning_input(snapshot, &controllers, now, unix_ms);
        let transition = input.next_transition()?;
        let txn = plan::transition_transaction(snapshot, &transition)?;
        let from = snapshot.level.record()?.phase;
        Some(self.send(Step::Transition(from, transition), Request::Commit(txn)))
    }

    /// The input from which the next transition is computed.
    pub(super) fn planning_input<'a>(
        &self,
        snapshot: &'a Snapshot,
        controllers: &'a [Controller],
        now: u64,
        unix_ms: u64,
    ) -> PlanningInput<'a> {
        let last_snapshot = self.last_snapshot.as_ref();
        PlanningInput {
            snapshot,
            controllers,
            pause_reason: self.monitor.pause_reason(last_snapshot, snapshot, now),
            may_finalize: self.policy.finalizes_automatically && self.monitor.has_soaked(now),
            unix_ms,
        }
    }

    /// Whether this controller writes the transitions: the leader does if it takes part, otherwise the first label of
    /// those controllers that do. If two controllers write at once, no harm is done, since one of their transactions
    /// fails.
    fn is_coordinator(&self, snapshot: &Snapshot, now: u64) -> bool {
        let takes_part = |label: &str| {
            label == self.identity.label
                || self.monitor.liveness(label, snapshot, now) == Liveness::Confirmed
        };
        match self.leader.as_deref().filter(|leader| takes_part(leader)) {
            Some(leader) => leader == self.identity.label,
            None => {
                let labels = self.monitor.labels().iter();
                let mut participants = labels.filter(|label| takes_part(label));
                participants.all(|label| *label >= self.identity.label)
            }
        }
    }
}

/// The events of a committed transition.
pub(super) fn transition_events(from: RolloutPhase, transition: &Transition) -> Vec<Event> {
    let level = &transition.level;
    let mut events = vec![Event::TransitionCommitted {
        from,
        to: level.phase,
        active: level.active,
        reason: transition.reason,
    }];
    match (&level.pause, transition.reason) {
        (Some(reason), _) => events.push(Event::Paused(reason.clone())),
        (None, plan::RESUMED) => events.push(Event::Resumed),
        _ => {}
    }
    events
}
