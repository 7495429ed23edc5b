//! The simulated cluster: its nodes, workers, jobs and troubles.

mod nodes;
mod time;

use crate::events::{Event, NodeSlot};
use crate::jobs::job_of;
use crate::turns::Turn;
use crate::{Behaviour, FakeLimits, FakeState, FakeWorker, Rules, Troubles};
use control::{Operator, Settings};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::RangeInclusive;
use wire::cloud::RentalRequest;
use wire::records::CLUSTER_LEVEL_KEY;
use wire::users::Submission;
use wire::workers::TaskPhase;

/// The simulated cluster.
pub struct World {
    /// Time in milliseconds.
    pub now: u64,
    pub(crate) settings: Vec<Settings>,
    pub(crate) operators: Vec<Operator>,
    /// How nodes started from now on measure their rounds.
    pub stopwatch: control::Stopwatch,
    pub(crate) nodes: Vec<NodeSlot>,
    /// Messages on their way, by time of arrival and number.
    pub(crate) queue: BTreeMap<(u64, u64), Event>,
    pub(crate) next_event: u64,
    pub(crate) next_request: u64,
    /// Answers to users, by request.
    pub(crate) answers: BTreeMap<u64, (u16, Vec<u8>)>,
    pub(crate) answered_at: BTreeMap<u64, u64>,
    /// Workers that sent requests, with the number of the report. Other requests are of users.
    pub(crate) reporters: BTreeMap<u64, (String, u64)>,
    /// State service.
    pub state: FakeState,
    /// The state service answers nobody.
    pub state_down: bool,
    /// Nodes that the state service refuses.
    pub refused: BTreeSet<usize>,
    /// Nodes that exchange no messages with their peers.
    pub silent_peers: BTreeSet<usize>,
    /// Nodes that no worker reaches.
    pub unreached: BTreeSet<usize>,
    /// The only node that workers reach.
    pub stuck_workers: Option<usize>,
    /// Nodes whose transactions are executed, but late by this much, and not answered.
    pub late_txns: BTreeMap<usize, u64>,
    /// Of every so many transactions one is not answered (0: all are); every second of those is not executed.
    pub lose_txns: u64,
    pub(crate) txns: u64,
    /// Watches fail: their answers can't be read.
    pub break_watches: bool,
    /// Readings of many records at a time fail as well.
    pub break_lists: bool,
    /// How often a node asked to be woken and was.
    pub ticks: u64,
    /// Workers by machine name.
    pub workers: BTreeMap<String, FakeWorker>,
    /// Machines the cloud still has.
    pub capacity: u32,
    pub(crate) rented: BTreeMap<String, Vec<String>>,
    pub(crate) booting: BTreeMap<String, (u64, RentalRequest)>,
    pub(crate) next_machine: u32,
    /// Submitted jobs.
    pub jobs: BTreeMap<String, Submission>,
    /// How a job's tasks behave.
    pub behaviour: BTreeMap<String, Behaviour>,
    /// Jobs whose cancellation was confirmed by somebody other than a node of this world, and when.
    pub cancelled: BTreeMap<String, u64>,
    /// Rules that were broken.
    pub broken: Vec<String>,
    /// Rental requests the cloud executed.
    pub rentals: Vec<String>,
    /// The duration of each turn of a node, if turns are recorded.
    pub turns: Option<Vec<Turn>>,
    /// Milliseconds from each worker's report to its answer, if they are recorded.
    pub answer_delays_ms: Option<Vec<u64>>,
    /// Prefix of the keys whose writes are counted: the cluster's feature level by default.
    pub counted_keys: &'static str,
    /// Transactions that change such keys so far.
    pub counted_writes: u64,
    /// Ends the process that sends the transaction of this number, and whether the transaction is executed.
    pub crash_at_counted_write: Option<(u64, bool)>,
    /// Pages of its machine list that the cloud has served.
    pub listed_pages: u64,
    /// Milliseconds that a rented machine takes to boot.
    pub boot_ms: RangeInclusive<u64>,
    /// Further troubles.
    pub troubles: Troubles,
    /// The answers to users, and which rules they broke.
    pub rules: Rules,
    /// Late copies of reports, for a leader with a higher term than this.
    pub(crate) copies_for_next_leader: Vec<(u64, Vec<u8>)>,
    /// Whether the state service was down at the last step.
    pub(crate) was_state_down: bool,
    /// Whether all troubles are over.
    pub(crate) is_healed: bool,
    pub(crate) rng: fastrand::Rng,
}

impl World {
    /// A world with that many controllers, given the settings of each.
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
            counted_keys: CLUSTER_LEVEL_KEY,
            counted_writes: 0,
            crash_at_counted_write: None,
            turns: None,
            listed_pages: 0,
            boot_ms: 2_000..=2_000,
            troubles: Troubles::default(),
            rules: Rules::default(),
            copies_for_next_leader: Vec::new(),
            was_state_down: false,
            is_healed: false,
            rng: fastrand::Rng::with_seed(0),
        };
        if let Some(first) = world.settings.first() {
            let deployment = &first.deployment;
            world.rules = Rules::new(deployment.teams.clone(), deployment.workers.cancel_s);
            world.state.limits = Some(limits_of(&deployment.state.current()));
        }
        for i in 0..nodes {
            world.nodes.push(NodeSlot {
                node: None,
                start: 0,
            });
            world.start(i);
        }
        world
    }

    /// Draws everything random from this seed.
    pub fn seed(&mut self, seed: u64) {
        self.rng = fastrand::Rng::with_seed(seed);
    }

    /// The state service has its new limits from now on.
    pub fn lower_limits(&mut self) {
        let least = self.settings[0].deployment.state.strictest();
        self.state.limits = Some(limits_of(&least));
    }

    /// Adds a machine that is up.
    pub fn add_machine(&mut self, name: &str, zone: &str) {
        let worker = FakeWorker::new(name, zone, false, self.now);
        self.workers.insert(name.to_string(), worker);
    }

    /// Machine, task and attempt of all tasks of a job that are on machines, those that fetch their image included.
    pub fn on_machines(&self, job: &str) -> Vec<(String, String, u64)> {
        let mut placed = Vec::new();
        for worker in self.workers.values() {
            for ((task, attempt), state) in &worker.tasks {
                if job_of(task) == job && state.phase != TaskPhase::Ended {
                    placed.push((worker.name.clone(), task.clone(), *attempt));
                }
            }
        }
        placed
    }

    /// A random number up to `most`, or 0 without a bound.
    pub(crate) fn draw(&mut self, most: Option<u64>) -> u64 {
        most.map_or(0, |most| self.rng.u64(0..=most))
    }

    /// Whether something that happens with this probability happens now.
    pub(crate) fn is_drawn(&mut self, share: f64) -> bool {
        share > 0.0 && self.rng.f64() < share
    }

    /// Ends all troubles. From now on no question may stay unanswered for long, and no task may wait while a machine
    /// has room for it.
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
        for worker in self.workers.values_mut() {
            worker.heal(self.now);
        }
        for i in 0..self.nodes.len() {
            if self.nodes[i].node.is_none() {
                self.start(i);
            }
        }
        self.is_healed = true;
        self.rules.troubles_over(self.now);
    }
}

/// Limits of the state service, as the settings give them.
fn limits_of(limits: &control::settings::EffectiveLimits) -> FakeLimits {
    FakeLimits {
        value_bytes: limits.value_bytes,
        txn_ops: limits.txn_ops,
        rps: limits.rps,
        write_rps: limits.write_rps,
    }
}
