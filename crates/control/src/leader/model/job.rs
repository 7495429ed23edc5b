//! Open jobs.

mod chunks;
mod dense_form;
mod failures;
#[cfg(test)]
mod tests;

use super::Chunk;
use crate::offers::task_resources;
use sched::{RangeSet, Resources};
use std::collections::{BTreeMap, BTreeSet};
use wire::records::{JobOutcome, JobRecord};
use wire::users::{Priority, Shape, Submission};

/// Requirements that a job inherits from the jobs that depend on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct DownstreamDemand {
    /// Two times (wall clock, milliseconds) by which the job must be over: for the first of the dependent jobs to meet
    /// its deadline, and for that job to end at the last moment that an objective still counts.
    pub deadlines: Option<(u64, u64)>,
    /// Highest priority among the dependent jobs.
    pub priority: Priority,
}

/// An open job: its submission, its progress and its assignments.
#[derive(Debug, Clone)]
pub(crate) struct Job {
    /// The submission.
    pub spec: Submission,
    /// When the job was accepted (wall clock, milliseconds).
    pub submitted_at: u64,
    /// Version of the job's record.
    pub record_version: u64,
    /// The user has cancelled the job.
    pub aborted: bool,
    /// Time up to which no cancellation of the job had been confirmed: when a transaction was sent that compared the
    /// version of the job's record and was committed; 0 if there was none (monotonic clock, milliseconds).
    pub uncancelled_until: u64,
    /// The record of that version shows the cancellation. A peer's notice of it may arrive before the record.
    pub recorded_abort: bool,
    /// Tasks per chunk: `WIDE_CHUNK_TASKS` in the wide form, `DENSE_CHUNK_TASKS` in the dense form.
    pub tasks_per_chunk: u32,
    /// Chunks of the tasks, by number.
    pub chunks: BTreeMap<u32, Chunk>,
    /// Dependencies that are not known to be recorded as done.
    pub unmet_dependencies: BTreeSet<String>,
    /// When the last dependency was done, as far as this leader knows (wall clock, milliseconds). From then on the job
    /// waits for machines.
    pub ready_at: u64,
    /// Deadlines and priority inherited from the jobs that depend on this one.
    pub downstream_demand: Option<DownstreamDemand>,
    /// Tasks that are done or assigned.
    pub done_or_assigned: RangeSet,
    /// Number of tasks that are done.
    pub done_count: u64,
    /// Number of assignments.
    pub assigned_count: u32,
    /// Tasks that machines run without a record, by (task, machine). The job starts nothing until they are gone.
    pub orphans: BTreeSet<(u32, String)>,
    /// The final record is being written, or the job's record is being read again.
    pub record_in_flight: bool,
    /// Gang: the current attempt has run.
    pub gang_started: bool,
    /// Gang: the current attempt can no longer be completed.
    pub gang_broken: bool,
    /// Gang: some tasks timed out waiting for others that are still fetching the image.
    pub gathering_timed_out: bool,
    /// Number of consecutive failures, which determines the backoff.
    pub consecutive_failures: u32,
    /// Several attempts ended under earlier leaders, and no task was completed.
    pub failed_under_earlier_leaders: bool,
    /// Machines on which tasks of the job failed.
    pub failed_machines: BTreeSet<String>,
    /// End of the backoff after a failure (monotonic clock, milliseconds).
    pub backoff_until: u64,
    /// When a task of the job was first seen running (monotonic clock, milliseconds).
    pub first_run_at: Option<u64>,
    /// Machines reserved for this gang.
    pub reserved_machines: Vec<String>,
    /// Number of overflow records that hold the rest of the submission.
    pub overflow_record_count: u32,
}

impl Job {
    /// A job as described by its record, in the wide form and without progress.
    pub fn new(record: JobRecord, version: u64) -> Self {
        Job {
            spec: record.spec,
            submitted_at: record.accepted_at_ms,
            record_version: version,
            aborted: record.aborted,
            uncancelled_until: 0,
            recorded_abort: record.aborted,
            tasks_per_chunk: constants::WIDE_CHUNK_TASKS,
            chunks: BTreeMap::new(),
            unmet_dependencies: BTreeSet::new(),
            ready_at: record.accepted_at_ms,
            downstream_demand: None,
            done_or_assigned: RangeSet::default(),
            done_count: 0,
            assigned_count: 0,
            orphans: BTreeSet::new(),
            record_in_flight: false,
            gang_started: false,
            gang_broken: false,
            gathering_timed_out: false,
            consecutive_failures: 0,
            failed_under_earlier_leaders: false,
            failed_machines: BTreeSet::new(),
            backoff_until: 0,
            first_run_at: None,
            reserved_machines: Vec::new(),
            overflow_record_count: record.overflow_record_count,
        }
    }

    /// Whether the job waits for dependencies. Its tasks are not started until they are done.
    pub fn awaits_dependencies(&self) -> bool {
        !self.unmet_dependencies.is_empty()
    }

    /// The highest priority among the job and the jobs that depend on it.
    pub fn priority(&self) -> Priority {
        let own = self.spec.priority;
        self.downstream_demand
            .map_or(own, |demand| demand.priority.max(own))
    }

    /// Whether the job is a gang: its tasks run all at once or not at all.
    pub fn is_gang(&self) -> bool {
        self.spec.shape == Shape::Gang
    }

    /// Whether the job is a service.
    pub fn is_service(&self) -> bool {
        self.spec.shape == Shape::Service
    }

    /// Number of tasks.
    pub fn task_count(&self) -> u32 {
        self.spec.tasks as u32
    }

    /// Resources that each task takes.
    pub fn task_resources(&self) -> Resources {
        task_resources(&self.spec)
    }

    /// Whether all tasks are done.
    pub fn all_done(&self) -> bool {
        self.done_count >= self.spec.tasks
    }

    /// The outcome of a job that is over and may be archived.
    pub fn final_due(&self) -> Option<JobOutcome> {
        // A user whose cancellation was confirmed must never see the job as done, even if every task completes
        // meanwhile.
        if self.aborted {
            let has_no_tasks_left = self.assigned_count == 0 && self.orphans.is_empty();
            return has_no_tasks_left.then_some(JobOutcome::Aborted);
        }
        self.all_done().then_some(JobOutcome::Done)
    }
}
