//! The owner's requests to the leader, and the permits that it relinquishes with them.

use super::{Owner, RelinquishedPermit, SteadyMachine};
use crate::hash::PARTITION_COUNT;
use constants::{
    FORWARDED_REPORTS_MAX, GRANT_RENEW_INTERVAL_MS, RELINQUISHED_PER_REQUEST_MAX,
    SILENCE_HALF_REPORT_INTERVALS, SILENCE_MARGIN_MS,
};
use wire::partitions::{ControllerLoad, GrantRequest, Relinquished};

impl Owner {
    /// Creates the next request to the leader, if it is due.
    pub fn next_request(&mut self, load: ControllerLoad, now: u64) -> Option<GrantRequest> {
        if now < self.next_request_at {
            return None;
        }
        self.next_request_at = now + GRANT_RENEW_INTERVAL_MS;
        self.relinquish_silent(now);
        self.last_request += 1;
        let request = self.last_request;
        let mut relinquished = Vec::new();
        for (machine, record) in self
            .relinquished
            .iter_mut()
            .take(RELINQUISHED_PER_REQUEST_MAX)
        {
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

    /// Relinquishes the permits for machines from which no report has arrived for too long.
    fn relinquish_silent(&mut self, now: u64) {
        if now < self.next_silence_check_at {
            return;
        }
        self.next_silence_check_at = now + GRANT_RENEW_INTERVAL_MS / 2;
        let silent_ms =
            self.report_interval_ms * SILENCE_HALF_REPORT_INTERVALS / 2 + SILENCE_MARGIN_MS;
        let is_silent = |steady: &SteadyMachine| now > steady.heard_at + silent_ms;
        let silent = self.steady.iter().filter(|(_, steady)| is_silent(steady));
        let silent: Vec<String> = silent.map(|(machine, _)| machine.clone()).collect();
        for machine in silent {
            self.relinquish(&machine);
        }
        // Machines that report to another controller by now will receive no permit. For the others, forgetting their
        // report costs one more forwarded report.
        if self.forwarded_reports.len() > FORWARDED_REPORTS_MAX {
            self.forwarded_reports.clear();
        }
    }

    /// Stops using the permit for a machine, and tells the leader so with the next request.
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
