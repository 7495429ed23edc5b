//! Delivery of messages to workers: direct orders, and responses to their reports.

use crate::events::Event;
use crate::fleet::REPORT_TIMEOUT_MS;
use crate::jobs::behaviour_of;
use crate::World;
use wire::workers::{DirectOrders, HeartbeatResponse, Order, Redirect};

/// Maximum delay in milliseconds until a worker reports again after it has learned of a newer term.
const NEW_TERM_REPORT_DELAY_MS: u64 = 500;
/// Milliseconds until a worker that was redirected without a named leader reports to the next node.
const NEXT_NODE_DELAY_MS: u64 = 1_000;

impl World {
    /// Time until which messages to a machine are delayed, by an injected delay or because its worker hangs.
    fn delayed_until(&self, machine: &str) -> Option<u64> {
        let hung = self.workers.get(machine).map(|worker| worker.hung_until);
        let hung = hung.filter(|until| self.now < *until);
        self.faults
            .messages_delayed_until(machine, self.now)
            .max(hung)
    }

    /// Handles the arrival of direct orders at a worker.
    pub(super) fn deliver_orders(&mut self, from: usize, machine: String, body: Vec<u8>) {
        if let Some(until) = self.delayed_until(&machine) {
            let event = Event::ToWorker {
                from,
                machine,
                body,
            };
            return self.schedule(until, event);
        }
        let Ok(direct) = wire::decode::<DirectOrders>(&body) else {
            return;
        };
        let Some(worker) = self.workers.get_mut(&machine) else {
            return;
        };
        let is_connected =
            self.only_reachable_node.is_none() && worker.only_node.is_none_or(|only| only == from);
        let is_reached =
            is_connected && self.now >= worker.disconnected_until && !worker.receives_nothing;
        if is_reached && direct.term >= worker.term && direct.incarnation == worker.incarnation {
            worker.term = direct.term;
            self.executed_direct_orders += 1;
            self.execute_orders(&machine, &direct.orders);
        }
    }

    /// Makes a worker execute orders, and records its starts of tasks.
    fn execute_orders(&mut self, machine: &str, orders: &[Order]) {
        let (jobs, now) = (&self.task_behaviour, self.now);
        let Some(worker) = self.workers.get_mut(machine) else {
            return;
        };
        let started = worker.execute_orders(orders, |task| behaviour_of(jobs, task), now);
        for (task, attempt) in started {
            self.rules.task_started(&task, attempt, machine, now);
        }
    }

    /// Handles the response to a worker's report, unless it is delayed further.
    pub(super) fn deliver_report_response(
        &mut self,
        machine: String,
        seq: u64,
        status: u16,
        body: Vec<u8>,
    ) {
        match self.delayed_until(&machine) {
            Some(until) => {
                let event = Event::ReportResponse {
                    machine,
                    seq,
                    status,
                    body,
                };
                self.schedule(until, event);
            }
            None => self.on_report_response(&machine, seq, status, &body),
        }
    }

    fn on_report_response(&mut self, machine: &str, seq: u64, status: u16, body: &[u8]) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(machine) else {
            return;
        };
        let Some(sent) = worker.report_sent_at(seq) else {
            return;
        };
        if now < worker.disconnected_until
            || worker.receives_nothing
            || now > sent + REPORT_TIMEOUT_MS
        {
            return;
        }
        let in_flight = worker.report_in_flight;
        if in_flight.is_none_or(|(_, number)| number != seq) {
            return self.on_copied_response(machine, status, body);
        }
        if worker.responses_to_lose > 0 {
            worker.responses_to_lose -= 1;
            return;
        }
        worker.report_in_flight = None;
        match status {
            200 => self.on_heartbeat_response(machine, sent, body),
            _ => self.on_redirect(machine, body),
        }
    }

    /// Handles a copy of a response that the worker has taken before, within the time in which it does not drop it. The
    /// protocol does not say that a worker takes a response only once.
    fn on_copied_response(&mut self, machine: &str, status: u16, body: &[u8]) {
        let Ok(response) = wire::decode::<HeartbeatResponse>(body) else {
            return;
        };
        let worker = self.workers.get(machine);
        if status == 200 && worker.is_some_and(|worker| response.term >= worker.term) {
            self.execute_orders(machine, &response.orders);
        }
    }

    /// Handles the response of a leader or an owner to the report that was sent at `sent`.
    fn on_heartbeat_response(&mut self, machine: &str, sent: u64, body: &[u8]) {
        let Ok(response) = wire::decode::<HeartbeatResponse>(body) else {
            return;
        };
        let now = self.now;
        let Some(worker) = self.workers.get_mut(machine) else {
            return;
        };
        if response.term < worker.term {
            return;
        }
        if response.term > worker.term {
            worker.next_report_at = worker.next_report_at.min(now + NEW_TERM_REPORT_DELAY_MS);
        }
        worker.term = response.term;
        worker.lease_start = sent;
        worker.redirect_count = 0;
        if let Some(delays) = &mut self.report_latencies_ms {
            delays.push(now - sent);
        }
        self.execute_orders(machine, &response.orders);
    }

    /// Handles a redirect: the worker switches to the named node, or else to the next one.
    fn on_redirect(&mut self, machine: &str, body: &[u8]) {
        let named = wire::decode::<Redirect>(body).ok();
        let label = named.and_then(|named| named.controller);
        let mut settings = self.settings.iter();
        let leader = label.and_then(|label| settings.position(|s| s.label == label));
        let (now, nodes) = (self.now, self.nodes.len());
        let Some(worker) = self.workers.get_mut(machine) else {
            return;
        };
        match leader.filter(|leader| *leader != worker.node) {
            Some(leader) => {
                worker.node = leader;
                worker.next_report_at = now;
                worker.redirect_count += 1;
                worker.max_redirect_count = worker.max_redirect_count.max(worker.redirect_count);
            }
            None => {
                worker.node = (worker.node + 1) % nodes;
                worker.next_report_at = now + NEXT_NODE_DELAY_MS;
            }
        }
    }
}
