//! Load that partitions move away from the leader: its time in turns, its messages and its workers at 1,000, 2,000 and
//! 4,000 machines with three and five controllers, with partitions on and off, as ratios within one run. Also the cost
//! of partitions elsewhere.
//!
//! `cargo run --release -p vetchmount-fakes --example partition_load`. Not part of CI, since it measures real time.
//! Most machines are full of long tasks, one in sixteen has free resources. Delays are simulated milliseconds.

mod measuring;

use control::settings::{PartitionSettings, RolloutSettings};
use control::Operator;
use hdrhistogram::Histogram;
use measuring::{histogram, runs, settings, stopwatch};
use vetchmount_fakes::{array_job, Turn, TurnKind, World};
use wire::records::{job_key, JobRecord};

/// Tasks of each running job: as many as fit on four machines.
const TASKS_PER_JOB: usize = 16;
/// One in this many machines has free resources.
const FREE_MACHINE_INTERVAL: usize = 16;
/// Simulated milliseconds that are measured.
const MEASURED_MS: u64 = 60_000;
/// Milliseconds between two reports of a machine, as in the settings.
const REPORT_MS: u64 = 8_000;
/// Offset in milliseconds between the reports of successive machines.
const REPORT_OFFSET_MS: u64 = 1_237;
/// Number of small jobs for which the delay from acceptance to placement is measured.
const MEASURED_STARTS: usize = 40;

/// Measurements of one cluster.
struct Measured {
    /// Microseconds of the leader in all its turns.
    leader_us: u64,
    /// Microseconds of the leader in turns about reports and partitions.
    leader_reports_us: u64,
    /// Number of reports that were answered by any controller.
    answered: u64,
    /// Microseconds of the leader in turns of kind [`TurnKind::Other`], which are as many with partitions as without.
    leader_other_us: u64,
    /// Number of the leader's turns: one for each message or tick.
    leader_turns: u64,
    /// Microseconds of all other controllers in their turns.
    others_us: u64,
    /// Number of workers that report to the leader.
    leader_workers: usize,
    answer_ms: Histogram<u64>,
    start_ms: Histogram<u64>,
    /// Milliseconds from the crash of the leader until every worker was answered under a newer term.
    change_ms: u64,
    /// Microseconds of all controllers for the move of one partition, less their time without a move.
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
        // The machines' reports are spread evenly over the report interval.
        if let Some(worker) = world.workers.get_mut(&name) {
            worker.next_report_at += (machine as u64 * REPORT_OFFSET_MS) % REPORT_MS;
        }
    }
    world.run_for(12_000);
    let full = machines - machines / FREE_MACHINE_INTERVAL;
    for number in 0..full * 4 / TASKS_PER_JOB {
        let job = array_job(&format!("run-{number:06}"), TASKS_PER_JOB as u64);
        world.upload_job(&job, runs(3_000_000));
        let record = JobRecord::new(job, 1_700_000_000_000);
        let key = job_key(&record.spec.id);
        world.state_service.write(&key, &record, None);
    }
    // Time to place the tasks, to reach a steady state, and to redirect the workers to their owners at 50 per second.
    world.run_for(180_000);
    world
}

/// Microseconds of all controllers in turns while `ms` of simulated time pass.
fn spent_us(world: &mut World, ms: u64) -> i64 {
    world.turns = Some(Vec::new());
    world.run_for(ms);
    let turns = world.turns.take().unwrap_or_default();
    turns.iter().map(|turn| turn.took_us as i64).sum()
}

fn move_cost_us(world: &mut World) -> i64 {
    let quiet = spent_us(world, 10_000);
    let mut moves = 0;
    for partition in 0..8 {
        let to = (0..world.node_count()).find(|to| world.move_partition(partition, *to));
        moves += i64::from(to.is_some());
    }
    let moving = spent_us(world, 10_000);
    (moving - quiet) / moves.max(1)
}

fn start_delays(world: &mut World) -> Histogram<u64> {
    let mut delays = Vec::new();
    for number in 0..MEASURED_STARTS {
        let id = format!("run-{}", 900_000 + number);
        let job = array_job(&id, 1);
        let follower = usize::from(world.leader() == Some(0));
        assert_eq!(world.submit(follower, &job, runs(2_000)), 201);
        let accepted_at = world.now;
        while world.placed_tasks(&id).is_empty() && world.now < accepted_at + 60_000 {
            world.run_for(10);
        }
        delays.push(world.now - accepted_at);
        world.run_for(700);
    }
    histogram(&delays)
}

fn leader_change_ms(world: &mut World) -> u64 {
    let leader = world.leader().expect("a leader");
    let before = world.term_of(leader).expect("a term");
    world.crash(leader);
    world.start(leader);
    let since = world.now;
    let answered = |world: &World| world.workers.values().all(|w| w.term > before);
    while !answered(world) && world.now < since + 120_000 {
        world.run_for(50);
    }
    world.now - since
}

fn measure(machines: usize, nodes: usize, partitions: bool) -> Measured {
    let mut world = cluster(machines, nodes, partitions);
    world.turns = Some(Vec::new());
    world.report_latencies_ms = Some(Vec::new());
    world.run_for(MEASURED_MS);
    let turns = world.turns.take().unwrap_or_default();
    let delays = world.report_latencies_ms.take().unwrap_or_default();
    let leader = world.leader().expect("a leader");
    let us = |counts: &dyn Fn(&Turn) -> bool| {
        let turns = turns.iter().filter(|t| counts(t));
        turns.map(|t| t.took_us).sum::<u64>()
    };
    let is_about_reports =
        |t: &Turn| matches!(t.kind, TurnKind::WorkerHeartbeat | TurnKind::Partitions);
    Measured {
        leader_us: us(&|t| t.node == leader),
        leader_reports_us: us(&|t| t.node == leader && is_about_reports(t)),
        leader_other_us: us(&|t| t.node == leader && t.kind == TurnKind::Other),
        answered: delays.len() as u64,
        leader_turns: turns.iter().filter(|t| t.node == leader).count() as u64,
        others_us: us(&|t| t.node != leader),
        leader_workers: world.workers.values().filter(|w| w.node == leader).count(),
        answer_ms: histogram(&delays),
        start_ms: start_delays(&mut world),
        move_us: partitions.then(|| move_cost_us(&mut world)),
        change_ms: leader_change_ms(&mut world),
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
