//! A model of one term: a leader, three controllers that request grants and answer machines, and a network that loses,
//! duplicates, delays and reorders messages. Clocks drift apart as far as the protocol allows, processes restart, and
//! partitions move.
//!
//! Invariants: when an owner answers a machine, the leader considers the answer possible, and no other owner holds a
//! grant for the partition. Afterwards, the leader never assumes that the machine's last answer was earlier. If any of
//! the safeguards is disabled, some random schedule must violate an invariant. `SCHEDULES=100000` runs more schedules.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestError, TestRng, TestRunner};
use std::cell::Cell;
use std::collections::BTreeMap;
use vetchmount_partitions::{partition_of, Decision, Delegation, Owner};
use wire::partitions::*;
use wire::workers::{TaskPhase, TaskStatus, WorkerHeartbeat};

const OWNERS: usize = 3;
const MACHINES: usize = 3;
const REPORT_MS: u64 = 2_000;
const TERM: u64 = 7;
/// Number of steps of a schedule.
const STEPS: usize = 400;

/// A safeguard that is disabled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    /// Grants and permits do not distinguish epochs.
    EpochCheck,
    /// A grant is valid from its arrival instead of from the owner's request.
    RequestClock,
    /// A partition is granted to its next owner before the previous grant has ended.
    WaitForGrantEnd,
    /// Grants contain no recalls.
    RecallInGrant,
}

#[derive(Debug, Clone)]
enum Step {
    /// Time passes.
    Wait(u64),
    /// An owner sends a request if one is due.
    RequestGrant(usize),
    /// The message at this position is delivered, counted from the one that has waited for longest. If there are fewer
    /// messages, it is the last one.
    Deliver(usize),
    /// The message at this position is delivered, and a copy stays in the network.
    Duplicate(usize),
    /// The message at this position is lost.
    Lose(usize),
    /// A machine reports to a controller.
    WorkerHeartbeat { machine: usize, owner: usize },
    /// The leader has something pending for a machine from now on, or no longer. The machine is steady if not.
    TogglePending(usize),
    /// The partition of a machine moves to another owner.
    Move { machine: usize, to: usize },
    /// A controller's process ends and a new one starts.
    Restart(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (1..1_500u64).prop_map(Step::Wait),
        1 => (1_500..9_000u64).prop_map(Step::Wait),
        6 => (0..OWNERS).prop_map(Step::RequestGrant),
        10 => (0..3usize).prop_map(Step::Deliver),
        1 => (0..3usize).prop_map(Step::Duplicate),
        1 => (0..3usize).prop_map(Step::Lose),
        8 => (0..MACHINES, 0..OWNERS).prop_map(|(machine, owner)| Step::WorkerHeartbeat { machine, owner }),
        2 => (0..MACHINES).prop_map(Step::TogglePending),
        1 => (0..MACHINES, 0..OWNERS).prop_map(|(machine, to)| Step::Move { machine, to }),
        1 => (0..OWNERS).prop_map(Step::Restart),
    ]
}

/// A message in the network.
#[derive(Debug, Clone)]
enum Message {
    Request(usize, GrantRequest),
    Grant(usize, Grant),
    Permits(usize, u64, Vec<Permit>),
    Recall(usize, u64, Vec<RecalledPermit>),
    /// A report that an owner has forwarded.
    WorkerHeartbeat(usize, WorkerHeartbeat),
}

struct Process {
    owner: Owner,
    boot: u64,
    /// The value of its clock at time 0, and the clock's rate.
    offset: u64,
    rate: f64,
}

struct Model {
    now: u64,
    fault: Option<Fault>,
    leader: Delegation,
    processes: Vec<Process>,
    /// Owner and epoch of each partition that has a machine.
    table: BTreeMap<PartitionId, (usize, u64)>,
    network: Vec<Message>,
    pending: [bool; MACHINES],
    /// Time at which an owner last answered each machine.
    answered: BTreeMap<String, u64>,
    seq: u64,
    next_boot: u64,
}

fn label(owner: usize) -> String {
    format!("n{owner}")
}

/// Name of a machine. The machines belong to different partitions.
fn machine(number: usize) -> String {
    format!("vm-{number:06}")
}

fn report(name: &str, seq: u64) -> WorkerHeartbeat {
    WorkerHeartbeat {
        machine: name.to_string(),
        addr: "10.0.0.1:1".into(),
        machine_type: "g4".into(),
        zone: "a".into(),
        spot: false,
        incarnation: 1,
        seq,
        term: TERM,
        reclaim_in_s: None,
        tasks: vec![TaskStatus {
            task: "run-1/0".into(),
            attempt: 1,
            phase: TaskPhase::Running,
            cause: None,
            checkpoint_written: None,
        }],
    }
}

