//! Broken gangs: stops all tasks of a gang that can't continue, so that the gang can be restarted.

use super::TaskStop;
use crate::effects::Now;
use crate::leader::model::Job;
use crate::leader::Leader;
use wire::workers::TaskPhase;

impl Leader {
    /// Stops the remaining tasks of gangs that can't continue.
    pub(super) fn stop_broken_gangs(&mut self, now: Now) {
        let mut stops = Vec::new();
        for (id, job) in &self.jobs {
            let Some(grace_s) = broken_gang_grace_s(job) else {
                continue;
            };
            let not_stopped = job
                .assignments()
                .filter(|(_, assignment)| assignment.stop.is_none());
            stops.extend(not_stopped.map(|(task, _)| TaskStop {
                job: id.clone(),
                task,
                grace_s,
            }));
        }
        self.stop_tasks(stops, "its gang stops", now);
    }
}

/// Seconds that the tasks of a gang have to save their progress if the gang must stop. `None` if the gang continues, or
/// if the job is not a gang.
fn broken_gang_grace_s(job: &Job) -> Option<f64> {
    if !job.is_gang() || job.assigned_count == 0 || job.all_done() {
        return None;
    }
    let stop = job
        .assignments()
        .find_map(|(_, assignment)| assignment.stop);
    // An image fetch that takes longer than the other tasks wait must be allowed to finish. If it were aborted, every
    // attempt would begin it again, and the gang would never start.
    if job.gathering_timed_out && stop.is_none() && is_fetching(job) {
        return None;
    }
    if job.gang_broken {
        // After the loss of a task there is no progress left to save.
        return Some(0.0);
    }
    // A graceful stop of one task applies to all tasks of the gang.
    stop.map(|stop| stop.grace_s)
}

fn is_fetching(job: &Job) -> bool {
    job.assignments()
        .any(|(_, assignment)| assignment.phase == Some(TaskPhase::Fetching))
}
