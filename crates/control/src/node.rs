//! One controller: routes what comes in to its actors, and what they say to each other.

mod standstill;

use crate::cloud::CloudClient;
use crate::election::Election;
use crate::gateway::Gateway;
use crate::leader::{direct_call, Heard, Held, Leader};
use crate::mail::*;
use crate::peers::{PeerState, Peers};
use crate::settings::{Operator, Settings};
use crate::state::{Priority, StateClient, StateOp, StateReply};
use crate::upgrade::Upgrade;
use constants::*;
use std::collections::{HashMap, VecDeque};
use wire::peers::{JobNews, PeerMessage};
use wire::records::{Final, TYPES};
use wire::workers::{Elsewhere, Report};

/// A request that a peer is handling for us.
struct Forwarded {
    request: RequestId,
    /// The peer that is to answer.
    by: String,
    until: u64,
}

/// One controller.
pub struct Node {
    settings: Settings,
    operator: Operator,
    stopwatch: crate::Stopwatch,
    state: StateClient,
    cloud: CloudClient,
    election: Election,
    gateway: Gateway,
    upgrade: Upgrade,
    leader: Option<Leader>,
    /// Reports whose answers wait.
    held: Vec<(RequestId, Held)>,
    /// Reports that came while no leader was known.
    limbo: Vec<(RequestId, Vec<u8>, u64)>,
    /// How many of them at a time: as many as workers may be connected.
    limbo_most: usize,
    next_limbo: u64,
    peers: Peers,
    /// Number of this process, and cancellations it has confirmed.
    boot: u64,
    /// Added to the clock in beats, and to the numbers of forwarded requests, so that what a peer echoes or answers of
    /// an earlier process of ours is told apart.
    process_base: u64,
    aborts: u64,
    next_call: CallId,
    out: VecDeque<Output>,
    started: u64,
    next_beat: u64,
    next_types: u64,
    types_busy: bool,
    last_worker: Option<u64>,
    silent_since: Option<u64>,
    /// Since when this leader hears no worker, or none hears it.
    cut_off_since: Option<u64>,
    /// When leadership may next be given up without knowing that workers reach a peer and hear it.
    next_unsure: u64,
    /// When a worker is next sent to a leader that workers do not reach.
    next_probe: u64,
    /// Since when peers reach the state service and this leader does not.
    alone_since: Option<u64>,
    /// Jobs filed away since the last beat, to be told to peers.
    over: Vec<(String, bool)>,
    next_counts: u64,
    /// When held answers are looked at again even though nothing was decided.
    next_release: u64,
    forwards: HashMap<u64, Forwarded>,
    /// Requests that we handle for peers: (peer, its number) by our number.
    serving: HashMap<RequestId, (String, u64)>,
    next_forward: u64,
    next_serving: RequestId,
    last_now: Now,
}

/// Numbers of requests forwarded by peers, apart from those of our own sockets.
const PEER_REQUESTS: u64 = 1 << 62;
const REPORT: &str = "/v1/report";

