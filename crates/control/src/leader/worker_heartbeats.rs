//! Heartbeats of workers, as the leader handles them.
//!
//! [`Leader::on_worker_heartbeat`] runs through fixed steps: it refuses heartbeats that are stale, checks that its
//! answers reach the worker, updates the machine, reconciles the reported tasks with the recorded assignments, and
//! answers with orders, at once or later.

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
use super::Leader;
use crate::effects::Now;
use wire::cloud::MachineType;
use wire::workers::{HeartbeatResponse, Order, WorkerHeartbeat};

/// What to do with a worker's heartbeat.
pub(crate) enum HeartbeatOutcome {
    /// Answer with these orders.
    Answer(HeartbeatResponse),
    /// Answer later, when [`Leader::answer_deferred`] returns the response.
    Defer(DeferredAnswer),
    /// The worker has seen this newer term: this node is not the leader any more.
    NewerTerm(u64),
}

impl Leader {
    /// Handles a worker's heartbeat. Starts are sent only if the leader is `active`.
    pub fn on_worker_heartbeat(
        &mut self,
        heartbeat: WorkerHeartbeat,
        active: bool,
        now: Now,
    ) -> HeartbeatOutcome {
        if heartbeat.term > self.term {
            return HeartbeatOutcome::NewerTerm(heartbeat.term);
        }
        if self.departed.contains_key(&heartbeat.machine) {
            // Sent before the machine was given back: it changes nothing.
            return self.answer_heartbeat(Vec::new());
        }
        let machine = self.reporting_machine(&heartbeat.machine, now.mono);
        // A network cut can delay a heartbeat until its incarnation has ended. By its number alone such a heartbeat
        // looks new. Taken as current, it turned tasks that had ended long ago into orphans, and marked a machine that
        // was still cut off as reachable.
        if machine.is_outdated(heartbeat.incarnation, heartbeat.seq) {
            return self.answer_heartbeat(Vec::new());
        }
        let previous_answer = note_answer(machine, &heartbeat, now.mono);
        if heartbeat.term < self.term {
            // The worker may still execute an earlier leader's answer, and this heartbeat may be a late copy. Only the
            // worker's next heartbeat, with our term, proves what is on the machine, or that the machine is there at
            // all. But this answer renews the worker's lease, so cancelled jobs that it lists must not go on running.
            let orders = self.stop_cancelled_tasks(&heartbeat.tasks);
            return self.answer_heartbeat(orders);
        }
        self.check_answers_arrive(&heartbeat, previous_answer, now.mono);
        self.update_reporting_machine(&heartbeat, now.mono);
        let has_freed_room = self.reconcile_tasks(&heartbeat, now);
        self.answer_or_defer(heartbeat, has_freed_room, active, now)
    }

    /// The machine that sent a heartbeat; added if it is not known yet.
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

    /// Updates a machine by what a heartbeat with our term says of the machine itself.
    fn update_reporting_machine(&mut self, heartbeat: &WorkerHeartbeat, now: u64) {
        let silent_ms = self.silent_ms();
        let Some(machine) = self.machines.get(&heartbeat.machine) else {
            return;
        };
        let is_watched = self.is_watched_by_owner(machine, now);
        let Some(machine) = self.machines.get_mut(&heartbeat.machine) else {
            return;
        };
        (machine.incarnation, machine.seq) = (heartbeat.incarnation, heartbeat.seq);
        // A machine that is back from a network cut or a hang counts again in planning.
        let was_silent = machine.last_heartbeat.is_none_or(|at| now > at + silent_ms);
        if !is_watched && was_silent {
            self.plan_due = true;
        }
        machine.last_heartbeat = Some(now);
        machine.notice_at = heartbeat
            .reclaim_in_s
            .map(|s| now + milliseconds(s.max(0.0)));
        machine.fencing_token_seen = true;
        machine.has_deferred_answer = false;
    }
}

/// Notes that a heartbeat is being answered, and returns when the one before was. Every answer counts, since it renews
/// the worker's lease.
fn note_answer(machine: &mut Machine, heartbeat: &WorkerHeartbeat, now: u64) -> Option<u64> {
    let previous_answer = machine.last_answer.replace(now);
    machine.describe(&heartbeat.machine_type, &heartbeat.zone, heartbeat.spot);
    machine.addr = Some(heartbeat.addr.clone());
    previous_answer
}

/// Whole milliseconds in a number of seconds.
fn milliseconds(seconds: f64) -> u64 {
    (seconds * 1000.0) as u64
}

/// The machine type of a name, if the types are known and it is among them.
fn find_machine_type<'a>(
    types: &'a Option<Vec<MachineType>>,
    name: &str,
) -> Option<&'a MachineType> {
    types
        .iter()
        .flatten()
        .find(|machine_type| machine_type.name == name)
}
