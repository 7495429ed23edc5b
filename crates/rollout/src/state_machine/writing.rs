//! What this controller writes: its announcement, the mark of a proven level, and the transitions of the upgrade.

use super::{Output, RolloutMachine, Step};
use crate::heartbeats::Liveness;
use crate::levels::GENERATION_1;
use crate::plan::{self, Controller, Transition, View};
use crate::request::{Event, Request};
use crate::snapshot::Snapshot;
use constants::{GENERATION_POLL_MS, LEVEL_POLL_MS};
use wire::records::Phase;

impl RolloutMachine {
    /// Writes what is due, if anything.
    pub(super) fn act(&mut self, snapshot: &Snapshot, now: u64, unix: u64) -> Output {
        if !self.is_admitted() {
            return self.idle(now + LEVEL_POLL_MS);
        }
        if self.evidence.is_some() && snapshot.finalized() < GENERATION_1 {
            let txn = plan::proven(snapshot, GENERATION_1);
            return self.send(Step::Prove, Request::Commit(txn));
        }
        if let Some(txn) = plan::announcement(&self.identity, snapshot, unix) {
            return self.send(Step::Announce, Request::Commit(txn));
        }
        if self.decides(snapshot, now) {
            if let Some(output) = self.transition(snapshot, now, unix) {
                return output;
            }
        }
        let level = snapshot.level.record();
        let is_at_rest =
            level.is_some_and(|level| matches!(level.phase, Phase::Idle | Phase::Finalized));
        let poll_ms = match is_at_rest {
            true => LEVEL_POLL_MS,
            false => GENERATION_POLL_MS,
        };
        self.idle(now + poll_ms)
    }

    fn transition(&mut self, snapshot: &Snapshot, now: u64, unix: u64) -> Option<Output> {
        let controllers = self.supervision.controllers(snapshot, now);
        let view = self.view(snapshot, &controllers, now, unix);
        let transition = view.next_transition()?;
        let txn = plan::transaction(snapshot, &transition)?;
        let from = snapshot.level.record()?.phase;
        Some(self.send(Step::Transition(from, transition), Request::Commit(txn)))
    }

    /// What a transition is decided on.
    pub(super) fn view<'a>(
        &self,
        snapshot: &'a Snapshot,
        controllers: &'a [Controller],
        now: u64,
        unix: u64,
    ) -> View<'a> {
        let before = self.snapshot.as_ref();
        View {
            snapshot,
            controllers,
            trouble: self.supervision.trouble(before, snapshot, now),
            may_finalize: self.policy.finalizes && self.supervision.has_soaked(now),
            unix,
        }
    }

    /// One controller decides: the leader if it takes part, else the first of those that do. Two that decide at once
    /// do no harm, since one of their transactions fails.
    fn decides(&self, snapshot: &Snapshot, now: u64) -> bool {
        let takes_part = |label: &str| {
            label == self.identity.label
                || self.supervision.liveness(label, snapshot, now) == Liveness::Confirmed
        };
        match self.leader.as_deref().filter(|leader| takes_part(leader)) {
            Some(leader) => leader == self.identity.label,
            None => {
                let labels = self.supervision.labels().iter();
                let mut participants = labels.filter(|label| takes_part(label));
                participants.all(|label| *label >= self.identity.label)
            }
        }
    }
}

/// What a committed transition is logged as.
pub(super) fn events_of(from: Phase, transition: &Transition) -> Vec<Event> {
    let level = &transition.level;
    let mut events = vec![Event::Moved {
        from,
        to: level.phase,
        active: level.active,
        why: transition.why,
    }];
    match (&level.pause, transition.why) {
        (Some(reason), _) => events.push(Event::Paused(reason.clone())),
        (None, plan::RESUMED) => events.push(Event::Resumed),
        _ => {}
    }
    events
}
