//! What an owner does with a worker's report.

use super::Owner;
use crate::hash::partition_of;
use constants::{OWNER_RELAY_MS, REDIRECTED_MAX, REDIRECT_REPEAT_MS, STEADY_REPORTS};
use wire::partitions::{PartitionEpoch, PartitionId};
use wire::workers::WorkerHeartbeat;

/// What an owner does with a report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Answers it, without orders, under this term.
    Answer {
        /// Term.
        term: u64,
    },
    /// Forwards it to the leader.
    Forward,
    /// Sends the worker to this controller, or to the leader.
    Redirect(Option<String>),
    /// Refuses it: it is a late copy of a report that was answered long ago.
    Outdated,
}

impl Owner {
    /// What to do with a report.
    pub fn decide(&mut self, report: &WorkerHeartbeat, now: u64) -> Decision {
        let partition = partition_of(&report.machine);
        let grant = self.valid_grant(now);
        let epoch = grant.and_then(|grant| grant.partitions.get(&partition).copied());
        let Some(epoch) = epoch else {
            return self.decide_without_grant(report, partition, now);
        };
        let refresh_ms = self.report_ms * STEADY_REPORTS;
        if let Some(steady) = self.steady.get_mut(&report.machine) {
            let last = (steady.report.incarnation, steady.report.seq);
            if (report.incarnation, report.seq) <= last {
                return Decision::Outdated;
            }
            let is_current = steady.partition == PartitionEpoch { partition, epoch }
                && report.term == self.term
                && now < steady.since + refresh_ms;
            if is_current && repeats(report, &steady.report) {
                steady.report.seq = report.seq;
                steady.heard_at = now;
                steady.answered_at = Some(now);
                return Decision::Answer { term: self.term };
            }
            steady.heard_at = now;
        }
        self.forward(report);
        Decision::Forward
    }

    /// What to do with a report of a partition that is not granted to this owner.
    fn decide_without_grant(
        &mut self,
        report: &WorkerHeartbeat,
        partition: PartitionId,
        now: u64,
    ) -> Decision {
        if let Some(owner) = self.other_owners.get(&partition).cloned() {
            let may_name = self.may_name_owner(&report.machine, now);
            return Decision::Redirect(may_name.then_some(owner));
        }
        let ended = self.grant.as_ref().filter(|grant| now >= grant.ends_at);
        let ended = ended.filter(|grant| now < grant.ends_at + OWNER_RELAY_MS);
        let relays = ended.is_some_and(|grant| grant.partitions.contains_key(&partition))
            || (now < self.relay_until && self.relayed.contains_key(&partition));
        if !relays {
            return Decision::Redirect(None);
        }
        self.forward(report);
        Decision::Forward
    }

    /// Whether a machine may be redirected to its owner. One that came back did not reach the owner, and is sent to
    /// the leader, which answers every worker.
    fn may_name_owner(&mut self, machine: &str, now: u64) -> bool {
        let last = self.redirected.get(machine);
        if last.is_some_and(|at| now < at + REDIRECT_REPEAT_MS) {
            return false;
        }
        if self.redirected.len() >= REDIRECTED_MAX {
            self.redirected.clear();
        }
        self.redirected.insert(machine.to_string(), now);
        true
    }

    /// Notes that a report is forwarded to the leader. The permit is relinquished, since the machine may have changed.
    fn forward(&mut self, report: &WorkerHeartbeat) {
        self.relinquish(&report.machine);
        self.forwarded
            .insert(report.machine.clone(), report.clone());
    }
}

/// Whether a report is equal to an earlier one except for its sequence number.
fn repeats(report: &WorkerHeartbeat, earlier: &WorkerHeartbeat) -> bool {
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
