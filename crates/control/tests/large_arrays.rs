//! Very large arrays of small tasks and swarms of one-task jobs, beside small work of other teams.

mod common;

use common::*;
use fakes::{array, World};
use std::sync::atomic::{AtomicU64, Ordering};
use wire::records::*;
use wire::users::Submission;

/// Tasks of the large array, each of a quarter CPU.
const TASKS: u64 = 25_000;
/// Jobs of the swarm.
const SWARM: usize = 320;
/// Machines of the cluster, each with room for 128 such tasks by CPU.
const MACHINES: usize = 4;

/// A simulated cluster of machines that stand ready, with two teams and a stopwatch that counts looks at it: a round
/// looks once for each decision.
fn counted_cluster(looks: fn() -> u64) -> World {
    let mut w = start_cluster_with(1, MACHINES, |i| {
        let mut s = settings(i, 1, 0.0);
        s.deployment.objectives[0].kind = "guarantee".into();
        s.deployment.teams = vec![team("t", 0.0), team("u", 0.0)];
        s
    });
    w.stopwatch = looks;
    w.crash(0);
    w.start(0);
    w.run(6_000);
    w
}

/// A job of tasks of a quarter CPU.
fn small_tasks(id: &str, tasks: u64) -> Submission {
    Submission {
        cpus: 0.25,
        gpus: 0.0,
        mem_gb: 0.5,
        guess_s: 5.0,
        ..array(id, tasks)
    }
}

/// A single small task of another team, submitted now, is done within a time.
fn small_task_is_done(w: &mut World, id: &str, within_ms: u64) {
    let job = of_team("u", small_tasks(id, 1));
    assert_eq!(w.submit(0, &job, runs_for(1_000)), 201);
    assert!(completes_within(w, id, within_ms), "{id}");
}

#[test]
fn an_array_of_25_000_tasks_takes_bounded_records_and_rounds_and_holds_up_nobody() {
    static LOOKS: AtomicU64 = AtomicU64::new(0);
    let mut w = counted_cluster(|| LOOKS.fetch_add(1, Ordering::Relaxed));
    let (submitted, bytes) = (w.state.writes, w.state.bytes_written);
    assert_eq!(
        w.submit(0, &small_tasks("run-1", TASKS), runs_for(5_000)),
        201
    );
    w.run(3_000);
    let mut most_looks = 0;
    for n in 0..10 {
        let looks = LOOKS.load(Ordering::Relaxed);
        // The first one waits until the array's pilots, a twentieth of its tasks, have been placed.
        let within_ms = if n == 0 { 12_000 } else { 5_000 };
        small_task_is_done(&mut w, &format!("run-{}", 100 + n), within_ms);
        w.run(5_000);
        most_looks = most_looks.max(LOOKS.load(Ordering::Relaxed) - looks);
        let pages = w.state.largest(PAGES);
        assert!(pages <= 8 * 1024, "a page of {pages} bytes");
        assert!(w.on_machines("run-1").len() <= MACHINES * 128);
    }
    let tasks_done: u64 = recorded_page_entries(&w)
        .iter()
        .filter(|e| e.job == "run-1")
        .map(|e| sched::RangeSet::parse(&e.chunk.done).expect("ranges").len())
        .sum();
    assert!(tasks_done >= 6_000, "{tasks_done} tasks done");
    // A look for each decision, some 100 tasks a second, and two for each round.
    assert!(most_looks <= 3_000, "{most_looks} looks in ten seconds");
    let (writes, bytes) = (w.state.writes - submitted, w.state.bytes_written - bytes);
    assert!(writes <= 300, "{writes} changes");
    let each = bytes as u64 / writes;
    assert!(each <= 2_048, "{each} bytes a change");
    assert_no_violations(&w);
}

#[test]
fn a_swarm_of_one_task_jobs_stays_within_the_state_services_write_rate() {
    let mut w = counted_cluster(|| 0);
    let writes = w.state.writes;
    // Eight a second for forty seconds; the state service takes 50 changes a second.
    for n in 0..SWARM {
        let id = format!("run-{}", 1_000 + n);
        let body = wire::encode(&small_tasks(&id, 1));
        w.describe(&small_tasks(&id, 1), runs_for(3_000));
        w.send(0, "POST", "/submissions", body);
        w.run(120);
        if n % 80 == 40 {
            small_task_is_done(&mut w, &format!("run-{}", 100 + n), 5_000);
        }
    }
    assert!(
        w.until(20_000, |w| w.state.keys(JOBS).is_empty()),
        "all are over"
    );
    assert_eq!(w.state.too_many, 0, "no change was refused for its rate");
    let writes = w.state.writes - writes;
    assert!(writes <= 1_600, "{writes} changes for {SWARM} jobs");
    assert_no_violations(&w);
}
