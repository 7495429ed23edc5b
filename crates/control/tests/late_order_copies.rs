//! Late copies of orders: a message that was carried out and answered before reaches its destination once more, while
//! its task was done, moved or cancelled in between, and controllers or machines were away for less than a second.
//!
//! Workers follow the protocol to the letter. An order to start an attempt has no effect while the worker knows the
//! attempt, in any state. The worker forgets an attempt when it is ordered to, and all attempts when its lease expires.
//! It drops an answer 4 s after its heartbeat, and answers of an earlier session or a lower term, but not a second copy.
//!
//! `SEEDS=200` plays that many drawn scenarios instead of the default, `FROM=1000` sets the first seed.

mod common;

use common::*;
use fakes::{array_job, gang_job, DuplicateTarget, FakeWorker, TaskBehaviour, World};
use std::collections::BTreeSet;
use wire::users::{Phase, Priority, Submission};
use wire::workers::{DirectOrders, Order};

const DEFAULT_SEED_COUNT: u64 = 24;
/// Delays of the copies: before and after a worker's next heartbeat, its response timeout and its lease, and beyond.
const COPY_DELAYS_MS: [u64; 9] = [100, 400, 900, 2_000, 3_900, 6_000, 13_000, 25_000, 45_000];
/// Time after which no copy is on its way any more.
const LAST_COPY_MS: u64 = 46_000;

/// A cluster of three controllers in which every message with orders is copied.
fn start_with_copies(machines: usize) -> World {
    let mut world = start_cluster(3, machines, 0.0);
    world.faults.order_copy_delays_ms = COPY_DELAYS_MS.to_vec();
    world
}

/// Asserts that no worker has executed a start of the same attempt twice, and that no rule is broken. The rules include
/// that no start is sent after its job's cancellation was confirmed.
fn assert_started_once(world: &World) {
    for worker in world.workers.values() {
        let mut seen = BTreeSet::new();
        for attempt in &worker.started_attempts {
            assert!(seen.insert(attempt), "{attempt:?} twice on {}", worker.name);
        }
    }
    assert_no_violations(world);
}

/// Like [`assert_started_once`], where no start can be on its way while its job is cancelled.
fn assert_started_once_and_in_time(world: &World) {
    assert_started_once(world);
    let late_starts = &world.rules.late_starts;
    assert!(
        late_starts.is_empty(),
        "after the cancellation: {late_starts:?}"
    );
}

/// Returns whether a task of the job is on some machine within 20 s.
fn runs_soon(world: &mut World, id: &str) -> bool {
    world.run_until(20_000, |world| !world.placed_tasks(id).is_empty())
}

/// Returns the machine of a job's first task.
fn machine_of(world: &World, id: &str) -> String {
    let (machine, _, _) = world.placed_tasks(id).swap_remove(0);
    machine
}

/// Crashes a controller, and starts it again after `away_ms`.
fn restart_after(world: &mut World, node: usize, away_ms: u64) {
    world.crash(node);
    world.run_for(away_ms);
    world.start(node);
}

/// Sends a start to a worker's own address, with the numbers that it accepts.
fn send_direct_start(world: &mut World, machine: &str, task: &str, attempt: u64) {
    let worker = &world.workers[machine];
    let orders = DirectOrders {
        term: worker.term,
        incarnation: worker.incarnation,
        orders: vec![Order::Start {
            task: task.to_string(),
            attempt,
        }],
    };
    world.send_direct_orders(machine, &orders);
    world.run_for(100);
}

/// The reason why controllers send starts in answers to heartbeats only: a copy of a direct start is executed again as
/// soon as the worker has forgotten the attempt. It also shows that the simulated worker does so.
#[test]
fn a_copy_of_a_direct_start_would_run_a_forgotten_task_again() {
    let mut world = start_cluster(1, 1, 0.0);
    let job = array_job("run-1", 1);
    assert_eq!(world.submit(0, &job, runs_for(5_000)), 201);
    assert!(runs_soon(&mut world, "run-1"));
    let machine = machine_of(&world, "run-1");
    let starts = |world: &World| world.workers[&machine].started_attempts.clone();
    let (task, attempt) = starts(&world)[0].clone();
    send_direct_start(&mut world, &machine, &task, attempt);
    assert_eq!(starts(&world).len(), 1, "known while it runs");
    assert_eq!(world.abort(0, "run-1"), Some(Phase::Aborted));
    let is_forgotten = |world: &mut World| world.workers[&machine].tasks.is_empty();
    assert!(world.run_until(20_000, is_forgotten));
    send_direct_start(&mut world, &machine, &task, attempt);
    assert_eq!(starts(&world).len(), 2, "forgotten, and started again");
    assert_eq!(world.rules.late_starts.len(), 1);
    // Every scenario checks that controllers send no such start.
    let is_direct_start = |violation: &String| violation.starts_with("direct_start");
    assert_eq!(world.violations.len(), 2);
    assert!(world.violations.iter().all(is_direct_start));
}

