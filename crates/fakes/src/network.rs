//! The network: what nodes send, where it arrives, and what is lost, late or refused on the way.

use super::*;

impl World {
    pub(crate) fn drain(&mut self, i: usize) {
        let life = self.nodes[i].life;
        loop {
            let Some(output) = self.nodes[i].node.as_mut().and_then(Node::next_output) else {
                return;
            };
            let at = self.now + DELAY;
            match output {
                Output::Respond {
                    id,
                    status,
                    retry_after_s,
                    body,
                } => match self.reporters.remove(&id) {
                    Some(_) if self.troubles.is_cut(i, Party::Workers, Cut::Answers) => {}
                    Some((worker, seq)) => {
                        self.push(at, Event::Answer(worker, seq, status, body));
                    }
                    None if self.troubles.is_cut(i, Party::Users, Cut::Answers) => {}
                    None => {
                        // A user that is not told when to come back comes back after a second, flood or not.
                        if matches!(status, 429 | 503) && retry_after_s.is_none() {
                            let breach = format!("no Retry-After with {status} at {}", self.now);
                            self.broken.push(breach);
                        }
                        self.respond(id, status, body);
                    }
                },
                Output::Call {
                    call,
                    target,
                    method,
                    path,
                    body,
                    timeout_ms,
                } => match target {
                    Target::State => {
                        let late = self.draw(self.troubles.slow_to_state.get(&i).copied());
                        let deadline = self.now + timeout_ms;
                        let mut from = Some((i, life, call));
                        if at + late > deadline {
                            from = None;
                            let result = Err(CallError::Unknown);
                            let input = Input::Reply { call, result };
                            self.push(deadline, Event::ToNode(i, life, input));
                        }
                        let call = StateCall {
                            from,
                            method,
                            path,
                            body,
                            deadline,
                        };
                        self.push(at + late, Event::ToState(call));
                    }
                    Target::Cloud => {
                        self.push(at, Event::ToCloud(i, life, call, method, path, body));
                    }
                    Target::Worker(_) if self.troubles.is_cut(i, Party::Workers, Cut::Answers) => {}
                    Target::Worker(addr) => {
                        let name = addr.split(':').next().unwrap_or_default().to_string();
                        self.push(at, Event::ToWorker(i, name, body));
                    }
                },
                Output::Peer { to, message } => {
                    let from = self.settings[i].label.clone();
                    for j in 0..self.nodes.len() {
                        let named = to.as_ref().is_none_or(|l| *l == self.settings[j].label);
                        let cut = |n: usize| self.silent_peers.contains(&n);
                        let lost = self.troubles.loses_frame(i, j, self.now);
                        if j != i && named && !cut(i) && !cut(j) && !lost {
                            let life = self.nodes[j].life;
                            let (from, message) = (from.clone(), message.clone());
                            let input = Input::Peer { from, message };
                            let late = self.draw(self.troubles.slow_frames.get(&(i, j)).copied());
                            self.push(at + late, Event::ToNode(j, life, input));
                        }
                    }
                }
            }
        }
    }

    pub(crate) fn happen(&mut self, event: Event) {
        let back = self.now + DELAY;
        match event {
            Event::ToNode(i, life, input) => {
                if let Some(until) = self.troubles.frozen_until(i, self.now) {
                    return self.push(until, Event::ToNode(i, life, input));
                }
                let now = self.clock();
                let slot = &mut self.nodes[i];
                if slot.life == life {
                    if let Some(node) = &mut slot.node {
                        let turn = (i, TurnAbout::of(&input));
                        let started = (self.stopwatch)();
                        node.handle(now, input);
                        note_turn(&mut self.turns, turn, started, self.stopwatch);
                    }
                }
                self.drain(i);
            }
            Event::ToState(call) => self.serve_state(call),
            Event::ToCloud(i, life, call, method, path, body) => {
                let result = Ok(self.serve_cloud(method, &path, &body));
                let input = Input::Reply { call, result };
                self.push(back, Event::ToNode(i, life, input));
            }
            Event::ToWorker(from, name, body) => self.direct(from, name, body),
            Event::Answer(name, seq, status, body) => match self.held(&name) {
                Some(until) => self.push(until, Event::Answer(name, seq, status, body)),
                None => self.answered(&name, seq, status, &body),
            },
        }
    }

    /// Until when messages to a machine wait, because they are held or because it hangs.
    pub(crate) fn held(&self, name: &str) -> Option<u64> {
        let hung = self.workers.get(name).map(|w| w.hung_until);
        let hung = hung.filter(|until| self.now < *until);
        self.troubles.held_until(name, self.now).max(hung)
    }

