//! Orders to workers: start, stop and forget a task.

use super::task_names::{parse_task_name, task_name};
use crate::effects::Now;
use crate::leader::model::{AssignmentStage, StopRequest};
use crate::leader::{Authority, Leader};
use constants::ORDERS_PER_ANSWER_MAX;
use wire::workers::{Order, TaskPhase, TaskStatus};

/// Reason of a stop that frees capacity for another job that is entitled to it.
pub(in crate::leader) const PREEMPTED: &str = "preempted";

impl Leader {
    /// Orders for a worker whose latest heartbeat lists these tasks.
    pub(super) fn orders_for(
        &mut self,
        name: &str,
        listed: &[TaskStatus],
        authority: Authority,
        now: Now,
    ) -> Vec<Order> {
        let Some(machine) = self.machines.get(name) else {
            return Vec::new();
        };
        let may_start = authority.is_active && machine.accepts_starts();
        let mut orders: Vec<Order> = listed
            .iter()
            .filter_map(|status| self.order_for_listed_task(name, status, now.mono))
            .take(ORDERS_PER_ANSWER_MAX)
            .collect();
        if may_start {
            self.add_start_orders(name, &mut orders, authority, now.mono);
        }
        orders
    }

    /// The order for a task that a machine's heartbeat lists, if it needs one.
    fn order_for_listed_task(&self, machine: &str, status: &TaskStatus, now: u64) -> Option<Order> {
        let (id, task) = parse_task_name(&status.task)?;
        let job = self.jobs.get(id);
        let assignment = job
            .and_then(|job| job.assignment(task))
            .filter(|assignment| {
                assignment.machine == machine && assignment.attempt == status.attempt
            });
        match (status.phase, assignment) {
            // A worker may forget the result of an ended task only once the result is recorded, and once no copy of the
            // answer with its start can reach the worker any more: that would start the attempt again.
            (TaskPhase::Ended, None) if job.is_none_or(|job| job.is_chunk_saved(task)) => {
                let entry = self.machines.get(machine);
                let may_start_again =
                    entry.is_some_and(|m| m.may_execute_start(&status.task, status.attempt, now));
                (!may_start_again).then(|| forget_order(status))
            }
            (TaskPhase::Ended, _) => None,
            (_, None) => Some(stop_order(&status.task, status.attempt, 0.0)),
            (phase, Some(assignment)) => {
                let stop = assignment.stop?;
                // A task that is saving a checkpoint is left to finish unless it is to stop without a grace period,
                // which means that the job is no longer needed.
                let may_save = phase == TaskPhase::Saving && stop.grace_s > 0.0;
                (!may_save).then(|| stop_order(&status.task, status.attempt, stop.grace_s))
            }
        }
    }

    /// Adds the starts that may be sent to a machine, up to the maximum number of orders in an answer. Starts of jobs
    /// that may have been cancelled meanwhile are left out.
    fn add_start_orders(
        &mut self,
        machine: &str,
        orders: &mut Vec<Order>,
        authority: Authority,
        now: u64,
    ) {
        let mut withheld_tasks = 0;
        for (id, task) in self.startable_tasks_on_machine(machine) {
            if orders.len() >= ORDERS_PER_ANSWER_MAX {
                break;
            }
            if self.is_start_proven(&id, authority) {
                orders.extend(self.start_order(machine, &id, task, authority, now));
            } else {
                withheld_tasks += 1;
            }
        }
        if withheld_tasks > 0 {
            let known_until = authority.cancellations_known_until;
            let known_ago_ms = authority.determined_at.saturating_sub(known_until);
            log::info!(
                "event=starts_withheld machine={machine} tasks={withheld_tasks} known_ago_ms={known_ago_ms}"
            );
        }
    }

    /// The tasks whose assignments to a machine are recorded and whose starts have not been sent.
    fn startable_tasks_on_machine(&self, machine: &str) -> Vec<(String, u32)> {
        let mut tasks = self.assigned_tasks_on_machine(machine);
        tasks.retain(|(id, task)| {
            let job = self.jobs.get(id);
            job.is_some_and(|job| !job.aborted && job.is_startable(*task))
        });
        tasks
    }

    /// The order to start a startable task in the answer to its machine's last heartbeat.
    fn start_order(
        &mut self,
        name: &str,
        id: &str,
        task: u32,
        authority: Authority,
        now: u64,
    ) -> Option<Order> {
        let known_until = self.uncancelled_until(id, authority);
        let known_ago_ms = authority.determined_at.saturating_sub(known_until);
        let machine = self.machines.get_mut(name)?;
        let assignment = self.jobs.get_mut(id)?.assignment_mut(task)?;
        machine.record_start(&task_name(id, task), assignment.attempt, now);
        let latency_ms = now.saturating_sub(assignment.decided_at);
        self.start_latencies.sent.add(latency_ms);
        log::debug!(
            "event=launch task={id}/{task} machine={name} after_ms={latency_ms} known_ago_ms={known_ago_ms}"
        );
        assignment.stage = AssignmentStage::Sent {
            incarnation: machine.incarnation,
            seq: machine.heartbeat_seq,
        };
        Some(Order::Start {
            task: task_name(id, task),
            attempt: assignment.attempt,
        })
    }

    /// Orders to stop the listed tasks whose jobs are cancelled or over. These orders are correct even if the heartbeat
    /// that lists the tasks is a late copy or has an earlier term.
    pub(super) fn stop_cancelled_tasks(&self, listed: &[TaskStatus]) -> Vec<Order> {
        listed
            .iter()
            .filter(|status| status.phase != TaskPhase::Ended && self.is_job_over(&status.task))
            .take(ORDERS_PER_ANSWER_MAX)
            .map(|status| stop_order(&status.task, status.attempt, 0.0))
            .collect()
    }

    /// Whether the job of a task is cancelled or no longer open.
    fn is_job_over(&self, task: &str) -> bool {
        let job = parse_task_name(task).and_then(|(id, _)| self.jobs.get(id));
        job.is_none_or(|job| job.aborted)
    }

    /// Stops a task. If its start has not been sent, its assignment is released at once.
    pub(in crate::leader) fn stop_task(
        &mut self,
        id: &str,
        task: u32,
        grace_s: f64,
        why: &'static str,
        now: Now,
    ) {
        let job = self.jobs.get_mut(id);
        let Some(assignment) = job.and_then(|job| job.assignment_mut(task)) else {
            return;
        };
        if assignment.stop.is_some() {
            return;
        }
        if assignment.stage == AssignmentStage::Unsent {
            return self.release_assignment(id, task, why, now);
        }
        assignment.stop = Some(StopRequest {
            requested_at: now.mono,
            grace_s,
            reason: why,
        });
        let machine = assignment.machine.clone();
        log::info!("event=stop task={id}/{task} machine={machine} grace_s={grace_s} why={why:?}");
        if let Some(machine) = self.machines.get_mut(&machine) {
            machine.has_stopping_tasks = true;
        }
        self.note_pending_orders(machine);
        self.round_due = true;
    }
}

/// An order to stop a task.
pub(in crate::leader) fn stop_order(task: &str, attempt: u64, grace_s: f64) -> Order {
    Order::Stop {
        task: task.to_string(),
        attempt,
        grace_s,
    }
}

/// An order to omit an ended task from further heartbeats.
fn forget_order(status: &TaskStatus) -> Order {
    Order::Forget {
        task: status.task.clone(),
        attempt: status.attempt,
    }
}
