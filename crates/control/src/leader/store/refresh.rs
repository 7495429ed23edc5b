//! Reads records again whose versions are not the expected ones, or that a transaction of unknown outcome changes.

use super::step_down;
use super::transaction::RecordChange;
use crate::effects::Effects;
use crate::leader::model::{Job, RecordCell};
use crate::leader::pages::copies_in;
use crate::leader::Leader;
use crate::requests::{Priority, RecordId, StateOp, StatePurpose, StateReply};
use serde::de::DeserializeOwned;
use wire::records::{job_key, JobRecord, PageRecord, LEADER_KEY};
use wire::state::{Compare, Item, Txn};

/// A record that is to be read again, with its key.
pub(super) struct Refresh {
    /// The record.
    pub record: RecordId,
    /// Its key.
    pub key: String,
}

impl Leader {
    /// Reads a record again unless it is already being read.
    pub(super) fn start_refresh(&mut self, refresh: Refresh, effects: &mut Effects) {
        if self.transactions.begin_refresh(&refresh.record) {
            self.set_in_flight(&refresh.record, true);
            self.request_refresh(refresh, effects);
        }
    }

    fn request_refresh(&self, refresh: Refresh, effects: &mut Effects) {
        let Refresh { record, key } = refresh;
        let request = StatePurpose::Refresh(record, key.clone());
        let op = StateOp::Get(key);
        self.send_state_request(Priority::LeaderRecords, op, request, effects);
    }

    /// Handles the reply to a request that reads a record again. A failed request is repeated.
    ///
    /// What the record shows tells the outcome of this leader's own transaction only if no other leader has written it.
    /// A replaced leader that hears of nothing would take the work of the next one for its own, for example announce a
    /// job as done that was cancelled since. So the reply counts only once a transaction has compared the leader key.
    pub(in crate::leader) fn on_refresh_reply(
        &mut self,
        record: RecordId,
        key: String,
        reply: StateReply,
        effects: &mut Effects,
    ) {
        let item = match reply {
            StateReply::Item(item) => Some(item),
            StateReply::Missing => None,
            _ => return self.request_refresh(Refresh { record, key }, effects),
        };
        let txn = Txn {
            compares: vec![
                Compare::new(LEADER_KEY, self.leader_key_version),
                Compare::new(key.clone(), version_of(&item)),
            ],
            writes: Vec::new(),
        };
        let purpose = StatePurpose::ConfirmRefresh { record, key, item };
        self.send_state_request(Priority::LeaderRecords, StateOp::Txn(txn), purpose, effects);
    }

    /// Handles the reply to the transaction that compared the leader key and a record that was read again.
    pub(in crate::leader) fn on_refresh_confirmation(
        &mut self,
        record: RecordId,
        key: String,
        item: Option<Item>,
        reply: StateReply,
        effects: &mut Effects,
    ) {
        match reply {
            StateReply::Committed { .. } => self.apply_refresh(record, &key, item, effects),
            StateReply::Conflict { failed } if failed.iter().any(|key| key == LEADER_KEY) => {
                step_down(effects);
            }
            _ => self.request_refresh(Refresh { record, key }, effects),
        }
    }

    /// Updates a record from what the store holds, as far as only this leader can have written it.
    fn apply_refresh(
        &mut self,
        record: RecordId,
        key: &str,
        item: Option<Item>,
        effects: &mut Effects,
    ) {
        match &record {
            RecordId::Job(id) if key == job_key(id) => self.refresh_job(id, item, effects),
            RecordId::Job(_) => {}
            RecordId::Page(number) => self.refresh_page(*number, item),
            RecordId::Rental(name) => {
                if let Some(rental) = self.rentals.get_mut(name) {
                    refresh_cell(&mut rental.record, item);
                }
            }
            RecordId::Types => refresh_cell(&mut self.machine_types, item),
        }
        self.transactions.end_refresh(&record);
        self.set_in_flight(&record, false);
        if !matches!(record, RecordId::Page(_)) {
            self.queue_write(record);
        }
        self.flush(effects);
    }

    fn refresh_job(&mut self, id: &str, item: Option<Item>, effects: &mut Effects) {
        let Some(item) = item else {
            // The job is archived. Only this leader archives jobs, so its transaction of unknown outcome was applied.
            let outcome = self.jobs.get(id).and_then(Job::final_due);
            if let Some(outcome) = outcome {
                let id = id.to_string();
                self.on_change_saved(RecordChange::ArchiveJob { id, outcome }, 0, effects);
            }
            return;
        };
        match item.value.deserialized::<JobRecord>() {
            Ok(record) => self.update_from_job_record(id, record, item.version, effects),
            Err(_) => log::error!("event=record_unreadable key={}", job_key(id)),
        }
    }

    /// Updates a page from its record. Only this leader writes pages: either the transaction of unknown outcome was
    /// applied, or the page is unchanged.
    fn refresh_page(&mut self, number: u32, item: Option<Item>) {
        let version = version_of(&item);
        let record = item.and_then(|item| item.value.deserialized::<PageRecord>().ok());
        let copies = copies_in(&record.unwrap_or_default());
        self.on_page_saved(number, version, &copies);
    }
}

fn refresh_cell<T: DeserializeOwned>(cell: &mut RecordCell<T>, item: Option<Item>) {
    cell.version = version_of(&item);
    cell.saved = item.and_then(|item| item.value.deserialized().ok());
}

/// Version of a record, 0 if it does not exist.
fn version_of(item: &Option<Item>) -> u64 {
    item.as_ref().map_or(0, |item| item.version)
}
