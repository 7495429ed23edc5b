//! Cancellation of jobs: what is known of it, and stopping their tasks.

use super::model::{AssignmentStage, StopRequest};
use super::Leader;
use crate::effects::Now;

impl Leader {
    /// A node is about to confirm a cancellation to a user.
    ///
    /// The record follows by the watch, unless the state service fails in between: the tasks must stop all the same.
    /// A job that is not known yet may be read any moment, in a record older than the cancellation.
    pub fn on_cancellation_notice(&mut self, id: &str, now: Now) {
        let is_known = self.jobs.contains_key(id);
        if !self.is_ready() || !is_known {
            if self.archived_outcome(id).is_none() {
                self.cancellation_notices.insert(id.to_string(), ());
            }
            return;
        }
        let Some(job) = self.jobs.get_mut(id).filter(|job| !job.aborted) else {
            return;
        };
        job.aborted = true;
        log::info!(
            "event=cancellation_notice job={id} placed={}",
            job.assigned_count
        );
        self.cancel_assignments(id, now);
        self.cancel_dependents(id);
        self.queue_write_if_final(id);
    }

    /// Moment up to which every cancellation confirmed to a user is known here; nothing while records are loaded.
    pub fn informed_until(&self) -> Option<u64> {
        self.is_ready().then_some(self.job_watch.informed_until)
    }

    /// Stops all tasks of a cancelled job: those whose start was not sent are released, the others are killed,
    /// whatever stop was requested before.
    ///
    /// Called when a cancellation becomes known, and for jobs that were already cancelled when they were loaded.
    pub(super) fn cancel_assignments(&mut self, id: &str, now: Now) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let assignments: Vec<(u32, AssignmentStage)> = job
            .assignments()
            .map(|(task, assignment)| (task, assignment.stage))
            .collect();
        for (task, stage) in assignments {
            match stage {
                AssignmentStage::Unsent => {
                    self.release_assignment(id, task, "aborted before it was sent", now);
                }
                _ => self.kill_cancelled_task(id, task, now),
            }
        }
    }

    fn kill_cancelled_task(&mut self, id: &str, task: u32, now: Now) {
        let job = self.jobs.get_mut(id);
        let Some(assignment) = job.and_then(|job| job.assignment_mut(task)) else {
            return;
        };
        assignment.stop = Some(StopRequest {
            requested_at: now.mono,
            grace_s: 0.0,
            reason: "aborted",
        });
        let name = assignment.machine.clone();
        if let Some(machine) = self.machines.get_mut(&name) {
            machine.has_stopping_tasks = true;
        }
        self.note_pending_orders(name);
    }
}