#[test]
fn copies_of_orders_for_done_tasks_start_nothing() {
    let mut world = start_with_copies(3);
    for round in 0..6 {
        let id = format!("run-{round}");
        let job = array_job(&id, 9);
        assert_eq!(world.submit(round % 3, &job, runs_for(300)), 201);
        assert!(completes_within(&mut world, &id, 20_000));
    }
    world.run_for(LAST_COPY_MS);
    assert_started_once_and_in_time(&world);
}

/// Cancellations are ordered directly. Their copies arrive while the machines run other work.
#[test]
fn copies_of_orders_for_cancelled_tasks_start_nothing() {
    let mut world = start_with_copies(2);
    for round in 0..6 {
        let id = format!("run-{round}");
        let job = array_job(&id, 8);
        assert_eq!(world.submit(round % 3, &job, runs_for(60_000)), 201);
        assert!(runs_soon(&mut world, &id));
        world.run_for(500 * round as u64);
        assert_eq!(world.abort((round + 1) % 3, &id), Some(Phase::Aborted));
        world.run_for(1_500);
    }
    let later = array_job("run-9", 8);
    assert_eq!(world.submit(0, &later, runs_for(20_000)), 201);
    assert!(completes_within(&mut world, "run-9", 60_000));
    world.run_for(LAST_COPY_MS);
    assert!(world.executed_direct_orders > 6, "copies were executed too");
    assert_started_once_and_in_time(&world);
}

/// Tasks leave their machine for work of higher priority, and because the cloud takes the machine back.
#[test]
fn copies_of_orders_for_moved_tasks_start_nothing() {
    let mut world = start_with_copies(2);
    let low = Submission {
        priority: Priority::Low,
        ..array_job("run-1", 8)
    };
    assert_eq!(world.submit(0, &low, runs_for(40_000)), 201);
    assert!(runs_soon(&mut world, "run-1"));
    world.run_for(3_000);
    let urgent = Submission {
        priority: Priority::Critical,
        ..gang_job("run-2", 1)
    };
    let behaviour = TaskBehaviour {
        gang_size: 1,
        ..runs_for(2_000)
    };
    assert_eq!(world.submit(1, &urgent, behaviour), 201);
    assert!(completes_within(&mut world, "run-2", 40_000));
    assert!(runs_soon(&mut world, "run-1"));
    let machine = machine_of(&world, "run-1");
    let reclaim_at = world.now + 15_000;
    world.workers.get_mut(&machine).expect("machine").reclaim_at = Some(reclaim_at);
    assert!(completes_within(&mut world, "run-1", 200_000));
    world.run_for(LAST_COPY_MS);
    assert!(world.executed_direct_orders > 1, "copies were executed too");
    assert_started_once_and_in_time(&world);
}

/// A controller is back within a second: the leader, which has sent the starts, and any other.
#[test]
fn copies_of_orders_start_nothing_after_a_controller_returned_within_a_second() {
    for away_ms in [100, 300, 900] {
        let mut world = start_with_copies(3);
        for round in 0..3 {
            let id = format!("run-{round}");
            let job = array_job(&id, 6);
            assert_eq!(world.submit(0, &job, runs_for(1_000)), 201);
            assert!(runs_soon(&mut world, &id));
            let leader = world.leader().expect("leader");
            restart_after(&mut world, leader, away_ms);
            assert!(completes_within(&mut world, &id, 40_000), "{id}");
            let cancelled = array_job(&format!("run-1{round}"), 6);
            assert_eq!(world.submit(0, &cancelled, runs_for(60_000)), 201);
            assert!(runs_soon(&mut world, &cancelled.id));
            assert_eq!(world.abort(1, &cancelled.id), Some(Phase::Aborted));
            let leader = world.leader().expect("leader");
            restart_after(&mut world, leader, away_ms);
            assert!(world.run_until(20_000, |world| world.leader().is_some()));
        }
        world.run_for(LAST_COPY_MS);
        assert_started_once_and_in_time(&world);
    }
}

/// Machines are cut off or hang, for less than a second and for longer than their lease.
#[test]
fn copies_of_orders_start_nothing_after_a_machine_returned() {
    for away_ms in [300, 900, 14_000] {
        for hangs in [false, true] {
            let mut world = start_with_copies(3);
            assert_eq!(
                world.submit(0, &array_job("run-1", 10), runs_for(8_000)),
                201
            );
            assert_eq!(
                world.submit(1, &array_job("run-2", 2), runs_for(60_000)),
                201
            );
            assert!(runs_soon(&mut world, "run-2"));
            let until = world.now + away_ms;
            for worker in world.workers.values_mut() {
                match hangs {
                    true => worker.hung_until = until,
                    false => worker.disconnected_until = until,
                }
            }
            assert_eq!(world.abort(2, "run-2"), Some(Phase::Aborted));
            assert!(completes_within(&mut world, "run-1", 120_000));
            world.run_for(LAST_COPY_MS);
            assert_started_once_and_in_time(&world);
        }
    }
}

