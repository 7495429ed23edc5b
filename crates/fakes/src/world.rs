//! The simulated cluster: its nodes, workers, jobs and faults.

mod nodes;
mod time;

use crate::cloud::default_machine_types;
use crate::events::{Event, NodeSlot};
use crate::jobs::job_of;
use crate::turns::Turn;
use crate::{FakeStateService, FakeWorker, Faults, RuleChecker, StateServiceLimits, TaskBehaviour};
use control::{Operator, Settings};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::RangeInclusive;
use wire::cloud::{MachineType, RentalRequest};
use wire::records::CLUSTER_LEVEL_KEY;
use wire::users::Submission;
use wire::workers::TaskPhase;

/// The simulated cluster.
pub struct World {
    /// Simulated time in milliseconds.
    pub now: u64,
    pub(crate) settings: Vec<Settings>,
    pub(crate) operators: Vec<Operator>,
    /// Stopwatch that nodes receive at their start, for measuring their rounds. It also measures [`World::turns`].
    pub stopwatch: control::Stopwatch,
    pub(crate) nodes: Vec<NodeSlot>,
    /// Scheduled events by time and number.
    pub(crate) queue: BTreeMap<(u64, u64), Event>,
    pub(crate) last_event_number: u64,
    pub(crate) last_request_id: u64,
    /// Status and body of the responses to users, by request.
    pub(crate) responses: BTreeMap<u64, (u16, Vec<u8>)>,
    pub(crate) response_times: BTreeMap<u64, u64>,
    /// Machine name and sequence number of each report without a response, by request. All other requests are of users.
    pub(crate) pending_reports: BTreeMap<u64, (String, u64)>,
    /// The state service.
    pub state_service: FakeStateService,
    /// Whether the state service refuses all requests and answers no watch.
    pub state_service_down: bool,
    /// Nodes whose requests the state service refuses.
    pub refused_by_state_service: BTreeSet<usize>,
    /// Nodes that exchange no messages with their peers.
    pub isolated_from_peers: BTreeSet<usize>,
    /// Nodes that receive no reports of workers.
    pub isolated_from_workers: BTreeSet<usize>,
    /// The only node that receives reports of workers, if not all do. No direct orders arrive at workers meanwhile.
    pub only_reachable_node: Option<usize>,
    /// Milliseconds by which the transactions of a node are executed late, without a response.
    pub txn_delay_ms: BTreeMap<usize, u64>,
    /// One in this many transactions has an unknown outcome, 0 for none. Every second one of these is not executed.
    pub lost_txn_interval: u64,
    pub(crate) txn_count: u64,
    /// Whether watches fail: their outcome is unknown to the caller.
    pub fail_watches: bool,
    /// Whether requests for lists of records fail in the same way.
    pub fail_lists: bool,
    /// Number of wake-ups of nodes at the times that they requested.
    pub node_wakeups: u64,
    /// Workers by machine name.
    pub workers: BTreeMap<String, FakeWorker>,
    /// Machine types that the cloud lists.
    pub machine_types: Vec<MachineType>,
    /// Whether the cloud refuses all requests.
    pub cloud_down: bool,
    /// Number of machines that can still be rented from the cloud.
    pub cloud_capacity: u32,
    pub(crate) machines_by_rental: BTreeMap<String, Vec<String>>,
    pub(crate) booting: BTreeMap<String, (u64, RentalRequest)>,
    pub(crate) last_machine_number: u32,
    /// Jobs that users have submitted or are about to submit, by name.
    pub jobs: BTreeMap<String, Submission>,
    /// Behaviour of the tasks of each job.
    pub task_behaviour: BTreeMap<String, TaskBehaviour>,
    /// Time at which the cancellation of a job was confirmed by a process outside this world.
    pub externally_cancelled: BTreeMap<String, u64>,
    /// Violations of rules found so far.
    pub violations: Vec<String>,
    /// Names of the rental requests that the cloud has executed.
    pub executed_rentals: Vec<String>,
    /// Turns of all nodes, if they are recorded.
    pub turns: Option<Vec<Turn>>,
    /// Milliseconds from each worker's report to its response, if they are recorded.
    pub report_latencies_ms: Option<Vec<u64>>,
    /// Transactions that write a key with this prefix are counted. The default is the key of the cluster's feature
    /// level.
    pub counted_key_prefix: &'static str,
    /// Number of transactions so far that write a key with `counted_key_prefix`.
    pub counted_txns: u64,
    /// Number of the counted transaction at which its sender crashes, and whether the transaction is executed.
    pub crash_at_counted_txn: Option<(u64, bool)>,
    /// Number of messages with direct orders that workers have executed, late copies included.
    pub executed_direct_orders: u64,
    /// Number of late copies of peers' messages that have reached a controller.
    pub delivered_peer_copies: u64,
    /// Number of pages of the machine list that the cloud has served.
    pub served_list_pages: u64,
    /// Range of the boot time of a rented machine in milliseconds.
    pub boot_ms: RangeInclusive<u64>,
    /// Further faults.
    pub faults: Faults,
    /// Checks of the rules, fed with the responses to users and the tasks on machines.
    pub rules: RuleChecker,
    /// Duplicates of reports that wait for a leader with a higher term than the given one.
    pub(crate) duplicates_for_next_leader: Vec<(u64, Vec<u8>)>,
    /// Whether the state service was down at the last step.
    pub(crate) was_state_service_down: bool,
    /// Whether all faults have ended.
    pub(crate) have_faults_ended: bool,
    pub(crate) rng: fastrand::Rng,
}

