//! Jobs that depend on others: when they may begin, when they are cancelled with them, and how their deadlines reach
//! back to what they depend on.
//!
//! A job waits until this leader knows of each job it depends on that it is archived as done: by its own transaction,
//! or by reading the final record. What is found neither open nor final is looked up again, never taken for done.
//! Answers to users do not rest on any of this: nodes look up the chain in the store themselves.
//!
//! | module | subject |
//! | --- | --- |
//! | `lookups` | records read for dependencies: how jobs ended, and further records of a job |
//! | `demand` | deadlines and priorities passed back along pipelines |

mod demand;
mod lookups;

use super::Leader;
use crate::effects::{Effects, Now};
use constants::CASCADE_A_TURN;
use lookups::Lookups;
use std::collections::{BTreeSet, HashMap, VecDeque};
use wire::records::JobOutcome;

/// What the leader knows of jobs that depend on others.
#[derive(Default)]
pub(super) struct Dependencies {
    /// Open jobs, by each job they depend on that is not known to be over.
    dependents: HashMap<String, BTreeSet<String>>,
    /// Cancelled jobs whose dependents are still to be cancelled.
    cascade: VecDeque<String>,
    lookups: Lookups,
    /// Deadlines and priorities are to be passed back anew.
    demand_due: bool,
}

impl Leader {
    /// Notes what a job that has just become known depends on.
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
            // A new leader does not know whether it was released long ago.
            job.ready_at = now.unix;
            self.dependencies.demand_due = true;
        }
        job.needs = pending;
        if dependency_cancelled {
            self.cancel_by_dependency(id, now);
        }
    }

    /// Whether a job is over, not archived yet, and others wait for that.
    pub(super) fn is_awaited_by_dependents(&self, id: &str) -> bool {
        self.dependencies.dependents.contains_key(id)
            && self
                .jobs
                .get(id)
                .is_some_and(|job| job.final_due().is_some())
    }

    /// A job is archived: what depends on it may go on, or is cancelled with it.
    pub(super) fn on_job_archived(&mut self, id: &str, end: JobOutcome, now: Now) {
        let Some(dependents) = self.dependencies.dependents.remove(id) else {
            return;
        };
        self.dependencies.demand_due = true;
        for dependent in dependents {
            match end {
                JobOutcome::Aborted => self.cancel_by_dependency(&dependent, now),
                JobOutcome::Done => self.release_dependent(&dependent, id, now),
            }
        }
    }

    /// A dependency of a job is done. If it was the last one, the job may begin.
    fn release_dependent(&mut self, dependent: &str, dependency: &str, now: Now) {
        let Some(job) = self.jobs.get_mut(dependent) else {
            return;
        };
        if !job.needs.remove(dependency) || !job.needs.is_empty() {
            return;
        }
        job.ready_at = now.unix;
        self.plan_due = true;
        log::info!(
            "event=released job={dependent} by={dependency} class={} after_s={:.1}",
            job.spec.class,
            now.unix.saturating_sub(job.submitted_at) as f64 / 1000.0
        );
    }

    /// A job that is over no longer waits for its dependencies.
    pub(super) fn remove_dependent(&mut self, dependency: &str, dependent: &str) {
        let Some(dependents) = self.dependencies.dependents.get_mut(dependency) else {
            return;
        };
        dependents.remove(dependent);
        if dependents.is_empty() {
            self.dependencies.dependents.remove(dependency);
        }
    }

    /// A job is cancelled: what depends on it will be too, a few jobs at a time.
    pub(super) fn cancel_dependents(&mut self, id: &str) {
        if self.dependencies.dependents.contains_key(id) {
            self.dependencies.cascade.push_back(id.to_string());
        }
    }

    /// Cancels a job with one that it depends on. It has never begun; its record says so once it is archived.
    fn cancel_by_dependency(&mut self, id: &str, now: Now) {
        let Some(job) = self.jobs.get_mut(id).filter(|job| !job.aborted) else {
            return;
        };
        job.aborted = true;
        log::info!("event=dependent_cancelled job={id} placed={}", job.assigned);
        self.dependencies.demand_due = true;
        self.cancel_assignments(id, now);
        self.queue_write_if_final(id);
        self.cancel_dependents(id);
    }

    /// Goes on with cancellations and with lookups of how jobs ended.
    pub(super) fn maintain_pipelines(&mut self, effects: &mut Effects) {
        self.continue_cascade(effects.now);
        self.send_lookups(effects);
    }

    /// Cancels some dependents of cancelled jobs, so that a cascade of any size leaves time for all else.
    fn continue_cascade(&mut self, now: Now) {
        let mut left = CASCADE_A_TURN;
        while left > 0 {
            let Some(id) = self.dependencies.cascade.front().cloned() else {
                break;
            };
            let dependents = self.dependencies.dependents.get(&id);
            let is_open = |id: &&String| self.jobs.get(*id).is_some_and(|job| !job.aborted);
            let open = dependents.into_iter().flatten().filter(is_open);
            let next: Vec<String> = open.take(left).cloned().collect();
            if next.len() < left {
                self.dependencies.cascade.pop_front();
            }
            left -= next.len();
            for dependent in next {
                self.cancel_by_dependency(&dependent, now);
            }
        }
    }

    /// When [`Leader::maintain_pipelines`] has something to do again.
    pub(super) fn pipelines_wake(&self) -> u64 {
        if !self.dependencies.cascade.is_empty() {
            return 0;
        }
        self.dependencies.lookups.wake()
    }
}
