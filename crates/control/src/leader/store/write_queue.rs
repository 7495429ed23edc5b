//! Which records have to be written, in which order, and which may wait.
//!
//! A record in `unsaved` stands once in `write_queue`. A record in `deferred_writes` is in neither of them: it is
//! written with a page that has room left, or moves to the queue when its time is up.

use crate::effects::Now;
use crate::leader::pages::has_unsaved_parts;
use crate::leader::Leader;
use crate::requests::RecordId;
use constants::{DEFERRED_WRITE_MAX_MS, DEFERRED_WRITE_MS, HOUSEKEEPING_MS};

impl Leader {
    /// Queues the write of a record that differs from what is desired.
    pub(in crate::leader) fn queue_write(&mut self, record: RecordId) {
        self.deferred_writes.remove(&record);
        // The end of a job that others wait for goes first.
        let is_urgent = matches!(&record, RecordId::Job(id) if self.is_awaited_by_dependents(id));
        let is_new = self.unsaved.insert(record.clone());
        match (is_urgent, is_new) {
            (true, true) => self.write_queue.push_front(record),
            (true, false) => {
                self.write_queue.retain(|queued| *queued != record);
                self.write_queue.push_front(record);
            }
            (false, true) => self.write_queue.push_back(record),
            (false, false) => {}
        }
    }

    /// Defers the write of a record that nothing waits for: a worker keeps the result of an ended task until it is
    /// told to forget it, and an assignment that was released only leaves capacity unused. Such changes of a job are
    /// written with the next one that something waits for, or after a while.
    pub(in crate::leader) fn defer_write(&mut self, record: RecordId, now: Now) {
        if let RecordId::Job(id) = &record {
            let job = self.jobs.get(id);
            if job.is_some_and(|job| job.final_due().is_some()) {
                return self.queue_write(record);
            }
        }
        if !self.unsaved.contains(&record) {
            self.deferred_writes
                .entry(record)
                .or_insert(now.mono + DEFERRED_WRITE_MS);
        }
    }

    /// Queues the deferred writes that have waited long enough.
    pub(super) fn queue_due_deferred_writes(&mut self, now: u64) {
        if now < self.next_deferred_check {
            return;
        }
        self.next_deferred_check = now + HOUSEKEEPING_MS;
        // Starts and ends go first: deferred writes would take half of what a small state service accepts.
        let extra_delay_ms = if self.write_queue.is_empty() {
            0
        } else {
            DEFERRED_WRITE_MAX_MS - DEFERRED_WRITE_MS
        };
        let due: Vec<RecordId> = self
            .deferred_writes
            .iter()
            .filter(|(_, at)| **at + extra_delay_ms <= now)
            .map(|(record, _)| record.clone())
            .collect();
        for record in due {
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

    /// Whether a record is being written or read again.
    pub(super) fn is_in_flight(&self, record: &RecordId) -> bool {
        match record {
            RecordId::Job(id) => self.jobs.get(id).is_some_and(|job| job.in_flight),
            RecordId::Rental(name) => {
                let rental = self.rentals.get(name);
                rental.is_some_and(|rental| rental.record.in_flight)
            }
            RecordId::Types => self.types.in_flight,
            RecordId::Page(number) => self.pages.get(number).is_some_and(|page| page.in_flight),
        }
    }

    /// Notes whether a record is being written or read again.
    pub(super) fn set_in_flight(&mut self, record: &RecordId, in_flight: bool) {
        match record {
            RecordId::Job(id) => {
                if let Some(job) = self.jobs.get_mut(id) {
                    job.in_flight = in_flight;
                }
            }
            RecordId::Rental(name) => {
                if let Some(rental) = self.rentals.get_mut(name) {
                    rental.record.in_flight = in_flight;
                }
            }
            RecordId::Types => self.types.in_flight = in_flight,
            RecordId::Page(number) => {
                if let Some(page) = self.pages.get_mut(number) {
                    page.in_flight = in_flight;
                }
            }
        }
    }
}
