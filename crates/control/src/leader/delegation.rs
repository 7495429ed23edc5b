//! Machines whose steady reports owners of partitions answer: what the leader's tables say of them, and what owners say to
//! the leader. Why this is safe: `docs/partitions.md`.

use super::books::{Machine, Stage};
use super::Leader;
use constants::REDIRECT_LEASE_PART;
use partitions::{Delegation, RequestError};
use std::collections::BTreeMap;
use wire::partitions::{Grant, GrantRequest, PartitionEpoch, PartitionId, Permit, RecalledPermit};
use wire::workers::{Report, TaskPhase};

/// Of a report what its answer's follow-up needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct AnsweredReport {
    machine: String,
    session: u64,
    seq: u64,
    /// Number of its tasks if all of them run.
    running: Option<usize>,
}

impl AnsweredReport {
    pub fn new(report: &Report) -> Self {
        let mut phases = report.tasks.iter().map(|task| task.phase);
        let all_run = phases.all(|phase| phase == TaskPhase::Running);
        AnsweredReport {
            machine: report.machine.clone(),
            session: report.session,
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
                m.last_report = m.last_report.max(Some(word.heard_at));
            }
        }
        let machines = &self.machines;
        let is_steady = |name: &str| machines.get(name).is_some_and(Machine::stays_steady);
        let grant = delegation.grant(owner, request, entitled, valid_ms, is_steady, now);
        Ok(Some(grant))
    }

    /// A permit for an owner that passed on a report which was answered without orders, with the owner's process.
    pub fn permit_after(
        &mut self,
        owner: &str,
        report: &AnsweredReport,
        now: u64,
    ) -> Option<(u64, Permit)> {
        if !self.is_steady(report) {
            return None;
        }
        let numbers = (report.session, report.seq);
        let delegation = self.delegation.as_mut()?;
        let permit = delegation.permit(owner, &report.machine, numbers, now)?;
        if let Some(m) = self.machines.get_mut(&report.machine) {
            m.has_pending_orders = false;
        }
        Some(permit)
    }

    /// Whether nothing is pending for a machine that has sent this report, and nothing may soon be.
    fn is_steady(&self, report: &AnsweredReport) -> bool {
        let Some(m) = self.machines.get(&report.machine) else {
            return false;
        };
        let is_last = (m.session, m.seq) == (report.session, report.seq);
        let is_as_recorded = report.running == Some(m.places.len());
        is_last
            && is_as_recorded
            && m.synced
            && m.token_seen
            && m.is_calm()
            && m.places.iter().all(|(id, task)| self.runs_on(id, *task))
            && !self.has_room(&report.machine)
    }

    /// Whether a task runs and is to go on running.
    fn runs_on(&self, id: &str, task: u32) -> bool {
        let Some(job) = self.jobs.get(id).filter(|job| !job.aborted) else {
            return false;
        };
        job.place(task).is_some_and(|place| {
            place.stage == Stage::Seen
                && place.phase == Some(TaskPhase::Running)
                && place.stop.is_none()
        })
    }

    /// Permits to withdraw at once, by owner and process.
    pub fn urgent_recalls(&mut self) -> BTreeMap<(String, u64), Vec<RecalledPermit>> {
        let due = std::mem::take(&mut self.recalls_due);
        let Some(delegation) = self.delegation.as_mut().filter(|_| due) else {
            return BTreeMap::new();
        };
        let machines = &self.machines;
        delegation.urgent_recalls(|name| machines.get(name).is_some_and(Machine::stays_steady))
    }

    /// Looks at all permits again, and forgets answers from long ago.
    pub fn review_delegation(&mut self, now: u64) {
        self.recalls_due = true;
        if let Some(delegation) = &mut self.delegation {
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
            let place = self.jobs.get(id).and_then(|job| job.place(*task));
            place.is_some_and(|p| p.stage == Stage::Seen && p.stop.is_none())
        };
        self.machines.get(machine).is_some_and(|m| {
            m.synced
                && m.token_seen
                && m.notice_at.is_none()
                && m.last_answer.is_some_and(is_recent)
                && m.places.iter().all(is_settled)
        })
    }

    /// Whether an owner answers a machine, and will say so when it does not hear it any more.
    pub(super) fn is_watched_by_owner(&self, machine: &str, now: u64) -> bool {
        let delegation = self.delegation.as_ref();
        delegation.is_some_and(|d| d.is_watched_by_owner(machine, now))
    }

    /// When a machine was last heard, by its owner's silence about it if that is later.
    pub(super) fn heard_at(&self, name: &str, m: &Machine, now: u64) -> Option<u64> {
        match self.is_watched_by_owner(name, now) {
            true => Some(now),
            false => m.last_report,
        }
    }
}
