//! State that a round derives from its snapshot before it starts.

use crate::{ClusterSnapshot, Policy, Resources, RunningTask};
use constants::LONG_RUNNING_TASK_S;

/// Total resource weight of the tasks on machines, by queue of their jobs.
pub(super) fn queue_usage(policy: &Policy, snapshot: &ClusterSnapshot) -> Vec<f64> {
    let mut usage = vec![0.0; policy.queues.max(1)];
    for job in &snapshot.jobs {
        if let Some(queue) = usage.get_mut(job.queue) {
            *queue += f64::from(job.assigned_tasks) * job.task_resources.weight();
        }
    }
    usage
}

/// The gang for which earlier rounds reserved a machine, by machine. Reservations are kept from round to round, because
/// machines that were chosen anew in each round would fill up in between.
pub(super) fn earlier_reservations(snapshot: &ClusterSnapshot) -> Vec<Option<usize>> {
    let mut reserved_for = vec![None; snapshot.machines.len()];
    for (number, job) in snapshot.jobs.iter().enumerate() {
        for &machine in job
            .reserved_machines
            .iter()
            .filter(|_| !job.waiting_tasks.is_empty())
        {
            if snapshot.machines[machine].usable || snapshot.machines[machine].ready_in_s.is_some()
            {
                reserved_for[machine] = Some(number);
            }
        }
    }
    reserved_for
}

/// Resources of the tasks that are expected to run for long, by team.
pub(super) fn long_running(snapshot: &ClusterSnapshot) -> Vec<Resources> {
    let mut long_running = vec![Resources::default(); snapshot.teams.len()];
    let runs_long = |task: &&RunningTask| task.remaining_s > LONG_RUNNING_TASK_S;
    for task in snapshot.running_tasks.iter().filter(runs_long) {
        long_running[task.team].add(&task.resources);
    }
    long_running
}

/// The minimum of each resource over all waiting tasks.
pub(super) fn smallest_task(snapshot: &ClusterSnapshot) -> Resources {
    let waiting = snapshot
        .jobs
        .iter()
        .filter(|job| !job.waiting_tasks.is_empty());
    let smallest = waiting
        .map(|job| job.task_resources)
        .reduce(|a, b| a.min(&b));
    smallest.unwrap_or_default()
}
