//! A model of one term: a leader, three controllers that ask for grants and answer machines, and a network that
//! loses, repeats and delays messages as it likes. Clocks drift apart as far as the protocol allows, processes
//! restart, partitions move.
//!
//! What must hold: at each answer of an owner the leader believes that it is possible, and nobody else may answer for
//! the partition; and ever after the leader believes that the machine was answered then, or later. Each safeguard,
//! taken out, must be found by some schedule. `SCHEDULES=100000` plays more of them.

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
/// Steps of a schedule.
const STEPS: usize = 400;

/// A safeguard that is taken out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    /// Grants and permits do not tell epochs apart.
    EpochCheck,
    /// A grant runs from when it arrives.
    RequestClock,
    /// A partition is granted to its next owner at once.
    WaitForGrantEnd,
    /// Grants carry no recalls.
    RecallInGrant,
}

#[derive(Debug, Clone)]
enum Step {
    /// Time passes.
    Wait(u64),
    /// An owner asks if that is due.
    Ask(usize),
    /// The message that has waited for longest is delivered, or the one at this place.
    Deliver(usize),
    /// The same, and a copy stays on its way.
    Repeat(usize),
    /// A message is lost.
    Lose(usize),
    /// A machine reports to a controller.
    WorkerHeartbeat { machine: usize, owner: usize },
    /// Something is pending for a machine, or no longer.
    Touch(usize),
    /// A partition gets its next owner.
    Move { machine: usize, to: usize },
    /// A controller's process ends and another one begins.
    Restart(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (1..1_500u64).prop_map(Step::Wait),
        1 => (1_500..9_000u64).prop_map(Step::Wait),
        6 => (0..OWNERS).prop_map(Step::Ask),
        10 => (0..3usize).prop_map(Step::Deliver),
        1 => (0..3usize).prop_map(Step::Repeat),
        1 => (0..3usize).prop_map(Step::Lose),
        8 => (0..MACHINES, 0..OWNERS).prop_map(|(machine, owner)| Step::WorkerHeartbeat { machine, owner }),
        2 => (0..MACHINES).prop_map(Step::Touch),
        1 => (0..MACHINES, 0..OWNERS).prop_map(|(machine, to)| Step::Move { machine, to }),
        1 => (0..OWNERS).prop_map(Step::Restart),
    ]
}

/// A message on its way.
#[derive(Debug, Clone)]
enum Message {
    Request(usize, GrantRequest),
    Grant(usize, Grant),
    Permits(usize, u64, Vec<Permit>),
    Recall(usize, u64, Vec<RecalledPermit>),
    /// A report that an owner passed on.
    WorkerHeartbeat(usize, WorkerHeartbeat),
}

struct Process {
    owner: Owner,
    boot: u64,
    /// What its clock shows at time 0, and how fast it runs.
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
    wire: Vec<Message>,
    touched: [bool; MACHINES],
    /// When owners last answered each machine.
    answered: BTreeMap<String, u64>,
    seq: u64,
    next_boot: u64,
}

fn label(owner: usize) -> String {
    format!("n{owner}")
}

