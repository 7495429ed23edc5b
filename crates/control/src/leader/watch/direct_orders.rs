//! Direct calls that stop tasks when waiting for the worker's next heartbeat would take too long: for tasks of
//! cancelled jobs, tasks of gangs, and preempted tasks.

use crate::effects::{CallTarget, Effects, Output};
use crate::leader::model::{Assignment, AssignmentStage, Job, Machine, StopRequest};
use crate::leader::worker_heartbeats::{stop_order, task_name, PREEMPTED};
use crate::leader::Leader;
use constants::{DIRECT_ORDERS_TIMEOUT_MS, DIRECT_STOP_REPEAT_INTERVAL_MS, ORDERS_PER_ANSWER_MAX};
use std::collections::{BTreeMap, BTreeSet};
use wire::workers::{DirectOrders, Order};

/// Milliseconds after which the next heartbeat is overdue, per second of the heartbeat interval: a quarter more than
/// the interval.
const OVERDUE_MS_PER_INTERVAL_S: f64 = 1250.0;

/// A task that has been ordered to stop or is about to be.
struct StoppingTask<'a> {
    id: &'a str,
    task: u32,
    job: &'a Job,
    assignment: &'a Assignment,
    stop: StopRequest,
}

impl StoppingTask<'_> {
    /// Whether the stop should not wait for the next heartbeat of the worker.
    fn is_urgent(&self, active: bool, is_heartbeat_overdue: bool, now: u64) -> bool {
        if self.assignment.stage == AssignmentStage::Unsent {
            return false;
        }
        let is_recent = now < self.stop.requested_at + DIRECT_STOP_REPEAT_INTERVAL_MS;
        let is_in_gang = self.job.is_gang() && self.job.task_count() > 1;
        // Another job waits for the capacity that a preempted task uses.
        let is_preempted = self.stop.reason == PREEMPTED;
        let is_decided = active && is_recent && (is_in_gang || is_preempted);
        let is_cancelled = self.job.aborted && (is_recent || is_heartbeat_overdue);
        is_decided || is_cancelled
    }

    fn order(&self) -> Order {
        stop_order(
            &task_name(self.id, self.task),
            self.assignment.attempt,
            self.stop.grace_s,
        )
    }
}

impl Leader {
    /// Sends stops that should not wait for the next heartbeat.
    ///
    /// A leader that is not active, for example because its lease is no longer valid, still stops tasks of cancelled
    /// jobs. A cancellation is final, so such a stop is correct whichever node leads, and a worker that has seen a
    /// newer term refuses it. Without these stops the tasks would continue if their worker reaches no controller, or if
    /// a worker resumes within its lease after it hung.
    pub(super) fn send_direct_orders(&mut self, active: bool, effects: &mut Effects) {
        let now = effects.now.mono;
        let overdue_ms =
            (self.settings.deployment.workers.report_s * OVERDUE_MS_PER_INTERVAL_S) as u64;
        for machine in self
            .machines
            .values_mut()
            .filter(|machine| machine.has_stopping_tasks)
        {
            let Some(addr) = &machine.addr else {
                continue;
            };
            if now <= machine.last_direct_order_at + DIRECT_STOP_REPEAT_INTERVAL_MS {
                continue;
            }
            let is_overdue = is_heartbeat_overdue(machine, overdue_ms, now);
            let stopping = stopping_tasks(&self.jobs, &machine.assignments);
            machine.has_stopping_tasks = !stopping.is_empty();
            let urgent = stopping
                .iter()
                .filter(|task| task.is_urgent(active, is_overdue, now));
            let mut orders: Vec<Order> = urgent.map(StoppingTask::order).collect();
            if orders.is_empty() || !self.direct_order_budget.try_take(now, 1.0) {
                continue;
            }
            orders.truncate(ORDERS_PER_ANSWER_MAX);
            machine.last_direct_order_at = now;
            let body = wire::encode(&DirectOrders {
                term: self.term,
                incarnation: machine.incarnation,
                orders,
            });
            effects.send_to_worker(addr.clone(), body);
        }
    }
}

fn is_heartbeat_overdue(machine: &Machine, overdue_ms: u64, now: u64) -> bool {
    machine
        .last_heartbeat
        .is_none_or(|at| now > at + overdue_ms)
}

fn stopping_tasks<'a>(
    jobs: &'a BTreeMap<String, Job>,
    assignments: &'a BTreeSet<(String, u32)>,
) -> Vec<StoppingTask<'a>> {
    let stopping_task = |(id, task): &'a (String, u32)| {
        let job = jobs.get(id)?;
        let assignment = job.assignment(*task)?;
        let stop = assignment.stop?;
        Some(StoppingTask {
            id,
            task: *task,
            job,
            assignment,
            stop,
        })
    };
    assignments.iter().filter_map(stopping_task).collect()
}

/// A direct call to a worker. The response is not needed: the worker's next heartbeat shows the effect.
pub(crate) fn direct_call(call: u64, addr: String, body: Vec<u8>) -> Output {
    Output::Call {
        call,
        target: CallTarget::Worker(addr),
        method: "POST",
        path: "/orders".into(),
        body,
        timeout_ms: DIRECT_ORDERS_TIMEOUT_MS,
    }
}
