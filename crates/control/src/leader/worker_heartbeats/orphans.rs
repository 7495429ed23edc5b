//! Orphans: tasks that a machine runs although no assignment of that attempt to the machine is recorded.

use super::reconciliation::ListedTasks;
use crate::leader::Leader;
use std::collections::BTreeSet;
use wire::workers::TaskPhase;

/// Orphans of a machine: job, task number and attempt.
type Orphans = BTreeSet<(String, u32, u64)>;

impl Leader {
    /// Replaces the orphans of a machine by those in its latest heartbeat.
    pub(super) fn update_orphans(&mut self, machine: &str, listed: &ListedTasks) {
        let current = self.find_orphans(machine, listed);
        let Some(entry) = self.machines.get_mut(machine) else {
            return;
        };
        let previous = std::mem::replace(&mut entry.orphans, current.clone());
        for (id, task, attempt) in current.difference(&previous) {
            log::info!("event=orphan_task task={id}/{task} try={attempt} machine={machine}");
            if let Some(job) = self.jobs.get_mut(id) {
                job.orphans.insert((*task, machine.to_string()));
            }
        }
        for (id, task, _) in previous.difference(&current) {
            if !has_orphan(&current, id, *task) {
                self.on_orphan_gone(id, *task, machine);
            }
        }
    }

    fn find_orphans(&self, machine: &str, listed: &ListedTasks) -> Orphans {
        let mut orphans = Orphans::new();
        for ((id, task, attempt), status) in listed {
            let assignment = self.jobs.get(id).and_then(|job| job.assignment(*task));
            let is_assigned = assignment.is_some_and(|assignment| {
                assignment.machine == machine && assignment.attempt == *attempt
            });
            if !is_assigned && status.phase != TaskPhase::Ended {
                orphans.insert((id.clone(), *task, *attempt));
            }
        }
        orphans
    }

    fn on_orphan_gone(&mut self, id: &str, task: u32, machine: &str) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.orphans.remove(&(task, machine.to_string()));
        }
        self.round_due = true;
        self.queue_write_if_final(id);
    }
}

/// Whether any attempt of a task is among the orphans.
fn has_orphan(orphans: &Orphans, id: &str, task: u32) -> bool {
    orphans
        .iter()
        .any(|(orphan_id, orphan_task, _)| orphan_id == id && *orphan_task == task)
}
