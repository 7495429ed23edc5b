//! Draining of machines that are about to be removed.

use super::TaskStop;
use crate::effects::Now;
use crate::leader::model::{Job, Machine};
use crate::leader::Leader;

/// Seconds that a task may take to stop, in addition to the time that it needs to save its progress.
const STOP_MARGIN_S: f64 = 1.0;

impl Leader {
    /// Stops tasks on machines that are under notice or being drained, so that they can save their progress in time.
    /// Running tasks that can't save continue, since they may still complete.
    pub(super) fn drain_machines(&mut self, now: Now) {
        let mut stops = Vec::new();
        for machine in self.machines.values() {
            let Some(remaining_s) = seconds_until_gone(machine, now.mono) else {
                continue;
            };
            for (id, task) in &machine.assignments {
                let Some(job) = self.jobs.get(id) else {
                    continue;
                };
                if stops_when_drained(job, *task) {
                    stops.push(TaskStop {
                        job: id.clone(),
                        task: *task,
                        grace_s: (job.spec.checkpoint_write_s + STOP_MARGIN_S).min(remaining_s),
                    });
                }
            }
        }
        self.stop_tasks(stops, "its machine is drained", now);
    }
}

/// Seconds until a machine that is being drained is removed, `f64::MAX` if there is no such limit. `None` if the
/// machine is not to be drained.
fn seconds_until_gone(machine: &Machine, now: u64) -> Option<f64> {
    if machine.returning {
        // The machine is silent or gone: no worker would receive the stops, and the other tasks of a gang may still
        // complete.
        return None;
    }
    match machine.reclaim_at {
        Some(at) => Some(at.saturating_sub(now) as f64 / 1000.0),
        None => machine.draining.map(|_| f64::MAX),
    }
}

/// Whether a task is stopped when its machine is drained: it can save its progress, or is not running yet.
fn stops_when_drained(job: &Job, task: u32) -> bool {
    let can_save = job.spec.checkpoint_interval_s > 0.0;
    let assignment = job.assignment(task);
    can_save || assignment.is_some_and(|assignment| assignment.running_since.is_none())
}
