//! Cancellation of jobs: handles cancellation notices and stops the tasks of cancelled jobs.

use super::model::{AssignmentStage, StopRequest};
use super::Leader;
use crate::effects::Now;

impl Leader {
    /// Handles the notice that a node is about to confirm a cancellation to a user.
    ///
    /// The watch reports the changed record later, unless the state service fails in the meantime; the tasks must stop
    /// in either case. The notice of a job that is not known yet is kept, since the job may still be read from a record
    /// that is older than the cancellation.
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

    /// Time up to which this leader knows every cancellation that was confirmed to a user. `None` while records are
    /// being loaded.
    pub fn cancellations_known_until(&self) -> Option<u64> {
        self.is_ready()
            .then_some(self.job_watch.cancellations_known_until)
    }

    /// Stops all tasks of a cancelled job. Tasks whose start was not sent are released. All others are killed, even if
    /// a graceful stop was requested before.
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
