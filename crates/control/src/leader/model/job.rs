//! A job that is not over.

mod chunks;
mod dense_form;
mod failures;
#[cfg(test)]
mod tests;

use super::Chunk;
use sched::{RangeSet, Resources};
use std::collections::{BTreeMap, BTreeSet};
use wire::records::{JobOutcome, JobRecord};
use wire::users::{Priority, Shape, Submission};

/// What the jobs that depend on a job need of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct DownstreamDemand {
    /// Two moments (time of day, milliseconds) by which the job must be over: for the first of the dependent jobs to
    /// meet its deadline, and for it to meet the last moment that an objective still counts.
    pub ends: Option<(u64, u64)>,
    /// Highest priority among the dependent jobs.
    pub priority: Priority,
}

/// An open job: its submission, its progress and its assignments.
#[derive(Debug, Clone)]
pub(crate) struct Job {
    /// What was submitted.
    pub spec: Submission,
    /// Time of day of its acceptance, in milliseconds.
    pub submitted_at: u64,
    /// Version of its record.
    pub version: u64,
    /// Its user has cancelled it.
    pub aborted: bool,
    /// The record of that version says so. A peer's notice may have come ahead of the record.
    pub recorded_abort: bool,
    /// Tasks of a chunk: `CHUNK_TASKS` in the wide form, `SMALL_TASKS` in the dense form.
    pub tasks_per_chunk: u32,
    /// Its chunks, by number.
    pub chunks: BTreeMap<u32, Chunk>,
    /// Dependencies that are not known to be recorded as done.
    pub needs: BTreeSet<String>,
    /// When the last dependency was done, as far as this leader knows (time of day, milliseconds). From then on it
    /// waits for machines.
    pub ready_at: u64,
    /// What the jobs that depend on it make of its deadline and priority.
    pub downstream: Option<DownstreamDemand>,
    /// Tasks that are done or assigned.
    pub busy: RangeSet,
    /// Number of tasks that are done.
    pub done: u64,
    /// Number of assignments.
    pub assigned: u32,
    /// Tasks on machines without a record, by (task, machine): not to be started again until they are gone.
    pub orphans: BTreeSet<(u32, String)>,
    /// Its final record is being written, or its record is being read again.
    pub in_flight: bool,
    /// Gang: its present attempt has run.
    pub started: bool,
    /// Gang: its present attempt can't be completed any more.
    pub broken: bool,
    /// Gang: some of its tasks waited in vain for others that are still fetching the image.
    pub gathering_timed_out: bool,
    /// Failures in a row, which determine the backoff.
    pub failures: u32,
    /// All attempts under earlier leaders ended with nothing done.
    pub failed_under_earlier_leaders: bool,
    /// Machines that it failed on.
    pub failed_machines: BTreeSet<String>,
    /// End of the backoff after a failure (steady clock, milliseconds).
    pub pause_until: u64,
    /// When a task of it was first seen running (steady clock, milliseconds).
    pub first_run: Option<u64>,
    /// Machines reserved for this gang.
    pub reserved_machines: Vec<String>,
    /// Number of further records that hold the rest of its submission.
    pub more: u32,
}

impl Job {
    /// A job as its record has it, in the wide form and without progress.
    pub fn new(record: JobRecord, version: u64) -> Self {
        Job {
            spec: record.spec,
            submitted_at: record.accepted_at_ms,
            version,
            aborted: record.aborted,
            recorded_abort: record.aborted,
            tasks_per_chunk: constants::CHUNK_TASKS,
            chunks: BTreeMap::new(),
            needs: BTreeSet::new(),
            ready_at: record.accepted_at_ms,
            downstream: None,
            busy: RangeSet::default(),
            done: 0,
            assigned: 0,
            orphans: BTreeSet::new(),
            in_flight: false,
            started: false,
            broken: false,
            gathering_timed_out: false,
            failures: 0,
            failed_under_earlier_leaders: false,
            failed_machines: BTreeSet::new(),
            pause_until: 0,
            first_run: None,
            reserved_machines: Vec::new(),
            more: record.overflow_record_count,
        }
    }

    /// Whether it waits for dependencies: until they are done, nothing of it is started.
    pub fn awaits_dependencies(&self) -> bool {
        !self.needs.is_empty()
    }

    /// The highest priority among it and the jobs that depend on it.
    pub fn priority(&self) -> Priority {
        let own = self.spec.priority;
        self.downstream
            .map_or(own, |demand| demand.priority.max(own))
    }

    /// Whether its tasks run all at once or not at all.
    pub fn is_gang(&self) -> bool {
        self.spec.shape == Shape::Gang
    }

    /// Whether it is a service.
    pub fn is_service(&self) -> bool {
        self.spec.shape == Shape::Service
    }

    /// Number of tasks.
    pub fn tasks(&self) -> u32 {
        self.spec.tasks as u32
    }

    /// Resources that a task takes.
    pub fn task_resources(&self) -> Resources {
        Resources {
            cpus: self.spec.cpus,
            gpus: self.spec.gpus,
            memory_gb: self.spec.mem_gb,
        }
    }

    /// Whether all tasks are done.
    pub fn all_done(&self) -> bool {
        self.done >= self.spec.tasks
    }

    /// How it ended, if it is over and may be archived.
    pub fn final_due(&self) -> Option<JobOutcome> {
        // A user who was told "cancelled" must never read "done", even if every task completes meanwhile.
        if self.aborted {
            let is_free = self.assigned == 0 && self.orphans.is_empty();
            return is_free.then_some(JobOutcome::Aborted);
        }
        self.all_done().then_some(JobOutcome::Done)
    }
}