impl Model {
    fn new(fault: Option<Fault>) -> Self {
        let rates = [0.9995, 1.0, 1.0005];
        let process = |number: usize| Process {
            owner: Owner::new(number as u64 + 1, REPORT_MS),
            boot: number as u64 + 1,
            offset: 1_000 + 40_000 * number as u64,
            rate: rates[number],
        };
        let mut table = BTreeMap::new();
        for number in 0..MACHINES {
            table.insert(partition_of(&machine(number)), (number, 1));
        }
        let mut model = Model {
            now: 10_000,
            fault,
            leader: Delegation::new(REPORT_MS),
            processes: (0..OWNERS).map(process).collect(),
            table,
            network: Vec::new(),
            pending: [false; MACHINES],
            answered: BTreeMap::new(),
            seq: 0,
            next_boot: 10,
        };
        for owner in 0..OWNERS {
            let clock = model.clock(owner);
            model.processes[owner].owner.on_term(TERM, clock);
        }
        model
    }

    fn clock(&self, owner: usize) -> u64 {
        let process = &self.processes[owner];
        process.offset + (self.now as f64 * process.rate) as u64
    }

    fn run_step(&mut self, step: Step) -> Result<(), String> {
        match step {
            Step::Wait(ms) => self.now += ms,
            Step::RequestGrant(owner) => {
                let clock = self.clock(owner);
                let load = ControllerLoad::default();
                let request = self.processes[owner].owner.next_request(load, clock);
                self.network
                    .extend(request.map(|r| Message::Request(owner, r)));
            }
            Step::Deliver(position) if !self.network.is_empty() => {
                let message = self.network.remove(position.min(self.network.len() - 1));
                self.deliver(message);
            }
            Step::Duplicate(position) if !self.network.is_empty() => {
                let message = self.network[position.min(self.network.len() - 1)].clone();
                self.deliver(message);
            }
            Step::Lose(position) if !self.network.is_empty() => {
                self.network.remove(position.min(self.network.len() - 1));
            }
            Step::Deliver(_) | Step::Duplicate(_) | Step::Lose(_) => {}
            Step::WorkerHeartbeat { machine, owner } => return self.report(machine, owner),
            Step::TogglePending(machine) => {
                self.pending[machine] = !self.pending[machine];
                self.send_recalls();
            }
            Step::Move {
                machine: number,
                to,
            } => {
                let row = self.table.get_mut(&partition_of(&machine(number)));
                if let Some((owner, epoch)) = row.filter(|(owner, _)| *owner != to) {
                    (*owner, *epoch) = (to, *epoch + 1);
                }
            }
            Step::Restart(owner) => {
                self.next_boot += 1;
                let clock = self.clock(owner);
                let process = &mut self.processes[owner];
                process.boot = self.next_boot;
                process.owner = Owner::new(self.next_boot, REPORT_MS);
                process.owner.on_term(TERM, clock);
            }
        }
        Ok(())
    }

    fn report(&mut self, number: usize, owner: usize) -> Result<(), String> {
        self.seq += 1;
        let clock = self.clock(owner);
        let name = machine(number);
        let report = report(&name, self.seq);
        let decision = self.processes[owner].owner.decide(&report, clock);
        match decision {
            Decision::Answer { .. } => {
                self.check_answer(&name, owner)?;
                self.answered.insert(name, self.now);
            }
            Decision::Forward => self.network.push(Message::WorkerHeartbeat(owner, report)),
            Decision::Redirect(_) | Decision::Outdated => {}
        }
        Ok(())
    }

    /// Checks the invariants at the moment at which an owner answers a machine.
    fn check_answer(&self, name: &str, owner: usize) -> Result<(), String> {
        let until = self.leader.latest_possible_answer(name);
        if until.is_none_or(|until| until < self.now) {
            return Err(format!(
                "n{owner} answered {name} at {}, but the leader's latest possible answer is at {until:?}",
                self.now
            ));
        }
        let partition = partition_of(name);
        let others = (0..OWNERS).filter(|other| *other != owner);
        for other in others {
            if self.processes[other]
                .owner
                .holds_grant(partition, self.clock(other))
            {
                return Err(format!(
                    "n{owner} and n{other} both hold a grant for partition {partition}"
                ));
            }
        }
        Ok(())
    }

    /// Checks that the leader knows of an answer at or after each machine's last one.
    fn check_last_answers(&self) -> Result<(), String> {
        for (name, at) in &self.answered {
            let until = self.leader.latest_possible_answer(name);
            if until.is_none_or(|until| until < *at) {
                return Err(format!(
                    "{name} was answered at {at}, but the leader's latest possible answer is at {until:?}"
                ));
            }
        }
        Ok(())
    }

    fn is_steady(pending: &[bool; MACHINES], name: &str) -> bool {
        (0..MACHINES).any(|number| machine(number) == name && !pending[number])
    }

