//! Delivery of inputs to the node: requests, outcomes of calls, workers' reports and the request to stop.

use super::Daemon;
use crate::http_server::ReceivedRequest;
use constants::REPORTS_TURN_BUDGET_MS;
use control::{Input, Now};

impl Daemon {
    /// Delivers all pending inputs to the node and executes its outputs, until no input is pending. Workers' reports
    /// are set aside for [`Daemon::deliver_worker_reports`].
    pub(super) fn deliver_inputs(&mut self, now: Now) {
        loop {
            self.deliver_requests(now);
            self.deliver_call_outcomes(now);
            self.execute_outputs(now);
            if self.pending.is_empty() {
                return;
            }
        }
    }

    fn deliver_requests(&mut self, now: Now) {
        for request in std::mem::take(&mut self.pending.requests) {
            if request.is_worker_report {
                self.worker_reports.push_back(request);
            } else {
                self.deliver_request(now, request);
            }
        }
    }

    fn deliver_call_outcomes(&mut self, now: Now) {
        for outcome in std::mem::take(&mut self.pending.call_outcomes) {
            let input = Input::Reply {
                call: outcome.call,
                result: outcome.result,
            };
            self.node.handle(now, input);
        }
    }

    fn deliver_request(&mut self, now: Now, received: ReceivedRequest) {
        let ReceivedRequest { id, request, .. } = received;
        let input = Input::Request {
            id,
            method: request.method,
            target: request.target,
            body: request.body,
        };
        self.node.handle(now, input);
    }

    /// Delivers workers' reports to the node for a limited time. After a change of leader all workers report at once,
    /// which would otherwise delay users, the load balancer and the renewal of the leader's lease by seconds.
    pub(super) fn deliver_worker_reports(&mut self) {
        let until = self.now().mono + REPORTS_TURN_BUDGET_MS;
        while let Some(report) = self.worker_reports.pop_front() {
            let now = self.now();
            // The worker may have closed its connection since the report arrived.
            if self.http_server.is_awaiting_response(report.id) {
                self.deliver_request(now, report);
                self.deliver_inputs(now);
            }
            if now.mono >= until {
                return;
            }
        }
    }

    /// Asks the node to stop. Returns whether it has finished its work.
    pub(super) fn stop_node(&mut self) -> bool {
        let now = self.now();
        self.node.handle(now, Input::Stop);
        self.deliver_inputs(now);
        let is_stopped = self.node.is_stopped(now.mono);
        if is_stopped {
            log::info!("event=stopped");
        }
        is_stopped
    }
}
