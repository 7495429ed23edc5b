//! Decides which writes are urgent and which may wait, and puts them into the queue.

use crate::effects::Now;
use crate::leader::model::Job;
use crate::leader::pages::has_unsaved_parts;
use crate::leader::Leader;
use crate::requests::RecordId;

impl Leader {
    /// Queues the write of a record that differs from what is desired.
    pub(in crate::leader) fn queue_write(&mut self, record: RecordId) {
        // The end of a job that others wait for goes first.
        let is_urgent = matches!(&record, RecordId::Job(id) if self.is_awaited_by_dependents(id));
        self.write_queue.push(record, is_urgent);
    }

    /// Defers the write of a record that nothing waits for. A worker keeps the result of an ended task until it is
    /// ordered to discard it, and an assignment that was released only leaves capacity unused. Such changes of a job
    /// are written with the next one that something waits for, or after a while.
    pub(in crate::leader) fn defer_write(&mut self, record: RecordId, now: Now) {
        if self.is_of_finished_job(&record) {
            self.queue_write(record);
        } else {
            self.write_queue.defer(record, now.mono);
        }
    }

    fn is_of_finished_job(&self, record: &RecordId) -> bool {
        let RecordId::Job(id) = record else {
            return false;
        };
        self.jobs.get(id).and_then(Job::final_due).is_some()
    }

    /// Queues the deferred writes that have waited long enough.
    pub(super) fn queue_due_deferred_writes(&mut self, now: u64) {
        for record in self.write_queue.due_deferred(now) {
            self.queue_write(record);
        }
    }

    /// Id of the job that a record belongs to, if parts of the job have to be written to pages.
    pub(super) fn job_with_unsaved_parts<'a>(&self, record: &'a RecordId) -> Option<&'a str> {
        let RecordId::Job(id) = record else {
            return None;
        };
        let job = self.jobs.get(id)?;
        let is_open = job.final_due().is_none();
        (is_open && has_unsaved_parts(job)).then_some(id)
    }
}
