//! What partitions take off the leader: its time in turns, its messages and its workers at 1,000, 2,000 and 4,000
//! machines with three and five controllers, with partitions on and off, as ratios within one run; and what they cost
//! elsewhere.
//!
//! `cargo run --release -p vetchmount-fakes --example partition_load`. Not part of CI, since it measures real time.
//! Most machines are full of long tasks, one in sixteen has room. Delays are simulated milliseconds.

mod measuring;

use control::settings::{PartitionSettings, RolloutSettings};
use control::Operator;
use hdrhistogram::Histogram;
use measuring::{histogram, runs, settings, stopwatch};
use vetchmount_fakes::{array, Turn, TurnAbout, World};
use wire::records::{job_key, JobRecord};

/// Tasks of each running job, as many as four machines take.
const TASKS_A_JOB: usize = 16;
/// One in so many machines has room.
const ROOM_PART: usize = 16;
const MEASURED_MS: u64 = 60_000;
/// Milliseconds between two reports of a machine, as the settings have it, and between those of neighbours.
const REPORT_MS: u64 = 8_000;
const SPREAD_STEP_MS: u64 = 1_237;
/// Small jobs whose way to a machine is measured.
const STARTS: usize = 40;

/// What one cluster took.
struct Measured {
    /// The leader's microseconds in all its turns, and in those about reports and partitions.
    leader_us: u64,
    leader_reports_us: u64,
    /// Reports that were answered, by whomever.
    answered: u64,
    /// The same for turns about neither, nor about time that passed: as many with partitions as without.
    leader_other_us: u64,
    /// Its turns: one for each message or tick.
    leader_turns: u64,
    /// All other controllers' microseconds.
    others_us: u64,
    /// Workers that report to it.
    leader_workers: usize,
    answer_ms: Histogram<u64>,
    start_ms: Histogram<u64>,
    /// Milliseconds after a change of leader until every worker was answered under the new term.
    change_ms: u64,
    /// Microseconds of all controllers for a move of a partition, less what the same time costs without.
    move_us: Option<i64>,
}

fn cluster(machines: usize, nodes: usize, partitions: bool) -> World {
    let mut world = World::new(nodes, |node| settings(node, nodes));
    world.stopwatch = stopwatch;
    let operator = Operator {
        rollout: Some(RolloutSettings::default()),
        partitions: partitions.then(PartitionSettings::default),
        ..Operator::default()
    };
    for node in 0..nodes {
        world.set_operator(node, operator.clone());
        world.crash(node);
        world.start(node);
    }
    for machine in 0..machines {
        let zone = if machine % 2 == 0 { "a" } else { "b" };
        let name = format!("vm-{machine:06}");
        world.add_machine(&name, zone);
        // Reports come evenly spread over the time between two of a machine.
        if let Some(worker) = world.workers.get_mut(&name) {
            worker.report_at += (machine as u64 * SPREAD_STEP_MS) % REPORT_MS;
        }
    }
    world.run(12_000);
    let full = machines - machines / ROOM_PART;
    for number in 0..full * 4 / TASKS_A_JOB {
        let job = array(&format!("run-{number:06}"), TASKS_A_JOB as u64);
        world.describe(&job, runs(3_000_000));
        let record = JobRecord::new(job, 1_700_000_000_000);
        let key = job_key(&record.spec.id);
        world.state.write(&key, &record, None);
    }
    // Placed, found steady, and the workers with their owners: 50 a second are sent there.
    world.run(180_000);
    world
}

/// Microseconds of all controllers while time passes.
fn spent_us(world: &mut World, ms: u64) -> i64 {
    world.turns = Some(Vec::new());
    world.run(ms);
    let turns = world.turns.take().unwrap_or_default();
    turns.iter().map(|turn| turn.took_us as i64).sum()
}

fn cost_of_a_move(world: &mut World) -> i64 {
    let quiet = spent_us(world, 10_000);
    let mut moves = 0;
    for partition in 0..8 {
        let to = (0..world.node_count()).find(|to| world.move_partition(partition, *to));
        moves += i64::from(to.is_some());
    }
    let moving = spent_us(world, 10_000);
    (moving - quiet) / moves.max(1)
}

