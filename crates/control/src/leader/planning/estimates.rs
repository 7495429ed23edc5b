//! Estimates: how long tasks and jobs run, and when they must start to meet their objectives.

use crate::effects::Now;
use crate::leader::model::Job;
use crate::leader::Leader;
use crate::settings::Objective;
use constants::{LONGEST_TASK, MISSED_OBJECTIVE_DELAY_S, START_LAG_S};
use sched::pilots_of;

/// Seconds that a job is expected to take at most, so that a service's time can be added to a time of day.
const MOST_EXPECTED_S: f64 = 1e9;

/// How long a task of a job is expected to run.
#[derive(Debug, Clone, Copy)]
pub(in crate::leader) struct TaskEstimate {
    /// Seconds.
    pub seconds: f64,
    /// Whether the job's pilots still run: until they have ended the submitter's own guess serves.
    pub sampling: bool,
}

/// A moment a number of seconds after another, both in milliseconds.
fn seconds_after(start_ms: u64, seconds: f64) -> u64 {
    start_ms + (seconds.max(0.0) * 1000.0) as u64
}

impl Leader {
    /// The mean run time of a job's completed tasks once enough of them were timed, before that the submitter's guess.
    pub(in crate::leader) fn task_estimate(&self, job: &Job) -> TaskEstimate {
        let sample = job.run_time_sample();
        if job.is_service() {
            return TaskEstimate {
                seconds: f64::MAX,
                sampling: false,
            };
        }
        let pilots = match job.is_gang() {
            true => 0,
            false => pilots_of(&self.operator.policy(), job.tasks()),
        };
        if sample.timed_tasks > 0 && sample.timed_tasks >= pilots {
            return TaskEstimate {
                seconds: sample.mean_s,
                sampling: false,
            };
        }
        TaskEstimate {
            seconds: job.spec.estimated_run_s,
            sampling: pilots > 0,
        }
    }

    /// Milliseconds a job is expected to take from its assignment to its end.
    pub(in crate::leader) fn expected_ms(&self, job: &Job, task_s: f64) -> u64 {
        let run_s = match job.is_gang() {
            true => task_s,
            false => task_s * LONGEST_TASK,
        };
        ((START_LAG_S + run_s).min(MOST_EXPECTED_S) * 1000.0) as u64
    }

    /// The multiple of its own deadline up to which an objective still counts a job, where one says so.
    pub(in crate::leader) fn deadline_multiple(&self, job: &Job) -> Option<f64> {
        self.objectives_of(job)
            .filter(|objective| objective.kind == "deadline")
            .filter_map(|objective| objective.times.filter(|times| *times > 1.0))
            .last()
    }

    fn objectives_of<'a>(&'a self, job: &'a Job) -> impl Iterator<Item = &'a Objective> {
        let objectives = self.settings.deployment.objectives.iter();
        objectives.filter(|o| o.class.as_deref() == Some(job.spec.class.as_str()))
    }

    /// Latest moment (time of day, ms) at which what is left of a job must start to meet the first of its objectives
    /// that it still can: its own deadline, that of jobs which depend on it, and those of its class. Those count from
    /// when it may begin, a deadline from its submission. Nothing if there is no objective at all.
    pub(super) fn latest_start(&self, job: &Job, task_s: f64, now: Now) -> Option<u64> {
        let takes_ms = self.expected_ms(job, task_s);
        let ends = self.deadlines(job).into_iter();
        let mut starts: Vec<u64> = ends.map(|end| end.saturating_sub(takes_ms)).collect();
        starts.extend(self.class_starts(job, takes_ms));
        starts.sort_unstable();
        let last = (*starts.last()?).max(job.ready_at);
        let next = starts.iter().copied().find(|start| *start >= now.unix);
        Some(next.unwrap_or(seconds_after(last, MISSED_OBJECTIVE_DELAY_S)))
    }

    /// Moments (time of day, ms) by which a job must have ended: its own deadline, the last moment that an objective
    /// counts for it, and those of jobs that depend on it.
    fn deadlines(&self, job: &Job) -> Vec<u64> {
        let mut deadlines = Vec::new();
        if let Some(due_s) = job.spec.due_s {
            let multiples = [Some(1.0), self.deadline_multiple(job)];
            let due = |times: f64| seconds_after(job.submitted_at, due_s * times);
            deadlines.extend(multiples.into_iter().flatten().map(due));
        }
        if let Some((first, last)) = job.downstream.and_then(|demand| demand.ends) {
            deadlines.extend([first, last]);
        }
        deadlines
    }

    /// Latest starts (time of day, ms) by the objectives of the job's class.
    fn class_starts<'a>(&'a self, job: &'a Job, takes_ms: u64) -> impl Iterator<Item = u64> + 'a {
        let start = move |objective: &Objective| match objective.kind.as_str() {
            "wait" => Some(seconds_after(
                job.ready_at,
                objective.within_s? - START_LAG_S,
            )),
            "finished" => {
                let end = seconds_after(job.ready_at, objective.within_s?);
                Some(end.saturating_sub(takes_ms))
            }
            _ => None,
        };
        self.objectives_of(job).filter_map(start)
    }
}
