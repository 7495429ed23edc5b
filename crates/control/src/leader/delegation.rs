//! Machines whose steady reports owners of partitions answer: what the leader's tables say of them, and what owners say to
//! the leader. Why this is safe: `docs/partitions.md`.

use super::model::{AssignmentStage, Machine, OwnerPermit};
use super::Leader;
use constants::REDIRECT_LEASE_PART;
use partitions::{Delegation, RequestError};
use std::collections::BTreeMap;
use wire::partitions::{Grant, GrantRequest, PartitionEpoch, PartitionId, Permit, RecalledPermit};
use wire::workers::{TaskPhase, WorkerHeartbeat};

/// Of a report what its answer's follow-up needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct AnsweredHeartbeat {
    machine: String,
    incarnation: u64,
    seq: u64,
    /// Number of its tasks if all of them run.
    running: Option<usize>,
}

impl AnsweredHeartbeat {
    pub fn new(report: &WorkerHeartbeat) -> Self {
        let mut phases = report.tasks.iter().map(|task| task.phase);
        let all_run = phases.all(|phase| phase == TaskPhase::Running);
        AnsweredHeartbeat {
            machine: report.machine.clone(),
            incarnation: report.incarnation,
            seq: report.seq,
            running: all_run.then_some(report.tasks.len()),
        }
    }

    /// The machine that reported.
    pub fn machine(&self) -> &str {
        &self.machine
    }
}

impl Leader {
    /// Owners may be granted partitions from now on.
    pub fn begin_delegation(&mut self) {
        let report_ms = (self.settings.deployment.workers.report_s * 1000.0) as u64;
        self.delegation
            .get_or_insert_with(|| Delegation::new(report_ms));
    }

    /// Takes in what an owner says in a request, and grants it the partitions that it is entitled to, for `valid_ms` from its
    /// request on.
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
        let heard = delegation.on_request(owner, request, now)?;
        for word in heard {
            if let Some(m) = self.machines.get_mut(&word.machine) {
                m.last_heartbeat = m.last_heartbeat.max(Some(word.heard_at));
            }
        }
        self.withdraw_permits_with_orders();
        let Some(delegation) = &mut self.delegation else {
            return Ok(None);
        };
        let grant = delegation.grant(owner, request, entitled, valid_ms, now);
        for ended in delegation.take_ended() {
            if let Some(m) = self.machines.get_mut(&ended) {
                m.permit = None;
            }
        }
        Ok(Some(grant))
    }

    /// A permit for an owner that passed on a report which was answered without orders, with the owner's process.
    pub fn permit_after(
        &mut self,
        owner: &str,
        report: &AnsweredHeartbeat,
        now: u64,
    ) -> Option<(u64, Permit)> {
        if !self.is_steady(report) {
            return None;
        }
        let numbers = (report.incarnation, report.seq);
        let delegation = self.delegation.as_mut()?;
        let permit = delegation.permit(owner, &report.machine, numbers, now)?;
        let watched_until = now + delegation.refresh_overdue_ms();
        if let Some(m) = self.machines.get_mut(&report.machine) {
            m.has_pending_orders = false;
            m.permit = Some(OwnerPermit {
                partition: permit.1.partition.partition,
                watched_until,
            });
        }
        Some(permit)
    }

    /// Whether nothing is pending for a machine that has sent this report, and nothing may soon be.
    fn is_steady(&self, report: &AnsweredHeartbeat) -> bool {
        let Some(m) = self.machines.get(&report.machine) else {
            return false;
        };
        let is_last = (m.incarnation, m.seq) == (report.incarnation, report.seq);
        let is_as_recorded = report.running == Some(m.assignments.len());
        is_last
            && is_as_recorded
            && m.synced
            && m.token_seen
            && m.is_calm()
            && m.assignments
                .iter()
                .all(|(id, task)| self.runs_on(id, *task))
            && !self.has_room_for_work(&report.machine)
    }

    /// Whether a task runs and is to go on running.
    fn runs_on(&self, id: &str, task: u32) -> bool {
        let Some(job) = self.jobs.get(id).filter(|job| !job.aborted) else {
            return false;
        };
        job.assignment(task).is_some_and(|assignment| {
            assignment.stage == AssignmentStage::Seen
                && assignment.phase == Some(TaskPhase::Running)
                && assignment.stop.is_none()
        })
    }

    /// Something has become pending for a machine: an owner that answers it must not go on.
    pub(super) fn note_pending_orders(&mut self, machine: String) {
        if self.delegation.is_none() {
            return;
        }
        if let Some(m) = self.machines.get_mut(&machine) {
            m.has_pending_orders = true;
        }
        self.machines_with_new_orders.push(machine);
    }

    /// Withdraws the permits of machines for which something is pending by now.
    fn withdraw_permits_with_orders(&mut self) {
        let machines_with_new_orders = std::mem::take(&mut self.machines_with_new_orders);
        if let Some(delegation) = &mut self.delegation {
            machines_with_new_orders
                .iter()
                .for_each(|name| delegation.withdraw(name));
        }
    }

    /// Recalls to send at once, by owner and process.
    pub fn urgent_recalls(&mut self) -> BTreeMap<(String, u64), Vec<RecalledPermit>> {
        self.withdraw_permits_with_orders();
        let delegation = self.delegation.as_mut();
        delegation.map_or_else(BTreeMap::new, Delegation::urgent_recalls)
    }

    /// Looks at all permits again, for what changes without anything being decided, and forgets answers from long ago.
    pub fn review_delegation(&mut self, now: u64) {
        let machines = &self.machines;
        let is_steady = |name: &str| machines.get(name).is_some_and(Machine::stays_steady);
        if let Some(delegation) = &mut self.delegation {
            delegation.withdraw_unless(is_steady);
            delegation.prune(now);
        }
    }

    /// The owner of a partition, if it will hold a grant at that moment as far as is known now.
    pub fn holder_at(&self, partition: PartitionId, moment: u64) -> Option<&str> {
        self.delegation.as_ref()?.holder(partition, moment)
    }

    /// Whether a worker that reports here may be sent to its owner: nothing is pending for it, and its lease has time.
    pub fn may_be_redirected(&self, machine: &str, now: u64) -> bool {
        let lease_ms = (self.settings.deployment.workers.lease_s * 1000.0) as u64;
        let is_recent = |at: u64| now < at + lease_ms / REDIRECT_LEASE_PART;
        let is_settled = |(id, task): &(String, u32)| {
            let assignment = self.jobs.get(id).and_then(|job| job.assignment(*task));
            assignment.is_some_and(|p| p.stage == AssignmentStage::Seen && p.stop.is_none())
        };
        self.machines.get(machine).is_some_and(|m| {
            m.synced
                && m.token_seen
                && m.notice_at.is_none()
                && m.last_answer.is_some_and(is_recent)
                && m.assignments.iter().all(is_settled)
        })
    }

    /// Whether an owner answers a machine, and will say so when it does not hear it any more.
    pub(super) fn is_watched_by_owner(&self, m: &Machine, now: u64) -> bool {
        let permit = m.permit.filter(|permit| now < permit.watched_until);
        let delegation = self.delegation.as_ref();
        let is_granted =
            |p: OwnerPermit| delegation.is_some_and(|d| d.is_granted(p.partition, now));
        permit.is_some_and(is_granted)
    }

    /// When a machine was last heard, by its owner's silence about it if it has not reported to us for a while.
    pub(super) fn heard_at(&self, m: &Machine, now: u64) -> Option<u64> {
        match self.is_watched_by_owner(m, now) {
            true => Some(now),
            false => m.last_heartbeat,
        }
    }
}
