//! One controller: routes what comes in to its actors, and what they say to each other.

mod partition_view;
mod planned_stop;
mod stall;
mod worker_heartbeats;

use crate::cloud::CloudClient;
use crate::effects::*;
use crate::election::{Election, ElectionRules};
use crate::forwarding::{ForwardedRequests, HttpRequest, REPORT_PATH};
use crate::gateway::Gateway;
use crate::leader::{direct_call, Leader};
use crate::leadership_watch::{LeaderProbe, LeadershipWatch};
use crate::machine_types::MachineTypesReader;
use crate::partitions::Partitions;
use crate::peer_heartbeats::{process_base, PeerHeartbeats};
use crate::peers::{PeerState, Peers};
use crate::pending_heartbeats::{DeferredAnswers, PendingHeartbeats};
use crate::requests::{CloudTag, StateReply, StateTag};
use crate::rollout::Rollout;
use crate::settings::{Operator, Settings};
use crate::state::StateClient;
use ::rollout::RolloutStatus;
use constants::*;
use std::collections::VecDeque;
use wire::peers::PeerMessage;
use wire::records::Final;

/// One controller.
pub struct Node {
    settings: Settings,
    operator: Operator,
    stopwatch: crate::Stopwatch,
    state: StateClient,
    cloud: CloudClient,
    election: Election,
    gateway: Gateway,
    rollout: Rollout,
    /// Nothing where partitions are not switched on.
    partitions: Option<Partitions>,
    planned_stop: Option<planned_stop::PlannedStop>,
    leader: Option<Leader>,
    pending_heartbeats: PendingHeartbeats,
    deferred_answers: DeferredAnswers,
    leadership_watch: LeadershipWatch,
    leader_probe: LeaderProbe,
    peers: Peers,
    heartbeat: PeerHeartbeats,
    next_call: CallId,
    out: VecDeque<Output>,
    machine_types: MachineTypesReader,
    forwarded: ForwardedRequests,
    /// Sockets are short: answers are not held for work that may never come.
    is_crowded: bool,
    last_now: Now,
    last_tick: u64,
}

impl Node {
    /// A node that has just started. `boot` is drawn at random for each start; `stopwatch` measures rounds.
    pub fn new(
        settings: Settings,
        operator: Operator,
        now: Now,
        boot: u64,
        stopwatch: crate::Stopwatch,
    ) -> Self {
        let d = &settings.deployment;
        Node {
            state: StateClient::new(d.state.rps, d.state.write_rps, settings.siblings.len() + 1),
            cloud: CloudClient::new(d.cloud.rps),
            election: Election::new(&settings.label, boot),
            gateway: Gateway::new(d.teams.clone(), &d.state),
            rollout: Rollout::new(&settings, operator.rollout.as_ref(), boot, now.mono),
            partitions: partition_view::partitions(&settings, &operator, boot, now.mono),
            planned_stop: None,
            leader: None,
            pending_heartbeats: PendingHeartbeats::new(d.quota.max_connections),
            deferred_answers: DeferredAnswers::default(),
            leadership_watch: LeadershipWatch::default(),
            leader_probe: LeaderProbe::new(now.mono),
            peers: Peers::new(
                settings.siblings.iter().map(|s| s.label.clone()),
                process_base(boot),
            ),
            heartbeat: PeerHeartbeats::new(boot, now.mono),
            next_call: 0,
            out: VecDeque::new(),
            machine_types: MachineTypesReader::new(now.mono),
            forwarded: ForwardedRequests::new(process_base(boot)),
            is_crowded: false,
            last_now: now,
            last_tick: 0,
            operator,
            stopwatch,
            settings,
        }
    }

    /// The next thing to do, if any.
    pub fn next_output(&mut self) -> Option<Output> {
        self.out.pop_front()
    }

    /// Tells whether callers' sockets are short. An answer that is held keeps its worker's socket from another worker.
    pub fn set_crowded(&mut self, is_crowded: bool) {
        self.is_crowded = is_crowded;
        if let Some(partitions) = &mut self.partitions {
            partitions.load().set_crowded(is_crowded);
        }
    }

