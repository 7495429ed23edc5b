//! Duration of the leader's rounds and of the nodes' turns at 2,000 and at 4,000 machines, measured in one run.
//!
//! `cargo run --release -p vetchmount-fakes --example fleet_size`. Not part of CI, since it measures real time.

mod measuring;

use hdrhistogram::Histogram;
use measuring::{histogram, runs, settings, stopwatch};
use std::sync::Mutex;
use vetchmount_fakes::{array_job, World};
use wire::records::{job_key, JobRecord};

const NODES: usize = 3;
/// Tasks of each job: as many as run on four machines on average.
const TASKS_PER_JOB: u64 = 12;
/// Simulated milliseconds that are measured. The leader crashes in the middle.
const MEASURED_MS: u64 = 60_000;

/// Durations in microseconds of all decision rounds so far.
static ROUNDS_US: Mutex<Vec<u64>> = Mutex::new(Vec::new());

/// A logger that collects the durations of rounds from the log lines `event=round`.
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

/// Durations of turns and of rounds in microseconds.
struct Durations {
    turns: Histogram<u64>,
    rounds: Histogram<u64>,
}

/// Measures a cluster with three running tasks per machine and half as many open jobs as machines. Every second job
/// waits, because it needs a zone that does not exist.
fn measure(machines: usize) -> Durations {
    let mut world = World::new(NODES, |node| settings(node, NODES));
    for machine in 0..machines {
        let zone = if machine % 2 == 0 { "a" } else { "b" };
        world.add_machine(&format!("vm-{machine:06}"), zone);
    }
    world.run_for(12_000);
    for number in 0..machines / 2 {
        let waits = number % 2 == 1;
        let mut job = array_job(&format!("run-{number:06}"), TASKS_PER_JOB);
        job.zone = waits.then(|| "c".into());
        world.upload_job(&job, runs(600_000));
        let record = JobRecord::new(job, 1_700_000_000_000);
        let key = job_key(&record.spec.id);
        world.state_service.write(&key, &record, None);
    }
    world.run_for(60_000);
    world.stopwatch = stopwatch;
    for node in 0..NODES {
        world.crash(node);
        world.start(node);
    }
    world.run_for(20_000);
    ROUNDS_US.lock().expect("rounds").clear();
    world.turns = Some(Vec::new());
    world.run_for(MEASURED_MS / 2);
    let leader = world.leader().expect("a leader");
    world.crash(leader);
    world.start(leader);
    world.run_for(MEASURED_MS / 2);
    let turns = world.turns.take().unwrap_or_default();
    let turns: Vec<u64> = turns.iter().map(|turn| turn.took_us).collect();
    let rounds = ROUNDS_US.lock().expect("rounds").clone();
    Durations {
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
