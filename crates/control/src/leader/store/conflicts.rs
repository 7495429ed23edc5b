//! Transaction conflicts: a record does not have the expected version and is read again before it is written.

use super::transaction::{PendingTransaction, RecordChange};
use crate::effects::Effects;
use crate::leader::model::{Job, RecordCell};
use crate::leader::pages::{copies_in, has_unsaved_chunks};
use crate::leader::Leader;
use crate::requests::{Priority, RecordId, StateOp, StatePurpose, StateReply};
use serde::de::DeserializeOwned;
use wire::records::{job_key, JobRecord, PageRecord, JOB_PREFIX};
use wire::state::Item;

/// A record that is to be read again, with its key.
struct Refresh {
    record: RecordId,
    key: String,
}

impl Leader {
    /// Handles a transaction that was not applied, or may not have been. Records that may have changed are read again;
    /// the others are queued again.
    pub(super) fn on_transaction_conflict(
        &mut self,
        transaction: PendingTransaction,
        failed: &[String],
        effects: &mut Effects,
    ) {
        let is_ambiguous = transaction.is_ambiguous;
        log::info!("event=txn_conflict ambiguous={is_ambiguous} failed={failed:?}");
        let mut refreshes = self.refreshes_of_open_jobs(failed);
        for change in transaction.changes {
            self.queue_jobs_on_page(&change);
            let (record, key) = (change.record_id(), change.key());
            if is_ambiguous || failed.contains(&key) {
                refreshes.push(Refresh { record, key });
            } else {
                self.set_in_flight(&record, false);
                self.queue_write(record);
            }
        }
        for refresh in refreshes {
            self.start_refresh(refresh, effects);
        }
    }

    /// Open jobs whose version was not the expected one. Most often they were cancelled meanwhile, and their new
    /// assignments must not be recorded on pages.
    fn refreshes_of_open_jobs(&self, failed: &[String]) -> Vec<Refresh> {
        failed
            .iter()
            .filter_map(|key| {
                let id = key.strip_prefix(JOB_PREFIX)?;
                self.jobs.contains_key(id).then(|| Refresh {
                    record: RecordId::Job(id.to_string()),
                    key: key.clone(),
                })
            })
            .collect()
    }

    /// Queues the jobs with unsaved chunks on a page whose write is abandoned.
    fn queue_jobs_on_page(&mut self, change: &RecordChange) {
        let RecordChange::WritePage { copies, .. } = change else {
            return;
        };
        for copy in copies {
            let id = &copy.id.job;
            if self.jobs.get(id).is_some_and(has_unsaved_chunks) {
                self.queue_write(RecordId::Job(id.clone()));
            }
        }
    }

    /// Reads a record again unless it is already being read.
    fn start_refresh(&mut self, refresh: Refresh, effects: &mut Effects) {
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
