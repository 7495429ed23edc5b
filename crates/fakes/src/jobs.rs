//! Jobs for scenarios, and how their tasks behave.

use crate::Behaviour;
use std::collections::BTreeMap;
use wire::users::{Priority, Shape, Submission};

/// A plain array job.
pub fn array(id: &str, tasks: u64) -> Submission {
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

/// A plain gang.
pub fn gang(id: &str, tasks: u64) -> Submission {
    Submission {
        shape: Shape::Gang,
        gpus: 4.0,
        one_zone: true,
        ..array(id, tasks)
    }
}

/// The job of a task.
pub(crate) fn job_of(task: &str) -> &str {
    task.split('/').next().unwrap_or_default()
}

/// How a task behaves, if its job has been described.
pub(crate) fn behaviour_of(jobs: &BTreeMap<String, Behaviour>, task: &str) -> Option<Behaviour> {
    jobs.get(job_of(task)).copied()
}
