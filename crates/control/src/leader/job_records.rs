//! Handles the records of open jobs, both new and changed.

use super::model::Job;
use super::Leader;
use crate::effects::{Effects, NodeEvent, Now};
use wire::records::JobRecord;
use wire::users::Shape;

impl Leader {
    /// Adds or updates a job from its record, if the record is newer than the known version.
    pub(super) fn update_from_job_record(
        &mut self,
        id: &str,
        record: JobRecord,
        version: u64,
        effects: &mut Effects,
    ) {
        if self.jobs.contains_key(id) {
            return self.update_job(id, &record, version, effects.now);
        }
        // An archived job can't become open again, since each id is created only once.
        if self.archived_outcome(id).is_some() {
            return;
        }
        // The overflow records of a cancelled job are not needed.
        if record.overflow_record_count > 0 && !record.aborted {
            return self.read_overflow_records(id, record, version, effects);
        }
        self.insert_job(id, record, version, effects);
    }

    /// Updates a known job from a newer record. Only the version and the cancellation can have changed.
    fn update_job(&mut self, id: &str, record: &JobRecord, version: u64, now: Now) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if version <= job.record_version {
            return;
        }
        job.record_version = version;
        job.recorded_abort = record.aborted;
        if record.aborted && !job.aborted {
            job.aborted = true;
            log::info!(
                "event=cancellation_read job={id} placed={}",
                job.assigned_count
            );
            self.cancel_assignments(id, now);
            self.cancel_dependents(id);
        }
        self.round_due = true;
        self.queue_write_if_final(id);
    }

    /// Adds a job that has become known.
    pub(super) fn insert_job(
        &mut self,
        id: &str,
        record: JobRecord,
        version: u64,
        effects: &mut Effects,
    ) {
        log_new_job(id, &record);
        let mut job = Job::new(record, version);
        job.aborted |= self.cancellation_notices.contains(id);
        if self.pages.is_dense() {
            job.split_into_dense_chunks();
        } else if !job.spec.dependencies.is_empty() {
            // Only a node of the version with job dependencies accepts such a job, so the upgrade is complete.
            effects.emit(NodeEvent::UpgradeEvidence {
                observation: "a job that needs others",
            });
        }
        self.jobs.insert(id.to_string(), job);
        self.track_dependencies(id, effects.now);
        self.round_due = true;
        self.queue_write_if_final(id);
    }
}

fn log_new_job(id: &str, record: &JobRecord) {
    let spec = &record.spec;
    log::info!(
        "event=job_seen job={id} class={} team={} tasks={} gang={} guess_s={:.0} due_s={:.0} needs={}",
        spec.class,
        spec.team,
        spec.tasks,
        spec.shape == Shape::Gang,
        spec.estimated_run_s,
        spec.due_s.unwrap_or(0.0),
        spec.dependencies.len()
    );
}
