//! Transaction conflicts: a record does not have the expected version and is read again before it is written.

use super::refresh::Refresh;
use super::transaction::{PendingTransaction, RecordChange};
use crate::effects::Effects;
use crate::leader::pages::has_unsaved_chunks;
use crate::leader::Leader;
use crate::requests::RecordId;
use wire::records::JOB_PREFIX;

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
}
