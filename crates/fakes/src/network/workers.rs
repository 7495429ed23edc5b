//! Messages to workers: direct orders, and answers to their reports.

use crate::events::Event;
use crate::fleet::REPORT_DROP_MS;
use crate::jobs::behaviour_of;
use crate::World;
use wire::workers::{DirectOrders, HeartbeatResponse, Order, Redirect};

/// Milliseconds until a worker reports to the leader of a newer term.
const NEW_TERM_REPORT_MS: u64 = 500;
/// Milliseconds until a worker without a named leader tries the next node.
const NEXT_NODE_MS: u64 = 1_000;

impl World {
    /// Until when messages to a machine are delayed, because of a trouble or because it hangs.
    fn delayed_until(&self, machine: &str) -> Option<u64> {
        let hung = self.workers.get(machine).map(|worker| worker.hung_until);
        let hung = hung.filter(|until| self.now < *until);
        self.troubles.held_until(machine, self.now).max(hung)
    }

    /// A worker's own address gets orders.
    pub(super) fn deliver_orders(&mut self, from: usize, machine: String, body: Vec<u8>) {
        if let Some(until) = self.delayed_until(&machine) {
            let event = Event::ToWorker {
                from,
                machine,
                body,
            };
            return self.push(until, event);
        }
        let Ok(direct) = wire::decode::<DirectOrders>(&body) else {
            return;
        };
        let Some(worker) = self.workers.get_mut(&machine) else {
            return;
        };
        let is_connected =
            self.stuck_workers.is_none() && worker.only.is_none_or(|only| only == from);
        let is_reached = is_connected && self.now >= worker.cut_until && !worker.one_way;
        if is_reached && direct.term >= worker.term && direct.incarnation == worker.incarnation {
            worker.term = direct.term;
            self.execute_orders(&machine, &direct.orders);
        }
    }

    /// A worker executes orders.
    fn execute_orders(&mut self, machine: &str, orders: &[Order]) {
        let (jobs, now) = (&self.behaviour, self.now);
        let Some(worker) = self.workers.get_mut(machine) else {
            return;
        };
        let started = worker.execute(orders, |task| behaviour_of(jobs, task), now);
        for (task, attempt) in started {
            self.rules.started(&task, attempt, machine, now);
        }
    }

    /// The answer to a worker's report arrives, unless it is delayed further.
    pub(super) fn deliver_answer(&mut self, machine: String, seq: u64, status: u16, body: Vec<u8>) {
        match self.delayed_until(&machine) {
            Some(until) => {
                let event = Event::Answer {
                    machine,
                    seq,
                    status,
                    body,
                };
                self.push(until, event);
            }
            None => self.on_answer(&machine, seq, status, &body),
        }
    }

    fn on_answer(&mut self, machine: &str, seq: u64, status: u16, body: &[u8]) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(machine) else {
            return;
        };
        let in_flight = worker.in_flight;
        let Some((sent, _)) = in_flight.filter(|(_, number)| *number == seq) else {
            return;
        };
        if now < worker.cut_until || worker.one_way || now > sent + REPORT_DROP_MS {
            return;
        }
        if worker.lose_answers > 0 {
            worker.lose_answers -= 1;
            return;
        }
        worker.in_flight = None;
        match status {
            200 => self.on_heartbeat_response(machine, sent, body),
            _ => self.on_redirect(machine, body),
        }
    }

    /// A leader or an owner answered the report that was sent at `sent`.
    fn on_heartbeat_response(&mut self, machine: &str, sent: u64, body: &[u8]) {
        let Ok(answer) = wire::decode::<HeartbeatResponse>(body) else {
            return;
        };
        let now = self.now;
        let Some(worker) = self.workers.get_mut(machine) else {
            return;
        };
        if answer.term < worker.term {
            return;
        }
        if answer.term > worker.term {
            worker.report_at = worker.report_at.min(now + NEW_TERM_REPORT_MS);
        }
        worker.term = answer.term;
        worker.lease_from = sent;
        worker.redirects = 0;
        if let Some(delays) = &mut self.answer_delays_ms {
            delays.push(now - sent);
        }
        self.execute_orders(machine, &answer.orders);
    }

    /// A node sent the worker elsewhere: to the node that it named, or else to the next one.
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
                worker.report_at = now;
                worker.redirects += 1;
                worker.most_redirects = worker.most_redirects.max(worker.redirects);
            }
            None => {
                worker.node = (worker.node + 1) % nodes;
                worker.report_at = now + NEXT_NODE_MS;
            }
        }
    }
}
