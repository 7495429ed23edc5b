//! Queues writes, and decides which are urgent and which may be deferred.

use crate::effects::Now;
use crate::leader::model::Job;
use crate::leader::pages::has_unsaved_chunks;
use crate::leader::Leader;
use crate::requests::RecordId;

impl Leader {
    /// Queues the write of a record that differs from its desired state.
    pub(in crate::leader) fn queue_write(&mut self, record: RecordId) {
        // The end of a job that other jobs wait for takes precedence.
        let is_urgent = matches!(&record, RecordId::Job(id) if self.is_awaited_by_dependents(id));
        self.write_queue.push(record, is_urgent);
    }

    /// Defers the write of a record that nothing waits for.
    ///
    /// A worker keeps the result of an ended task until it is ordered to discard it, and a released assignment that is
    /// not recorded yet only leaves capacity unused. Such changes of a job are written with the next change that
    /// something waits for, or after a delay.
    pub(in crate::leader) fn defer_write(&mut self, record: RecordId, now: Now) {
        if self.belongs_to_finished_job(&record) {
            self.queue_write(record);
        } else {
            self.write_queue.defer(record, now.mono);
        }
    }

    fn belongs_to_finished_job(&self, record: &RecordId) -> bool {
        let RecordId::Job(id) = record else {
            return false;
        };
        self.jobs.get(id).and_then(Job::final_due).is_some()
    }

    /// Queues the deferred writes whose time is up.
    pub(super) fn queue_due_deferred_writes(&mut self, now: u64) {
        for record in self.write_queue.due_deferred(now) {
            self.queue_write(record);
        }
    }

    /// Id of the job that a record belongs to, if chunks of the job have to be written to pages.
    pub(super) fn job_with_unsaved_chunks<'a>(&self, record: &'a RecordId) -> Option<&'a str> {
        let RecordId::Job(id) = record else {
            return None;
        };
        let job = self.jobs.get(id)?;
        let is_open = job.final_due().is_none();
        (is_open && has_unsaved_chunks(job)).then_some(id)
    }
}
