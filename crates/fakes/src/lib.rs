//! A small world in memory for story tests: state service, cloud, workers, users, and a network that can be cut,
//! all in simulated time. It checks the rules that matter most at every step.

mod state;
mod worker;

pub use state::{FakeLimits, FakeState};
pub use worker::{Behaviour, FakeTask, FakeWorker};

use control::{CallError, Input, Node, Now, Operator, Output, Settings, Target};
use std::collections::{BTreeMap, BTreeSet};
use wire::cloud::*;
use wire::records::{final_key, Final};
use wire::users::*;
use wire::workers::*;

/// Milliseconds a message takes.
const DELAY: u64 = 5;
/// Milliseconds of a step.
const STEP: u64 = 10;
/// Machines beyond which a step of theirs is ten of the world's.
const LARGE: usize = 500;
/// Type of every fake machine: 4 GPUs, 32 CPUs.
pub const KIND: &str = "g4";

enum Event {
    ToNode(usize, u64, Input),
    ToState(usize, u64, u64, &'static str, String, Vec<u8>),
    ToCloud(usize, u64, u64, &'static str, String, Vec<u8>),
    ToWorker(String, Vec<u8>),
    Answer(String, u64, u16, Vec<u8>),
}

struct Slot {
    node: Option<Node>,
    /// Counts starts, so that answers to an earlier process are dropped.
    life: u64,
}

/// The whole world.
pub struct World {
    /// Time in milliseconds.
    pub now: u64,
    settings: Vec<Settings>,
    operator: Operator,
    /// How nodes started from now on measure their rounds.
    pub stopwatch: control::Stopwatch,
    nodes: Vec<Slot>,
    queue: BTreeMap<(u64, u64), Event>,
    next_event: u64,
    next_request: u64,
    answers: BTreeMap<u64, (u16, Vec<u8>)>,
    /// Who sent the request: nothing for users.
    reporters: BTreeMap<u64, (String, u64)>,
    /// State service.
    pub state: FakeState,
    /// The state service answers nobody.
    pub state_down: bool,
    /// Nodes that the state service refuses.
    pub refused: BTreeSet<usize>,
    /// Nodes that hear nothing from their peers and are not heard.
    pub silent_peers: BTreeSet<usize>,
    /// Nodes that no worker reaches.
    pub deaf: BTreeSet<usize>,
    /// The only node that workers reach.
    pub stuck_workers: Option<usize>,
    /// Nodes whose transactions are executed, but late by this much, and not answered.
    pub late_txns: BTreeMap<usize, u64>,
    /// Of every so many transactions one is not answered (0: all are); every second of those is not executed.
    pub lose_txns: u64,
    txns: u64,
    /// Watches break: what they would tell can't be read.
    pub break_watches: bool,
    /// How often a node asked to be woken and was.
    pub ticks: u64,
    /// Workers by machine name.
    pub workers: BTreeMap<String, FakeWorker>,
    /// Machines the cloud still has.
    pub capacity: u32,
    rented: BTreeMap<String, Vec<String>>,
    booting: BTreeMap<String, (u64, Rent)>,
    next_machine: u32,
    /// Submitted jobs.
    pub jobs: BTreeMap<String, Submission>,
    /// How a job's tasks behave.
    pub behaviour: BTreeMap<String, Behaviour>,
    /// Jobs whose user was told that they are cancelled, and when.
    pub cancelled: BTreeMap<String, u64>,
    /// Rules that were broken.
    pub broken: Vec<String>,
    /// Rental requests the cloud executed.
    pub rentals: Vec<String>,
}

/// A plain array job.
pub fn array(id: &str, tasks: u64) -> Submission {
    Submission {
        id: id.to_string(),
        class: "c".into(),
        team: "t".into(),
        shape: Shape::Array,
        priority: Priority::Normal,
        tasks,
        cpus: 1.0,
        gpus: 1.0,
        mem_gb: 1.0,
        image: "i".into(),
        image_gb: 1.0,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        guess_s: 10.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        due_s: None,
        needs: Vec::new(),
    }
}

/// A plain gang.
pub fn gang(id: &str, tasks: u64) -> Submission {
    Submission {
        shape: Shape::Gang,
        gpus: 4.0,
        one_zone: true,
        ..array(id, tasks)
    }
}

impl World {
    /// A world with that many controllers; `deployment` is the rest of the settings in TOML form.
    pub fn new(nodes: usize, settings: impl Fn(usize) -> Settings) -> Self {
        let settings: Vec<Settings> = (0..nodes).map(settings).collect();
        let mut world = World {
            now: 1_000,
            settings,
            operator: Operator::default(),
            stopwatch: || 0,
            nodes: Vec::new(),
            queue: BTreeMap::new(),
            next_event: 0,
            next_request: 0,
            answers: BTreeMap::new(),
            reporters: BTreeMap::new(),
            state: FakeState::default(),
            state_down: false,
            refused: BTreeSet::new(),
            silent_peers: BTreeSet::new(),
            deaf: BTreeSet::new(),
            stuck_workers: None,
            late_txns: BTreeMap::new(),
            lose_txns: 0,
            txns: 0,
            break_watches: false,
            ticks: 0,
            workers: BTreeMap::new(),
            capacity: 0,
            rented: BTreeMap::new(),
            booting: BTreeMap::new(),
            next_machine: 100,
            jobs: BTreeMap::new(),
            behaviour: BTreeMap::new(),
            cancelled: BTreeMap::new(),
            broken: Vec::new(),
            rentals: Vec::new(),
        };
        if let Some(first) = world.settings.first() {
            world.state.limits = Some(limits_of(&first.deployment.state.now()));
        }
        for i in 0..nodes {
            world.nodes.push(Slot {
                node: None,
                life: 0,
            });
            world.start(i);
        }
        world
    }

    /// The state service has its new limits from now on.
    pub fn lower_limits(&mut self) {
        let least = self.settings[0].deployment.state.least();
        self.state.limits = Some(limits_of(&least));
    }

    fn clock(&self) -> Now {
        Now {
            mono: self.now,
            unix: 1_700_000_000_000 + self.now,
        }
    }

    /// Starts a node anew.
    pub fn start(&mut self, i: usize) {
        let now = self.clock();
        let slot = &mut self.nodes[i];
        slot.life += 1;
        let boot = 1000 * slot.life + i as u64;
        slot.node = Some(Node::new(
            self.settings[i].clone(),
            self.operator.clone(),
            now,
            boot,
            self.stopwatch,
        ));
    }

    /// Ends a node without warning.
    pub fn crash(&mut self, i: usize) {
        self.nodes[i].node = None;
        self.nodes[i].life += 1;
        self.state.watches.retain(|w| w.waiter.0 != i);
        let from = self.settings[i].label.clone();
        for j in (0..self.nodes.len()).filter(|j| *j != i) {
            let life = self.nodes[j].life;
            let input = Input::PeerRefuses { from: from.clone() };
            self.push(self.now + DELAY, Event::ToNode(j, life, input));
        }
    }

    /// The node that leads, if any does.
    pub fn leader(&self) -> Option<usize> {
        let term = |s: &Slot| s.node.as_ref().and_then(Node::leads);
        (0..self.nodes.len())
            .filter(|&i| term(&self.nodes[i]).is_some())
            .max_by_key(|&i| term(&self.nodes[i]))
    }

    /// Term of a node, if it leads.
    pub fn term_of(&self, i: usize) -> Option<u64> {
        self.nodes[i].node.as_ref().and_then(Node::leads)
    }

    /// Adds a machine that is up.
    pub fn add_machine(&mut self, name: &str, zone: &str) {
        let worker = FakeWorker::new(name, zone, false, self.now);
        self.workers.insert(name.to_string(), worker);
    }

    fn push(&mut self, at: u64, event: Event) {
        self.next_event += 1;
        self.queue.insert((at, self.next_event), event);
    }

    /// Sends a request to a node and waits for the answer, for 3 s at most.
    pub fn ask(
        &mut self,
        node: usize,
        method: &str,
        target: &str,
        body: Vec<u8>,
    ) -> (u16, Vec<u8>) {
        let id = self.send(node, method, target, body);
        for _ in 0..300 {
            if let Some(answer) = self.answers.remove(&id) {
                return answer;
            }
            self.step();
        }
        (0, vec![])
    }

    fn send(&mut self, node: usize, method: &str, target: &str, body: Vec<u8>) -> u64 {
        self.next_request += 1;
        let id = self.next_request;
        let input = Input::Request {
            id,
            method: method.to_string(),
            target: target.to_string(),
            body,
        };
        let life = self.nodes[node].life;
        self.push(self.now + DELAY, Event::ToNode(node, life, input));
        id
    }

    /// Submits a job; returns the status.
    pub fn submit(&mut self, node: usize, job: &Submission, behaviour: Behaviour) -> u16 {
        self.jobs.insert(job.id.clone(), job.clone());
        self.behaviour.insert(job.id.clone(), behaviour);
        self.ask(node, "POST", "/submissions", wire::encode(job)).0
    }

    /// Asks a node for the phases of many jobs at the same moment.
    pub fn phases(&mut self, node: usize, ids: &[String]) -> Vec<Option<Phase>> {
        let targets = ids.iter().map(|id| format!("/submissions/{id}"));
        let sent: Vec<u64> = targets
            .map(|t| self.send(node, "GET", &t, vec![]))
            .collect();
        self.run(2_000);
        let read = |(status, body): (u16, Vec<u8>)| {
            let status: Option<JobStatus> = wire::decode(&body).ok().filter(|_| status == 200);
            status.map(|s| s.phase)
        };
        sent.iter()
            .map(|id| self.answers.remove(id).and_then(read))
            .collect()
    }

    /// Asks for a job's phase.
    pub fn phase(&mut self, node: usize, id: &str) -> Option<Phase> {
        let (status, body) = self.ask(node, "GET", &format!("/submissions/{id}"), vec![]);
        if status != 200 {
            return None;
        }
        let phase = wire::decode::<JobStatus>(&body).ok().map(|s| s.phase);
        self.check_orphan(id, phase);
        phase
    }

    /// Jobs before a job, directly or through others.
    fn before(&self, id: &str) -> BTreeSet<String> {
        let mut all = BTreeSet::new();
        let mut stack = vec![id.to_string()];
        while let Some(id) = stack.pop() {
            for need in self.jobs.get(&id).into_iter().flat_map(|j| &j.needs) {
                if all.insert(need.clone()) {
                    stack.push(need.clone());
                }
            }
        }
        all
    }

    /// A job behind one whose user was told long ago that it is cancelled must not be called open.
    fn check_orphan(&mut self, id: &str, phase: Option<Phase>) {
        if !matches!(phase, Some(Phase::Queued | Phase::Running)) {
            return;
        }
        let cancel_ms = (self.settings[0].deployment.workers.cancel_s * 1000.0) as u64;
        for need in self.before(id) {
            if self
                .cancelled
                .get(&need)
                .is_some_and(|at| self.now > at + cancel_ms)
            {
                self.broken.push(format!("orphaned {id} behind {need}"));
            }
        }
    }

    /// Cancels a job.
    pub fn abort(&mut self, node: usize, id: &str) -> Option<Phase> {
        let (status, body) = self.ask(node, "POST", &format!("/submissions/{id}/abort"), vec![]);
        if status != 200 {
            return None;
        }
        let phase = wire::decode::<JobStatus>(&body).ok().map(|s| s.phase);
        if phase == Some(Phase::Aborted) {
            self.cancelled.entry(id.to_string()).or_insert(self.now);
        }
        phase
    }

    /// Lets time pass.
    pub fn run(&mut self, ms: u64) {
        let until = self.now + ms;
        while self.now < until {
            self.step();
        }
    }

    /// Lets time pass until something holds; false if it does not within `ms`.
    pub fn until(&mut self, ms: u64, mut holds: impl FnMut(&mut World) -> bool) -> bool {
        let until = self.now + ms;
        while self.now < until {
            if holds(self) {
                return true;
            }
            self.run(100);
        }
        holds(self)
    }

    /// Machines and attempts of tasks on machines, fetching ones included.
    pub fn on_machines(&self, job: &str) -> Vec<(String, String, u64)> {
        let mut out = Vec::new();
        for w in self.workers.values() {
            for ((task, attempt), t) in &w.tasks {
                if task.split('/').next() == Some(job) && t.phase != TaskPhase::Ended {
                    out.push((w.name.clone(), task.clone(), *attempt));
                }
            }
        }
        out
    }

    fn step(&mut self) {
        self.now += STEP;
        if !self.state_down {
            self.state.expire(self.now);
        }
        while let Some((&(at, n), _)) = self.queue.first_key_value() {
            if at > self.now {
                break;
            }
            if let Some(event) = self.queue.remove(&(at, n)) {
                self.happen(event);
            }
        }
        if !self.state_down {
            for ((node, call), body) in self.state.ripe_watches(self.now) {
                let life = self.nodes[node].life;
                let result = Ok((200, body));
                let input = Input::Reply { call, result };
                self.push(self.now + DELAY, Event::ToNode(node, life, input));
            }
        }
        for i in 0..self.nodes.len() {
            let now = self.clock();
            if let Some(node) = &mut self.nodes[i].node {
                if now.mono >= node.next_wake() {
                    self.ticks += 1;
                    node.tick(now);
                }
            }
            self.drain(i);
        }
        self.boot();
        // Of a large fleet each machine is looked at less often.
        let every = if self.workers.len() > LARGE { 10 } else { 1 };
        if (self.now / STEP).is_multiple_of(every) {
            self.work();
            self.check();
        }
    }

    fn drain(&mut self, i: usize) {
        let life = self.nodes[i].life;
        loop {
            let Some(output) = self.nodes[i].node.as_mut().and_then(Node::next_output) else {
                return;
            };
            let at = self.now + DELAY;
            match output {
                Output::Respond {
                    id, status, body, ..
                } => match self.reporters.remove(&id) {
                    Some((worker, seq)) => {
                        self.push(at, Event::Answer(worker, seq, status, body));
                    }
                    None => {
                        self.answers.insert(id, (status, body));
                    }
                },
                Output::Call {
                    call,
                    target,
                    method,
                    path,
                    body,
                    ..
                } => match target {
                    Target::State => {
                        self.push(at, Event::ToState(i, life, call, method, path, body));
                    }
                    Target::Cloud => {
                        self.push(at, Event::ToCloud(i, life, call, method, path, body));
                    }
                    Target::Worker(addr) => {
                        let name = addr.split(':').next().unwrap_or_default().to_string();
                        self.push(at, Event::ToWorker(name, body));
                    }
                },
                Output::Peer { to, message } => {
                    let from = self.settings[i].label.clone();
                    for j in 0..self.nodes.len() {
                        let named = to.as_ref().is_none_or(|l| *l == self.settings[j].label);
                        let cut = |n: usize| self.silent_peers.contains(&n);
                        if j != i && named && !cut(i) && !cut(j) {
                            let life = self.nodes[j].life;
                            let (from, message) = (from.clone(), message.clone());
                            let input = Input::Peer { from, message };
                            self.push(at, Event::ToNode(j, life, input));
                        }
                    }
                }
            }
        }
    }

    fn happen(&mut self, event: Event) {
        let back = self.now + DELAY;
        match event {
            Event::ToNode(i, life, input) => {
                let now = self.clock();
                let slot = &mut self.nodes[i];
                if slot.life == life {
                    if let Some(node) = &mut slot.node {
                        node.handle(now, input);
                    }
                }
                self.drain(i);
            }
            Event::ToState(i, life, call, method, path, body) => {
                let txn = path == "/multi";
                self.txns += u64::from(txn && i != usize::MAX);
                let lost = txn && self.lose_txns > 0 && self.txns.is_multiple_of(self.lose_txns);
                let result = if self.state_down || self.refused.contains(&i) {
                    Some(Ok((503, vec![])))
                } else if let (Some(late), true) = (self.late_txns.get(&i).copied(), txn) {
                    // Executed later, long after the sender has given up.
                    let again = Event::ToState(usize::MAX, life, call, method, path, body);
                    self.push(self.now + late, again);
                    Some(Err(CallError::Unknown))
                } else if self.break_watches && path == "/changes" {
                    Some(Err(CallError::Unknown))
                } else if lost && i != usize::MAX {
                    if self.txns.is_multiple_of(2 * self.lose_txns) {
                        self.state.serve(self.now, (i, call), method, &path, &body);
                    }
                    Some(Err(CallError::Unknown))
                } else {
                    let served = self.state.serve(self.now, (i, call), method, &path, &body);
                    served.map(Ok)
                };
                if let (Some(result), true) = (result, i != usize::MAX) {
                    let input = Input::Reply { call, result };
                    self.push(back, Event::ToNode(i, life, input));
                }
            }
            Event::ToCloud(i, life, call, method, path, body) => {
                let result = Ok(self.cloud(method, &path, &body));
                let input = Input::Reply { call, result };
                self.push(back, Event::ToNode(i, life, input));
            }
            Event::ToWorker(name, body) => {
                let Ok(direct) = wire::decode::<DirectOrders>(&body) else {
                    return;
                };
                let jobs = self.behaviour.clone();
                let now = self.now;
                if let Some(w) = self.workers.get_mut(&name) {
                    let reached = self.stuck_workers.is_none();
                    if reached
                        && now >= w.cut_until
                        && !w.one_way
                        && direct.term >= w.term
                        && direct.session == w.session
                    {
                        w.term = direct.term;
                        w.execute(&direct.orders, |t| behave(&jobs, t), now);
                    }
                }
            }
            Event::Answer(name, seq, status, body) => self.answered(&name, seq, status, &body),
        }
    }

    fn answered(&mut self, name: &str, seq: u64, status: u16, body: &[u8]) {
        let (jobs, now, nodes) = (&self.behaviour, self.now, self.nodes.len());
        let Some(w) = self.workers.get_mut(name) else {
            return;
        };
        let Some((sent, _)) = w.in_flight.filter(|f| f.1 == seq) else {
            return;
        };
        if now < w.cut_until || w.one_way {
            return;
        }
        if w.lose_answers > 0 {
            w.lose_answers -= 1;
            return;
        }
        w.in_flight = None;
        if status == 200 {
            if let Ok(answer) = wire::decode::<ReportAnswer>(body) {
                if answer.term >= w.term {
                    if answer.term > w.term {
                        w.report_at = w.report_at.min(now + 500);
                    }
                    w.term = answer.term;
                    w.lease_from = sent;
                    w.execute(&answer.orders, |t| behave(jobs, t), now);
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
            }
            None => {
                w.node = (w.node + 1) % nodes;
                w.report_at = now + 1000;
            }
        }
    }

    fn work(&mut self) {
        let now = self.now;
        let lease_ms = (self.settings[0].deployment.workers.lease_s * 1000.0) as u64;
        let report_ms = (self.settings[0].deployment.workers.report_s * 1000.0) as u64;
        let jobs = &self.behaviour;
        let mut gathered: BTreeMap<(String, u64), u32> = BTreeMap::new();
        for w in self.workers.values() {
            for (task, attempt) in w.live() {
                let job = task.split('/').next().unwrap_or_default().to_string();
                *gathered.entry((job, attempt)).or_default() += 1;
            }
        }
        let mut reports = Vec::new();
        let stuck = self.stuck_workers;
        let nodes = self.nodes.len();
        self.workers
            .retain(|_, w| w.taken_at.is_none_or(|at| now < at));
        for w in self.workers.values_mut() {
            let complete = |job: &str, attempt: u64, n: u32| {
                let key = (job.to_string(), attempt);
                gathered.get(&key).is_some_and(|have| *have >= n)
            };
            w.advance(now, lease_ms, |t| behave(jobs, t), complete);
            if let Some((sent, _)) = w.in_flight {
                if now > sent + 4_000 {
                    w.in_flight = None;
                    w.node = (w.node + 1) % nodes;
                    w.report_at = now + 1_000;
                }
            }
            if w.in_flight.is_none() && now >= w.report_at {
                let report = w.report(KIND, now);
                w.in_flight = Some((now, w.seq));
                w.report_at = now + report_ms;
                let deaf = self.deaf.contains(&w.node);
                if now >= w.cut_until && !deaf && stuck.is_none_or(|n| n == w.node) {
                    reports.push((w.name.clone(), w.node, w.seq, report));
                }
            }
        }
        for (name, node, seq, report) in reports {
            let id = self.send(node, "POST", "/v1/report", wire::encode(&report));
            self.reporters.insert(id, (name, seq));
        }
    }

    fn boot(&mut self) {
        let now = self.now;
        let up: Vec<String> = self
            .booting
            .iter()
            .filter(|(_, (at, _))| now >= *at)
            .map(|(n, _)| n.clone())
            .collect();
        for name in up {
            if let Some((_, rent)) = self.booting.remove(&name) {
                let worker = FakeWorker::new(&name, &rent.zone, rent.spot, now);
                self.workers.insert(name, worker);
            }
        }
    }

    fn cloud(&mut self, method: &str, path: &str, body: &[u8]) -> (u16, Vec<u8>) {
        match (method, path.split('?').next().unwrap_or_default()) {
            ("GET", "/machine_types") => {
                let types = vec![MachineType {
                    name: KIND.into(),
                    cpus: 32.0,
                    gpus: 4.0,
                    mem_gb: 256.0,
                    cache_gb: 80.0,
                    fetch_gb_per_s: 1.0,
                    price: 10.0,
                    spot_price: 4.0,
                    boot_s: 2.0,
                    zones: vec!["a".into(), "b".into()],
                }];
                (200, wire::encode(&MachineTypes { types }))
            }
            ("POST", "/hosts") => {
                let Ok(rent) = wire::decode::<Rent>(body) else {
                    return (400, vec![]);
                };
                if let Some(machines) = self.rented.get(&rent.request).cloned() {
                    return (200, wire::encode(&MachineNames { machines }));
                }
                let count = rent.count.min(self.capacity);
                if count == 0 {
                    let error = Refusal {
                        error: "no capacity".into(),
                    };
                    return (503, wire::encode(&error));
                }
                self.capacity -= count;
                let mut machines = Vec::new();
                for _ in 0..count {
                    self.next_machine += 1;
                    let name = format!("vm-{:06}", self.next_machine);
                    self.booting
                        .insert(name.clone(), (self.now + 2_000, rent.clone()));
                    machines.push(name);
                }
                self.rentals.push(rent.request.clone());
                self.rented.insert(rent.request, machines.clone());
                (200, wire::encode(&MachineNames { machines }))
            }
            ("POST", "/hosts/return") => {
                if let Ok(names) = wire::decode::<MachineNames>(body) {
                    for name in names.machines {
                        let up = self.workers.remove(&name).is_some();
                        if up || self.booting.remove(&name).is_some() {
                            self.capacity += 1;
                        }
                    }
                }
                (200, vec![])
            }
            _ => {
                let list = |id: &String, zone: &String, spot: bool, phase| ListedMachine {
                    id: id.clone(),
                    addr: Some(format!("{id}:1")),
                    kind: KIND.into(),
                    zone: zone.clone(),
                    spot,
                    phase,
                    age_s: 1.0,
                };
                let mut machines: Vec<ListedMachine> = self
                    .workers
                    .values()
                    .map(|w| list(&w.name, &w.zone, w.spot, MachinePhase::Running))
                    .collect();
                let booting = self.booting.iter();
                machines.extend(
                    booting.map(|(n, (_, r))| list(n, &r.zone, r.spot, MachinePhase::Booting)),
                );
                machines.sort_by(|a, b| a.id.cmp(&b.id));
                let more = false;
                (200, wire::encode(&MachineList { machines, more }))
            }
        }
    }

    /// Looks for broken rules: a task on two machines, a team over its limit, a cancelled job on a machine, a task
    /// that started before what its job needs was done.
    fn check(&mut self) {
        let mut seen: BTreeMap<&str, &str> = BTreeMap::new();
        let mut broken = Vec::new();
        let limit = self.settings[0]
            .deployment
            .teams
            .first()
            .map_or(0.0, |t| t.gpus_max);
        let cancel_ms = (self.settings[0].deployment.workers.cancel_s * 1000.0) as u64;
        let mut gpus = 0.0;
        for w in self.workers.values() {
            for (task, attempt) in w.live() {
                if let Some(other) = seen.insert(task, &w.name) {
                    broken.push(format!("ran_twice {task} on {other} and {}", w.name));
                }
                let job = task.split('/').next().unwrap_or_default();
                gpus += self.jobs.get(job).map_or(0.0, |j| j.gpus);
                for need in self.jobs.get(job).into_iter().flat_map(|j| &j.needs) {
                    let end = self.state.read::<Final>(&final_key(need));
                    if end != Some(Final::Done) {
                        broken.push(format!("too_early {task} before {need}"));
                    }
                }
                let told = self.cancelled.get(job);
                if told.is_some_and(|at| self.now > at + cancel_ms) {
                    broken.push(format!("ran_cancelled {task} try {attempt}"));
                }
            }
        }
        if limit > 0.0 && gpus > limit {
            broken.push(format!("quota {gpus} at {}", self.now));
        }
        self.broken.extend(broken);
    }
}

fn limits_of(limits: &control::settings::Limits) -> FakeLimits {
    FakeLimits {
        value_bytes: limits.value_bytes,
        txn_ops: limits.txn_ops,
        write_rps: limits.write_rps,
    }
}

fn behave(jobs: &BTreeMap<String, Behaviour>, task: &str) -> Option<Behaviour> {
    jobs.get(task.split('/').next()?).copied()
}
