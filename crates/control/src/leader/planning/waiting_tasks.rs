//! Selection of the tasks that wait for a machine.

use crate::leader::model::{Assignment, AssignmentStage, Job};

/// Maximum number of a job's waiting tasks in one round: what could be placed on an empty fleet, with a margin.
const MAX_WAITING_TASKS_PER_ROUND: usize = 256;

/// Tasks that are neither done nor assigned, as many as one round can use.
pub(super) fn unassigned_tasks(job: &Job, now: u64) -> Vec<u32> {
    if job.is_gang() && !may_join_attempt(job) {
        return Vec::new();
    }
    // A large array submitted with a mistake would fill all free room again after each backoff. Until one of its tasks
    // completes or keeps running, only a single one is tried at a time.
    let on_trial = job.seems_to_fail_everywhere() && !job.is_sound(now, |_| true);
    let limit = match (job.is_gang(), on_trial) {
        (true, _) => usize::MAX,
        (false, true) => usize::from(job.assigned_count == 0),
        (false, false) => MAX_WAITING_TASKS_PER_ROUND,
    };
    let mut tasks = Vec::new();
    let mut next = 0;
    while tasks.len() < limit {
        next = job.done_or_assigned.next_missing(next);
        if next >= job.task_count() {
            break;
        }
        tasks.push(next);
        next += 1;
    }
    tasks
}

/// Whether the missing tasks of a gang may join the assigned ones. They may not once the attempt has started or can no
/// longer be completed, nor while it is uncertain whether some of its tasks run.
fn may_join_attempt(job: &Job) -> bool {
    if job.assigned_count == 0 {
        return true;
    }
    let is_uncertain = |a: &Assignment| a.stop.is_some() || a.stage == AssignmentStage::Loaded;
    let has_uncertain_tasks = job.assignments().any(|(_, a)| is_uncertain(a));
    !job.gang_started && !job.gang_broken && !has_uncertain_tasks
}
