//! Dependencies between jobs: when a job may start, when it is cancelled with a job that it depends on, and how its
//! deadline propagates to its dependencies.
//!
//! A job waits until this leader knows that each of its dependencies is archived as done, by the leader's own
//! transaction or by reading the final record. A dependency that is found neither open nor final is looked up again,
//! and never assumed to be done. Answers to users do not rely on this state: nodes look up the chain of dependencies in
//! the store themselves.
//!
//! | module | subject |
//! | --- | --- |
//! | `lookups` | records read for dependencies: final records, and overflow records of a job |
//! | `demand` | propagation of deadlines and priorities from jobs to their dependencies |

mod demand;
mod lookups;

use super::Leader;
use crate::effects::{Effects, Now};
use constants::CASCADED_CANCELLATIONS_PER_TURN_MAX;
use lookups::Lookups;
use std::collections::{BTreeSet, HashMap, VecDeque};
use wire::records::JobOutcome;

/// State of the dependencies between open jobs.
#[derive(Default)]
pub(super) struct Dependencies {
    /// Open jobs, by each dependency that is not known to be done.
    dependents: HashMap<String, BTreeSet<String>>,
    /// Cancelled jobs whose dependents have yet to be cancelled.
    cascade: VecDeque<String>,
    lookups: Lookups,
    /// Whether deadlines and priorities must be propagated again.
    propagation_due: bool,
}

impl Leader {
    /// Registers the dependencies of a job that has just become known.
    pub(super) fn track_dependencies(&mut self, id: &str, now: Now) {
        let Some(job) = self.jobs.get(id) else { return };
        if job.aborted {
            return self.cancel_dependents(id);
        }
        let mut dependency_cancelled = false;
        let mut pending = BTreeSet::new();
        for dependency in &job.spec.dependencies {
            match (self.archived_outcome(dependency), self.jobs.get(dependency)) {
                (Some(JobOutcome::Done), _) => continue,
                (Some(JobOutcome::Aborted), _) => dependency_cancelled = true,
                (None, Some(open)) => dependency_cancelled |= open.aborted,
                (None, None) => self.dependencies.lookups.push(now.mono, dependency),
            }
            pending.insert(dependency.clone());
        }
        for dependency in &pending {
            let dependents = &mut self.dependencies.dependents;
            let dependents = dependents.entry(dependency.clone()).or_default();
            dependents.insert(id.to_string());
        }
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if !job.spec.dependencies.is_empty() {
            // A new leader does not know whether the job was released long ago, so it counts from now.
            job.ready_at = now.unix;
            self.dependencies.propagation_due = true;
        }
        job.unmet_dependencies = pending;
        if dependency_cancelled {
            self.cancel_by_dependency(id, now);
        }
    }

    /// Whether a job has ended but is not archived yet, and other jobs wait for that.
    pub(super) fn is_awaited_by_dependents(&self, id: &str) -> bool {
        self.dependencies.dependents.contains_key(id)
            && self
                .jobs
                .get(id)
                .is_some_and(|job| job.final_due().is_some())
    }

    /// Handles an archived job: its dependents are released if it is done, and cancelled if it was cancelled.
    pub(super) fn on_job_archived(&mut self, id: &str, end: JobOutcome, now: Now) {
        let Some(dependents) = self.dependencies.dependents.remove(id) else {
            return;
        };
        self.dependencies.propagation_due = true;
        for dependent in dependents {
            match end {
                JobOutcome::Aborted => self.cancel_by_dependency(&dependent, now),
                JobOutcome::Done => self.release_dependent(&dependent, id, now),
            }
        }
    }

    /// Removes a completed dependency from a job. If it was the last one, the job may start.
    fn release_dependent(&mut self, dependent: &str, dependency: &str, now: Now) {
        let Some(job) = self.jobs.get_mut(dependent) else {
            return;
        };
        if !job.unmet_dependencies.remove(dependency) || !job.unmet_dependencies.is_empty() {
            return;
        }
        job.ready_at = now.unix;
        self.round_due = true;
        log::info!(
            "event=released job={dependent} by={dependency} class={} after_s={:.1}",
            job.spec.class,
            now.unix.saturating_sub(job.submitted_at) as f64 / 1000.0
        );
    }

    /// Removes a job that has ended from the dependents of a job.
    pub(super) fn remove_dependent(&mut self, dependency: &str, dependent: &str) {
        let Some(dependents) = self.dependencies.dependents.get_mut(dependency) else {
            return;
        };
        dependents.remove(dependent);
        if dependents.is_empty() {
            self.dependencies.dependents.remove(dependency);
        }
    }

    /// Queues the dependents of a cancelled job for cancellation, which proceeds a few jobs at a time.
    pub(super) fn cancel_dependents(&mut self, id: &str) {
        if self.dependencies.dependents.contains_key(id) {
            self.dependencies.cascade.push_back(id.to_string());
        }
    }

    /// Cancels a job because one of its dependencies was cancelled. The job has never started. The cancellation is
    /// recorded when the job is archived.
    fn cancel_by_dependency(&mut self, id: &str, now: Now) {
        let Some(job) = self.jobs.get_mut(id).filter(|job| !job.aborted) else {
            return;
        };
        job.aborted = true;
        log::info!(
            "event=dependent_cancelled job={id} placed={}",
            job.assigned_count
        );
        self.dependencies.propagation_due = true;
        self.cancel_assignments(id, now);
        self.queue_write_if_final(id);
        self.cancel_dependents(id);
    }

    /// Continues pending cancellations of dependents and sends due lookups of final records.
    pub(super) fn process_dependencies(&mut self, effects: &mut Effects) {
        self.continue_cascade(effects.now);
        self.send_lookups(effects);
    }

    /// Cancels a limited number of dependents of cancelled jobs, so that a cascade of any size leaves time for other
    /// work.
    fn continue_cascade(&mut self, now: Now) {
        let mut remaining = CASCADED_CANCELLATIONS_PER_TURN_MAX;
        while remaining > 0 {
            let Some(id) = self.dependencies.cascade.front().cloned() else {
                break;
            };
            let dependents = self.dependencies.dependents.get(&id);
            let is_open = |id: &&String| self.jobs.get(*id).is_some_and(|job| !job.aborted);
            let open = dependents.into_iter().flatten().filter(is_open);
            let next: Vec<String> = open.take(remaining).cloned().collect();
            if next.len() < remaining {
                self.dependencies.cascade.pop_front();
            }
            remaining -= next.len();
            for dependent in next {
                self.cancel_by_dependency(&dependent, now);
            }
        }
    }

    /// When [`Leader::process_dependencies`] next has work to do.
    pub(super) fn next_dependency_wake(&self) -> u64 {
        if !self.dependencies.cascade.is_empty() {
            return 0;
        }
        self.dependencies.lookups.next_wake()
    }
}
