//! Applying a complete snapshot: it updates the gates, the admission of this process, and what is observed of the other
//! controllers.

use super::{Admission, Output, RolloutStateMachine};
use crate::plan;
use crate::request::Event;
use crate::snapshot::{Snapshot, Stored};
use wire::records::{RolloutPhase, CLUSTER_LEVEL_KEY, COMMON_GENERATION_KEY, MEMBER_PREFIX};

impl RolloutStateMachine {
    /// Applies the snapshot once all records have been read, and writes what is due.
    pub(super) fn on_snapshot_complete(&mut self, now: u64, unix_ms: u64) -> Output {
        let snapshot = std::mem::take(&mut self.partial_snapshot);
        let mut events = self.apply_snapshot(&snapshot, now);
        let mut output = self.write_next(&snapshot, now, unix_ms);
        self.last_snapshot = Some(snapshot);
        events.append(&mut output.events);
        Output { events, ..output }
    }

    fn apply_snapshot(&mut self, snapshot: &Snapshot, now: u64) -> Vec<Event> {
        let mut events = self.newly_unreadable(snapshot);
        let gates_before = self.gates;
        let last_snapshot = self.last_snapshot.as_ref();
        let level_before = last_snapshot.and_then(|last| last.level.record());
        let phase_before = level_before.map(|level| level.phase);
        // The gates' finalized level never decreases, even if the stored record has become lower, missing or
        // unreadable.
        let finalized = snapshot.finalized();
        self.gates
            .update(snapshot.active(), finalized, snapshot.level.version());
        let level = snapshot.level.record();
        let phase = level.map_or(RolloutPhase::Idle, |level| level.phase);
        if last_snapshot.is_none() || gates_before != self.gates && phase_before != Some(phase) {
            events.push(Event::LevelRead {
                active: snapshot.active(),
                finalized,
                phase,
            });
        }
        self.update_admission(snapshot, &mut events);
        self.monitor.on_snapshot(snapshot, now, &mut events);
        events
    }

    /// Events for records that can't be read now, and could be read or did not exist in the last snapshot.
    fn newly_unreadable(&self, snapshot: &Snapshot) -> Vec<Event> {
        let last_snapshot = self.last_snapshot.as_ref();
        let members = snapshot.members.iter().map(|(label, member)| {
            let before = last_snapshot.and_then(|last| last.members.get(label));
            let was_unreadable = before.is_some_and(Stored::is_unreadable);
            let key = format!("{MEMBER_PREFIX}{label}");
            (key, member.is_unreadable() && !was_unreadable)
        });
        let was_level_unreadable = last_snapshot.is_some_and(|last| last.level.is_unreadable());
        let was_mark_unreadable = last_snapshot.is_some_and(|last| last.mark.is_unreadable());
        let is_level_new = snapshot.level.is_unreadable() && !was_level_unreadable;
        let is_mark_new = snapshot.mark.is_unreadable() && !was_mark_unreadable;
        [
            (CLUSTER_LEVEL_KEY.to_string(), is_level_new),
            (COMMON_GENERATION_KEY.to_string(), is_mark_new),
        ]
        .into_iter()
        .chain(members)
        .filter(|(_, is_new)| *is_new)
        .map(|(key, _)| Event::UnreadableRecord { key })
        .collect()
    }

    /// Updates the admission. A refusal is permanent, since finalized levels stay so: a process that was refused has
    /// written nothing and never will.
    fn update_admission(&mut self, snapshot: &Snapshot, events: &mut Vec<Event>) {
        let is_compatible = plan::is_admitted(self.identity.range, snapshot);
        let admission = match is_compatible && self.admission != Admission::Refused {
            true => Admission::Admitted,
            false => Admission::Refused,
        };
        if admission == Admission::Refused && self.admission != admission {
            events.push(Event::AdmissionRefused {
                range: self.identity.range,
                active: snapshot.active(),
                finalized: snapshot.finalized(),
            });
        }
        self.admission = admission;
    }
}
