//! Feeding of the node: requests, outcomes of calls, workers' reports and the request to stop.

use super::Daemon;
use crate::servers::ReceivedRequest;
use constants::REPORTS_TURN_BUDGET_MS;
use control::{Input, Now};

impl Daemon {
    /// Gives the node all pending inputs and carries out its outputs, until neither is left. Workers' reports are set
    /// aside for [`Daemon::feed_worker_reports`].
    pub(super) fn feed_node(&mut self, now: Now) {
        loop {
            self.feed_requests(now);
            self.feed_outcomes(now);
            self.carry_out_outputs(now);
            if self.pending.is_empty() {
                return;
            }
        }
    }

    fn feed_requests(&mut self, now: Now) {
        for request in std::mem::take(&mut self.pending.requests) {
            if request.is_worker_report {
                self.worker_reports.push_back(request);
            } else {
                self.feed_request(now, request);
            }
        }
    }

    fn feed_outcomes(&mut self, now: Now) {
        for outcome in std::mem::take(&mut self.pending.outcomes) {
            let input = Input::Reply {
                call: outcome.call,
                result: outcome.result,
            };
            self.node.handle(now, input);
        }
    }

    fn feed_request(&mut self, now: Now, received: ReceivedRequest) {
        let ReceivedRequest { id, request, .. } = received;
        let input = Input::Request {
            id,
            method: request.method,
            target: request.target,
            body: request.body,
        };
        self.node.handle(now, input);
    }

    /// Gives the node workers' reports for a limited time. After a change of leader all workers report at once, which
    /// would otherwise delay users, the load balancer and the renewal of the lease by seconds.
    pub(super) fn feed_worker_reports(&mut self) {
        let until = self.now().mono + REPORTS_TURN_BUDGET_MS;
        while let Some(report) = self.worker_reports.pop_front() {
            let now = self.now();
            // The worker may have closed its connection meanwhile.
            if self.servers.is_open(report.id) {
                self.feed_request(now, report);
                self.feed_node(now);
            }
            if now.mono >= until {
                return;
            }
        }
    }

    /// Asks the node to stop; returns whether it has finished its work.
    pub(super) fn stop_node(&mut self) -> bool {
        let now = self.now();
        self.node.handle(now, Input::Stop);
        self.feed_node(now);
        let is_stopped = self.node.is_stopped(now.mono);
        if is_stopped {
            log::info!("event=stopped");
        }
        is_stopped
    }
}
