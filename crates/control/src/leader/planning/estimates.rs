//! Estimates of how long tasks and jobs run, and of when they must start to meet their objectives.

use crate::effects::Now;
use crate::leader::model::Job;
use crate::leader::Leader;
use crate::settings::Objective;
use constants::{LONGEST_TASK_FACTOR, MISSED_OBJECTIVE_DELAY_S, TASK_START_DELAY_S};
use sched::pilot_count;

/// Maximum expected duration of a job in seconds, so that the unbounded duration of a service can be added to a time of
/// day without overflow.
const MAX_EXPECTED_S: f64 = 1e9;

/// Expected run time of a job's tasks.
#[derive(Debug, Clone, Copy)]
pub(in crate::leader) struct TaskEstimate {
    /// Expected run time in seconds.
    pub run_time_s: f64,
    /// Whether the job's size is still being sampled: until enough pilots have ended, the submitter's guess is used.
    pub sampling: bool,
}

/// The time that is `seconds` after `start_ms`, in milliseconds.
fn seconds_after(start_ms: u64, seconds: f64) -> u64 {
    start_ms + (seconds.max(0.0) * 1000.0) as u64
}

impl Leader {
    /// The mean run time of a job's timed tasks once there are enough of them; until then the submitter's guess.
    pub(in crate::leader) fn task_estimate(&self, job: &Job) -> TaskEstimate {
        let sample = job.run_time_sample();
        if job.is_service() {
            return TaskEstimate {
                run_time_s: f64::MAX,
                sampling: false,
            };
        }
        let pilots = match job.is_gang() {
            true => 0,
            false => pilot_count(&self.operator.policy(), job.task_count()),
        };
        if sample.timed_tasks > 0 && sample.timed_tasks >= pilots {
            return TaskEstimate {
                run_time_s: sample.mean_s,
                sampling: false,
            };
        }
        TaskEstimate {
            run_time_s: job.spec.estimated_run_s,
            sampling: pilots > 0,
        }
    }

    /// Expected time from a job's assignment to its end, in milliseconds.
    pub(in crate::leader) fn expected_duration_ms(&self, job: &Job, task_s: f64) -> u64 {
        let run_s = match job.is_gang() {
            true => task_s,
            false => task_s * LONGEST_TASK_FACTOR,
        };
        ((TASK_START_DELAY_S + run_s).min(MAX_EXPECTED_S) * 1000.0) as u64
    }

    /// The multiple of a job's own deadline up to which an objective still counts the job, if an objective sets one.
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

    /// Latest time (wall clock, milliseconds) at which the rest of a job must start to meet the first of its objectives
    /// that can still be met: its own deadline, those of the jobs that depend on it, and the objectives of its class.
    /// Class objectives count from when the job may begin, a deadline counts from its submission. `None` if the job has
    /// no objective.
    pub(super) fn latest_start(&self, job: &Job, task_s: f64, now: Now) -> Option<u64> {
        let duration_ms = self.expected_duration_ms(job, task_s);
        let ends = self.deadlines(job).into_iter();
        let mut starts: Vec<u64> = ends.map(|end| end.saturating_sub(duration_ms)).collect();
        starts.extend(self.class_starts(job, duration_ms));
        starts.sort_unstable();
        let last = (*starts.last()?).max(job.ready_at);
        let next = starts.iter().copied().find(|start| *start >= now.unix);
        Some(next.unwrap_or(seconds_after(last, MISSED_OBJECTIVE_DELAY_S)))
    }

    /// Times (wall clock, milliseconds) by which a job must have ended: its own deadline, the last moment at which an
    /// objective still counts the job, and the two that follow from the jobs that depend on it.
    fn deadlines(&self, job: &Job) -> Vec<u64> {
        let mut deadlines = Vec::new();
        if let Some(due_s) = job.spec.due_s {
            let multiples = [Some(1.0), self.deadline_multiple(job)];
            let due = |times: f64| seconds_after(job.submitted_at, due_s * times);
            deadlines.extend(multiples.into_iter().flatten().map(due));
        }
        if let Some((first, last)) = job.downstream_demand.and_then(|demand| demand.deadlines) {
            deadlines.extend([first, last]);
        }
        deadlines
    }

    /// Latest starts (wall clock, milliseconds) that meet the objectives of the job's class.
    fn class_starts<'a>(
        &'a self,
        job: &'a Job,
        duration_ms: u64,
    ) -> impl Iterator<Item = u64> + 'a {
        let start = move |objective: &Objective| match objective.kind.as_str() {
            "wait" => Some(seconds_after(
                job.ready_at,
                objective.within_s? - TASK_START_DELAY_S,
            )),
            "finished" => {
                let end = seconds_after(job.ready_at, objective.within_s?);
                Some(end.saturating_sub(duration_ms))
            }
            _ => None,
        };
        self.objectives_of(job).filter_map(start)
    }
}
