//! Delegation: owners of partitions answer the heartbeats of steady machines on behalf of the leader. A machine is
//! steady if its tasks run as recorded and nothing is pending for it. This module decides which machines are steady,
//! and handles the requests of owners. `docs/partitions.md` explains why this is safe.

use super::model::{AssignmentStage, Machine, OwnerPermit};
use super::Leader;
use constants::REDIRECT_LEASE_DIVISOR;
use partitions::{Delegation, RequestError};
use std::collections::BTreeMap;
use wire::partitions::{Grant, GrantRequest, PartitionEpoch, PartitionId, Permit, RecalledPermit};
use wire::workers::{TaskPhase, WorkerHeartbeat};

/// The fields of a heartbeat that are needed after it has been answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct AnsweredHeartbeat {
    machine: String,
    incarnation: u64,
    seq: u64,
    /// Number of the listed tasks; `None` unless all of them are running.
    running_tasks: Option<usize>,
}

impl AnsweredHeartbeat {
    /// Copies the fields that are needed from a heartbeat.
    pub fn new(heartbeat: &WorkerHeartbeat) -> Self {
        let mut phases = heartbeat.tasks.iter().map(|task| task.phase);
        let all_run = phases.all(|phase| phase == TaskPhase::Running);
        AnsweredHeartbeat {
            machine: heartbeat.machine.clone(),
            incarnation: heartbeat.incarnation,
            seq: heartbeat.seq,
            running_tasks: all_run.then_some(heartbeat.tasks.len()),
        }
    }

    /// The machine that sent the heartbeat.
    pub fn machine(&self) -> &str {
        &self.machine
    }
}

impl Leader {
    /// Enables granting partitions to owners.
    pub fn begin_delegation(&mut self) {
        let report_ms = (self.settings.deployment.workers.report_s * 1000.0) as u64;
        self.delegation
            .get_or_insert_with(|| Delegation::new(report_ms));
    }

    /// Handles an owner's request and grants it the partitions that it is entitled to, for `valid_ms` from the time of
    /// the request.
    pub fn on_grant_request(
        &mut self,
        owner: &str,
        request: &GrantRequest,
        entitled: &[PartitionEpoch],
        valid_ms: u64,
        now: u64,
    ) -> Result<Option<Grant>, RequestError> {
        let Some(delegation) = &mut self.delegation else {
            return Ok(None);
        };
        let relinquished_machines = delegation.on_request(owner, request, now)?;
        for relinquished in relinquished_machines {
            if let Some(machine) = self.machines.get_mut(&relinquished.machine) {
                machine.last_heartbeat = machine.last_heartbeat.max(Some(relinquished.heard_at));
            }
        }
        self.withdraw_permits_with_orders();
        let Some(delegation) = &mut self.delegation else {
            return Ok(None);
        };
        let grant = delegation.issue_grant(owner, request, entitled, valid_ms, now);
        for ended in delegation.take_ended_permits() {
            if let Some(machine) = self.machines.get_mut(&ended) {
                machine.permit = None;
            }
        }
        Ok(Some(grant))
    }

    /// Issues a permit to an owner that forwarded a heartbeat, if the heartbeat was answered without orders and the
    /// machine is steady. Returns the number of the owner's process and the permit.
    pub fn permit_after_heartbeat(
        &mut self,
        owner: &str,
        heartbeat: &AnsweredHeartbeat,
        now: u64,
    ) -> Option<(u64, Permit)> {
        if !self.is_steady(heartbeat) {
            return None;
        }
        let numbers = (heartbeat.incarnation, heartbeat.seq);
        let delegation = self.delegation.as_mut()?;
        let (process, permit) = delegation.issue_permit(owner, &heartbeat.machine, numbers, now)?;
        let watched_until = now + delegation.refresh_overdue_ms();
        if let Some(machine) = self.machines.get_mut(&heartbeat.machine) {
            machine.has_pending_orders = false;
            machine.permit = Some(OwnerPermit {
                partition: permit.partition.partition,
                watched_until,
            });
        }
        Some((process, permit))
    }

    /// Whether nothing is pending for the machine that sent a heartbeat, and nothing is expected to be soon.
    fn is_steady(&self, heartbeat: &AnsweredHeartbeat) -> bool {
        let Some(machine) = self.machines.get(&heartbeat.machine) else {
            return false;
        };
        let numbers = (heartbeat.incarnation, heartbeat.seq);
        let is_latest = (machine.incarnation, machine.heartbeat_seq) == numbers;
        let is_as_recorded = heartbeat.running_tasks == Some(machine.assignments.len());
        let mut assignments = machine.assignments.iter();
        is_latest
            && is_as_recorded
            && machine.is_reconciled
            && machine.fencing_token_seen
            && machine.is_steady()
            && assignments.all(|(id, task)| self.keeps_running(id, *task))
            && !self.has_room_for_work(&heartbeat.machine)
    }

