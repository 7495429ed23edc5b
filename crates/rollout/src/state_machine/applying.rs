//! What a complete reading changes: the gates, the admission of this process, and what is observed of the others.

use super::{Admission, Output, RolloutMachine};
use crate::plan;
use crate::request::Event;
use crate::snapshot::{Snapshot, Stored};
use wire::records::{Phase, LEVEL, MARK, MEMBERS};

impl RolloutMachine {
    /// Everything has been read.
    pub(super) fn on_read(&mut self, now: u64, unix: u64) -> Output {
        let snapshot = std::mem::take(&mut self.reading);
        let mut events = self.learn(&snapshot, now);
        let mut output = self.act(&snapshot, now, unix);
        self.snapshot = Some(snapshot);
        events.append(&mut output.events);
        Output { events, ..output }
    }

    fn learn(&mut self, snapshot: &Snapshot, now: u64) -> Vec<Event> {
        let mut events = self.newly_unreadable(snapshot);
        let gates_before = self.gates;
        let known = self.snapshot.as_ref();
        let level_before = known.and_then(|known| known.level.record());
        let phase_before = level_before.map(|level| level.phase);
        // The level never falls below what was seen as final, whatever has become of the record.
        let finalized = snapshot.finalized();
        self.gates
            .learn(snapshot.active(), finalized, snapshot.level.version());
        let level = snapshot.level.record();
        let phase = level.map_or(Phase::Idle, |level| level.phase);
        if known.is_none() || gates_before != self.gates && phase_before != Some(phase) {
            events.push(Event::LevelRead {
                active: snapshot.active(),
                finalized,
                phase,
            });
        }
        self.admit(snapshot, &mut events);
        self.supervision.note(snapshot, now, &mut events);
        events
    }

    /// Records that can't be read now and could be, or did not exist, at the reading before.
    fn newly_unreadable(&self, snapshot: &Snapshot) -> Vec<Event> {
        let known = self.snapshot.as_ref();
        let members = snapshot.members.iter().map(|(label, member)| {
            let before = known.and_then(|known| known.members.get(label));
            let was_unreadable = before.is_some_and(Stored::is_unreadable);
            let key = format!("{MEMBERS}{label}");
            (key, member.is_unreadable() && !was_unreadable)
        });
        let level_was = known.is_some_and(|known| known.level.is_unreadable());
        let mark_was = known.is_some_and(|known| known.mark.is_unreadable());
        let is_level_new = snapshot.level.is_unreadable() && !level_was;
        let is_mark_new = snapshot.mark.is_unreadable() && !mark_was;
        [
            (LEVEL.to_string(), is_level_new),
            (MARK.to_string(), is_mark_new),
        ]
        .into_iter()
        .chain(members)
        .filter(|(_, is_new)| *is_new)
        .map(|(key, _)| Event::Unreadable { key })
        .collect()
    }

    /// Admission is lost permanently: what is final stays so. A process that was refused has written nothing and never
    /// will.
    fn admit(&mut self, snapshot: &Snapshot, events: &mut Vec<Event>) {
        let is_compatible = plan::is_admitted(self.identity.range, snapshot);
        let admission = match is_compatible && self.admission != Admission::Refused {
            true => Admission::Admitted,
            false => Admission::Refused,
        };
        if admission == Admission::Refused && self.admission != admission {
            events.push(Event::Refused {
                range: self.identity.range,
                active: snapshot.active(),
                finalized: snapshot.finalized(),
            });
        }
        self.admission = admission;
    }
}