    fn send_recalls(&mut self) {
        let pending = self.pending;
        self.leader
            .withdraw_unsteady_permits(|name| Self::is_steady(&pending, name));
        let recalls = self.leader.take_urgent_recalls();
        for ((owner, boot), permits) in recalls {
            let to = (0..OWNERS).find(|o| label(*o) == owner).expect("an owner");
            self.network.push(Message::Recall(to, boot, permits));
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Request(owner, request) => self.on_request(owner, request),
            Message::Grant(owner, mut grant) => {
                let clock = self.clock(owner);
                if self.fault == Some(Fault::RequestClock) {
                    grant.sent = clock;
                }
                self.processes[owner].owner.on_grant(TERM, grant, clock);
            }
            Message::Permits(owner, boot, permits) => {
                let clock = self.clock(owner);
                let owner = &mut self.processes[owner].owner;
                owner.on_permits(TERM, boot, permits, clock);
            }
            Message::Recall(owner, boot, permits) => {
                self.processes[owner].owner.on_recall(TERM, boot, &permits);
            }
            Message::WorkerHeartbeat(owner, report) => {
                let pending = self.pending;
                if !Self::is_steady(&pending, &report.machine) {
                    return;
                }
                let seq = (report.incarnation, report.seq);
                let permit =
                    self.leader
                        .issue_permit(&label(owner), &report.machine, seq, self.now);
                if let Some((boot, mut permit)) = permit {
                    if self.fault == Some(Fault::EpochCheck) {
                        permit.partition.epoch = 0;
                    }
                    self.network
                        .push(Message::Permits(owner, boot, vec![permit]));
                }
            }
        }
    }

    fn on_request(&mut self, owner: usize, mut request: GrantRequest) {
        // The leader ignores requests of an earlier process, which it recognizes by the peers' heartbeats.
        if request.boot != self.processes[owner].boot {
            return;
        }
        if self.fault == Some(Fault::WaitForGrantEnd) {
            request.applied = u64::MAX;
        }
        let name = label(owner);
        self.leader
            .on_request(&name, &request, self.now)
            .expect("a valid request");
        let rows = self.table.iter().filter(|(_, (o, _))| *o == owner);
        let entitled: Vec<PartitionEpoch> = rows
            .map(|(partition, (_, epoch))| PartitionEpoch {
                partition: *partition,
                epoch: *epoch,
            })
            .collect();
        let mut grant = self
            .leader
            .issue_grant(&name, &request, &entitled, 4_000, self.now);
        match self.fault {
            Some(Fault::EpochCheck) => grant.partitions.iter_mut().for_each(|p| p.epoch = 0),
            Some(Fault::RecallInGrant) => {
                grant.recalled.clear();
            }
            _ => {}
        }
        self.network.push(Message::Grant(owner, grant));
    }
}

fn schedules() -> impl Strategy<Value = Vec<Step>> {
    prop::collection::vec(step(), STEPS)
}

fn run_schedule(fault: Option<Fault>, steps: Vec<Step>) -> Result<usize, String> {
    let mut model = Model::new(fault);
    for step in steps {
        model.run_step(step)?;
        model.check_last_answers()?;
    }
    Ok(model.leader.permit_count())
}

fn runner(cases: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        max_shrink_iters: 0,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    TestRunner::new_with_rng(config, rng)
}

#[test]
fn no_owner_answers_later_than_the_leader_assumes_and_no_two_hold_a_partition() {
    let requested = std::env::var("SCHEDULES").ok();
    let count = requested.and_then(|text| text.parse().ok());
    let outcome = runner(count.unwrap_or(3_000)).run(&schedules(), |steps| {
        run_schedule(None, steps).map_err(TestCaseError::fail)?;
        Ok(())
    });
    outcome.expect("the invariants hold");
}

/// The schedules exercise the protocol: at least a quarter of them end with permits in use.
#[test]
fn schedules_lead_to_permits() {
    let with_permits = Cell::new(0);
    runner(200)
        .run(&schedules(), |steps| {
            let permits = run_schedule(None, steps).map_err(TestCaseError::fail)?;
            with_permits.set(with_permits.get() + usize::from(permits > 0));
            Ok(())
        })
        .expect("the invariants hold");
    let with_permits = with_permits.get();
    assert!(
        with_permits >= 50,
        "{with_permits} of 200 schedules end with permits"
    );
}

/// Whether some schedule violates an invariant when a safeguard is disabled.
fn is_detected(fault: Fault) -> bool {
    let outcome = runner(20_000).run(&schedules(), |steps| {
        run_schedule(Some(fault), steps).map_err(TestCaseError::fail)?;
        Ok(())
    });
    matches!(outcome, Err(TestError::Fail(..)))
}

#[test]
fn a_grant_that_is_valid_from_its_arrival_is_detected() {
    assert!(is_detected(Fault::RequestClock));
}

#[test]
fn permits_without_epochs_are_detected() {
    assert!(is_detected(Fault::EpochCheck));
}

#[test]
fn a_grant_before_the_previous_one_has_ended_is_detected() {
    assert!(is_detected(Fault::WaitForGrantEnd));
}

#[test]
fn grants_without_recalls_are_detected() {
    assert!(is_detected(Fault::RecallInGrant));
}
