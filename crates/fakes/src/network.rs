//! The network: what nodes send, where it arrives, and what is lost, late or refused on the way.

mod state_service;
mod workers;

use crate::events::{Call, CallResult, Event, Sender};
use crate::turns::{note_turn, TurnAbout};
use crate::{Cut, Party, World, DELAY_MS};
use control::{CallError, CallTarget, Input, Node, Output};
use wire::peers::PeerMessage;

impl World {
    /// Sends everything that a node has to send.
    pub(crate) fn drain(&mut self, node: usize) {
        let start = self.nodes[node].start;
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
                    let sender = Sender { node, start, call };
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

    /// A node calls the state service, the cloud or a worker.
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
                self.push(self.now + DELAY_MS, event);
            }
            CallTarget::Worker(addr) => self.send_to_worker(sender.node, &addr, call.body),
        }
    }

    /// A node answers a worker or a user.
    fn send_response(
        &mut self,
        node: usize,
        id: u64,
        status: u16,
        retry_after_s: Option<u32>,
        body: Vec<u8>,
    ) {
        let reporter = self.reporters.remove(&id);
        let party = match reporter {
            Some(_) => Party::Workers,
            None => Party::Users,
        };
        if self.troubles.is_cut(node, party, Cut::Answers) {
            return;
        }
        if let Some((machine, seq)) = reporter {
            let event = Event::Answer {
                machine,
                seq,
                status,
                body,
            };
            self.push(self.now + DELAY_MS, event);
            return;
        }
        // Without a given delay a refused user retries after a second, however many users there are.
        if matches!(status, 429 | 503) && retry_after_s.is_none() {
            let breach = format!("no Retry-After with {status} at {}", self.now);
            self.broken.push(breach);
        }
        self.respond(id, status, body);
    }

    /// A node calls the state service. A call that arrives after its deadline is executed without an answer.
    fn send_to_state(&mut self, sender: Sender, call: Call) {
        let slow_ms = self.troubles.slow_to_state.get(&sender.node).copied();
        let late_ms = self.draw(slow_ms);
        let arrives_at = self.now + DELAY_MS + late_ms;
        let mut from = Some(sender);
        if arrives_at > call.deadline {
            from = None;
            self.reply(call.deadline, sender, Err(CallError::Unknown));
        }
        self.push(arrives_at, Event::ToState(Call { from, ..call }));
    }

    /// A node sends orders to a worker's own address.
    fn send_to_worker(&mut self, node: usize, addr: &str, body: Vec<u8>) {
        if self.troubles.is_cut(node, Party::Workers, Cut::Answers) {
            return;
        }
        let machine = addr.split(':').next().unwrap_or_default().to_string();
        let event = Event::ToWorker {
            from: node,
            machine,
            body,
        };
        self.push(self.now + DELAY_MS, event);
    }

    /// A node sends a message to one peer, or to all.
    fn send_to_peers(&mut self, from: usize, to: Option<&str>, message: &PeerMessage) {
        for peer in 0..self.nodes.len() {
            let is_addressed = to.is_none_or(|label| label == self.settings[peer].label);
            let is_silent = |node: usize| self.silent_peers.contains(&node);
            let is_lost = self.troubles.loses_frame(from, peer, self.now);
            if peer == from || !is_addressed || is_silent(from) || is_silent(peer) || is_lost {
                continue;
            }
            let input = Input::Peer {
                from: self.settings[from].label.clone(),
                message: message.clone(),
            };
            let late_ms = self.draw(self.troubles.slow_frames.get(&(from, peer)).copied());
            self.push_input(self.now + DELAY_MS + late_ms, peer, input);
        }
    }

    /// Schedules the reply to a call.
    fn reply(&mut self, at: u64, sender: Sender, result: CallResult) {
        let call = sender.call;
        let event = Event::ToNode {
            node: sender.node,
            start: sender.start,
            input: Input::Reply { call, result },
        };
        self.push(at, event);
    }

    /// A message arrives.
    pub(crate) fn deliver(&mut self, event: Event) {
        match event {
            Event::ToNode { node, start, input } => self.deliver_input(node, start, input),
            Event::ToState(call) => self.serve_state(call),
            Event::ToCloud {
                sender,
                method,
                path,
                body,
            } => {
                let result = Ok(self.serve_cloud(method, &path, &body));
                self.reply(self.now + DELAY_MS, sender, result);
            }
            Event::ToWorker {
                from,
                machine,
                body,
            } => self.deliver_orders(from, machine, body),
            Event::Answer {
                machine,
                seq,
                status,
                body,
            } => self.deliver_answer(machine, seq, status, body),
        }
    }

    /// Hands input to a node, once it is not frozen, if the process that it is for still runs.
    fn deliver_input(&mut self, node: usize, start: u64, input: Input) {
        if let Some(until) = self.troubles.frozen_until(node, self.now) {
            return self.push(until, Event::ToNode { node, start, input });
        }
        let now = self.clock();
        let slot = &mut self.nodes[node];
        if slot.start == start {
            if let Some(running) = &mut slot.node {
                let turn = (node, TurnAbout::of(&input));
                let started = (self.stopwatch)();
                running.handle(now, input);
                note_turn(&mut self.turns, turn, started, self.stopwatch);
            }
        }
        self.drain(node);
    }
}