    /// Term, if this node leads.
    pub fn leads(&self) -> Option<u64> {
        self.election.leads()
    }

    /// When [`Node::tick`] wants to be called, on the steady clock.
    pub fn next_wake(&self) -> u64 {
        let now = self.last_now.mono;
        let leader_is_ready = self.leader.as_ref().is_some_and(Leader::is_ready);
        let wakes = [
            Some(self.election.next_wake()),
            Some(self.heartbeat.next_wake()),
            self.leader.as_ref().map(|l| l.next_wake(self.active(now))),
            self.state.next_wake(),
            self.cloud.next_wake(),
            (!self.gateway.is_idle()).then_some(now + GATEWAY_WAKE_MS),
            Some(self.gateway.next_wake()),
            Some(self.rollout.next_wake()),
            self.partitions.as_ref().map(Partitions::next_wake),
            self.stop_wake(),
            self.forwarded.next_wake(now),
            self.pending_heartbeats.next_wake(leader_is_ready, now),
            self.deferred_answers.next_wake(),
        ];
        let earliest = wakes.into_iter().flatten().min();
        // Bounded by the last tick, not the last input: under a flood there is an input at every moment, and renewals,
        // rounds and deadlines would never come.
        let soonest = self.last_tick + 1;
        earliest.map_or(soonest, |at| at.max(soonest))
    }

    /// Something happened.
    pub fn handle(&mut self, now: Now, input: Input) {
        let started = self.turn_begins();
        self.on_input(now, input);
        self.turn_ends(started);
    }

    /// Time passed.
    pub fn tick(&mut self, now: Now) {
        let started = self.turn_begins();
        self.on_tick(now);
        self.turn_ends(started);
    }

    /// Begins to measure a turn, where that is of use.
    fn turn_begins(&self) -> Option<u64> {
        self.partitions.as_ref().map(|_| (self.stopwatch)())
    }

    fn turn_ends(&mut self, started: Option<u64>) {
        if let (Some(partitions), Some(started)) = (&mut self.partitions, started) {
            let took_us = (self.stopwatch)().saturating_sub(started);
            partitions.load().add_turn(took_us);
        }
    }

    fn on_input(&mut self, now: Now, input: Input) {
        let mut effects = Effects::new(now);
        self.note_time(now, &mut effects);
        match input {
            Input::Request {
                id,
                method,
                target,
                body,
            } => {
                let request = HttpRequest {
                    id,
                    method: &method,
                    target: &target,
                    body: &body,
                };
                self.on_request(request, &mut effects);
            }
            Input::Reply { call, result } => self.on_reply(call, &result, &mut effects),
            Input::Peer { from, message } => self.on_peer(&from, message, &mut effects),
            Input::PeerRefuses { from } => self.election.peer_refuses(&from, &mut effects),
            Input::Stop => self.begin_stop(now),
        }
        self.deliver(effects);
    }

    fn on_tick(&mut self, now: Now) {
        self.last_tick = now.mono;
        let mut effects = Effects::new(now);
        self.note_time(now, &mut effects);
        let leader = self.election.leader_label(now.mono).map(str::to_string);
        self.rollout.tick(leader.as_deref(), &mut effects);
        self.election.follow(self.election_rules(now.mono));
        self.election.tick(&mut effects);
        self.gateway.tick(&mut effects);
        self.go_on_stopping(&mut effects);
        if !self.rollout.is_admitted() {
            self.election
                .resign("this build may not take part", &mut effects);
        }
        let active = self.active(now.mono);
        if let Some(leader) = &mut self.leader {
            leader.tick(active, &mut effects);
        }
        self.tick_partitions(&mut effects);
        self.watch_leadership(&mut effects);
        let types_known = self.gateway.knows_types();
        self.machine_types.tick(types_known, &mut effects);
        self.heartbeat.tick(
            &self.election,
            &self.state,
            &self.peers,
            self.leader.as_mut(),
            &mut self.gateway,
            &mut effects,
        );
        self.forwarded.tick(&mut effects);
        self.deliver(effects);
    }

