//! Very large arrays of small tasks and large numbers of one-task jobs, next to small jobs of other teams.

mod common;

use common::*;
use fakes::{array_job, World};
use std::sync::atomic::{AtomicU64, Ordering};
use wire::records::*;
use wire::users::Submission;

/// Number of tasks of the large array, each of which needs a quarter of a CPU.
const ARRAY_TASKS: u64 = 25_000;
/// Number of jobs with a single task.
const ONE_TASK_JOBS: usize = 320;
/// Number of machines of the cluster, each of which fits 128 of these tasks by its CPUs.
const MACHINES: usize = 4;

/// A simulated cluster that keeps idle machines, with two teams and a stopwatch that counts its readings: a scheduling
/// round reads it once for each decision.
fn cluster_with_stopwatch(stopwatch: fn() -> u64) -> World {
    let mut w = start_cluster_with(1, MACHINES, |i| {
        let mut settings = settings(i, 1, 0.0);
        settings.deployment.objectives[0].kind = "guarantee".into();
        settings.deployment.teams = vec![team("t", 0.0), team("u", 0.0)];
        settings
    });
    w.stopwatch = stopwatch;
    w.crash(0);
    w.start(0);
    w.run_for(6_000);
    w
}

/// A job whose tasks each need a quarter of a CPU.
fn small_tasks(id: &str, tasks: u64) -> Submission {
    Submission {
        cpus: 0.25,
        gpus: 0.0,
        mem_gb: 0.5,
        estimated_run_s: 5.0,
        ..array_job(id, tasks)
    }
}

/// Submits a single small task of another team and asserts that it is done within `within_ms`.
fn assert_small_task_is_done(w: &mut World, id: &str, within_ms: u64) {
    let job = of_team("u", small_tasks(id, 1));
    assert_eq!(w.submit(0, &job, runs_for(1_000)), 201);
    assert!(completes_within(w, id, within_ms), "{id}");
}

#[test]
fn an_array_of_25_000_tasks_takes_bounded_records_and_rounds_and_delays_no_other_job() {
    static STOPWATCH_READINGS: AtomicU64 = AtomicU64::new(0);
    let mut w = cluster_with_stopwatch(|| STOPWATCH_READINGS.fetch_add(1, Ordering::Relaxed));
    let (writes_before, bytes_before) =
        (w.state_service.write_count, w.state_service.written_bytes);
    assert_eq!(
        w.submit(0, &small_tasks("run-1", ARRAY_TASKS), runs_for(5_000)),
        201
    );
    w.run_for(3_000);
    let mut most_readings = 0;
    for n in 0..10 {
        let readings_before = STOPWATCH_READINGS.load(Ordering::Relaxed);
        // The first small task waits until the array's pilot tasks, a twentieth of its tasks, have been placed.
        let within_ms = if n == 0 { 12_000 } else { 5_000 };
        assert_small_task_is_done(&mut w, &format!("run-{}", 100 + n), within_ms);
        w.run_for(5_000);
        most_readings =
            most_readings.max(STOPWATCH_READINGS.load(Ordering::Relaxed) - readings_before);
        let largest_page_bytes = w.state_service.largest_value_bytes(PAGE_PREFIX);
        assert!(
            largest_page_bytes <= 8 * 1024,
            "a page of {largest_page_bytes} bytes"
        );
        assert!(w.placed_tasks("run-1").len() <= MACHINES * 128);
    }
    let tasks_done: u64 = recorded_page_entries(&w)
        .iter()
        .filter(|entry| entry.job == "run-1")
        .map(|entry| {
            sched::RangeSet::parse(&entry.chunk.done_ranges)
                .expect("ranges")
                .len()
        })
        .sum();
    assert!(tasks_done >= 6_000, "{tasks_done} tasks done");
    // One reading for each decision, at about 100 tasks a second, and two for each round.
    assert!(
        most_readings <= 3_000,
        "{most_readings} stopwatch readings in ten seconds"
    );
    let (writes, bytes) = (
        w.state_service.write_count - writes_before,
        w.state_service.written_bytes - bytes_before,
    );
    assert!(writes <= 300, "{writes} writes");
    let bytes_per_write = bytes as u64 / writes;
    assert!(
        bytes_per_write <= 2_048,
        "{bytes_per_write} bytes per write"
    );
    assert_no_violations(&w);
}

#[test]
fn many_one_task_jobs_stay_within_the_state_services_write_rate() {
    let mut w = cluster_with_stopwatch(|| 0);
    let writes_before = w.state_service.write_count;
    // Eight jobs a second for forty seconds; the state service accepts 50 writes a second.
    for n in 0..ONE_TASK_JOBS {
        let id = format!("run-{}", 1_000 + n);
        let body = wire::encode(&small_tasks(&id, 1));
        w.upload_job(&small_tasks(&id, 1), runs_for(3_000));
        w.send_user_request(0, "POST", "/submissions", body);
        w.run_for(120);
        if n % 80 == 40 {
            assert_small_task_is_done(&mut w, &format!("run-{}", 100 + n), 5_000);
        }
    }
    assert!(
        w.run_until(20_000, |w| w.state_service.keys(JOB_PREFIX).is_empty()),
        "all jobs are final"
    );
    assert_eq!(
        w.state_service.throttled_txns, 0,
        "no write was refused by the rate limit"
    );
    let writes = w.state_service.write_count - writes_before;
    assert!(writes <= 1_600, "{writes} writes for {ONE_TASK_JOBS} jobs");
    assert_no_violations(&w);
}
