//! Reads the machine types that a leader has recorded, for the nodes that do not lead.
//!
//! A node that does not lead never queries the cloud. Without the machine types it can't determine whether a submitted
//! job could run, and with those of long ago it would accept jobs that can't run any more.

use crate::effects::{Effects, NodeEvent};
use crate::requests::{Priority, StateOp, StateReply, StateTag};
use constants::{LEADER_POLL_INTERVAL_MS, MACHINE_TYPES_INTERVAL_S};
use wire::records::MACHINE_TYPES_KEY;

/// Reads the machine types record: repeatedly until it is found, then as often as a leader lists the types.
pub(crate) struct MachineTypesReader {
    /// When the next read may be sent, on the monotonic clock.
    next_read_at: u64,
    /// Whether a read is in flight.
    read_in_flight: bool,
}

impl MachineTypesReader {
    /// Creates a reader whose first read is due now.
    pub fn new(now: u64) -> Self {
        MachineTypesReader {
            next_read_at: now,
            read_in_flight: false,
        }
    }

    /// Sends a read if one is due. A node that lists the types itself and knows them reads nothing.
    pub fn tick(&mut self, machine_types_known: bool, lists_types: bool, effects: &mut Effects) {
        let is_needed = !machine_types_known || !lists_types;
        if !is_needed || self.read_in_flight || effects.now.mono < self.next_read_at {
            return;
        }
        self.read_in_flight = true;
        let read = StateOp::Get(MACHINE_TYPES_KEY.into());
        effects.request_state(Priority::Leadership, read, StateTag::Types);
    }

    /// Reports the machine types to the node if the read found them, and schedules the next read.
    pub fn on_reply(&mut self, reply: StateReply, effects: &mut Effects) {
        self.read_in_flight = false;
        let now = effects.now.mono;
        self.next_read_at = now + LEADER_POLL_INTERVAL_MS;
        let StateReply::Item(item) = reply else {
            return;
        };
        if let Ok(types) = item.value.deserialized() {
            self.next_read_at = now + (MACHINE_TYPES_INTERVAL_S * 1000.0) as u64;
            effects.emit(NodeEvent::MachineTypesRead(types));
        }
    }
}
