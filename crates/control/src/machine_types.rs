//! Reading the machine types that a leader has recorded, for nodes that have not seen any yet.
//!
//! A node that does not lead never asks the cloud, and without the types it can't tell whether a submission could run.

use crate::effects::{Effects, NodeEvent};
use crate::requests::{Priority, StateOp, StateReply, StateTag};
use constants::LEADER_POLL_MS;
use wire::records::MACHINE_TYPES_KEY;

/// Reads the record of machine types until it has been found.
pub(crate) struct MachineTypesReader {
    /// When the next read may be sent, on the steady clock.
    next_read: u64,
    /// Whether a read is in flight.
    reading: bool,
}

impl MachineTypesReader {
    /// A reader whose first read is due now.
    pub fn new(now: u64) -> Self {
        MachineTypesReader {
            next_read: now,
            reading: false,
        }
    }

    /// Sends a read if one is due and the types are not known.
    pub fn tick(&mut self, types_known: bool, effects: &mut Effects) {
        if types_known || self.reading || effects.now.mono < self.next_read {
            return;
        }
        self.reading = true;
        let read = StateOp::Get(MACHINE_TYPES_KEY.into());
        effects.request_state(Priority::Leadership, read, StateTag::Types);
    }

    /// Reports the types to the node if the read found them. Otherwise it is repeated after a while.
    pub fn on_reply(&mut self, reply: StateReply, effects: &mut Effects) {
        self.reading = false;
        self.next_read = effects.now.mono + LEADER_POLL_MS;
        let StateReply::Item(item) = reply else {
            return;
        };
        if let Ok(types) = item.value.deserialized() {
            effects.emit(NodeEvent::MachineTypesRead(types));
        }
    }
}
