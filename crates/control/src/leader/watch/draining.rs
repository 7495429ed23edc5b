//! Draining of machines that are to be taken away.

use super::TaskStop;
use crate::effects::Now;
use crate::leader::model::{Job, Machine};
use crate::leader::Leader;

/// Seconds that a task may take to stop, on top of what it takes to save its progress.
const STOP_MARGIN_S: f64 = 1.0;

impl Leader {
    /// Stops tasks on machines under notice in time to save their progress. Tasks that can't save go on running, since
    /// they may still complete.
    pub(super) fn drain_noticed_machines(&mut self, now: Now) {
        let mut stops = Vec::new();
        for machine in self.machines.values() {
            let Some(left_s) = seconds_until_gone(machine, now.mono) else {
                continue;
            };
            for (id, task) in &machine.assignments {
                let Some(job) = self.jobs.get(id) else {
                    continue;
                };
                if stops_under_notice(job, *task) {
                    stops.push(TaskStop {
                        job: id.clone(),
                        task: *task,
                        grace_s: (job.spec.checkpoint_write_s + STOP_MARGIN_S).min(left_s),
                    });
                }
            }
        }
        self.stop_tasks(stops, "its machine is drained", now);
    }
}

/// Seconds for which a machine that is being drained will still be there, `f64::MAX` if there is no such limit. `None`
/// if it is not to be drained.
fn seconds_until_gone(machine: &Machine, now: u64) -> Option<f64> {
    if machine.returning {
        // It is silent or gone: no worker receives the stops, and the rest of a gang may still be completed.
        return None;
    }
    match machine.notice_at {
        Some(at) => Some(at.saturating_sub(now) as f64 / 1000.0),
        None => machine.draining.map(|_| f64::MAX),
    }
}

/// Whether a task stops when its machine is drained: it can save its progress, or has none yet.
fn stops_under_notice(job: &Job, task: u32) -> bool {
    let can_save = job.spec.checkpoint_interval_s > 0.0;
    let assignment = job.assignment(task);
    can_save || assignment.is_some_and(|assignment| assignment.running_since.is_none())
}
