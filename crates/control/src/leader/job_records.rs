//! Taking in the records of open jobs, new ones and changed ones.

use super::model::Job;
use super::Leader;
use crate::effects::{Effects, NodeEvent, Now};
use wire::records::JobRecord;
use wire::users::Shape;

impl Leader {
    /// Takes in a job's record at a version, if it is newer than what is known.
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
        // A job that was archived can't come back: ids are created once.
        if self.archived_outcome(id).is_some() {
            return;
        }
        // Of a cancelled job the rest of its submission does not matter.
        if record.overflow_record_count > 0 && !record.aborted {
            return self.read_further_records(id, record, version, effects);
        }
        self.insert_job(id, record, version, effects);
    }

    /// Takes in a newer record of a known job. Only its version and its cancellation can have changed.
    fn update_job(&mut self, id: &str, record: &JobRecord, version: u64, now: Now) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if version <= job.version {
            return;
        }
        job.version = version;
        job.recorded_abort = record.aborted;
        if record.aborted && !job.aborted {
            job.aborted = true;
            log::info!("event=cancellation_read job={id} placed={}", job.assigned);
            self.cancel_assignments(id, now);
            self.cancel_dependents(id);
        }
        self.plan_due = true;
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
            job.split();
        } else if !job.spec.dependencies.is_empty() {
            // Only a node that runs the version with pipelines accepts such a job, so the upgrade is over.
            effects.emit(NodeEvent::UpgradeEvidence {
                observation: "a job that needs others",
            });
        }
        self.jobs.insert(id.to_string(), job);
        self.track_dependencies(id, effects.now);
        self.plan_due = true;
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
