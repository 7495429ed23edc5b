//! Handling of workers' heartbeats by the leader.
//!
//! [`Leader::on_worker_heartbeat`] runs these steps in order: it rejects stale heartbeats, checks whether its answers
//! reach the worker, updates the machine, reconciles the reported tasks with the recorded assignments, and answers with
//! orders, at once or later.

mod deferral;
mod image_cache;
mod orders;
mod orphans;
mod reachability;
mod reconciliation;
mod task_names;
mod task_state;

pub(crate) use deferral::DeferredAnswer;
pub(in crate::leader) use orders::{stop_order, PREEMPTED};
pub(in crate::leader) use task_names::task_name;

use super::model::Machine;
use super::{Authority, Leader};
use crate::effects::Now;
use wire::cloud::MachineType;
use wire::workers::{HeartbeatResponse, Order, WorkerHeartbeat};

/// Outcome of handling a worker's heartbeat.
pub(crate) enum HeartbeatOutcome {
    /// Answer with these orders.
    Answer(HeartbeatResponse),
    /// Answer later, when [`Leader::answer_deferred`] returns the response.
    Defer(DeferredAnswer),
    /// The worker has seen this newer term, so this node is no longer the leader.
    NewerTerm(u64),
}

impl Leader {
    /// Handles a worker's heartbeat. Starts are sent only as far as `authority` allows.
    pub fn on_worker_heartbeat(
        &mut self,
        heartbeat: WorkerHeartbeat,
        authority: Authority,
        now: Now,
    ) -> HeartbeatOutcome {
        if heartbeat.term > self.term {
            return HeartbeatOutcome::NewerTerm(heartbeat.term);
        }
        if self.departed_machines.contains_key(&heartbeat.machine) {
            // The heartbeat was sent before the machine was returned and must not change anything.
            return self.answer_heartbeat(Vec::new());
        }
        let machine = self.reporting_machine(&heartbeat.machine, now.mono);
        // A network partition can delay a heartbeat until its incarnation has ended. By its sequence number alone such
        // a heartbeat looks new. When it was processed as current, tasks that had ended long ago became orphans, and a
        // machine that was still cut off was marked as reachable.
        if machine.is_outdated(heartbeat.incarnation, heartbeat.seq) {
            return self.answer_heartbeat(Vec::new());
        }
        let previous_answer = record_answer(machine, &heartbeat, now.mono);
        if heartbeat.term < self.term {
            // The worker may still execute an earlier leader's answer, and this heartbeat may be a late copy. Only the
            // worker's next heartbeat, with this leader's term, proves which tasks are on the machine, or that the
            // machine exists at all. But this answer renews the worker's lease, so tasks of cancelled jobs that the
            // heartbeat lists must be stopped now.
            let orders = self.stop_cancelled_tasks(&heartbeat.tasks);
            return self.answer_heartbeat(orders);
        }
        self.update_reachability(&heartbeat, previous_answer, now.mono);
        self.update_reporting_machine(&heartbeat, now.mono);
        let has_freed_capacity = self.reconcile_tasks(&heartbeat, now);
        self.answer_or_defer(heartbeat, has_freed_capacity, authority, now)
    }

    /// The machine that sent a heartbeat. A machine that is not known yet is added.
    fn reporting_machine(&mut self, name: &str, now: u64) -> &mut Machine {
        self.machines
            .entry(name.to_string())
            .or_insert_with(|| Machine::new(now))
    }

    /// An immediate answer to a heartbeat.
    fn answer_heartbeat(&self, orders: Vec<Order>) -> HeartbeatOutcome {
        let term = self.term;
        HeartbeatOutcome::Answer(HeartbeatResponse { term, orders })
    }

    /// Updates the state of the machine itself from a heartbeat with this leader's term.
    fn update_reporting_machine(&mut self, heartbeat: &WorkerHeartbeat, now: u64) {
        let heartbeat_timeout_ms = self.heartbeat_timeout_ms();
        let Some(machine) = self.machines.get(&heartbeat.machine) else {
            return;
        };
        let is_watched = self.is_watched_by_owner(machine, now);
        let Some(machine) = self.machines.get_mut(&heartbeat.machine) else {
            return;
        };
        (machine.incarnation, machine.heartbeat_seq) = (heartbeat.incarnation, heartbeat.seq);
        // A machine that recovers from a network partition or a hang becomes available to planning again.
        let was_silent = machine
            .last_heartbeat
            .is_none_or(|at| now > at + heartbeat_timeout_ms);
        if !is_watched && was_silent {
            self.round_due = true;
        }
        machine.last_heartbeat = Some(now);
        machine.reclaim_at = heartbeat
            .reclaim_in_s
            .map(|s| now + milliseconds(s.max(0.0)));
        machine.fencing_token_seen = true;
        machine.has_deferred_answer = false;
    }
}

/// Records the time of the answer to a heartbeat, and returns the time of the previous answer. Every answer counts,
/// since it renews the worker's lease.
fn record_answer(machine: &mut Machine, heartbeat: &WorkerHeartbeat, now: u64) -> Option<u64> {
    let previous_answer = machine.last_answer.replace(now);
    machine.describe(&heartbeat.machine_type, &heartbeat.zone, heartbeat.spot);
    machine.addr = Some(heartbeat.addr.clone());
    previous_answer
}

/// Converts seconds to whole milliseconds.
fn milliseconds(seconds: f64) -> u64 {
    (seconds * 1000.0) as u64
}

/// Finds a machine type by name. Returns `None` if the types are not known yet or the name is not among them.
fn find_machine_type<'a>(
    types: &'a Option<Vec<MachineType>>,
    name: &str,
) -> Option<&'a MachineType> {
    types
        .iter()
        .flatten()
        .find(|machine_type| machine_type.name == name)
}