/// Where the numbers of a process begin that its peers give back to it.
fn process_base(boot: u64) -> u64 {
    (boot << 32) >> 1
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
            state: StateClient::new(d.state.rps, d.state.write_rps),
            cloud: CloudClient::new(d.cloud.rps),
            election: Election::new(&settings.label, boot),
            gateway: Gateway::new(d.teams.clone(), &d.state),
            upgrade: Upgrade::new(
                &settings.label,
                settings.siblings.iter().map(|s| s.label.clone()),
            ),
            leader: None,
            held: Vec::new(),
            limbo: Vec::new(),
            limbo_most: d.quota.max_connections,
            next_limbo: 0,
            peers: Peers::new(
                settings.siblings.iter().map(|s| s.label.clone()),
                process_base(boot),
            ),
            boot,
            // 31 bits stay free, of milliseconds three weeks.
            process_base: process_base(boot),
            aborts: 0,
            next_call: 0,
            out: VecDeque::new(),
            started: now.mono,
            next_beat: now.mono,
            next_types: now.mono,
            types_busy: false,
            last_worker: None,
            silent_since: None,
            cut_off_since: None,
            next_unsure: 0,
            next_probe: now.mono + PROBE_MS,
            alone_since: None,
            over: Vec::new(),
            next_counts: 0,
            next_release: 0,
            forwards: HashMap::new(),
            serving: HashMap::new(),
            next_forward: process_base(boot),
            next_serving: PEER_REQUESTS,
            last_now: now,
            operator,
            stopwatch,
            settings,
        }
    }

    /// The next thing to do, if any.
    pub fn next_output(&mut self) -> Option<Output> {
        self.out.pop_front()
    }

    /// Term, if this node leads.
    pub fn leads(&self) -> Option<u64> {
        self.election.leads()
    }

    /// When [`Node::tick`] wants to be called, on the steady clock.
    pub fn next_wake(&self) -> u64 {
        let mut at = self.election.next_wake().min(self.next_beat);
        if let Some(leader) = &self.leader {
            at = at.min(leader.next_wake(self.active(self.last_now.mono)));
        }
        for wake in [self.state.next_wake(), self.cloud.next_wake()] {
            at = at.min(wake.unwrap_or(u64::MAX));
        }
        if !self.gateway.is_idle() || !self.forwards.is_empty() || !self.limbo.is_empty() {
            at = at.min(self.last_now.mono + 200);
        }
        let ready = self.leader.as_ref().is_some_and(Leader::is_ready);
        if ready && !self.limbo.is_empty() {
            at = self.last_now.mono;
        }
        if !self.held.is_empty() {
            at = at.min(self.next_release);
        }
        at = at.min(self.gateway.next_wake());
        at = at.min(self.upgrade.next_wake());
        at.max(self.last_now.mono + 1)
    }

    /// Something happened.
    pub fn handle(&mut self, now: Now, input: Input) {
        let mut mail = Mail::new(now);
        self.note_time(now, &mut mail);
        match input {
            Input::Request {
                id,
                method,
                target,
                body,
            } => self.on_request(id, &method, &target, &body, &mut mail),
            Input::Reply { call, result } => self.on_reply(call, &result, &mut mail),
            Input::Peer { from, message } => self.on_peer(&from, message, &mut mail),
            Input::PeerRefuses { from } => self.election.peer_refuses(&from, &mut mail),
        }
        self.deliver(mail);
    }

    /// Time passed.
    pub fn tick(&mut self, now: Now) {
        let mut mail = Mail::new(now);
        self.note_time(now, &mut mail);
        self.election.tick(&mut mail);
        self.gateway.tick(&mut mail);
        self.upgrade.tick(&mut mail);
        let active = self.active(now.mono);
        if let Some(leader) = &mut self.leader {
            leader.tick(active, &mut mail);
        }
        self.mind_leadership(&mut mail);
        if !self.gateway.knows_types() && !self.types_busy && now.mono >= self.next_types {
            self.types_busy = true;
            mail.state
                .push((Priority::User, StateOp::Get(TYPES.into()), StateTag::Types));
        }
        if now.mono >= self.next_beat {
            self.next_beat = now.mono + PEER_BEAT_MS;
            self.beat(&mut mail);
        }
        let late: Vec<u64> = self
            .forwards
            .iter()
            .filter(|(_, f)| now.mono > f.until)
            .map(|(n, _)| *n)
            .collect();
        for number in late {
            if let Some(f) = self.forwards.remove(&number) {
                mail.refuse(f.request, 503, "no answer from the peer");
            }
        }
        self.deliver(mail);
    }

    /// Moment up to which every cancellation that was confirmed to a user is known to the leader: by its own reading of
    /// the records, and beyond it as long as all peers tell of the cancellations that they confirm. A good answer of the
    /// state service to anything else proves nothing.
    fn informed_until(&self) -> Option<u64> {
        let read = self.leader.as_ref()?.informed_until()?;
        Some(self.peers.aborts_known_until(read))
    }

    /// Whether the leader may decide and start things: its lease holds, and it can't have missed a cancellation long ago.
    fn active(&self, now: u64) -> bool {
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

    /// A leader whom the state service refuses alone, or whom no worker reaches, makes room for a peer.
    fn mind_leadership(&mut self, mail: &mut Mail) {
        let now = mail.now.mono;
        let Some(leader) = &self.leader else {
            self.silent_since = None;
            self.cut_off_since = None;
            return;
        };
        let out_of_state = !self.election.lease_holds(now)
            && now > self.state.last_good() + LEADER_LEASE_MS
            && self.peers.with_state(now).is_some();
        let holds = self.election.lease_holds(now);
        let silent = holds && leader.hears_nobody(now);
        let unheard = holds && leader.is_heard_by_nobody(now);
        let deaf = silent && self.peers.hear_workers(now);
        if !(silent || unheard) {
            self.cut_off_since = None;
        }
        if !out_of_state {
            self.alone_since = None;
        }
        // After an outage a peer may simply be the first to notice its end.
        if out_of_state && now > *self.alone_since.get_or_insert(now) + STATE_DOWN_MS {
            self.alone_since = None;
            self.election
                .resign("a peer reaches the state service", mail);
        } else if deaf {
            let since = *self.silent_since.get_or_insert(now);
            if now > since + 2 * PEER_FRESH_MS {
                self.silent_since = None;
                self.election
                    .resign("workers reach a peer but not us", mail);
                return;
            }
        } else {
            self.silent_since = None;
        }
        if silent || unheard {
            let waited_ms = now - *self.cut_off_since.get_or_insert(now);
            // Workers that stray from one node to the next are heard by a peer only now and then.
            let told = self.peers.hear_workers(now) && waited_ms > 2 * PEER_FRESH_MS;
            // The peer that hears them may be the one that can't tell.
            let untold = silent && leader.knows_machines() && waited_ms > UNTOLD_MS;
            // All nodes may be cut off alike, and would take turns for nothing.
            if (told || untold) && now >= self.next_unsure {
                self.cut_off_since = None;
                self.next_unsure = now + UNSURE_EVERY_MS;
                self.election.resign("no worker can be led", mail);
            }
        }
    }

    fn beat(&mut self, mail: &mut Mail) {
        let now = mail.now.mono;
        let ago = |at: u64| now.saturating_sub(at);
        let state_ago_ms = match self.state.last_good() {
            0 => ago(self.started),
            at => ago(at),
        };
        let echoes: Vec<(String, u64)> = self
            .peers
            .echoes()
            .map(|(l, sent)| (l.clone(), sent))
            .collect();
        for (label, echo) in echoes {
            mail.out.push(Output::Peer {
                to: Some(label),
                message: PeerMessage::Beat {
                    term: self.election.highest_term(),
                    state_ago_ms,
                    leads: self.election.leads().is_some(),
                    worker_ago_ms: self.last_worker.map(ago),
                    sent: self.process_base + now,
                    echo,
                    boot: self.boot,
                    aborts: self.aborts,
                },
            });
        }
        let leader = self.leader.as_ref().filter(|l| l.is_ready());
        if let Some(leader) = leader.filter(|_| now >= self.next_counts) {
            self.next_counts = now + COUNTS_MS;
            let jobs: Vec<JobNews> = leader.news().take(NEWS_MAX).collect();
            self.gateway.hear(&jobs);
            let term = leader.term;
            mail.out.push(Output::Peer {
                to: None,
                message: PeerMessage::Counts { term, jobs },
            });
        }
        if !self.over.is_empty() {
            let jobs = std::mem::take(&mut self.over);
            mail.out.push(Output::Peer {
                to: None,
                message: PeerMessage::Over { jobs },
            });
        }
    }

    fn on_request(
        &mut self,
        id: RequestId,
        method: &str,
        target: &str,
        body: &[u8],
        mail: &mut Mail,
    ) {
        let path = target.split('?').next().unwrap_or_default();
        match (method, path) {
            ("GET", "/ready") => mail.respond(id, 200, Vec::new()),
            ("POST", "/v1/report") => self.on_report(id, body, mail),
            (_, "/ready" | "/v1/report") => mail.refuse(id, 405, "method not allowed"),
            _ if path == "/submissions" || path.starts_with("/submissions/") => {
                let now = mail.now.mono;
                let up = self.state.is_up(now);
                if !up && id < PEER_REQUESTS {
                    if let Some(peer) = self.peers.with_state(now) {
                        let to = peer.to_string();
                        return self.forward(id, method, target, body, to, mail);
                    }
                }
                self.gateway.on_request(id, method, path, body, up, mail);
            }
            _ => mail.refuse(id, 404, "no such path"),
        }
    }

    fn forward(
        &mut self,
        request: RequestId,
        method: &str,
        target: &str,
        body: &[u8],
        to: String,
        mail: &mut Mail,
    ) {
        if self.forwards.len() >= USER_INFLIGHT {
            return mail.refuse(request, 503, "too many requests in hand");
        }
        self.next_forward += 1;
        let patience = if target == REPORT {
            REPORT_FORWARD_MS
        } else {
            USER_DEADLINE_MS
        };
        let until = mail.now.mono + patience;
        let by = to.clone();
        self.forwards
            .insert(self.next_forward, Forwarded { request, by, until });
        mail.out.push(Output::Peer {
            to: Some(to),
            message: PeerMessage::Forward {
                call: self.next_forward,
                method: method.to_string(),
                target: target.to_string(),
                body: body.to_vec(),
            },
        });
    }

    fn on_report(&mut self, id: RequestId, body: &[u8], mail: &mut Mail) {
        let now = mail.now;
        if id < PEER_REQUESTS {
            self.last_worker = Some(now.mono);
        }
        let report: Report = match wire::decode(body) {
            Ok(report) => report,
            Err(why) => return mail.refuse(id, 400, &why.to_string()),
        };
        let loading = self.leader.as_ref().is_some_and(|l| !l.is_ready());
        if loading && self.limbo.len() < self.limbo_most {
            // An answer would renew the leases of tasks that may be cancelled, for all it knows.
            self.limbo.push((id, body.to_vec(), now.mono));
            return;
        }
        if self.leader.is_some() {
            if !self.may_answer(now.mono) {
                return mail.refuse(id, 503, "not entitled to answer workers");
            }
            let active = self.active(now.mono);
            let Some(leader) = &mut self.leader else {
                return;
            };
            match leader.on_report(report, active, now) {
                Heard::Answer(answer) => mail.respond(id, 200, wire::encode(&answer)),
                Heard::Hold(held) => self.held.push((id, held)),
                Heard::Newer(term) => {
                    self.election.heard_term(term, mail);
                    mail.refuse(id, 503, "a newer leader exists");
                }
            }
            return;
        }
        if self.election.leader_label(now.mono).is_none() && self.limbo.len() < self.limbo_most {
            self.limbo.push((id, body.to_vec(), now.mono));
            return;
        }
        // A leader that lives but that no worker reaches gets the reports through us: sent to it, the worker
        // would lose another 4 s, and its lease before long.
        let deaf_ms = (self.settings.deployment.workers.report_s * 1500.0) as u64 + PEER_BEAT_MS;
        let leader = self.election.leader_label(now.mono).map(str::to_string);
        let settled = now.mono > self.election.known_since() + 2 * REPORT_DROP_MS;
        let deaf = leader.filter(|l| settled && self.peers.is_deaf(l, deaf_ms, now.mono));
        // Now and then one worker is sent there all the same, to find out whether it is reached again.
        let probe = deaf.is_some() && now.mono >= self.next_probe;
        if probe {
            self.next_probe = now.mono + PROBE_MS;
        } else if let Some(leader) = deaf.filter(|_| id < PEER_REQUESTS) {
            return self.forward(id, "POST", REPORT, body, leader, mail);
        }
        self.send_elsewhere(id, mail);
    }

    fn send_elsewhere(&self, id: RequestId, mail: &mut Mail) {
        let leader = self
            .election
            .leader_label(mail.now.mono)
            .filter(|l| *l != self.settings.label)
            .map(str::to_string);
        mail.respond(id, 421, wire::encode(&Elsewhere { leader }));
    }

    /// Goes on with reports that came while no leader was known, or before this one had read its records.
    fn leave_limbo(&mut self, mail: &mut Mail) {
        if self.limbo.is_empty() {
            return;
        }
        let now = mail.now.mono;
        let loading = self.leader.as_ref().map(|l| !l.is_ready());
        if loading == Some(false) {
            let most = LIMBO_A_TURN.min(self.limbo.len());
            for (id, body, _) in self.limbo.drain(..most).collect::<Vec<_>>() {
                self.on_report(id, &body, mail);
            }
            return;
        }
        let elsewhere = loading.is_none() && self.election.leader_label(now).is_some();
        if !elsewhere && now < self.next_limbo {
            return;
        }
        self.next_limbo = now + LIMBO_LOOK_MS;
        let patience = if loading.is_some() {
            LOADING_MS
        } else {
            LIMBO_MS
        };
        for (id, body, since) in std::mem::take(&mut self.limbo) {
            if elsewhere || now > since + patience {
                self.send_elsewhere(id, mail);
            } else {
                self.limbo.push((id, body, since));
            }
        }
    }

    fn on_reply(
        &mut self,
        call: CallId,
        result: &Result<(u16, Vec<u8>), CallError>,
        mail: &mut Mail,
    ) {
        if let Some((tag, reply)) = self.state.on_reply(mail.now, call, result) {
            return self.state_replied(tag, reply, mail);
        }
        if let Some((tag, op, reply)) = self.cloud.on_reply(mail.now.mono, call, result) {
            let CloudTag::Leader(term, ask) = tag;
            if let Some(leader) = self.leader.as_mut().filter(|l| l.term == term) {
                leader.on_cloud(ask, op, reply, mail);
            }
        }
    }

    fn state_replied(&mut self, tag: StateTag, reply: StateReply, mail: &mut Mail) {
        match tag {
            StateTag::Election(step) => self.election.on_reply(step, reply, mail),
            StateTag::User(number) => self.gateway.on_reply(number, reply, mail),
            StateTag::Proof(number) => self.gateway.on_proof(number, reply, mail),
            StateTag::Upgrade => self.upgrade.on_reply(reply, mail),
            StateTag::Types => {
                self.types_busy = false;
                self.next_types = mail.now.mono + LEADER_POLL_MS;
                if let StateReply::Item(item) = reply {
                    if let Ok(types) = item.value.deserialized() {
                        mail.news.push(News::Types(types));
                    }
                }
            }
            StateTag::Leader(term, ask) => {
                if let Some(leader) = self.leader.as_mut().filter(|l| l.term == term) {
                    leader.on_state(ask, reply, mail);
                }
            }
        }
    }

    fn on_peer(&mut self, from: &str, message: PeerMessage, mail: &mut Mail) {
        let now = mail.now.mono;
        match message {
            PeerMessage::Hello { .. } => {}
            PeerMessage::Beat {
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
                self.peers.on_beat(from, beat);
                self.election.heard_term(term, mail);
            }
            PeerMessage::Aborted { number, job } => {
                self.peers.on_abort(from, number);
                self.gateway.remember_cancelled(&job);
                if let Some(leader) = &mut self.leader {
                    leader.abort_told(&job, mail.now);
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
                self.next_serving += 1;
                let id = self.next_serving;
                self.serving.insert(id, (from.to_string(), call));
                self.on_request(id, &method, &target, &body, mail);
            }
            PeerMessage::Forwarded { call, status, body } => {
                // Answers to an earlier process of ours, or of another peer, are about something else.
                if self.forwards.get(&call).is_none_or(|f| f.by != from) {
                    return;
                }
                if let Some(f) = self.forwards.remove(&call) {
                    mail.out.push(Output::Respond {
                        id: f.request,
                        status,
                        retry_after_s: matches!(status, 429 | 503).then_some(RETRY_AFTER_S),
                        body,
                    });
                }
            }
        }
    }

    /// Answers held reports for which there is nothing left to wait for.
    fn release(&mut self, mail: &mut Mail) {
        if self.held.is_empty() {
            return;
        }
        let now = mail.now;
        // With hundreds of workers held, looking at all of them at every message would cost more than the
        // messages themselves.
        let settled = self
            .leader
            .as_mut()
            .is_none_or(|l| std::mem::take(&mut l.settled));
        if !settled && now.mono < self.next_release {
            return;
        }
        self.next_release = now.mono + RELEASE_MS;
        let active = self.active(now.mono);
        let may_answer = self.may_answer(now.mono);
        let leader = &mut self.leader;
        self.held.retain(|(id, held)| {
            let Some(leader) = leader.as_mut().filter(|_| may_answer) else {
                mail.refuse(*id, 503, "not entitled to answer workers");
                return false;
            };
            match leader.held_answer(held, active, now) {
                Some(answer) => {
                    mail.respond(*id, 200, wire::encode(&answer));
                    false
                }
                None => true,
            }
        });
    }

    /// Passes on what actors said until nobody has anything left to say.
    fn deliver(&mut self, mut mail: Mail) {
        let now = mail.now;
        let mut expired = Vec::new();
        let mut limbo_due = true;
        loop {
            for (priority, op, tag) in std::mem::take(&mut mail.state) {
                self.state.push(now, priority, op, tag);
            }
            for (op, tag) in std::mem::take(&mut mail.cloud) {
                self.cloud.push(op, tag);
            }
            for (addr, body) in std::mem::take(&mut mail.direct) {
                self.next_call += 1;
                mail.out.push(direct_call(self.next_call, addr, body));
            }
            for news in std::mem::take(&mut mail.news) {
                self.on_news(news, &mut mail);
            }
            self.state
                .pump(&mut self.next_call, &mut mail, &mut expired);
            self.cloud.pump(&mut self.next_call, &mut mail);
            for (tag, reply) in expired.drain(..) {
                self.state_replied(tag, reply, &mut mail);
            }
            for output in std::mem::take(&mut mail.out) {
                self.emit(output);
            }
            let quiet = mail.state.is_empty()
                && mail.cloud.is_empty()
                && mail.direct.is_empty()
                && mail.news.is_empty()
                && mail.out.is_empty();
            if quiet {
                if std::mem::take(&mut limbo_due) {
                    self.leave_limbo(&mut mail);
                }
                self.release(&mut mail);
                if mail.out.is_empty() {
                    return;
                }
            }
        }
    }

    fn emit(&mut self, output: Output) {
        let output = match output {
            Output::Respond {
                id, status, body, ..
            } if id >= PEER_REQUESTS => {
                let Some((to, call)) = self.serving.remove(&id) else {
                    return;
                };
                Output::Peer {
                    to: Some(to),
                    message: PeerMessage::Forwarded { call, status, body },
                }
            }
            other => other,
        };
        self.out.push_back(output);
    }

    fn on_news(&mut self, news: News, mail: &mut Mail) {
        self.gateway.on_news(&news);
        match news {
            News::Elected { term, version } => {
                log::info!("event=elected term={term}");
                self.cloud.clear();
                self.state.drop_books();
                let mut leader = Leader::new(
                    &self.settings,
                    &self.operator,
                    self.stopwatch,
                    term,
                    version,
                    self.upgrade.is_over(),
                    mail.now,
                );
                for job in self.gateway.known_cancelled() {
                    leader.abort_told(job, mail.now);
                }
                leader.tick(false, mail);
                self.leader = Some(leader);
            }
            News::Deposed(why) => {
                log::info!("event=deposed why={why:?}");
                self.leader = None;
                self.cloud.clear();
                self.state.drop_books();
                self.election.fenced(mail);
            }
            News::Aborted(job) => {
                self.aborts += 1;
                if let Some(leader) = &mut self.leader {
                    leader.abort_told(&job, mail.now);
                }
                let number = self.aborts;
                // Goes out before the user's answer, and before the next beat counts it.
                self.out.push_back(Output::Peer {
                    to: None,
                    message: PeerMessage::Aborted { number, job },
                });
            }
            News::JobOver(job, end) => self.over.push((job, end == Final::Done)),
            News::Proven(why) => self.upgrade.proven(why, mail),
            News::Upgraded => {
                let least = self.settings.deployment.state.least();
                self.state.hold_to(least.rps, least.write_rps);
                if let Some(leader) = self.leader.as_mut() {
                    leader.upgraded(mail);
                }
            }
            News::Types(_) => {}
        }
    }
}
