//! A small world in memory for scenario tests: state service, cloud, workers, users, and a network that can be cut,
//! all in simulated time. It checks the rules that matter most at every step.

mod checks;
mod cloud;
mod fleet;
mod network;
mod rules;
mod state;
mod troubles;
mod users;
mod worker;

pub use rules::{Jobs, Placed, Question, Rules};
pub use state::{FakeLimits, FakeState, RequestCounts};
pub use troubles::{CopyTo, Cut, Party, Troubles, LATE_REPORT_MS, LATE_TXN_MS};
pub use worker::{Behaviour, FakeTask, FakeWorker, Gang};

use control::{CallError, Input, Node, Now, Operator, Output, Settings, Target};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::RangeInclusive;
use wire::cloud::Rent;
use wire::peers::PeerMessage;
use wire::records::{final_key, Final, LEVEL};
use wire::state::{Txn, Write};
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
/// What such a machine has: CPUs, GPUs, memory in GB.
pub const MACHINE: (f64, f64, f64) = (32.0, 4.0, 256.0);
/// Path of workers' reports.
const REPORT_PATH: &str = "/v1/report";
/// Milliseconds for which a worker waits for an answer.
const REPORT_DROP_MS: u64 = 4_000;

enum Event {
    ToNode(usize, u64, Input),
    ToState(StateCall),
    ToCloud(usize, u64, u64, &'static str, String, Vec<u8>),
    ToWorker(usize, String, Vec<u8>),
    Answer(String, u64, u16, Vec<u8>),
}

/// A request to the state service.
struct StateCall {
    /// Who asks; nobody waits for the answer of a late one.
    from: Option<(usize, u64, u64)>,
    method: &'static str,
    path: String,
    body: Vec<u8>,
    /// When the sender gives up.
    deadline: u64,
}

struct Slot {
    node: Option<Node>,
    /// Counts starts, so that answers to an earlier process are dropped.
    life: u64,
}

/// What a turn of a node is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TurnAbout {
    /// A worker's report, directly or passed on by a peer, or the answer to one that was passed on.
    WorkerHeartbeat,
    /// Partitions: grants, permits, recalls.
    Partitions,
    /// Another message, reply or request.
    Other,
    /// Time that passed.
    Tick,
}

impl TurnAbout {
    fn of(input: &Input) -> Self {
        match input {
            Input::Request { target, .. } if target == REPORT_PATH => TurnAbout::WorkerHeartbeat,
            Input::Peer { message, .. } => match message {
                PeerMessage::Forward { target, .. } if target == REPORT_PATH => {
                    TurnAbout::WorkerHeartbeat
                }
                PeerMessage::Forwarded { .. } => TurnAbout::WorkerHeartbeat,
                PeerMessage::Partitions(_) => TurnAbout::Partitions,
                _ => TurnAbout::Other,
            },
            _ => TurnAbout::Other,
        }
    }
}

/// A turn of a node.
#[derive(Debug, Clone, Copy)]
pub struct Turn {
    /// The node.
    pub node: usize,
    /// What it was about.
    pub about: TurnAbout,
    /// Microseconds of the stopwatch that it took.
    pub took_us: u64,
}