    /// The state service gets a request.
    pub(crate) fn serve_state(&mut self, call: StateCall) {
        let txn = call.path == "/multi";
        let Some((i, life, number)) = call.from else {
            // Too late for an answer. An outage only makes it later.
            if self.state_down {
                return self.push(self.now + 1_000, Event::ToState(call));
            }
            if !call.path.starts_with("/changes") {
                let waiter = (usize::MAX, 0);
                self.state
                    .serve(self.now, waiter, call.method, &call.path, &call.body);
            }
            return;
        };
        self.txns += u64::from(txn);
        if txn && changes(&call.body, self.counted_keys) && self.crashes_at_counted_write(i, &call)
        {
            return;
        }
        let lost = txn && self.lose_txns > 0 && self.txns.is_multiple_of(self.lose_txns);
        let mut at = self.now + DELAY;
        let deadline = call.deadline;
        let late = match self.late_txns.get(&i).copied() {
            Some(ms) if txn => Some((ms, at)),
            _ if txn && self.happens(self.troubles.late_txns) => {
                Some((self.rng.u64(LATE_TXN_MS), deadline))
            }
            _ => None,
        };
        let is_cut = |cut| self.troubles.is_cut(i, Party::State, cut);
        let (refuses, answers_lost) = (is_cut(Cut::Refused), is_cut(Cut::Answers));
        let result = if self.troubles.cut_from_state.contains(&i) || is_cut(Cut::Requests) {
            at = deadline;
            Some(Err(CallError::Unknown))
        } else if self.state_down || self.refused.contains(&i) || refuses {
            Some(Ok((503, vec![])))
        } else if answers_lost {
            at = deadline;
            let call = StateCall { from: None, ..call };
            self.serve_state(call);
            Some(Err(CallError::Unknown))
        } else if let Some((ms, told_at)) = late {
            // Executed later, long after the sender has given up.
            let call = StateCall { from: None, ..call };
            self.push(self.now + ms, Event::ToState(call));
            at = told_at;
            Some(Err(CallError::Unknown))
        } else if (self.break_watches && call.path.starts_with("/changes"))
            || (self.break_lists && call.path.starts_with("/kv?"))
            || (lost && !self.txns.is_multiple_of(2 * self.lose_txns))
        {
            Some(Err(CallError::Unknown))
        } else {
            let waiter = (i, number);
            let served = self
                .state
                .serve(self.now, waiter, call.method, &call.path, &call.body);
            if lost {
                Some(Err(CallError::Unknown))
            } else if txn && self.happens(self.troubles.lost_answers) {
                at = deadline;
                Some(Err(CallError::Unknown))
            } else {
                at += self.draw(self.troubles.slow_state.get(&i).copied());
                let in_time = |answer| {
                    if at > deadline {
                        Err(CallError::Unknown)
                    } else {
                        Ok(answer)
                    }
                };
                served.map(in_time)
            }
        };
        if let Some(result) = result {
            let call = number;
            let input = Input::Reply { call, result };
            self.push(at.min(deadline), Event::ToNode(i, life, input));
        }
    }

    /// Ends the process that sends a change of the counted keys, if it is the one chosen for that.
    pub(crate) fn crashes_at_counted_write(&mut self, node: usize, call: &StateCall) -> bool {
        self.counted_writes += 1;
        let Some((_, executed)) = self
            .crash_at_counted_write
            .take_if(|(number, _)| *number == self.counted_writes)
        else {
            return false;
        };
        if executed {
            let waiter = (usize::MAX, 0);
            self.state
                .serve(self.now, waiter, call.method, &call.path, &call.body);
        }
        self.crash(node);
        true
    }

    /// A worker's own address gets commands.
    pub(crate) fn direct(&mut self, from: usize, name: String, body: Vec<u8>) {
        if let Some(until) = self.held(&name) {
            return self.push(until, Event::ToWorker(from, name, body));
        }
        let Ok(direct) = wire::decode::<DirectOrders>(&body) else {
            return;
        };
        let (jobs, now, rules) = (&self.behaviour, self.now, &mut self.rules);
        let Some(w) = self.workers.get_mut(&name) else {
            return;
        };
        let reached = self.stuck_workers.is_none() && w.only.is_none_or(|n| n == from);
        let heard = reached && now >= w.cut_until && !w.one_way;
        if heard && direct.term >= w.term && direct.incarnation == w.incarnation {
            w.term = direct.term;
            let fresh = w.execute(&direct.orders, |t| behave(jobs, t), now);
            for (task, attempt) in fresh {
                rules.started(&task, attempt, &name, now);
            }
        }
    }

    pub(crate) fn answered(&mut self, name: &str, seq: u64, status: u16, body: &[u8]) {
        let (jobs, now, nodes) = (&self.behaviour, self.now, self.nodes.len());
        let Some(w) = self.workers.get_mut(name) else {
            return;
        };
        let Some((sent, _)) = w.in_flight.filter(|f| f.1 == seq) else {
            return;
        };
        if now < w.cut_until || w.one_way || now > sent + REPORT_DROP_MS {
            return;
        }
        if w.lose_answers > 0 {
            w.lose_answers -= 1;
            return;
        }
        w.in_flight = None;
        if status == 200 {
            if let Ok(answer) = wire::decode::<HeartbeatResponse>(body) {
                if answer.term >= w.term {
                    if answer.term > w.term {
                        w.report_at = w.report_at.min(now + 500);
                    }
                    w.term = answer.term;
                    if let Some(delays) = &mut self.answer_delays_ms {
                        delays.push(now - sent);
                    }
                    w.lease_from = sent;
                    w.redirects = 0;
                    let fresh = w.execute(&answer.orders, |t| behave(jobs, t), now);
                    for (task, attempt) in fresh {
                        self.rules.started(&task, attempt, name, now);
                    }
                }
            }
            return;
        }
        let named = wire::decode::<Elsewhere>(body).ok().and_then(|e| e.leader);
        let leader = named.and_then(|n| self.settings.iter().position(|s| s.label == n));
        match leader.filter(|l| *l != w.node) {
            Some(l) => {
                w.node = l;
                w.report_at = now;
                w.redirects += 1;
                w.most_redirects = w.most_redirects.max(w.redirects);
            }
            None => {
                w.node = (w.node + 1) % nodes;
                w.report_at = now + 1000;
            }
        }
    }
}
