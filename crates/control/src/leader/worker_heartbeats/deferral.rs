//! Answers to heartbeats that are deferred until the leader has decided which tasks to start on the machine next.
//!
//! If answers were not deferred, freed capacity would stay idle until the worker's next heartbeat.

use super::{find_machine_type, milliseconds, HeartbeatOutcome};
use crate::effects::Now;
use crate::leader::model::{AssignmentStage, Machine};
use crate::leader::{Authority, Leader};
use constants::{DECISION_WAIT_MS, WORK_LONG_POLL_LEASE_SHARE, WORK_LONG_POLL_MS};
use wire::workers::{HeartbeatResponse, TaskStatus, WorkerHeartbeat};

/// A heartbeat whose answer waits for a planning decision.
#[derive(Debug, Clone)]
pub(crate) struct DeferredAnswer {
    machine: String,
    /// Tasks that the heartbeat lists.
    tasks: Vec<TaskStatus>,
    /// Incarnation and sequence number of the heartbeat.
    heartbeat_id: (u64, u64),
    /// Number of the last planning round, if the heartbeat freed capacity that the next round may use.
    capacity_freed_in_round: Option<u64>,
    /// Until when the answer may wait for a planning round, for assignments to be recorded, and for proof that their
    /// jobs are not cancelled.
    decision_deadline: u64,
    /// Until when the answer may wait for a task to be assigned to free capacity.
    work_deadline: u64,
}

impl DeferredAnswer {
    /// Stops waiting for a task to be assigned, which may never happen.
    pub fn stop_waiting_for_work(&mut self) {
        self.work_deadline = 0;
    }
}

/// Which starts are due on a machine.
struct DueStarts {
    /// Some assignment must be recorded before its start may be sent.
    has_unrecorded: bool,
    /// Some start on a machine that accepts it needs newer proof that its job is not cancelled.
    has_unproven: bool,
    /// Some start may be sent.
    has_startable: bool,
}

impl Leader {
    /// Answers a heartbeat that has been reconciled, or defers the answer.
    pub(super) fn answer_or_defer(
        &mut self,
        heartbeat: WorkerHeartbeat,
        has_freed_capacity: bool,
        authority: Authority,
        now: Now,
    ) -> HeartbeatOutcome {
        let name = heartbeat.machine.clone();
        let deferred =
            self.defer_answer(heartbeat, has_freed_capacity, authority.is_active, now.mono);
        if let Some(response) = self.answer_deferred(&deferred, authority, now) {
            return HeartbeatOutcome::Answer(response);
        }
        if let Some(machine) = self.machines.get_mut(&name) {
            machine.has_deferred_answer = true;
        }
        HeartbeatOutcome::Defer(deferred)
    }

    fn defer_answer(
        &self,
        heartbeat: WorkerHeartbeat,
        has_freed_capacity: bool,
        active: bool,
        now: u64,
    ) -> DeferredAnswer {
        let work_wait_ms = match active && self.has_room_for_work(&heartbeat.machine) {
            true => self.work_wait_ms(heartbeat.tasks.is_empty()),
            false => 0,
        };
        let decision_wait_ms = if active { DECISION_WAIT_MS } else { 0 };
        DeferredAnswer {
            heartbeat_id: (heartbeat.incarnation, heartbeat.seq),
            capacity_freed_in_round: has_freed_capacity.then_some(self.rounds),
            machine: heartbeat.machine,
            tasks: heartbeat.tasks,
            decision_deadline: now + decision_wait_ms,
            work_deadline: now + work_wait_ms,
        }
    }

    /// Milliseconds for which an answer may wait for a task to be assigned. Deferring an answer delays the renewal of
    /// the worker's lease, so where tasks run, it may use up only a small part of the lease.
    fn work_wait_ms(&self, is_idle: bool) -> u64 {
        let workers = &self.settings.deployment.workers;
        let limit_ms = match is_idle {
            true => milliseconds(workers.report_s),
            false => (workers.lease_s * 1000.0 * WORK_LONG_POLL_LEASE_SHARE) as u64,
        };
        WORK_LONG_POLL_MS.min(limit_ms)
    }