fn starts(world: &mut World) -> Histogram<u64> {
    let mut delays = Vec::new();
    for number in 0..STARTS {
        let id = format!("run-{}", 900_000 + number);
        let job = array(&id, 1);
        let follower = usize::from(world.leader() == Some(0));
        assert_eq!(world.submit(follower, &job, runs(2_000)), 201);
        let accepted_at = world.now;
        while world.on_machines(&id).is_empty() && world.now < accepted_at + 60_000 {
            world.run(10);
        }
        delays.push(world.now - accepted_at);
        world.run(700);
    }
    histogram(&delays)
}

fn change_of_leader(world: &mut World) -> u64 {
    let leader = world.leader().expect("a leader");
    let before = world.term_of(leader).expect("a term");
    world.crash(leader);
    world.start(leader);
    let since = world.now;
    let answered = |world: &World| world.workers.values().all(|w| w.term > before);
    while !answered(world) && world.now < since + 120_000 {
        world.run(50);
    }
    world.now - since
}

fn measure(machines: usize, nodes: usize, partitions: bool) -> Measured {
    let mut world = cluster(machines, nodes, partitions);
    world.turns = Some(Vec::new());
    world.answer_delays_ms = Some(Vec::new());
    world.run(MEASURED_MS);
    let turns = world.turns.take().unwrap_or_default();
    let delays = world.answer_delays_ms.take().unwrap_or_default();
    let leader = world.leader().expect("a leader");
    let us = |counts: &dyn Fn(&Turn) -> bool| {
        let turns = turns.iter().filter(|t| counts(t));
        turns.map(|t| t.took_us).sum::<u64>()
    };
    let is_about_reports =
        |t: &Turn| matches!(t.about, TurnAbout::WorkerHeartbeat | TurnAbout::Partitions);
    Measured {
        leader_us: us(&|t| t.node == leader),
        leader_reports_us: us(&|t| t.node == leader && is_about_reports(t)),
        leader_other_us: us(&|t| t.node == leader && t.about == TurnAbout::Other),
        answered: delays.len() as u64,
        leader_turns: turns.iter().filter(|t| t.node == leader).count() as u64,
        others_us: us(&|t| t.node != leader),
        leader_workers: world.workers.values().filter(|w| w.node == leader).count(),
        answer_ms: histogram(&delays),
        start_ms: starts(&mut world),
        move_us: partitions.then(|| cost_of_a_move(&mut world)),
        change_ms: change_of_leader(&mut world),
    }
}

fn main() {
    println!(
        "| machines, controllers | leader's time for reports, a report | its other messages | leader's time in all | \
         leader's turns | others' time | workers at the leader | \
         report to answer ms p50/p99 | placed to started ms p50/p99 | all answered after a change ms | a move, ms of all |"
    );
    for machines in [1_000, 2_000, 4_000] {
        for nodes in [3, 5] {
            let off = measure(machines, nodes, false);
            let on = measure(machines, nodes, true);
            let each = |m: &Measured| m.leader_reports_us as f64 / m.answered as f64;
            let quantiles = |h: &Histogram<u64>| {
                format!("{}/{}", h.value_at_quantile(0.5), h.value_at_quantile(0.99))
            };
            println!(
                "| {machines}, {nodes} | {:.2} | {:.2} | {:.2} | {:.2} | {:.2} | \
                 {} to {} | {} to {} | {} to {} | {} to {} | {:.1} |",
                each(&on) / each(&off),
                on.leader_other_us as f64 / off.leader_other_us as f64,
                on.leader_us as f64 / off.leader_us as f64,
                on.leader_turns as f64 / off.leader_turns as f64,
                on.others_us as f64 / off.others_us as f64,
                off.leader_workers,
                on.leader_workers,
                quantiles(&off.answer_ms),
                quantiles(&on.answer_ms),
                quantiles(&off.start_ms),
                quantiles(&on.start_ms),
                off.change_ms,
                on.change_ms,
                on.move_us.unwrap_or(0) as f64 / 1000.0,
            );
        }
    }
}
