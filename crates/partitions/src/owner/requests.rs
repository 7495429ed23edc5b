//! The owner's requests to the leader, and the permits that it relinquishes with them.

use super::{Owner, RelinquishedPermit, SteadyMachine};
use crate::hash::PARTITION_COUNT;
use constants::{
    FORWARDED_MAX, GRANT_RENEW_MS, RELINQUISHED_A_REQUEST, SILENT_EXTRA_MS, SILENT_HALF_REPORTS,
};
use wire::partitions::{ControllerLoad, GrantRequest, Relinquished};

impl Owner {
    /// The next request to the leader, if it is due.
    pub fn request(&mut self, load: ControllerLoad, now: u64) -> Option<GrantRequest> {
        if now < self.next_request_at {
            return None;
        }
        self.next_request_at = now + GRANT_RENEW_MS;
        self.relinquish_silent(now);
        self.last_request += 1;
        let request = self.last_request;
        let mut relinquished = Vec::new();
        for (machine, record) in self.relinquished.iter_mut().take(RELINQUISHED_A_REQUEST) {
            record.reported_in.get_or_insert(request);
            relinquished.push(Relinquished {
                machine: machine.clone(),
                permit: record.permit,
                answered_ago_ms: record.answered_at.map(|at| now.saturating_sub(at)),
                heard_ago_ms: now.saturating_sub(record.heard_at),
            });
        }
        Some(GrantRequest {
            boot: self.boot,
            request,
            sent: now,
            partition_count: PARTITION_COUNT,
            applied: self.grant.as_ref().map_or(0, |grant| grant.number),
            relinquished,
            load,
        })
    }

    /// Relinquishes the permits of machines whose reports are missing.
    fn relinquish_silent(&mut self, now: u64) {
        if now < self.next_silence_check {
            return;
        }
        self.next_silence_check = now + GRANT_RENEW_MS / 2;
        let silent_ms = self.report_ms * SILENT_HALF_REPORTS / 2 + SILENT_EXTRA_MS;
        let is_silent = |steady: &SteadyMachine| now > steady.heard_at + silent_ms;
        let silent = self.steady.iter().filter(|(_, steady)| is_silent(steady));
        let silent: Vec<String> = silent.map(|(machine, _)| machine.clone()).collect();
        for machine in silent {
            self.relinquish(&machine);
        }
        // No permit will follow for machines that report elsewhere by now. For the others, forgetting costs one more
        // forwarded report.
        if self.forwarded.len() > FORWARDED_MAX {
            self.forwarded.clear();
        }
    }

    /// Stops using a permit, and reports that to the leader with the next request.
    pub(super) fn relinquish(&mut self, machine: &str) {
        let Some(steady) = self.steady.remove(machine) else {
            return;
        };
        let record = self
            .relinquished
            .entry(machine.to_string())
            .or_insert(RelinquishedPermit {
                permit: 0,
                answered_at: None,
                heard_at: 0,
                reported_in: None,
            });
        record.permit = record.permit.max(steady.permit);
        record.answered_at = record.answered_at.max(steady.answered_at);
        record.heard_at = record.heard_at.max(steady.heard_at);
        record.reported_in = None;
    }
}