    /// Whether a machine has free capacity for the kind of task that its type is rented for: one CPU and, if the type has
    /// GPUs, one GPU.
    pub(in crate::leader) fn has_room_for_work(&self, name: &str) -> bool {
        let machine = self.machines.get(name);
        let Some(machine) = machine.filter(|machine| machine.draining.is_none()) else {
            return false;
        };
        let Some(machine_type) = find_machine_type(&self.machine_types.desired, &machine.type_name)
        else {
            return machine.assignments.is_empty();
        };
        let jobs = machine
            .assignments
            .iter()
            .filter_map(|(id, _)| self.jobs.get(id));
        let (used_cpus, used_gpus) = jobs.fold((0.0, 0.0), |(cpus, gpus), job| {
            (cpus + job.spec.cpus, gpus + job.spec.gpus)
        });
        let has_cpu = machine_type.cpus - used_cpus >= 1.0;
        let has_gpu = machine_type.gpus <= 0.0 || machine_type.gpus - used_gpus >= 1.0;
        has_cpu && has_gpu
    }

    /// Returns the answer to a deferred heartbeat once there is nothing left to wait for.
    pub fn answer_deferred(
        &mut self,
        deferred: &DeferredAnswer,
        authority: Authority,
        now: Now,
    ) -> Option<HeartbeatResponse> {
        let term = self.term;
        let machine = self.machines.get(&deferred.machine);
        let is_current = |machine: &&Machine| {
            (machine.incarnation, machine.heartbeat_seq) == deferred.heartbeat_id
        };
        let Some(machine) = machine.filter(is_current) else {
            // The machine is gone, or its worker no longer waits for the answer to this heartbeat.
            let orders = Vec::new();
            return Some(HeartbeatResponse { term, orders });
        };
        let starts = self.due_starts(machine, authority);
        let deadline = self.answer_deadline(deferred, machine, &starts);
        if authority.is_active && now.mono < deadline {
            if starts.has_unproven {
                self.change_read.request();
            }
            return None;
        }
        if let Some(machine) = self.machines.get_mut(&deferred.machine) {
            machine.has_deferred_answer = false;
        }
        let orders = self.orders_for(&deferred.machine, &deferred.tasks, authority, now);
        Some(HeartbeatResponse { term, orders })
    }

    /// Until when a deferred answer waits in the present state; 0 if there is nothing to wait for.
    fn answer_deadline(
        &self,
        deferred: &DeferredAnswer,
        machine: &Machine,
        starts: &DueStarts,
    ) -> u64 {
        let is_undecided = deferred
            .capacity_freed_in_round
            .is_some_and(|round| round == self.rounds && self.round_due);
        if starts.has_unrecorded || starts.has_unproven || is_undecided {
            deferred.decision_deadline.max(deferred.work_deadline)
        } else if machine.draining.is_none() && !starts.has_startable {
            deferred.work_deadline
        } else {
            0
        }
    }

    fn due_starts(&self, machine: &Machine, authority: Authority) -> DueStarts {
        let mut starts = DueStarts {
            has_unrecorded: false,
            has_unproven: false,
            has_startable: false,
        };
        for (id, task) in &machine.assignments {
            let Some(job) = self.jobs.get(id) else {
                continue;
            };
            let assignment = job.assignment(*task);
            if assignment.is_none_or(|assignment| assignment.stage != AssignmentStage::Unsent) {
                continue;
            }
            if !job.is_startable(*task) {
                starts.has_unrecorded = true;
            } else if self.is_start_proven(id, authority) {
                starts.has_startable = true;
            } else {
                starts.has_unproven = machine.accepts_starts();
            }
        }
        starts
    }
}
