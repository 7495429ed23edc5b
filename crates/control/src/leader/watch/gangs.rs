//! Gangs that can't go on: all their tasks stop, so that the gang can start anew.

use super::TaskStop;
use crate::effects::Now;
use crate::leader::model::Job;
use crate::leader::Leader;
use wire::workers::TaskPhase;

impl Leader {
    /// Stops the remaining tasks of gangs that can't go on.
    pub(super) fn stop_broken_gangs(&mut self, now: Now) {
        let mut stops = Vec::new();
        for (id, job) in &self.jobs {
            let Some(grace_s) = broken_gang_grace_s(job) else {
                continue;
            };
            let going_on = job
                .assignments()
                .filter(|(_, assignment)| assignment.stop.is_none());
            stops.extend(going_on.map(|(task, _)| TaskStop {
                job: id.clone(),
                task,
                grace_s,
            }));
        }
        self.stop_tasks(stops, "its gang stops", now);
    }
}

/// Seconds that the tasks of a gang get to save if the gang has to stop; `None` if it goes on, or is no gang.
fn broken_gang_grace_s(job: &Job) -> Option<f64> {
    if !job.is_gang() || job.assigned_count == 0 || job.all_done() {
        return None;
    }
    let stop = job
        .assignments()
        .find_map(|(_, assignment)| assignment.stop);
    // An image fetch that takes longer than the other tasks wait must run to its end. If it were given up, it would
    // begin anew with every attempt, and the gang would never start.
    if job.gathering_timed_out && stop.is_none() && is_fetching(job) {
        return None;
    }
    if job.gang_broken {
        // After a loss there is nothing left to save.
        return Some(0.0);
    }
    // An orderly stop of one task extends to all.
    stop.map(|stop| stop.grace_s)
}

fn is_fetching(job: &Job) -> bool {
    job.assignments()
        .any(|(_, assignment)| assignment.phase == Some(TaskPhase::Fetching))
}
