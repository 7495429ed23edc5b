//! Jobs for scenarios, and the behaviour of their tasks.

use crate::TaskBehaviour;
use std::collections::BTreeMap;
use wire::users::{Priority, Shape, Submission};

/// An array job without placement constraints, dependencies or a deadline.
pub fn array_job(id: &str, tasks: u64) -> Submission {
    Submission {
        id: id.to_string(),
        class: "c".into(),
        team: "t".into(),
        shape: Shape::Array,
        priority: Priority::Normal,
        tasks,
        cpus: 1.0,
        gpus: 1.0,
        mem_gb: 1.0,
        image: "i".into(),
        image_gb: 1.0,
        machine_types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot_allowed: true,
        estimated_run_s: 10.0,
        checkpoint_interval_s: 0.0,
        checkpoint_write_s: 0.0,
        due_s: None,
        dependencies: Vec::new(),
    }
}

/// A gang job in one zone whose tasks need 4 GPUs each, otherwise like [`array_job`].
pub fn gang_job(id: &str, tasks: u64) -> Submission {
    Submission {
        shape: Shape::Gang,
        gpus: 4.0,
        one_zone: true,
        ..array_job(id, tasks)
    }
}

/// Name of the job that a task belongs to.
pub(crate) fn job_of(task: &str) -> &str {
    task.split('/').next().unwrap_or_default()
}

/// Behaviour of a task, or `None` if the behaviour of its job has not been set.
pub(crate) fn behaviour_of(
    jobs: &BTreeMap<String, TaskBehaviour>,
    task: &str,
) -> Option<TaskBehaviour> {
    jobs.get(job_of(task)).copied()
}
