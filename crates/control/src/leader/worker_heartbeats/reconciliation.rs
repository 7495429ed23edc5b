//! Reconciliation of the tasks that a heartbeat lists with the assignments recorded for its machine.

use super::find_machine_type;
use super::task_names::parse_task_name;
use crate::effects::Now;
use crate::leader::Leader;
use constants::BOOT_OVERDUE_FACTOR;
use std::collections::BTreeMap;
use wire::workers::{EndCause, TaskPhase, TaskStatus, WorkerHeartbeat};

/// Tasks that a heartbeat lists, by job, task number and attempt. A worker may list several attempts of a task.
pub(super) type ListedTasks<'a> = BTreeMap<(String, u32, u64), &'a TaskStatus>;

impl Leader {
    /// Reconciles the machine's assignments and orphans with a heartbeat that has this leader's term. Returns whether
    /// the machine has fewer assignments afterwards.
    pub(super) fn reconcile_tasks(&mut self, heartbeat: &WorkerHeartbeat, now: Now) -> bool {
        let assignments_before = self.assignment_count_on_machine(&heartbeat.machine);
        self.register_worker(heartbeat, now.mono);
        self.begin_drain_under_notice(&heartbeat.machine, now.mono);
        let listed = index_tasks(&heartbeat.tasks);
        for (id, task) in self.assigned_tasks_on_machine(&heartbeat.machine) {
            self.reconcile_assignment(&id, task, heartbeat, &listed, now);
        }
        self.update_orphans(&heartbeat.machine, &listed);
        self.assignment_count_on_machine(&heartbeat.machine) < assignments_before
    }

    fn assignment_count_on_machine(&self, machine: &str) -> usize {
        let machine = self.machines.get(machine);
        machine.map_or(0, |machine| machine.assignments.len())
    }

    /// The tasks that are assigned to a machine, by job and task number.
    pub(super) fn assigned_tasks_on_machine(&self, machine: &str) -> Vec<(String, u32)> {
        let machine = self.machines.get(machine);
        machine.map_or_else(Vec::new, |machine| {
            machine.assignments.iter().cloned().collect()
        })
    }

    /// Registers a machine at its first heartbeat that has this leader's term.
    fn register_worker(&mut self, heartbeat: &WorkerHeartbeat, now: u64) {
        let name = &heartbeat.machine;
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        if machine.is_reconciled {
            return;
        }
        machine.is_reconciled = true;
        self.round_due = true;
        let boot_s = now.saturating_sub(machine.known_since) as f64 / 1000.0;
        let machine_type = find_machine_type(&self.machine_types.desired, &machine.type_name);
        // A boot that takes several times as long as usual says nothing about usual boot times and is not counted.
        let is_usual = machine_type
            .is_some_and(|machine_type| boot_s < machine_type.boot_s * BOOT_OVERDUE_FACTOR);
        if machine.rented_by_this_leader && is_usual {
            let boots = self
                .boot_times
                .entry(machine.type_name.clone())
                .or_default();
            boots.add(boot_s);
        }
        log::info!(
            "event=worker_registered machine={name} kind={} zone={} spot={} tasks={}",
            heartbeat.machine_type,
            heartbeat.zone,
            heartbeat.spot,
            heartbeat.tasks.len()
        );
    }

    /// Begins to drain a machine at the first heartbeat that announces its preemption.
    fn begin_drain_under_notice(&mut self, name: &str, now: u64) {
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        let Some(notice_at) = machine.reclaim_at else {
            return;
        };
        if machine.draining.is_none() {
            machine.draining = Some("notice");
            let left_ms = notice_at.saturating_sub(now);
            log::info!("event=preemption_notice machine={name} left_ms={left_ms}");
            self.round_due = true;
        }
    }

    fn reconcile_assignment(
        &mut self,
        id: &str,
        task: u32,
        heartbeat: &WorkerHeartbeat,
        listed: &ListedTasks,
        now: Now,
    ) {
        let name = &heartbeat.machine;
        let key = (id.to_string(), task);
        let assignment = self.jobs.get(id).and_then(|job| job.assignment(task));
        let Some(assignment) = assignment.filter(|assignment| assignment.machine == *name) else {
            if let Some(machine) = self.machines.get_mut(name) {
                machine.assignments.remove(&key);
            }
            return;
        };
        let (job, task) = key;
        match listed.get(&(job, task, assignment.attempt)) {
            Some(status) if status.phase == TaskPhase::Ended => {
                let cause = status.cause.unwrap_or(EndCause::Other);
                self.on_task_ended(id, task, name, cause, now);
            }
            Some(status) => self.on_task_present(id, task, status.phase, now),
            None => self.on_task_absent(id, task, heartbeat, now),
        }
    }
}

/// Indexes tasks by job, task number and attempt. Tasks whose names can't be parsed are left out.
fn index_tasks(tasks: &[TaskStatus]) -> ListedTasks<'_> {
    let mut listed = ListedTasks::new();
    for status in tasks {
        if let Some((job, task)) = parse_task_name(&status.task) {
            listed.insert((job.to_string(), task, status.attempt), status);
        }
    }
    listed
}