    /// Whether neither the state service nor a peer, through which users could be served, has been reached for a while.
    ///
    /// Such a node refuses every request, and was offered to users all the same: a third of them were refused until the
    /// cut was over. In an outage of the state service peers are heard, and nobody is taken away.
    fn is_cut_off(&self, now: u64) -> bool {
        let Some(peer_heard) = self.peers.last_heard() else {
            return false;
        };
        let last_contact = self
            .heartbeat
            .started_at()
            .max(peer_heard)
            .max(self.state.last_good());
        !self.state.is_up(now) && now > last_contact + CUT_OFF_MS
    }

    /// Moment up to which every cancellation that was confirmed to a user is known to the leader: by its own reading of
    /// the records, and beyond it as long as all peers tell of the cancellations that they confirm. A good answer of the
    /// state service to anything else proves nothing.
    fn informed_until(&self) -> Option<u64> {
        let read = self.leader.as_ref()?.informed_until()?;
        Some(self.peers.aborts_known_until(read))
    }

    /// What holds for this process in elections.
    fn election_rules(&self, now: u64) -> ElectionRules {
        ElectionRules {
            may_stand: self.rollout.may_stand() && self.planned_stop.is_none(),
            level: self.rollout.leader_level(),
            conditions: self.rollout.election_conditions(),
            defer_ms: self.rollout.defers_election_ms(now),
        }
    }

    /// The state of a staged upgrade, if those are switched on and it has been read.
    pub fn rollout_status(&self) -> Option<RolloutStatus> {
        self.rollout.status(self.last_now.mono)
    }

    /// Whether the leader may decide and start things: its lease holds, and it can't have missed a cancellation long ago.
    fn active(&self, now: u64) -> bool {
        if self.planned_stop.is_some() {
            return false;
        }
        let informed = |until: u64| now < until + INFORMED_MS;
        self.election.lease_holds(now) && self.informed_until().is_some_and(informed)
    }

    /// Whether the leader may answer workers, that is keep their leases alive.
    ///
    /// Jobs may have been cancelled that it does not know of, in particular without the state service: their tasks must
    /// not be kept alive beyond `cancel_s`. A leader that has not read its records knows of none at all.
    fn may_answer(&self, now: u64) -> bool {
        let keepalive_ms = self.settings.keepalive_ms();
        let informed = |until: u64| now < until + keepalive_ms;
        self.active(now) || self.informed_until().is_some_and(informed)
    }

    fn watch_leadership(&mut self, effects: &mut Effects) {
        let reason = self.leadership_watch.reason_to_resign(
            self.leader.as_ref(),
            &self.election,
            &self.state,
            &self.peers,
            effects.now.mono,
        );
        if let Some(reason) = reason {
            self.election.resign(reason.as_str(), effects);
        }
    }

    fn on_request(&mut self, request: HttpRequest, effects: &mut Effects) {
        let HttpRequest {
            id, method, body, ..
        } = request;
        let path = request.target.split('?').next().unwrap_or_default();
        match (method, path) {
            ("GET", "/ready") if self.is_cut_off(effects.now.mono) => {
                effects.refuse(id, 503, "neither the state service nor a peer is reached");
            }
            ("GET", "/ready") if !self.takes_requests() => {
                effects.refuse(id, 503, "this process stops, or may not take part");
            }
            ("GET", "/ready") => effects.respond(id, 200, Vec::new()),
            ("POST", REPORT_PATH) => self.on_worker_heartbeat(id, body, effects),
            (_, "/ready" | REPORT_PATH) => effects.refuse(id, 405, "method not allowed"),
            _ if !self.takes_requests() => {
                effects.refuse(id, 503, "this process stops, or may not take part");
            }
            _ if path == "/submissions" || path.starts_with("/submissions/") => {
                let now = effects.now.mono;
                let up = self.state.is_up(now);
                if !up && !ForwardedRequests::is_from_peer(id) {
                    if let Some(peer) = self.peers.with_state(now) {
                        let peer = peer.to_string();
                        return self.forwarded.forward(request, peer, effects);
                    }
                }
                self.gateway.on_request(id, method, path, body, up, effects);
            }
            _ => effects.refuse(id, 404, "no such path"),
        }
    }

