//! Jobs that were submitted with a mistake: all their tasks exit with `error` soon after their start, on every machine,
//! until the user cancels the job. And the opposite case, a machine on which every task fails.

mod common;

use common::*;
use fakes::{array_job, gang_job, TaskBehaviour, World};
use wire::users::{Phase, Submission};

/// Number of machines of the cluster, each with 4 GPUs.
const MACHINES: usize = 8;
const CLUSTER_GPUS: usize = MACHINES * 4;
/// GPU limit of the team `t`.
const TEAM_GPUS: f64 = 24.0;

/// A simulated cluster that keeps idle machines, with two teams.
fn two_team_cluster(nodes: usize) -> World {
    start_cluster_with(nodes, MACHINES, |i| {
        let mut settings = settings(i, nodes, 0.0);
        settings.deployment.objectives[0].kind = "guarantee".into();
        settings.deployment.teams = vec![team("t", TEAM_GPUS), team("u", 0.0)];
        settings
    })
}

/// Tasks that run for two seconds and exit with `error`.
fn failing_behaviour() -> TaskBehaviour {
    TaskBehaviour {
        fails_after_run: true,
        ..runs_for(2_000)
    }
}

/// Number of task starts of a job so far, on the machines that still exist.
fn start_count(w: &World, job: &str) -> usize {
    let started = w.workers.values().flat_map(|m| m.started_attempts.iter());
    started
        .filter(|(task, _)| task.split('/').next() == Some(job))
        .count()
}

/// Initial machines that were returned meanwhile; the cloud may have replaced them.
fn returned_machines(w: &World) -> Vec<String> {
    let names = (0..MACHINES).map(|m| format!("vm-{m:06}"));
    names.filter(|m| !w.workers.contains_key(m)).collect()
}

/// Runs the cluster for `ms` and returns the number of writes to the state service.
fn count_writes(w: &mut World, ms: u64) -> u64 {
    let before = w.state_service.write_count;
    w.run_for(ms);
    w.state_service.write_count - before
}

/// Asserts that no initial machine was returned, and that tasks of one GPU can occupy all GPUs of the cluster except
/// `busy_gpus`, so that every machine is used.
fn assert_all_machines_are_used(w: &mut World, id: &str, busy_gpus: usize) {
    assert_eq!(returned_machines(w), Vec::<String>::new());
    let job = of_team("u", array_job(id, (CLUSTER_GPUS - busy_gpus) as u64));
    assert_eq!(w.submit(0, &job, runs_for(20_000)), 201);
    let all_placed = |w: &mut World| w.placed_tasks(id).len() == CLUSTER_GPUS - busy_gpus;
    assert!(
        w.run_until(15_000, all_placed),
        "{}",
        w.placed_tasks(id).len()
    );
    assert!(completes_within(w, id, 60_000));
}

#[test]
fn failing_jobs_of_each_shape_back_off_and_leave_capacity_to_others() {
    let mut w = two_team_cluster(1);
    let ids = ["run-1", "run-2", "run-3"];
    let failing_gang = TaskBehaviour {
        gang_size: 3,
        ..failing_behaviour()
    };
    // The jobs have long estimated run times. If failed tasks counted as samples of the run time, these jobs would be
    // taken for the smallest of all.
    let with_long_estimate = |job: Submission| Submission {
        estimated_run_s: 2_000.0,
        ..job
    };
    assert_eq!(
        w.submit(
            0,
            &with_long_estimate(array_job("run-1", 1)),
            failing_behaviour()
        ),
        201
    );
    assert_eq!(
        w.submit(
            0,
            &with_long_estimate(array_job("run-2", 400)),
            failing_behaviour()
        ),
        201
    );
    assert_eq!(
        w.submit(0, &with_long_estimate(gang_job("run-3", 3)), failing_gang),
        201
    );
    let mut most_on_machines = 0;
    for minute in 0..5 {
        let array_before = start_count(&w, "run-2");
        for second in 0..60 {
            if second % 10 == 0 {
                // Small jobs of both teams are done within seconds throughout.
                let team = ["t", "u"][second / 10 % 2];
                let id = format!("run-{}", 100 + 10 * minute + second / 10);
                let job = of_team(team, array_job(&id, 2));
                assert_eq!(w.submit(0, &job, runs_for(1_000)), 201);
                assert!(
                    completes_within(&mut w, &id, 9_000),
                    "minute {minute}, second {second}"
                );
            }
            w.run_for(1_000);
            if minute > 0 {
                most_on_machines = most_on_machines.max(w.placed_tasks("run-2").len());
            }
        }
        if minute > 0 {
            let new_starts = start_count(&w, "run-2") - array_before;
            assert!(new_starts <= 2, "{new_starts} starts in minute {minute}");
        }
    }
    assert!(most_on_machines <= 1, "one task at a time is tried");
    // Backoffs of 4, 8, 16, 32 and then 60 s.
    let [single_starts, array_starts, gang_starts] = ids.map(|id| start_count(&w, id));
    assert!(
        (6..=9).contains(&single_starts),
        "{single_starts} starts of the single task"
    );
    assert!(
        (CLUSTER_GPUS / 2..=CLUSTER_GPUS + 12).contains(&array_starts),
        "{array_starts} starts"
    );
    assert!(
        (9..=24).contains(&gang_starts),
        "{gang_starts} starts of the gang"
    );
    let writes_with_failing_jobs = count_writes(&mut w, 120_000);
    let [single_starts, array_starts, gang_starts] = ids.map(|id| start_count(&w, id));
    for id in ids {
        let timed: u32 = recorded_page_entries(&w)
            .iter()
            .filter(|entry| entry.job == id)
            .map(|entry| entry.chunk.timed_tasks)
            .sum();
        assert_eq!(timed, 0, "no failed task of {id} is a sample");
    }
    assert_all_machines_are_used(&mut w, "run-50", 0);
    for id in ids {
        assert_eq!(w.abort(0, id), Some(Phase::Aborted));
    }
    let all_ended = |w: &mut World| ids.iter().all(|id| w.placed_tasks(id).is_empty());
    assert!(w.run_until(4_000, all_ended), "all tasks end at once");
    w.run_for(5_000);
    let writes_without_failing_jobs = count_writes(&mut w, 120_000);
    // Two attempts of each job, with a write for its assignments before and after each attempt.
    let failing_job_writes = writes_with_failing_jobs.saturating_sub(writes_without_failing_jobs);
    assert!(
        failing_job_writes <= 16,
        "{failing_job_writes} writes in two minutes"
    );
    let starts_after = ids.map(|id| start_count(&w, id));
    assert_eq!(
        starts_after,
        [single_starts, array_starts, gang_starts],
        "never started again"
    );
    assert_no_violations(&w);
}

