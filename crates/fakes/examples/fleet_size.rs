//! Processor time of the leader's rounds and of a node's turns at 2,000 and at 4,000 machines, measured in one run.
//!
//! `cargo run --release -p vetchmount-fakes --example fleet_size`. Not part of CI, since it measures real time.

mod measuring;

use hdrhistogram::Histogram;
use measuring::{histogram, runs, settings, stopwatch};
use std::sync::Mutex;
use vetchmount_fakes::{array, World};
use wire::records::{job_key, JobRecord};

const NODES: usize = 3;
/// Tasks of each running job, as many on average as four machines have.
const TASKS_A_JOB: u64 = 12;
/// Simulated milliseconds that are measured, with a change of leader in the middle.
const MEASURED_MS: u64 = 60_000;

/// Microseconds of all rounds of decisions so far.
static ROUNDS_US: Mutex<Vec<u64>> = Mutex::new(Vec::new());

/// Takes the rounds' times from the log.
struct RoundLog;

impl log::Log for RoundLog {
    fn enabled(&self, _: &log::Metadata) -> bool {
        true
    }

    fn log(&self, record: &log::Record) {
        let line = record.args().to_string();
        let Some((_, took)) = line
            .strip_prefix("event=round ")
            .and_then(|l| l.split_once("took_us="))
        else {
            return;
        };
        if let (Ok(us), Ok(mut rounds)) = (took.parse(), ROUNDS_US.lock()) {
            rounds.push(us);
        }
    }

    fn flush(&self) {}
}

/// Microseconds of turns and of rounds.
struct Times {
    turns: Histogram<u64>,
    rounds: Histogram<u64>,
}

/// A cluster with three running tasks a machine and half as many open jobs as machines.
fn measure(machines: usize) -> Times {
    let mut world = World::new(NODES, |node| settings(node, NODES));
    for machine in 0..machines {
        let zone = if machine % 2 == 0 { "a" } else { "b" };
        world.add_machine(&format!("vm-{machine:06}"), zone);
    }
    world.run(12_000);
    for number in 0..machines / 2 {
        let waits = number % 2 == 1;
        let mut job = array(&format!("run-{number:06}"), TASKS_A_JOB);
        job.zone = waits.then(|| "c".into());
        world.describe(&job, runs(600_000));
        let record = JobRecord::new(job, 1_700_000_000_000);
        let key = job_key(&record.spec.id);
        world.state.write(&key, &record, None);
    }
    world.run(60_000);
    world.stopwatch = stopwatch;
    for node in 0..NODES {
        world.crash(node);
        world.start(node);
    }
    world.run(20_000);
    ROUNDS_US.lock().expect("rounds").clear();
    world.turns = Some(Vec::new());
    world.run(MEASURED_MS / 2);
    let leader = world.leader().expect("a leader");
    world.crash(leader);
    world.start(leader);
    world.run(MEASURED_MS / 2);
    let turns = world.turns.take().unwrap_or_default();
    let turns: Vec<u64> = turns.iter().map(|turn| turn.took_us).collect();
    let rounds = ROUNDS_US.lock().expect("rounds").clone();
    Times {
        turns: histogram(&turns),
        rounds: histogram(&rounds),
    }
}

fn main() {
    log::set_logger(&RoundLog).expect("the only logger");
    log::set_max_level(log::LevelFilter::Debug);
    let small = measure(2_000);
    let large = measure(4_000);
    for (name, small, large) in [
        ("turn", &small.turns, &large.turns),
        ("round", &small.rounds, &large.rounds),
    ] {
        println!(
            "{name}: {} and {} measured; mean at 4,000 machines {:.2} times that at 2,000, p99 {:.2} times, \
             total {:.2} times",
            small.len(),
            large.len(),
            large.mean() / small.mean(),
            large.value_at_quantile(0.99) as f64 / small.value_at_quantile(0.99) as f64,
            large.mean() * large.len() as f64 / (small.mean() * small.len() as f64),
        );
    }
}