    /// Whether users are served here.
    fn takes_requests(&self) -> bool {
        self.rollout.is_admitted() && self.planned_stop.is_none()
    }

    fn on_reply(
        &mut self,
        call: CallId,
        result: &Result<(u16, Vec<u8>), CallError>,
        effects: &mut Effects,
    ) {
        if let Some((tag, reply)) = self.state.on_reply(effects.now, call, result) {
            return self.state_replied(tag, reply, effects);
        }
        if let Some((tag, op, reply)) = self.cloud.on_reply(effects.now.mono, call, result) {
            let CloudTag::Leader(term, ask) = tag;
            if let Some(leader) = self.leader.as_mut().filter(|l| l.term == term) {
                leader.on_cloud(ask, op, reply, effects);
            }
        }
    }

    fn state_replied(&mut self, tag: StateTag, reply: StateReply, effects: &mut Effects) {
        match tag {
            StateTag::Election(step) => self.election.on_reply(step, reply, effects),
            StateTag::User(number) => self.gateway.on_reply(number, reply, effects),
            StateTag::Proof(number) => self.gateway.on_proof(number, reply, effects),
            StateTag::UnknownIds(number) => self.gateway.on_unknown_ids(number, reply, effects),
            StateTag::Rollout(request) => self.rollout.on_reply(request, reply, effects),
            StateTag::Partitions(term, number) => {
                if let Some(partitions) = &mut self.partitions {
                    partitions.on_state_reply(term, number, reply, effects.now.mono);
                }
            }
            StateTag::Types => self.machine_types.on_reply(reply, effects),
            StateTag::Leader(term, ask) => {
                if let Some(leader) = self.leader.as_mut().filter(|l| l.term == term) {
                    leader.on_state(ask, reply, effects);
                }
            }
        }
    }

    fn on_peer(&mut self, from: &str, message: PeerMessage, effects: &mut Effects) {
        let now = effects.now.mono;
        match message {
            PeerMessage::Hello { .. } => {}
            PeerMessage::Heartbeat {
                term,
                state_ago_ms,
                worker_ago_ms,
                sent,
                echo,
                boot,
                aborts,
                ..
            } => {
                let beat = PeerState {
                    at: now,
                    state_ago_ms,
                    worker_ago_ms,
                    sent,
                    echo,
                    boot,
                    aborts,
                };
                self.peers.on_heartbeat(from, beat);
                self.rollout.on_heartbeat(from, boot, now);
                self.election.heard_term(term, effects);
            }
            PeerMessage::Aborted { number, job } => {
                self.peers.on_abort(from, number);
                self.gateway.remember_cancelled(&job);
                if let Some(leader) = &mut self.leader {
                    leader.on_cancellation_notice(&job, effects.now);
                }
            }
            PeerMessage::Counts { term, jobs } => {
                if term >= self.election.highest_term() && self.leader.is_none() {
                    self.gateway.hear(&jobs);
                }
            }
            PeerMessage::Over { jobs } => {
                for (id, done) in jobs {
                    let end = if done { Final::Done } else { Final::Aborted };
                    self.gateway.remember_final(id, end);
                }
            }
            PeerMessage::Forward {
                call,
                method,
                target,
                body,
            } => {
                let request = HttpRequest {
                    id: self.forwarded.accept(from, call),
                    method: &method,
                    target: &target,
                    body: &body,
                };
                self.on_request(request, effects);
            }
            PeerMessage::Forwarded { call, status, body } => {
                self.forwarded.on_answer(from, call, status, body, effects);
            }
            PeerMessage::Handover { term } => self.election.on_handover(from, term, effects),
            PeerMessage::Partitions(message) => self.on_partition_message(from, message, effects),
        }
    }