/// A worker's process is back within a second: it has forgotten its tasks, its term and the number of its session.
#[test]
fn copies_of_orders_start_nothing_on_a_worker_that_restarted() {
    let mut world = start_with_copies(2);
    let running = array_job("run-1", 6);
    assert_eq!(world.submit(0, &running, runs_for(20_000)), 201);
    let cancelled = array_job("run-2", 2);
    assert_eq!(world.submit(0, &cancelled, runs_for(60_000)), 201);
    assert!(runs_soon(&mut world, "run-1") && runs_soon(&mut world, "run-2"));
    world.run_for(3_000);
    let machines: Vec<String> = world.workers.keys().cloned().collect();
    let before: Vec<FakeWorker> = machines
        .iter()
        .filter_map(|name| world.workers.remove(name))
        .collect();
    assert_eq!(world.abort(1, "run-2"), Some(Phase::Aborted));
    world.run_for(700);
    for old in &before {
        let worker = FakeWorker::new(&old.name, &old.zone, old.spot, world.now);
        world.workers.insert(old.name.clone(), worker);
    }
    // Machines may be returned when they are idle, so their workers are looked at all the time.
    for _ in 0..200 {
        world.run_for(1_000);
        let returned = |old: &&FakeWorker| world.workers.contains_key(&old.name);
        for old in before.iter().filter(returned) {
            for attempt in &world.workers[&old.name].started_attempts {
                let was_started = old.started_attempts.contains(attempt);
                assert!(!was_started, "{attempt:?} again on {}", old.name);
            }
        }
    }
    assert_eq!(world.phase(0, "run-1"), Some(Phase::Done));
    assert_started_once_and_in_time(&world);
}

/// A cluster in which the controllers own parts of the fleet: owners pass heartbeats on to the leader, and its answers
/// on to the workers.
fn start_partitions_with_copies(machines: usize) -> World {
    let mut world = start_cluster(3, machines, 0.0);
    restart_all(&mut world, &partitions_operator(Vec::new()));
    let is_granted = |world: &mut World, node: usize| {
        let status = world.partitions_status(node);
        status.is_some_and(|status| status.granted_partitions > 0)
    };
    let has_two_owners =
        |world: &mut World| (0..3).filter(|node| is_granted(world, *node)).count() >= 2;
    assert!(world.run_until(60_000, has_two_owners));
    world.faults.order_copy_delays_ms = COPY_DELAYS_MS.to_vec();
    world
}

/// A controller that passed an answer on returns within a second, and a copy of the answer reaches its next process;
/// a copy of the heartbeat reaches the leader.
#[test]
fn a_controller_that_returned_passes_no_copy_of_an_answer_on() {
    let mut world = start_partitions_with_copies(6);
    for round in 0..6 {
        let id = format!("run-{round}");
        let job = array_job(&id, 20);
        assert_eq!(world.submit(0, &job, runs_for(400)), 201);
        assert!(runs_soon(&mut world, &id));
        let owner = (world.leader().expect("leader") + 1 + round % 2) % 3;
        restart_after(&mut world, owner, 300);
        assert!(completes_within(&mut world, &id, 60_000));
        let cancelled = array_job(&format!("run-1{round}"), 20);
        assert_eq!(world.submit(0, &cancelled, runs_for(60_000)), 201);
        assert!(runs_soon(&mut world, &cancelled.id));
        assert_eq!(world.abort(0, &cancelled.id), Some(Phase::Aborted));
        restart_after(&mut world, owner, 300);
    }
    world.run_for(LAST_COPY_MS);
    assert!(world.delivered_peer_copies > 0, "no answer was passed on");
    assert_started_once_and_in_time(&world);
}

/// A scenario of two minutes in which everything is drawn from the seed.
struct DrawnScenario {
    world: World,
    rng: fastrand::Rng,
    jobs: Vec<String>,
    /// Controllers that are down, and when they start again.
    down: Vec<(u64, usize)>,
}

impl DrawnScenario {
    fn new(seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let machines = rng.usize(2..=5);
        let mut world = match seed % 2 {
            0 => start_partitions_with_copies(machines),
            _ => start_with_copies(machines),
        };
        world.seed(seed);
        if rng.bool() {
            world.faults.duplicate_reports = Some((0.2, DuplicateTarget::AnyNode));
        }
        DrawnScenario {
            world,
            rng,
            jobs: Vec::new(),
            down: Vec::new(),
        }
    }