/// Machines of three partitions.
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
            wire: Vec::new(),
            touched: [false; MACHINES],
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

    fn play(&mut self, step: Step) -> Result<(), String> {
        match step {
            Step::Wait(ms) => self.now += ms,
            Step::Ask(owner) => {
                let clock = self.clock(owner);
                let load = ControllerLoad::default();
                let request = self.processes[owner].owner.request(load, clock);
                self.wire
                    .extend(request.map(|r| Message::Request(owner, r)));
            }
            Step::Deliver(place) if !self.wire.is_empty() => {
                let message = self.wire.remove(place.min(self.wire.len() - 1));
                self.deliver(message);
            }
            Step::Repeat(place) if !self.wire.is_empty() => {
                let message = self.wire[place.min(self.wire.len() - 1)].clone();
                self.deliver(message);
            }
            Step::Lose(place) if !self.wire.is_empty() => {
                self.wire.remove(place.min(self.wire.len() - 1));
            }
            Step::Deliver(_) | Step::Repeat(_) | Step::Lose(_) => {}
            Step::WorkerHeartbeat { machine, owner } => return self.report(machine, owner),
            Step::Touch(machine) => {
                self.touched[machine] = !self.touched[machine];
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
            Decision::Forward => self.wire.push(Message::WorkerHeartbeat(owner, report)),
            Decision::Redirect(_) | Decision::Outdated => {}
        }
        Ok(())
    }

    /// An owner answers a machine now.
    fn check_answer(&self, name: &str, owner: usize) -> Result<(), String> {
        let until = self.leader.answers_until(name);
        if until.is_none_or(|until| until < self.now) {
            return Err(format!(
                "{name} answered at {} by n{owner}, believed until {until:?}",
                self.now
            ));
        }
        let partition = partition_of(name);
        let others = (0..OWNERS).filter(|other| *other != owner);
        for other in others {
            if self.processes[other]
                .owner
                .holds(partition, self.clock(other))
            {
                return Err(format!("n{owner} and n{other} hold partition {partition}"));
            }
        }
        Ok(())
    }

    /// The leader has not forgotten an answer.
    fn check_memory(&self) -> Result<(), String> {
        for (name, at) in &self.answered {
            let until = self.leader.answers_until(name);
            if until.is_none_or(|until| until < *at) {
                return Err(format!(
                    "{name} was answered at {at}, believed until {until:?}"
                ));
            }
        }
        Ok(())
    }

    fn is_steady(touched: &[bool; MACHINES], name: &str) -> bool {
        (0..MACHINES).any(|number| machine(number) == name && !touched[number])
    }

    fn send_recalls(&mut self) {
        let touched = self.touched;
        self.leader
            .withdraw_unless(|name| Self::is_steady(&touched, name));
        let recalls = self.leader.urgent_recalls();
        for ((owner, boot), permits) in recalls {
            let to = (0..OWNERS).find(|o| label(*o) == owner).expect("an owner");
            self.wire.push(Message::Recall(to, boot, permits));
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
                let touched = self.touched;
                if !Self::is_steady(&touched, &report.machine) {
                    return;
                }
                let seq = (report.incarnation, report.seq);
                let permit = self
                    .leader
                    .permit(&label(owner), &report.machine, seq, self.now);
                if let Some((boot, mut permit)) = permit {
                    if self.fault == Some(Fault::EpochCheck) {
                        permit.partition.epoch = 0;
                    }
                    self.wire.push(Message::Permits(owner, boot, vec![permit]));
                }
            }
        }
    }

    fn on_request(&mut self, owner: usize, mut request: GrantRequest) {
        // A request of an earlier process is not listened to: heartbeats tell.
        if request.boot != self.processes[owner].boot {
            return;
        }
        if self.fault == Some(Fault::WaitForGrantEnd) {
            request.applied = u64::MAX;
        }
        let name = label(owner);
        self.leader
            .on_request(&name, &request, self.now)
            .expect("a good request");
        let rows = self.table.iter().filter(|(_, (o, _))| *o == owner);
        let entitled: Vec<PartitionEpoch> = rows
            .map(|(partition, (_, epoch))| PartitionEpoch {
                partition: *partition,
                epoch: *epoch,
            })
            .collect();
        let mut grant = self
            .leader
            .grant(&name, &request, &entitled, 4_000, self.now);
        match self.fault {
            Some(Fault::EpochCheck) => grant.partitions.iter_mut().for_each(|p| p.epoch = 0),
            Some(Fault::RecallInGrant) => {
                grant.recalled.clear();
            }
            _ => {}
        }
        self.wire.push(Message::Grant(owner, grant));
    }
}

fn schedules() -> impl Strategy<Value = Vec<Step>> {
    prop::collection::vec(step(), STEPS)
}

fn play(fault: Option<Fault>, steps: Vec<Step>) -> Result<usize, String> {
    let mut model = Model::new(fault);
    for step in steps {
        model.play(step)?;
        model.check_memory()?;
    }
    Ok(model.leader.permits())
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
fn no_owner_answers_later_than_the_leader_believes_and_no_two_hold_a_partition() {
    let schedules_wanted = std::env::var("SCHEDULES").ok();
    let count = schedules_wanted.and_then(|text| text.parse().ok());
    let outcome = runner(count.unwrap_or(3_000)).run(&schedules(), |steps| {
        play(None, steps).map_err(TestCaseError::fail)?;
        Ok(())
    });
    outcome.expect("the invariants hold");
}

/// The schedules are of some use: in most of them permits are in use at the end.
#[test]
fn schedules_bring_owners_to_answer() {
    let answering = Cell::new(0);
    runner(200)
        .run(&schedules(), |steps| {
            let permits = play(None, steps).map_err(TestCaseError::fail)?;
            answering.set(answering.get() + usize::from(permits > 0));
            Ok(())
        })
        .expect("the invariants hold");
    let answering = answering.get();
    assert!(
        answering >= 50,
        "{answering} of 200 schedules end with permits"
    );
}

fn is_found(fault: Fault) -> bool {
    let outcome = runner(20_000).run(&schedules(), |steps| {
        play(Some(fault), steps).map_err(TestCaseError::fail)?;
        Ok(())
    });
    matches!(outcome, Err(TestError::Fail(..)))
}

#[test]
fn a_grant_that_runs_from_its_arrival_is_found() {
    assert!(is_found(Fault::RequestClock));
}

#[test]
fn permits_without_epochs_are_found() {
    assert!(is_found(Fault::EpochCheck));
}

#[test]
fn a_next_owner_that_does_not_wait_is_found() {
    assert!(is_found(Fault::WaitForGrantEnd));
}

#[test]
fn grants_without_recalls_are_found() {
    assert!(is_found(Fault::RecallInGrant));
}