    /// Answers held reports for which there is nothing left to wait for.
    fn release_deferred_answers(&mut self, effects: &mut Effects) {
        let now = effects.now.mono;
        if !self.deferred_answers.is_due(self.leader.as_mut(), now) {
            return;
        }
        let active = self.active(now);
        let may_answer = self.may_answer(now);
        let leader = self.leader.as_mut().filter(|_| may_answer);
        self.deferred_answers.release(leader, active, effects);
    }

    /// Passes on what actors said until nobody has anything left to say.
    fn deliver(&mut self, mut effects: Effects) {
        let now = effects.now;
        let mut expired = Vec::new();
        let mut pending_due = true;
        loop {
            for (priority, op, tag) in std::mem::take(&mut effects.state) {
                self.state.push(now, priority, op, tag);
            }
            for (op, tag) in std::mem::take(&mut effects.cloud) {
                self.cloud.push(op, tag);
            }
            for (addr, body) in std::mem::take(&mut effects.direct) {
                self.next_call += 1;
                effects.out.push(direct_call(self.next_call, addr, body));
            }
            for event in std::mem::take(&mut effects.events) {
                self.on_event(event, &mut effects);
            }
            self.state
                .pump(&mut self.next_call, &mut effects, &mut expired);
            self.cloud.pump(&mut self.next_call, &mut effects);
            for (tag, reply) in expired.drain(..) {
                self.state_replied(tag, reply, &mut effects);
            }
            for output in std::mem::take(&mut effects.out) {
                self.out.extend(self.forwarded.route(output));
            }
            let quiet = effects.state.is_empty()
                && effects.cloud.is_empty()
                && effects.direct.is_empty()
                && effects.events.is_empty()
                && effects.out.is_empty();
            if quiet {
                if std::mem::take(&mut pending_due) {
                    self.handle_pending_reports(&mut effects);
                }
                self.release_deferred_answers(&mut effects);
                if effects.out.is_empty() {
                    return;
                }
            }
        }
    }

    fn on_event(&mut self, event: NodeEvent, effects: &mut Effects) {
        self.gateway.on_event(&event);
        match event {
            NodeEvent::Elected { term, version } => {
                log::info!("event=elected term={term}");
                self.cloud.clear();
                self.state.drop_leader_requests();
                let mut leader = Leader::new(
                    &self.settings,
                    &self.operator,
                    self.stopwatch,
                    term,
                    version,
                    self.rollout.has_small_values(),
                    effects.now,
                );
                for job in self.gateway.known_cancelled() {
                    leader.on_cancellation_notice(job, effects.now);
                }
                leader.tick(false, effects);
                self.leader = Some(leader);
                if let Some(partitions) = &mut self.partitions {
                    partitions.on_elected(term, version, effects.now);
                }
            }
            NodeEvent::SteppedDown(why) => {
                log::info!("event=stepped_down why={why:?}");
                self.leader = None;
                if let Some(partitions) = &mut self.partitions {
                    partitions.on_stepped_down();
                }
                self.cloud.clear();
                self.state.drop_leader_requests();
                self.election.fenced(effects);
            }
            NodeEvent::Aborted(job) => {
                if let Some(leader) = &mut self.leader {
                    leader.on_cancellation_notice(&job, effects.now);
                }
                // Ahead of all that is still to be sent, the user's answer included.
                self.out.push_back(self.heartbeat.on_cancellation(job));
            }
            NodeEvent::JobOver(job, end) => self.heartbeat.on_job_ended(job, end),
            NodeEvent::Proven(why) => self.rollout.proven(why, effects),
            NodeEvent::LevelChanged => self.rollout.read_anew(effects.now.mono),
            NodeEvent::Upgraded => {
                let least = self.settings.deployment.state.least();
                self.state.hold_to(least.rps, least.write_rps);
                if let Some(leader) = self.leader.as_mut() {
                    leader.upgraded(effects);
                }
            }
            NodeEvent::Types(_) => {}
        }
    }
}
