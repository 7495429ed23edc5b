//! The simulated network: sends the messages of nodes and delivers messages, which faults can lose, delay or refuse.

mod state_service;
mod workers;

use crate::events::{Call, CallResult, Event, Sender};
use crate::turns::{record_turn, TurnKind};
use crate::{ConnectionFault, Party, World, MESSAGE_DELAY_MS};
use control::{CallError, CallTarget, Input, Node, Output};
use wire::peers::PeerMessage;
use wire::workers::{DirectOrders, HeartbeatResponse, Order};

impl World {
    /// Sends all pending outputs of a node.
    pub(crate) fn send_outputs(&mut self, node: usize) {
        let process_epoch = self.nodes[node].process_epoch;
        loop {
            let running = self.nodes[node].node.as_mut();
            let Some(output) = running.and_then(Node::next_output) else {
                return;
            };
            match output {
                Output::Respond {
                    id,
                    status,
                    retry_after_s,
                    body,
                } => self.send_response(node, id, status, retry_after_s, body),
                Output::Call {
                    call,
                    target,
                    method,
                    path,
                    body,
                    timeout_ms,
                } => {
                    let sender = Sender {
                        node,
                        process_epoch,
                        call,
                    };
                    let call = Call {
                        from: Some(sender),
                        method,
                        path,
                        body,
                        deadline: self.now + timeout_ms,
                    };
                    self.send_call(sender, target, call);
                }
                Output::Peer { to, message } => self.send_to_peers(node, to.as_deref(), &message),
            }
        }
    }

    /// Sends a call of a node to the state service, the cloud or a worker.
    fn send_call(&mut self, sender: Sender, target: CallTarget, call: Call) {
        match target {
            CallTarget::State => self.send_to_state(sender, call),
            CallTarget::Cloud => {
                let event = Event::ToCloud {
                    sender,
                    method: call.method,
                    path: call.path,
                    body: call.body,
                };
                self.schedule(self.now + MESSAGE_DELAY_MS, event);
            }
            CallTarget::Worker(addr) => self.send_to_worker(sender.node, &addr, call.body),
        }
    }

    /// Sends the response of a node to a worker or a user.
    fn send_response(
        &mut self,
        node: usize,
        id: u64,
        status: u16,
        retry_after_s: Option<u32>,
        body: Vec<u8>,
    ) {
        let reporter = self.pending_reports.remove(&id);
        let party = match reporter {
            Some(_) => Party::Workers,
            None => Party::Users,
        };
        if self
            .faults
            .has_connection_fault(node, party, ConnectionFault::ResponsesLost)
        {
            return;
        }
        if let Some((machine, seq)) = reporter {
            self.check_starts(&machine, &body);
            let event = || Event::ReportResponse {
                machine: machine.clone(),
                seq,
                status,
                body: body.clone(),
            };
            self.schedule(self.now + MESSAGE_DELAY_MS, event());
            for delay_ms in self.faults.order_copy_delays_ms.clone() {
                self.schedule(self.now + delay_ms, event());
            }
            return;
        }
        // Without Retry-After, refused users retry after a second, however many users there are.
        if matches!(status, 429 | 503) && retry_after_s.is_none() {
            let violation = format!("no Retry-After with {status} at {}", self.now);
            self.violations.push(violation);
        }
        self.respond(id, status, body);
    }

    /// Checks the starts in the response to a machine's report.
    fn check_starts(&mut self, machine: &str, body: &[u8]) {
        let response = wire::decode::<HeartbeatResponse>(body);
        for order in response.into_iter().flat_map(|response| response.orders) {
            if let Order::Start { task, attempt } = order {
                self.rules.start_sent(&task, attempt, machine, self.now);
            }
        }
    }

    /// Sends a call of a node to the state service. A call that arrives after its deadline is executed, but gets no
    /// response.
    fn send_to_state(&mut self, sender: Sender, call: Call) {
        let slow_ms = self
            .faults
            .max_state_request_delay_ms
            .get(&sender.node)
            .copied();
        let late_ms = self.random_up_to(slow_ms);
        let arrives_at = self.now + MESSAGE_DELAY_MS + late_ms;
        let mut from = Some(sender);
        if arrives_at > call.deadline {
            from = None;
            self.reply(call.deadline, sender, Err(CallError::Unknown));
        }
        self.schedule(arrives_at, Event::ToState(Call { from, ..call }));
    }

    /// Sends orders of a node to a worker's own address.
    fn send_to_worker(&mut self, node: usize, addr: &str, body: Vec<u8>) {
        if self
            .faults
            .has_connection_fault(node, Party::Workers, ConnectionFault::ResponsesLost)
        {
            return;
        }
        let machine = addr.split(':').next().unwrap_or_default().to_string();
        self.check_direct_orders(&machine, &body);
        let event = || Event::ToWorker {
            from: node,
            machine: machine.clone(),
            body: body.clone(),
        };
        self.schedule(self.now + MESSAGE_DELAY_MS, event());
        for delay_ms in self.faults.order_copy_delays_ms.clone() {
            self.schedule(self.now + delay_ms, event());
        }
    }

