//! Reading and writing the ownership table.

use super::{Leading, Pending};
use crate::effects::Effects;
use crate::requests::{Priority, StateOp, StateReply, StateTag};
use constants::TABLE_RETRY_MS;
use wire::partitions::PartitionId;
use wire::records::{OwnershipTableRecord, OWNERSHIP_TABLE_PREFIX};
use wire::state::Page;

impl Leading {
    /// Reads the table if its records are unknown or outdated.
    pub(super) fn read_table(&mut self, effects: &mut Effects) {
        let is_due = self.handover.must_reload() && effects.now.mono >= self.next_request;
        if is_due && self.pending.is_none() {
            self.request_page(String::new(), effects);
        }
    }

    fn request_page(&mut self, from: String, effects: &mut Effects) {
        let prefix = OWNERSHIP_TABLE_PREFIX;
        self.send_request(Pending::Read, StateOp::List { prefix, from }, effects);
    }

    /// Sends a request to the state service and remembers what it is for.
    fn send_request(&mut self, pending: Pending, op: StateOp, effects: &mut Effects) {
        self.request += 1;
        self.pending = Some(pending);
        let tag = StateTag::Partitions {
            term: self.term,
            number: self.request,
        };
        effects.request_state(Priority::Leadership, op, tag);
    }

    /// Commits moves, and records a table that does not exist yet.
    pub(super) fn write_table(&mut self, effects: &mut Effects) {
        let now = effects.now.mono;
        if self.pending.is_some() || now < self.next_request {
            return;
        }
        if let Some(txn) = self.handover.next_write(self.leader_version, now) {
            self.send_request(Pending::Write, StateOp::Txn(txn), effects);
        }
    }

    /// The state service replied to the request of this number.
    pub fn on_state_reply(&mut self, number: u64, reply: StateReply, now: u64) {
        if number != self.request {
            return;
        }
        let pending = self.pending.take();
        match (pending, reply) {
            (Some(Pending::Read), StateReply::Page(page)) => self.on_table(page),
            (Some(Pending::Write), StateReply::Committed { version }) => {
                for partition in self.handover.committed(version) {
                    self.log_move(partition);
                }
            }
            (Some(Pending::Write), StateReply::Refused) => {
                self.handover.refused();
                self.next_request = now + TABLE_RETRY_MS;
            }
            (Some(Pending::Write), _) => {
                self.handover.unknown();
                self.next_request = now + TABLE_RETRY_MS;
            }
            _ => self.next_request = now + TABLE_RETRY_MS,
        }
        self.next_check = now;
    }

    /// The table has been read. All of it fits into a page: four records of less than a kilobyte.
    fn on_table(&mut self, page: Page) {
        for item in page.items {
            let record = item.value.deserialized::<OwnershipTableRecord>();
            let read = record.map_err(|why| why.to_string()).and_then(|record| {
                let loaded = self.handover.load(&item.key, record, item.version);
                loaded.map_err(|why| why.to_string())
            });
            if let Err(why) = read {
                self.is_unusable = true;
                log::error!("event=partitions_unusable key={} why={why:?}", item.key);
            }
        }
        self.handover.loaded();
    }

    fn log_move(&self, partition: PartitionId) {
        if let Some(row) = self.handover.table().row(partition) {
            log::info!(
                "event=partition_moved partition={partition} owner={} epoch={} pinned={}",
                row.owner,
                row.epoch,
                row.pinned
            );
        }
    }
}
