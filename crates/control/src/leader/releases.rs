//! Removal of the assignments of tasks that certainly do not run.

use super::model::Assignment;
use super::Leader;
use crate::effects::Now;
use crate::requests::RecordId;
use wire::workers::TaskPhase;

impl Leader {
    /// Removes the assignment of a task that certainly does not run on its machine.
    pub(super) fn release_assignment(&mut self, id: &str, task: u32, why: &str, now: Now) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let Some(assignment) = job.unassign(task) else {
            return;
        };
        let has_run = job.gang_started || is_running(&assignment);
        if job.is_gang() && job.assigned_count > 0 && has_run && !job.all_done() {
            job.gang_broken = true;
        }
        log::info!(
            "event=assignment_released task={id}/{task} try={} machine={} why={why:?}",
            assignment.attempt,
            assignment.machine
        );
        self.remove_from_machine(&assignment.machine, id, task, now);
        self.round_due = true;
        self.defer_write(RecordId::Job(id.to_string()), now);
    }

    fn remove_from_machine(&mut self, name: &str, id: &str, task: u32, now: Now) {
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        machine.assignments.remove(&(id.to_string(), task));
        if machine.assignments.is_empty() {
            machine.idle_since = now.mono;
            machine.has_stopping_tasks = false;
        }
    }

    /// Queues the write of a job's final record if the job is over.
    pub(super) fn queue_write_if_final(&mut self, id: &str) {
        let is_over = self
            .jobs
            .get(id)
            .is_some_and(|job| job.final_due().is_some());
        if is_over {
            self.queue_write(RecordId::Job(id.to_string()));
        }
    }
}

fn is_running(assignment: &Assignment) -> bool {
    matches!(
        assignment.phase,
        Some(TaskPhase::Running | TaskPhase::Saving)
    )
}
