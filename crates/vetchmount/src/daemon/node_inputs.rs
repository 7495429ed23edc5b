//! Delivery of inputs to the node: requests, outcomes of calls, workers' reports and the request to stop.

use super::Daemon;
use crate::http_server::ReceivedRequest;
use constants::REPORTS_TURN_BUDGET_MS;
use control::Input;

impl Daemon {
    /// Delivers all pending inputs to the node and executes its outputs, until no input is pending. Workers' reports
    /// are set aside for [`Daemon::deliver_worker_reports`].
    ///
    /// Each input is delivered with the time at which it is. What the leader may do depends on how old its knowledge
    /// is, and a turn can take long: by the time at its start, outdated knowledge would still count.
    pub(super) fn deliver_inputs(&mut self) {
        loop {
            self.deliver_requests();
            self.deliver_call_outcomes();
            self.execute_outputs(self.now());
            if self.pending.is_empty() {
                return;
            }
        }
    }

    fn deliver_requests(&mut self) {
        for request in std::mem::take(&mut self.pending.requests) {
            if request.is_worker_report {
                self.worker_reports.push_back(request);
            } else {
                self.deliver_request(request);
            }
        }
    }

    fn deliver_call_outcomes(&mut self) {
        for outcome in std::mem::take(&mut self.pending.call_outcomes) {
            let input = Input::Reply {
                call: outcome.call,
                result: outcome.result,
            };
            self.node.handle(self.now(), input);
        }
    }

    fn deliver_request(&mut self, received: ReceivedRequest) {
        let ReceivedRequest { id, request, .. } = received;
        let input = Input::Request {
            id,
            method: request.method,
            target: request.target,
            body: request.body,
        };
        self.node.handle(self.now(), input);
    }

    /// Delivers workers' reports to the node for a limited time. After a change of leader all workers report at once,
    /// which would otherwise delay users, the load balancer and the renewal of the leader's lease by seconds.
    pub(super) fn deliver_worker_reports(&mut self) {
        let until = self.now().mono + REPORTS_TURN_BUDGET_MS;
        while let Some(report) = self.worker_reports.pop_front() {
            // The worker may have closed its connection since the report arrived.
            if self.http_server.is_awaiting_response(report.id) {
                self.deliver_request(report);
                self.deliver_inputs();
            }
            if self.now().mono >= until {
                return;
            }
        }
    }

    /// Asks the node to stop. Returns whether it has finished its work.
    pub(super) fn stop_node(&mut self) -> bool {
        self.node.handle(self.now(), Input::Stop);
        self.deliver_inputs();
        let is_stopped = self.node.is_stopped(self.now().mono);
        if is_stopped {
            log::info!("event=stopped");
        }
        is_stopped
    }
}
