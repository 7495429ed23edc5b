//! Reads and writes the ownership table.

use super::{PartitionLeader, RequestKind};
use crate::effects::Effects;
use crate::requests::{Priority, StateOp, StateReply, StateTag};
use constants::OWNERSHIP_TABLE_RETRY_MS;
use wire::partitions::PartitionId;
use wire::records::{OwnershipTableRecord, OWNERSHIP_TABLE_PREFIX};
use wire::state::Page;

impl PartitionLeader {
    /// Reads the table if its records are unknown or outdated.
    pub(super) fn read_table(&mut self, effects: &mut Effects) {
        let is_due = self.mover.must_reload() && effects.now.mono >= self.next_request_at;
        if is_due && self.pending_request.is_none() {
            self.request_page(String::new(), effects);
        }
    }

    fn request_page(&mut self, from: String, effects: &mut Effects) {
        let prefix = OWNERSHIP_TABLE_PREFIX;
        self.send_request(RequestKind::Read, StateOp::List { prefix, from }, effects);
    }

    /// Sends a request to the state service and records its kind.
    fn send_request(&mut self, kind: RequestKind, op: StateOp, effects: &mut Effects) {
        self.last_request += 1;
        self.pending_request = Some(kind);
        let tag = StateTag::Partitions {
            term: self.term,
            number: self.last_request,
        };
        effects.request_state(Priority::Leadership, op, tag);
    }

    /// Writes a table that doesn't exist yet, and commits moves.
    pub(super) fn write_table(&mut self, effects: &mut Effects) {
        let now = effects.now.mono;
        if self.pending_request.is_some() || now < self.next_request_at {
            return;
        }
        if let Some(txn) = self.mover.next_write(self.leader_version, now) {
            self.send_request(RequestKind::Write, StateOp::Txn(txn), effects);
        }
    }

    /// Handles the state service's reply to the request of this number.
    pub fn on_state_reply(&mut self, number: u64, reply: StateReply, now: u64) {
        if number != self.last_request {
            return;
        }
        let pending = self.pending_request.take();
        match (pending, reply) {
            (Some(RequestKind::Read), StateReply::Page(page)) => self.on_table(page),
            (Some(RequestKind::Write), StateReply::Committed { version }) => {
                for partition in self.mover.on_write_committed(version) {
                    self.log_move(partition);
                }
            }
            (Some(RequestKind::Write), StateReply::Refused) => {
                self.mover.on_write_rejected();
                self.next_request_at = now + OWNERSHIP_TABLE_RETRY_MS;
            }
            (Some(RequestKind::Write), _) => {
                self.mover.on_write_unknown();
                self.next_request_at = now + OWNERSHIP_TABLE_RETRY_MS;
            }
            _ => self.next_request_at = now + OWNERSHIP_TABLE_RETRY_MS,
        }
        self.next_check_at = now;
    }

    /// Handles the table that was read. All of it fits into one page: it consists of four records
    /// of less than a kilobyte.
    fn on_table(&mut self, page: Page) {
        for item in page.items {
            let record = item.value.deserialized::<OwnershipTableRecord>();
            let read = record.map_err(|why| why.to_string()).and_then(|record| {
                let loaded = self.mover.load_record(&item.key, record, item.version);
                loaded.map_err(|why| why.to_string())
            });
            if let Err(why) = read {
                self.is_table_unusable = true;
                log::error!("event=partitions_unusable key={} why={why:?}", item.key);
            }
        }
        self.mover.on_loaded();
    }

    fn log_move(&self, partition: PartitionId) {
        if let Some(row) = self.mover.table().row(partition) {
            log::info!(
                "event=partition_moved partition={partition} owner={} epoch={} pinned={}",
                row.owner,
                row.epoch,
                row.pinned
            );
        }
    }
}