impl World {
    /// Creates a world with `nodes` running controllers, given the settings of each.
    pub fn new(nodes: usize, settings: impl Fn(usize) -> Settings) -> Self {
        let settings: Vec<Settings> = (0..nodes).map(settings).collect();
        let mut world = World {
            now: 1_000,
            settings,
            operators: vec![Operator::default(); nodes],
            stopwatch: || 0,
            nodes: Vec::new(),
            queue: BTreeMap::new(),
            last_event_number: 0,
            last_request_id: 0,
            responses: BTreeMap::new(),
            response_times: BTreeMap::new(),
            pending_reports: BTreeMap::new(),
            state_service: FakeStateService::default(),
            state_service_down: false,
            refused_by_state_service: BTreeSet::new(),
            isolated_from_peers: BTreeSet::new(),
            isolated_from_workers: BTreeSet::new(),
            only_reachable_node: None,
            txn_delay_ms: BTreeMap::new(),
            lost_txn_interval: 0,
            txn_count: 0,
            fail_watches: false,
            fail_lists: false,
            node_wakeups: 0,
            workers: BTreeMap::new(),
            machine_types: default_machine_types(),
            cloud_down: false,
            cloud_capacity: 0,
            machines_by_rental: BTreeMap::new(),
            booting: BTreeMap::new(),
            last_machine_number: 100,
            jobs: BTreeMap::new(),
            task_behaviour: BTreeMap::new(),
            externally_cancelled: BTreeMap::new(),
            violations: Vec::new(),
            executed_rentals: Vec::new(),
            report_latencies_ms: None,
            counted_key_prefix: CLUSTER_LEVEL_KEY,
            counted_txns: 0,
            crash_at_counted_txn: None,
            turns: None,
            executed_direct_orders: 0,
            delivered_peer_copies: 0,
            served_list_pages: 0,
            boot_ms: 2_000..=2_000,
            faults: Faults::default(),
            rules: RuleChecker::default(),
            duplicates_for_next_leader: Vec::new(),
            was_state_service_down: false,
            have_faults_ended: false,
            rng: fastrand::Rng::with_seed(0),
        };
        if let Some(first) = world.settings.first() {
            let deployment = &first.deployment;
            world.rules = RuleChecker::new(deployment.teams.clone(), deployment.workers.cancel_s);
            world.state_service.limits = Some(limits_of(&deployment.state.current()));
        }
        for i in 0..nodes {
            world.nodes.push(NodeSlot {
                node: None,
                process_epoch: 0,
            });
            world.start(i);
        }
        world
    }

    /// Seeds the random number generator of the world.
    pub fn seed(&mut self, seed: u64) {
        self.rng = fastrand::Rng::with_seed(seed);
    }

    /// Applies the lower of the current and the announced limits to the state service, as the settings give them.
    pub fn apply_next_limits(&mut self) {
        let least = self.settings[0].deployment.state.strictest();
        self.state_service.limits = Some(limits_of(&least));
    }

    /// Adds a running machine.
    pub fn add_machine(&mut self, name: &str, zone: &str) {
        let worker = FakeWorker::new(name, zone, false, self.now);
        self.workers.insert(name.to_string(), worker);
    }

    /// Machine, task and attempt of all tasks of a job that are on machines, including those that fetch their image.
    pub fn placed_tasks(&self, job: &str) -> Vec<(String, String, u64)> {
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

    /// A random number from 0 to `max`. Returns 0 without drawing if `max` is `None`.
    pub(crate) fn random_up_to(&mut self, max: Option<u64>) -> u64 {
        max.map_or(0, |max| self.rng.u64(0..=max))
    }

    /// Draws an event with this probability. Does not draw if the probability is 0.
    pub(crate) fn happens(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.rng.f64() < probability
    }

    /// Ends all faults and starts the nodes that are down. From now on, no request may stay unanswered for long, and no
    /// task may wait while a machine has enough free resources.
    pub fn end_faults(&mut self) {
        self.state_service_down = false;
        self.cloud_down = false;
        self.refused_by_state_service.clear();
        self.isolated_from_peers.clear();
        self.isolated_from_workers.clear();
        self.only_reachable_node = None;
        self.txn_delay_ms.clear();
        self.lost_txn_interval = 0;
        self.fail_watches = false;
        self.fail_lists = false;
        self.faults = Faults::default();
        for worker in self.workers.values_mut() {
            worker.end_faults(self.now);
        }
        for i in 0..self.nodes.len() {
            if self.nodes[i].node.is_none() {
                self.start(i);
            }
        }
        self.have_faults_ended = true;
        self.rules.faults_ended(self.now);
    }
}

/// Converts the limits of the state service from the settings.
fn limits_of(limits: &control::settings::EffectiveLimits) -> StateServiceLimits {
    StateServiceLimits {
        value_bytes: limits.value_bytes,
        txn_ops: limits.txn_ops,
        rps: limits.rps,
        write_rps: limits.write_rps,
    }
}
