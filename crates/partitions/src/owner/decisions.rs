//! The decision whether an owner answers, forwards or redirects a worker's report.

use super::Owner;
use crate::hash::partition_of;
use constants::{
    EXPIRED_GRANT_FORWARD_MS, REDIRECTED_WORKERS_MAX, REDIRECT_REPEAT_INTERVAL_MS,
    STEADY_REPORTS_PER_FORWARD,
};
use wire::partitions::{PartitionEpoch, PartitionId};
use wire::workers::WorkerHeartbeat;

/// How an owner handles a report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Answers the report, without orders, under the given term.
    Answer {
        /// Number of the term.
        term: u64,
    },
    /// Forwards the report to the leader.
    Forward,
    /// Redirects the worker to the controller with this label, or to the leader if there is none.
    Redirect(Option<String>),
    /// Refuses the report, which is a late copy: this report or a later one has been answered already.
    Outdated,
}

impl Owner {
    /// Decides how to handle a report.
    pub fn decide(&mut self, report: &WorkerHeartbeat, now: u64) -> Decision {
        let partition = partition_of(&report.machine);
        let grant = self.valid_grant(now);
        let epoch = grant.and_then(|grant| grant.partitions.get(&partition).copied());
        let Some(epoch) = epoch else {
            return self.decide_without_grant(report, partition, now);
        };
        let refresh_ms = self.report_interval_ms * STEADY_REPORTS_PER_FORWARD;
        if let Some(steady) = self.steady.get_mut(&report.machine) {
            let last = (steady.report.incarnation, steady.report.seq);
            if (report.incarnation, report.seq) <= last {
                return Decision::Outdated;
            }
            let is_current = steady.partition == PartitionEpoch { partition, epoch }
                && report.term == self.term
                && now < steady.permitted_at + refresh_ms;
            if is_current && is_repetition(report, &steady.report) {
                steady.report.seq = report.seq;
                steady.heard_at = now;
                steady.answered_at = Some(now);
                return Decision::Answer { term: self.term };
            }
            steady.heard_at = now;
        }
        self.note_forwarded(report);
        Decision::Forward
    }

    /// Decides how to handle a report of a machine whose partition is not granted to this owner.
    fn decide_without_grant(
        &mut self,
        report: &WorkerHeartbeat,
        partition: PartitionId,
        now: u64,
    ) -> Decision {
        if let Some(owner) = self.other_owners.get(&partition).cloned() {
            let to_owner = self.may_redirect_to_owner(&report.machine, now);
            return Decision::Redirect(to_owner.then_some(owner));
        }
        let expired = self.grant.as_ref().filter(|grant| now >= grant.ends_at);
        let expired = expired.filter(|grant| now < grant.ends_at + EXPIRED_GRANT_FORWARD_MS);
        let is_forwarded = expired.is_some_and(|grant| grant.partitions.contains_key(&partition))
            || (now < self.forward_until && self.formerly_granted.contains_key(&partition));
        if !is_forwarded {
            return Decision::Redirect(None);
        }
        self.note_forwarded(report);
        Decision::Forward
    }

    /// Whether a machine may be redirected to its owner. A machine that comes back within
    /// [`REDIRECT_REPEAT_INTERVAL_MS`] did not reach the owner and is redirected to the leader, which answers every
    /// worker.
    fn may_redirect_to_owner(&mut self, machine: &str, now: u64) -> bool {
        let last = self.redirected_at.get(machine);
        if last.is_some_and(|at| now < at + REDIRECT_REPEAT_INTERVAL_MS) {
            return false;
        }
        if self.redirected_at.len() >= REDIRECTED_WORKERS_MAX {
            self.redirected_at.clear();
        }
        self.redirected_at.insert(machine.to_string(), now);
        true
    }

    /// Remembers a report that is forwarded to the leader. The permit is relinquished, since the machine's state may
    /// have changed.
    fn note_forwarded(&mut self, report: &WorkerHeartbeat) {
        self.relinquish(&report.machine);
        self.forwarded_reports
            .insert(report.machine.clone(), report.clone());
    }
}

/// Whether a report is equal to an earlier one except for its sequence number.
fn is_repetition(report: &WorkerHeartbeat, earlier: &WorkerHeartbeat) -> bool {
    let is_same_session = (report.incarnation, report.term) == (earlier.incarnation, earlier.term);
    is_same_session
        && report.reclaim_in_s.is_none()
        && earlier.reclaim_in_s.is_none()
        && report.tasks == earlier.tasks
        && report.addr == earlier.addr
        && report.machine == earlier.machine
        && (&report.machine_type, &report.zone, report.spot)
            == (&earlier.machine_type, &earlier.zone, earlier.spot)
}