    fn run(mut self) -> World {
        let faults_end_at = self.world.now + 120_000;
        while self.world.now < faults_end_at {
            match self.rng.u8(..10) {
                0..=3 => self.submit(),
                4..=5 => self.cancel(),
                6 => self.crash(),
                7..=8 => self.disturb_machine(),
                _ => self.isolate_leader_from_workers(),
            }
            let pause_ms = self.rng.u64(50..2_000);
            self.world.run_for(pause_ms);
            self.restart_due();
        }
        self.world.end_faults();
        // Copies that are on their way still arrive.
        self.world.run_for(LAST_COPY_MS);
        self.world
    }

    fn submit(&mut self) {
        let id = format!("run-{}", self.jobs.len());
        let is_gang = self.rng.u8(..4) == 0;
        let tasks = self.rng.u64(1..=6);
        let job = match is_gang {
            true => gang_job(&id, 1),
            false => array_job(&id, tasks),
        };
        let priorities = [Priority::Low, Priority::Normal, Priority::Critical];
        let job = Submission {
            priority: priorities[self.rng.usize(..priorities.len())],
            ..job
        };
        let behaviour = TaskBehaviour {
            gang_size: u32::from(is_gang),
            ..runs_for(self.rng.u64(200..15_000))
        };
        let node = self.rng.usize(..3);
        if self.world.submit(node, &job, behaviour) == 201 {
            self.jobs.push(id);
        }
    }

    fn cancel(&mut self) {
        if !self.jobs.is_empty() {
            // Mostly a recent job, which may be starting.
            let back = self.rng.usize(1..=self.jobs.len().min(4));
            let id = self.jobs[self.jobs.len() - back].clone();
            let node = self.rng.usize(..3);
            self.world.abort(node, &id);
        }
    }

    /// Crashes a controller, mostly the leader, for less than a second.
    fn crash(&mut self) {
        let any = self.rng.usize(..3);
        let leader = self.world.leader().filter(|_| self.rng.u8(..3) > 0);
        let node = leader.unwrap_or(any);
        if !self.world.is_down(node) {
            self.world.crash(node);
            let back_at = self.world.now + self.rng.u64(50..1_000);
            self.down.push((back_at, node));
        }
    }

    fn restart_due(&mut self) {
        let now = self.world.now;
        let (due, down) = self.down.iter().partition(|(at, _)| now >= *at);
        self.down = down;
        let due: Vec<(u64, usize)> = due;
        for (_, node) in due {
            self.world.start(node);
        }
    }

    /// Cuts a machine off or lets it hang, mostly for less than a second, or announces that it is taken back.
    fn disturb_machine(&mut self) {
        let machines = self.world.workers.len();
        if machines < 2 {
            return;
        }
        let away_ms = match self.rng.u8(..4) {
            0 => self.rng.u64(5_000..20_000),
            _ => self.rng.u64(50..1_000),
        };
        let (kind, at) = (self.rng.u8(..5), self.rng.usize(..machines));
        let until = self.world.now + away_ms;
        let worker = self.world.workers.values_mut().nth(at).expect("a machine");
        match kind {
            0..=1 => worker.disconnected_until = until,
            2..=3 => worker.hung_until = until,
            _ if worker.reclaim_at.is_none() && machines > 2 => {
                worker.reclaim_at = Some(until + 5_000);
            }
            _ => {}
        }
    }

    /// Heartbeats reach the leader through other controllers, or directly again.
    fn isolate_leader_from_workers(&mut self) {
        let isolated = &mut self.world.isolated_from_workers;
        let was_isolated = !isolated.is_empty();
        isolated.clear();
        if let Some(leader) = self.world.leader().filter(|_| !was_isolated) {
            self.world.isolated_from_workers.insert(leader);
        }
    }
}

fn number_from_env(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.and_then(|text| text.parse().ok()).unwrap_or(default)
}

#[test]
fn late_copies_of_orders_break_no_rule() {
    let first = number_from_env("FROM", 1);
    let seeds = first..first + number_from_env("SEEDS", DEFAULT_SEED_COUNT);
    let (mut started, mut direct, mut passed_on) = (0, 0, 0);
    for seed in seeds {
        println!("seed {seed}");
        let world = DrawnScenario::new(seed).run();
        // A start that a hanging machine executes late, but for the first time, is allowed: "also tasks whose start command
        // was still in flight". A copy of it would be a second one.
        assert_started_once(&world);
        let workers = world.workers.values();
        started += workers
            .map(|worker| worker.started_attempts.len())
            .sum::<usize>();
        direct += world.executed_direct_orders;
        passed_on += world.delivered_peer_copies;
    }
    println!("{started} starts, {direct} direct orders, {passed_on} copies between controllers");
    assert!(started > 0 && direct > 0 && passed_on > 0);
}