    /// Whether a task is running and is not to be stopped.
    fn keeps_running(&self, id: &str, task: u32) -> bool {
        let Some(job) = self.jobs.get(id).filter(|job| !job.aborted) else {
            return false;
        };
        job.assignment(task).is_some_and(|assignment| {
            assignment.stage == AssignmentStage::Reported
                && assignment.phase == Some(TaskPhase::Running)
                && assignment.stop.is_none()
        })
    }

    /// Marks a machine as having pending orders. An owner that answers its heartbeats must stop doing so.
    pub(super) fn note_pending_orders(&mut self, machine: String) {
        if self.delegation.is_none() {
            return;
        }
        if let Some(entry) = self.machines.get_mut(&machine) {
            entry.has_pending_orders = true;
        }
        self.machines_with_new_orders.push(machine);
    }

    /// Withdraws the permits of machines for which orders have become pending.
    fn withdraw_permits_with_orders(&mut self) {
        let names = std::mem::take(&mut self.machines_with_new_orders);
        let Some(delegation) = &mut self.delegation else {
            return;
        };
        for name in &names {
            delegation.withdraw_permit(name);
        }
    }

    /// Recalls of permits that must be sent immediately, by owner and number of the owner's process.
    pub fn urgent_recalls(&mut self) -> BTreeMap<(String, u64), Vec<RecalledPermit>> {
        self.withdraw_permits_with_orders();
        let delegation = self.delegation.as_mut();
        delegation.map_or_else(BTreeMap::new, Delegation::take_urgent_recalls)
    }

    /// Withdraws the permits of machines that are no longer steady, since machines also change without a decision, and
    /// prunes old answers.
    pub fn review_delegation(&mut self, now: u64) {
        let machines = &self.machines;
        let is_steady = |name: &str| machines.get(name).is_some_and(Machine::may_stay_delegated);
        if let Some(delegation) = &mut self.delegation {
            delegation.withdraw_unsteady_permits(is_steady);
            delegation.prune_answers(now);
        }
    }

    /// The owner that will hold the grant of a partition at a given time, according to the grants known now.
    pub fn grant_holder_at(&self, partition: PartitionId, moment: u64) -> Option<&str> {
        self.delegation.as_ref()?.grant_holder(partition, moment)
    }

    /// Whether a worker that reports to the leader may be redirected to the owner of its partition: nothing is pending
    /// for it, and enough of its lease is left.
    pub fn may_be_redirected(&self, machine: &str, now: u64) -> bool {
        let lease_ms = (self.settings.deployment.workers.lease_s * 1000.0) as u64;
        let is_recent = |at: u64| now < at + lease_ms / REDIRECT_LEASE_DIVISOR;
        let has_nothing_pending = |(id, task): &(String, u32)| self.is_unchanging(id, *task);
        self.machines.get(machine).is_some_and(|machine| {
            machine.is_reconciled
                && machine.fencing_token_seen
                && machine.reclaim_at.is_none()
                && machine.last_answer.is_some_and(is_recent)
                && machine.assignments.iter().all(has_nothing_pending)
        })
    }

    /// Whether a worker has reported a task and has not been ordered to stop it.
    fn is_unchanging(&self, id: &str, task: u32) -> bool {
        let assignment = self.jobs.get(id).and_then(|job| job.assignment(task));
        assignment.is_some_and(|assignment| {
            assignment.stage == AssignmentStage::Reported && assignment.stop.is_none()
        })
    }

    /// Whether an owner answers a machine's heartbeats and will report if they stop.
    pub(super) fn is_watched_by_owner(&self, machine: &Machine, now: u64) -> bool {
        let permit = machine.permit.filter(|permit| now < permit.watched_until);
        let Some((permit, delegation)) = permit.zip(self.delegation.as_ref()) else {
            return false;
        };
        delegation.is_granted(permit.partition, now)
    }

    /// When the last heartbeat of a machine was received. While an owner watches the machine and reports nothing, the
    /// machine is assumed to be sending heartbeats.
    pub(super) fn last_heartbeat_at(&self, machine: &Machine, now: u64) -> Option<u64> {
        match self.is_watched_by_owner(machine, now) {
            true => Some(now),
            false => machine.last_heartbeat,
        }
    }
}