    /// Checks that direct orders start nothing. A late copy of a direct start would be executed after the worker has
    /// forgotten the attempt.
    fn check_direct_orders(&mut self, machine: &str, body: &[u8]) {
        let direct = wire::decode::<DirectOrders>(body);
        for order in direct.into_iter().flat_map(|direct| direct.orders) {
            if let Order::Start { task, attempt } = order {
                let violation = format!("direct_start {task} try {attempt} on {machine}");
                self.violations.push(format!("{violation} at {}", self.now));
            }
        }
    }

    /// Sends orders to a worker's own address, as another program that holds a controller's term could.
    pub fn send_direct_orders(&mut self, machine: &str, orders: &DirectOrders) {
        let body = wire::encode(orders);
        self.check_direct_orders(machine, &body);
        let event = Event::ToWorker {
            from: 0,
            machine: machine.to_string(),
            body,
        };
        self.schedule(self.now + MESSAGE_DELAY_MS, event);
    }

    /// Sends a message of a node to one peer, or to all peers if `to` is `None`.
    fn send_to_peers(&mut self, from: usize, to: Option<&str>, message: &PeerMessage) {
        for peer in 0..self.nodes.len() {
            let is_addressed = to.is_none_or(|label| label == self.settings[peer].label);
            let is_silent = |node: usize| self.isolated_from_peers.contains(&node);
            let is_lost = self.faults.is_frame_lost(from, peer, self.now);
            if peer == from || !is_addressed || is_silent(from) || is_silent(peer) || is_lost {
                continue;
            }
            let input = Input::Peer {
                from: self.settings[from].label.clone(),
                message: message.clone(),
            };
            let late_ms =
                self.random_up_to(self.faults.max_frame_delay_ms.get(&(from, peer)).copied());
            if carries_orders(message) {
                for delay_ms in self.faults.order_copy_delays_ms.clone() {
                    let copy = Event::PeerCopy {
                        node: peer,
                        input: input.clone(),
                    };
                    self.schedule(self.now + delay_ms, copy);
                }
            }
            self.schedule_input(self.now + MESSAGE_DELAY_MS + late_ms, peer, input);
        }
    }

    /// Schedules the reply to a call of a node.
    fn reply(&mut self, at: u64, sender: Sender, result: CallResult) {
        let call = sender.call;
        let event = Event::ToNode {
            node: sender.node,
            process_epoch: sender.process_epoch,
            input: Input::Reply { call, result },
        };
        self.schedule(at, event);
    }

    /// Delivers an event.
    pub(crate) fn deliver(&mut self, event: Event) {
        match event {
            Event::ToNode {
                node,
                process_epoch,
                input,
            } => self.deliver_input(node, process_epoch, input),
            Event::PeerCopy { node, input } => {
                self.delivered_peer_copies += 1;
                let process_epoch = self.nodes[node].process_epoch;
                self.deliver_input(node, process_epoch, input);
            }
            Event::ToState(call) => self.serve_state(call),
            Event::ToCloud {
                sender,
                method,
                path,
                body,
            } => {
                let result = Ok(self.serve_cloud(method, &path, &body));
                self.reply(self.now + MESSAGE_DELAY_MS, sender, result);
            }
            Event::ToWorker {
                from,
                machine,
                body,
            } => self.deliver_orders(from, machine, body),
            Event::ReportResponse {
                machine,
                seq,
                status,
                body,
            } => self.deliver_report_response(machine, seq, status, body),
        }
    }

    /// Passes input to a node if the process that the input is for still runs. Input for a frozen node is delayed until
    /// the node is no longer frozen.
    fn deliver_input(&mut self, node: usize, process_epoch: u64, input: Input) {
        if let Some(until) = self.faults.frozen_until(node, self.now) {
            return self.schedule(
                until,
                Event::ToNode {
                    node,
                    process_epoch,
                    input,
                },
            );
        }
        let now = self.clock();
        let slot = &mut self.nodes[node];
        if slot.process_epoch == process_epoch {
            if let Some(running) = &mut slot.node {
                let turn = (node, TurnKind::of(&input));
                let started = (self.stopwatch)();
                running.handle(now, input);
                record_turn(&mut self.turns, turn, started, self.stopwatch);
            }
        }
        self.send_outputs(node);
    }
}

/// Whether a message between controllers carries a worker's report or the response to it.
fn carries_orders(message: &PeerMessage) -> bool {
    matches!(
        message,
        PeerMessage::Forward { .. } | PeerMessage::Forwarded { .. }
    )
}
