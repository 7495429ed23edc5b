//! Periodic checks of machines and gangs, which need no heartbeat: releases the assignments of machines whose leases
//! have expired, drains machines under notice, stops broken gangs, and sends stops that can't wait for the next
//! heartbeat.

mod direct_orders;
mod draining;
mod gangs;

pub(crate) use direct_orders::direct_call;

use super::model::Machine;
use super::Leader;
use crate::effects::{Effects, Now};

/// A machine on which nothing can be running any more.
struct DeadMachine {
    name: String,
    why: &'static str,
}

/// A request to stop a task.
struct TaskStop {
    job: String,
    task: u32,
    grace_s: f64,
}

impl Leader {
    /// Handles machines that are silent, under notice, faulty or gone, and gangs that can't continue.
    pub(super) fn check_machines_and_gangs(&mut self, active: bool, effects: &mut Effects) {
        let now = effects.now;
        for dead in self.find_dead_machines(now.mono) {
            self.release_machine(&dead.name, dead.why, now);
        }
        self.drain_machines(now);
        self.stop_broken_gangs(now);
        self.send_direct_orders(active, effects);
    }

    /// Finds machines with assignments or orphans on which nothing can be running any more. Also marks the incarnations
    /// whose leases have expired as ended.
    fn find_dead_machines(&mut self, now: u64) -> Vec<DeadMachine> {
        let expiry_ms = self.lease_expiry_ms();
        let delegation = self.delegation.as_ref();
        let mut dead_machines = Vec::new();
        for (name, machine) in &mut self.machines {
            let is_delegated = machine.permit.is_some_and(|permit| {
                delegation.is_some_and(|d| d.is_granted(permit.partition, now))
            });
            let delegated_until = || delegation.and_then(|d| d.latest_possible_answer(name));
            let is_expired =
                !is_delegated && machine.lease_expired(now, expiry_ms, delegated_until);
            if is_expired {
                machine.expired_incarnation = machine.incarnation;
            }
            if let Some(why) = release_reason(machine, is_expired) {
                let name = name.clone();
                dead_machines.push(DeadMachine { name, why });
            }
        }
        dead_machines
    }

    /// Releases all assignments and orphans of a machine on which nothing can be running any more.
    pub(super) fn release_machine(&mut self, name: &str, why: &str, now: Now) {
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        let assignments: Vec<(String, u32)> = machine.assignments.iter().cloned().collect();
        let orphans = std::mem::take(&mut machine.orphans);
        for (id, task, _) in orphans {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.orphans.remove(&(task, name.to_string()));
            }
            self.queue_write_if_final(&id);
        }
        for (id, task) in assignments {
            self.release_assignment(&id, task, why, now);
        }
        if let Some(machine) = self.machines.get_mut(name) {
            machine.assignments.clear();
        }
        self.note_pending_orders(name.to_string());
    }

    fn stop_tasks(&mut self, stops: Vec<TaskStop>, why: &'static str, now: Now) {
        for stop in stops {
            self.stop_task(&stop.job, stop.task, stop.grace_s, why, now);
        }
    }
}

/// Why the assignments and orphans of a machine are to be released. `None` if they are not.
fn release_reason(machine: &Machine, is_expired: bool) -> Option<&'static str> {
    if machine.assignments.is_empty() && machine.orphans.is_empty() {
        None
    } else if machine.failed {
        Some("its machine failed")
    } else {
        is_expired.then_some("its worker's lease ran out")
    }
}
