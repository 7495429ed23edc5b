//! Conflicts: a record differs from what was known of it, and is read again before it is written.

use super::transaction::{PendingTransaction, RecordChange};
use crate::effects::Effects;
use crate::leader::model::{Job, RecordCell};
use crate::leader::pages::{copies_in, has_unsaved_parts};
use crate::leader::Leader;
use crate::requests::{LeaderRequest, Priority, RecordId, StateOp, StateReply};
use serde::de::DeserializeOwned;
use wire::records::{job_key, JobRecord, PageRecord, JOB_PREFIX};
use wire::state::Item;

/// A record to be read again, with its key.
struct Refresh {
    record: RecordId,
    key: String,
}

impl Leader {
    /// A transaction was not applied, or may not have been. Records that may have changed are read again; the others
    /// are queued again.
    pub(super) fn on_conflict(
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

    /// Open jobs whose version was not as expected. Most often they were cancelled meanwhile, so that their new
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

    /// Queues the jobs that a page was to be written for.
    fn queue_jobs_on_page(&mut self, change: &RecordChange) {
        let RecordChange::WritePage { copies, .. } = change else {
            return;
        };
        for copy in copies {
            let id = &copy.part.job;
            if self.jobs.get(id).is_some_and(has_unsaved_parts) {
                self.queue_write(RecordId::Job(id.clone()));
            }
        }
    }

    /// Reads a record again unless that is under way already.
    fn start_refresh(&mut self, refresh: Refresh, effects: &mut Effects) {
        if self.transactions.begin_refresh(&refresh.record) {
            self.set_in_flight(&refresh.record, true);
            self.request_refresh(refresh, effects);
        }
    }

    fn request_refresh(&self, refresh: Refresh, effects: &mut Effects) {
        let Refresh { record, key } = refresh;
        let request = LeaderRequest::Refresh(record, key.clone());
        let op = StateOp::Get(key);
        self.send_state_request(Priority::LeaderRecords, op, request, effects);
    }

    /// Takes in a record that was read again.
    pub(in crate::leader) fn on_refresh(
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
            RecordId::Types => refresh_cell(&mut self.types, item),
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
            // The job was archived. Only this leader does that, so the transaction of unknown outcome was applied.
            let outcome = self.jobs.get(id).and_then(Job::final_due);
            if let Some(outcome) = outcome {
                let id = id.to_string();
                self.on_saved(RecordChange::ArchiveJob { id, outcome }, 0, effects);
            }
            return;
        };
        match item.value.deserialized::<JobRecord>() {
            Ok(record) => self.update_from_job_record(id, record, item.version, effects),
            Err(_) => log::error!("event=record_unreadable key={}", job_key(id)),
        }
    }

    /// What the page holds was written by this leader: either the transaction of unknown outcome was applied, or the
    /// page is as it was before.
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

/// Version of a record, 0 if there is none.
fn version_of(item: &Option<Item>) -> u64 {
    item.as_ref().map_or(0, |item| item.version)
}