/// The whole world.
pub struct World {
    /// Time in milliseconds.
    pub now: u64,
    settings: Vec<Settings>,
    operators: Vec<Operator>,
    /// How nodes started from now on measure their rounds.
    pub stopwatch: control::Stopwatch,
    nodes: Vec<Slot>,
    queue: BTreeMap<(u64, u64), Event>,
    next_event: u64,
    next_request: u64,
    answers: BTreeMap<u64, (u16, Vec<u8>)>,
    answered_at: BTreeMap<u64, u64>,
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
    pub unreached: BTreeSet<usize>,
    /// The only node that workers reach.
    pub stuck_workers: Option<usize>,
    /// Nodes whose transactions are executed, but late by this much, and not answered.
    pub late_txns: BTreeMap<usize, u64>,
    /// Of every so many transactions one is not answered (0: all are); every second of those is not executed.
    pub lose_txns: u64,
    txns: u64,
    /// Watches break: what they would tell can't be read.
    pub break_watches: bool,
    /// So do readings of many records at a time.
    pub break_lists: bool,
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
    /// Jobs whose user was told by somebody else than a node of this world that they are cancelled, and when.
    pub cancelled: BTreeMap<String, u64>,
    /// Rules that were broken.
    pub broken: Vec<String>,
    /// Rental requests the cloud executed.
    pub rentals: Vec<String>,
    /// What each turn of a node took, if that is to be kept.
    pub turns: Option<Vec<Turn>>,
    /// Milliseconds from each worker's report to its answer, if they are to be kept.
    pub answer_delays_ms: Option<Vec<u64>>,
    /// What the keys begin with whose writes are counted: the cluster's feature level, if nothing else is said.
    pub counted_keys: &'static str,
    /// Transactions that change such keys so far.
    pub counted_writes: u64,
    /// Ends the process that sends the transaction of this number, and whether the transaction is executed.
    pub crash_at_counted_write: Option<(u64, bool)>,
    /// Pages of its machine list that the cloud has served.
    pub listed_pages: u64,
    /// Milliseconds until a rented machine is up.
    pub boot_ms: RangeInclusive<u64>,
    /// Further troubles.
    pub troubles: Troubles,
    /// What users were told and which rules that broke.
    pub rules: Rules,
    /// Copies of reports kept for a leader with a higher term than this.
    kept: Vec<(u64, Vec<u8>)>,
    /// Whether the state service was down at the last step.
    was_down: bool,
    /// Whether all troubles are over.
    over: bool,
    rng: fastrand::Rng,
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
            operators: vec![Operator::default(); nodes],
            stopwatch: || 0,
            nodes: Vec::new(),
            queue: BTreeMap::new(),
            next_event: 0,
            next_request: 0,
            answers: BTreeMap::new(),
            answered_at: BTreeMap::new(),
            reporters: BTreeMap::new(),
            state: FakeState::default(),
            state_down: false,
            refused: BTreeSet::new(),
            silent_peers: BTreeSet::new(),
            unreached: BTreeSet::new(),
            stuck_workers: None,
            late_txns: BTreeMap::new(),
            lose_txns: 0,
            txns: 0,
            break_watches: false,
            break_lists: false,
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
            answer_delays_ms: None,
            counted_keys: LEVEL,
            counted_writes: 0,
            crash_at_counted_write: None,
            turns: None,
            listed_pages: 0,
            boot_ms: 2_000..=2_000,
            troubles: Troubles::default(),
            rules: Rules::default(),
            kept: Vec::new(),
            was_down: false,
            over: false,
            rng: fastrand::Rng::with_seed(0),
        };
        if let Some(first) = world.settings.first() {
            let d = &first.deployment;
            world.rules = Rules::new(d.teams.clone(), d.workers.cancel_s);
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

    /// Draws everything that is left to chance from this seed.
    pub fn seed(&mut self, seed: u64) {
        self.rng = fastrand::Rng::with_seed(seed);
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
            self.operators[i].clone(),
            now,
            boot,
            self.stopwatch,
        ));
    }

    /// What a node is started with from now on.
    pub fn set_operator(&mut self, i: usize, operator: Operator) {
        self.operators[i] = operator;
    }

    /// Asks a node to stop; its process ends once it has nothing left to do.
    pub fn stop(&mut self, i: usize) {
        let now = self.clock();
        if let Some(node) = &mut self.nodes[i].node {
            node.handle(now, Input::Stop);
        }
        self.drain(i);
    }

    /// The state of a staged upgrade, as a node knows it.
    pub fn rollout_status(&self, i: usize) -> Option<control::RolloutStatus> {
        self.nodes[i].node.as_ref()?.rollout_status()
    }

    /// What a node knows of partitions of the fleet, if it runs and they are switched on.
    pub fn partitions_status(&self, i: usize) -> Option<control::PartitionsStatus> {
        self.nodes[i].node.as_ref()?.partitions_status()
    }

    /// Tells a node whether its sockets are short.
    pub fn set_crowded(&mut self, i: usize, is_crowded: bool) {
        if let Some(node) = &mut self.nodes[i].node {
            node.set_crowded(is_crowded);
        }
    }

    /// Asks the leader to move a partition; false if it does not.
    pub fn move_partition(&mut self, partition: u16, to: usize) -> bool {
        let (now, to) = (self.clock(), self.settings[to].label.clone());
        let Some(leader) = self.leader() else {
            return false;
        };
        let node = self.nodes[leader].node.as_mut();
        node.is_some_and(|node| node.move_partition(partition, &to, now))
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

    /// How many controllers there are, those that are down included.
    pub fn node_count(&self) -> usize {
        self.nodes.len()
    }

    /// Whether a node's process has ended.
    pub fn is_down(&self, i: usize) -> bool {
        self.nodes[i].node.is_none()
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
        if self.was_down && !self.state_down {
            self.state.refresh_leases(self.now);
        }
        self.was_down = self.state_down;
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
        self.tell_watches();
        for i in 0..self.nodes.len() {
            let now = self.clock();
            if self.troubles.frozen_until(i, now.mono).is_some() {
                continue;
            }
            if let Some(node) = &mut self.nodes[i].node {
                if now.mono >= node.next_wake() {
                    self.ticks += 1;
                    let started = (self.stopwatch)();
                    node.tick(now);
                    let turn = (i, TurnAbout::Tick);
                    note_turn(&mut self.turns, turn, started, self.stopwatch);
                }
            }
            self.drain(i);
            let stopped = self.nodes[i].node.as_ref();
            if stopped.is_some_and(|node| node.is_stopped(now.mono)) {
                self.crash(i);
            }
        }
        self.release_kept();
        self.boot();
        // Of a large fleet each machine is looked at less often.
        let every = if self.workers.len() > LARGE { 10 } else { 1 };
        if (self.now / STEP).is_multiple_of(every) {
            self.work();
            self.check();
        }
    }

    /// Answers watches that have something to tell; those of a node that is refused stay open and silent.
    fn tell_watches(&mut self) {
        if self.state_down {
            return;
        }
        let (refused, troubles) = (&self.refused, &self.troubles);
        let cuts = [Cut::Requests, Cut::Answers, Cut::Refused];
        let silent = |node: usize| {
            let cut = cuts.iter().any(|c| troubles.is_cut(node, Party::State, *c));
            refused.contains(&node) || troubles.cut_from_state.contains(&node) || cut
        };
        for ((node, call), body) in self.state.ripe_watches(self.now, silent) {
            let life = self.nodes[node].life;
            let result = Ok((200, body));
            let input = Input::Reply { call, result };
            let at = self.now + DELAY + self.draw(self.troubles.slow_state.get(&node).copied());
            self.push(at, Event::ToNode(node, life, input));
        }
    }

    /// A number up to `most`, 0 without one.
    fn draw(&mut self, most: Option<u64>) -> u64 {
        most.map_or(0, |most| self.rng.u64(0..=most))
    }

    /// Whether something of a share happens now.
    fn happens(&mut self, share: f64) -> bool {
        share > 0.0 && self.rng.f64() < share
    }

    /// All troubles are over: from now on no question may stay unanswered for long and no task may wait beside room.
    pub fn heal(&mut self) {
        self.state_down = false;
        self.refused.clear();
        self.silent_peers.clear();
        self.unreached.clear();
        self.stuck_workers = None;
        self.late_txns.clear();
        self.lose_txns = 0;
        self.break_watches = false;
        self.break_lists = false;
        self.troubles = Troubles::default();
        for w in self.workers.values_mut() {
            w.heal(self.now);
        }
        for i in 0..self.nodes.len() {
            if self.nodes[i].node.is_none() {
                self.start(i);
            }
        }
        self.over = true;
        self.rules.troubles_over(self.now);
    }
}

fn note_turn(
    turns: &mut Option<Vec<Turn>>,
    (node, about): (usize, TurnAbout),
    started: u64,
    stopwatch: control::Stopwatch,
) {
    if let Some(turns) = turns {
        let took_us = stopwatch().saturating_sub(started);
        turns.push(Turn {
            node,
            about,
            took_us,
        });
    }
}

/// Whether a transaction writes a key that begins so.
fn changes(body: &[u8], prefix: &str) -> bool {
    let Ok(txn) = wire::decode::<Txn>(body) else {
        return false;
    };
    let mut writes = txn.writes.iter();
    writes.any(|write| matches!(write, Write::Put { key, .. } if key.starts_with(prefix)))
}

fn limits_of(limits: &control::settings::Limits) -> FakeLimits {
    FakeLimits {
        value_bytes: limits.value_bytes,
        txn_ops: limits.txn_ops,
        rps: limits.rps,
        write_rps: limits.write_rps,
    }
}

fn behave(jobs: &BTreeMap<String, Behaviour>, task: &str) -> Option<Behaviour> {
    jobs.get(task.split('/').next()?).copied()
}
