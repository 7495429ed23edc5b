//! Tasks of a job that wait for a machine.

use crate::leader::model::{Assignment, AssignmentStage, Job};

/// Waiting tasks of a job that one round sees: what could be placed on an empty fleet, with a margin.
const WAITING_TASKS_PER_ROUND: usize = 256;

/// Tasks that are neither done nor assigned, as many as one round can use.
pub(super) fn unassigned_tasks(job: &Job, now: u64) -> Vec<u32> {
    if job.is_gang() && !may_complete_gang(job) {
        return Vec::new();
    }
    // A wide array submitted with a mistake filled all free room again after each pause: until one of its tasks runs
    // on, a single one is tried.
    let on_trial = job.seems_to_fail_everywhere() && !job.is_sound(now, |_| true);
    let most = match (job.is_gang(), on_trial) {
        (true, _) => usize::MAX,
        (false, true) => usize::from(job.assigned == 0),
        (false, false) => WAITING_TASKS_PER_ROUND,
    };
    let mut tasks = Vec::new();
    let mut next = 0;
    while tasks.len() < most {
        next = job.busy.next_missing(next);
        if next >= job.tasks() {
            break;
        }
        tasks.push(next);
        next += 1;
    }
    tasks
}

/// Whether missing tasks of a gang may join those that are assigned. Not once its attempt has started or can't be
/// completed, nor while it is unsure whether some of its tasks run.
fn may_complete_gang(job: &Job) -> bool {
    if job.assigned == 0 {
        return true;
    }
    let is_unsure = |a: &Assignment| a.stop.is_some() || a.stage == AssignmentStage::Recorded;
    let unsure = job.assignments().any(|(_, a)| is_unsure(a));
    !job.started && !job.broken && !unsure
}