/// Two of the jobs had failed on each machine before any job had failed on a third machine, so that all machines were
/// taken for faulty and returned.
#[test]
fn many_failing_jobs_at_once_mark_no_machine_as_faulty_and_delay_no_other_job() {
    let mut w = two_team_cluster(1);
    for n in 0..20 {
        let id = format!("run-{}", 100 + n);
        assert_eq!(w.submit(0, &array_job(&id, 1), failing_behaviour()), 201);
    }
    for n in 0..12 {
        let team = ["t", "u"][n % 2];
        let id = format!("run-{}", 200 + n);
        let job = of_team(team, array_job(&id, 2));
        assert_eq!(w.submit(0, &job, runs_for(1_000)), 201);
        assert!(completes_within(&mut w, &id, 9_000), "{id}");
    }
    assert_all_machines_are_used(&mut w, "run-50", 0);
    assert_no_violations(&w);
}

/// A new leader did not know of earlier failures: all failing jobs started again with short backoffs, large arrays with
/// as many tasks as fitted.
#[test]
fn failing_jobs_stay_backed_off_across_a_change_of_leader() {
    let mut w = two_team_cluster(3);
    let mut ids: Vec<String> = (100..110).map(|n| format!("run-{n}")).collect();
    for id in &ids {
        assert_eq!(w.submit(0, &array_job(id, 1), failing_behaviour()), 201);
    }
    for id in ["run-1", "run-2"] {
        assert_eq!(w.submit(0, &array_job(id, 300), failing_behaviour()), 201);
        ids.push(id.into());
    }
    // The tasks of a healthy job keep running under the new leader.
    let healthy_job = of_team("u", array_job("run-3", 8));
    assert_eq!(w.submit(0, &healthy_job, runs_for(600_000)), 201);
    w.run_for(200_000);
    let placed = w.placed_tasks("run-3");
    let start_counts = |w: &World| {
        ids.iter()
            .map(|id| start_count(w, id))
            .collect::<Vec<usize>>()
    };
    let starts_before = start_counts(&w);
    let leader = w.leader().expect("leader");
    w.crash(leader);
    w.run_for(60_000);
    let starts_after = start_counts(&w);
    let new_starts: Vec<usize> = starts_after
        .iter()
        .zip(&starts_before)
        .map(|(a, b)| a - b)
        .collect();
    assert!(
        new_starts.iter().all(|n| *n <= 1),
        "{new_starts:?} starts of {ids:?}"
    );
    assert!(new_starts.contains(&1), "failing jobs are still attempted");
    assert_eq!(w.placed_tasks("run-3"), placed);
    w.start(leader);
    w.run_for(4_000);
    assert_all_machines_are_used(&mut w, "run-50", 8);
    assert_no_violations(&w);
}

/// A faulty machine is recognized by jobs that succeed elsewhere, also in the presence of jobs that fail everywhere.
#[test]
fn a_machine_on_which_every_job_fails_gets_few_tasks_and_is_returned() {
    let mut w = two_team_cluster(1);
    w.workers
        .get_mut("vm-000003")
        .expect("worker")
        .fails_all_tasks = true;
    for n in 0..3 {
        let id = format!("run-{}", 100 + n);
        assert_eq!(w.submit(0, &array_job(&id, 1), failing_behaviour()), 201);
    }
    let mut starts_there = 0;
    for n in 0..40 {
        let job = of_team("u", array_job(&format!("run-{}", 200 + n), 4));
        assert_eq!(w.submit(0, &job, runs_for(8_000)), 201);
        w.run_for(2_000);
        let there = w.workers.get("vm-000003").map(|m| m.started_attempts.len());
        starts_there = there.unwrap_or(starts_there);
    }
    assert_eq!(
        returned_machines(&w),
        ["vm-000003"],
        "only the faulty machine is returned"
    );
    assert!(starts_there <= 24, "{starts_there} starts there");
    let last = "run-239";
    assert!(completes_within(&mut w, last, 40_000));
    assert_no_violations(&w);
}
