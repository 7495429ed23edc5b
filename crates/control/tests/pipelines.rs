//! Scenarios of jobs with dependencies. The world checks at every step that no job starts before its dependencies are
//! done, and at every answer that no dependent of a cancelled job is still reported as open.

mod common;

use common::*;
use fakes::{array_job, gang_job, World};
use wire::records::*;
use wire::users::{Phase, Priority};

/// How many task starts of the job the workers have executed.
fn start_count(world: &World, job: &str) -> usize {
    let starts = world.workers.values().flat_map(|m| &m.started_attempts);
    starts
        .filter(|(task, _)| task.split('/').next() == Some(job))
        .count()
}

/// Submits a chain of jobs, each of which depends on the one before it.
fn submit_chain(world: &mut World, first: u32, length: u32, run_ms: u64) -> Vec<String> {
    let ids: Vec<String> = (first..first + length)
        .map(|n| format!("run-{n}"))
        .collect();
    for (n, id) in ids.iter().enumerate() {
        let needs: Vec<&str> = n
            .checked_sub(1)
            .map(|before| ids[before].as_str())
            .into_iter()
            .collect();
        let mut status = 0;
        for _ in 0..20 {
            status = world.submit(
                n % 3,
                &with_dependencies(array_job(id, 1), &needs),
                runs_for(run_ms),
            );
            if status == 201 {
                break;
            }
            world.run_for(500);
        }
        assert_eq!(status, 201, "{id}");
    }
    ids
}

#[test]
fn a_diamond_of_dependencies_runs_in_order_through_crashes_of_all_nodes() {
    let mut world = start_cluster(3, 3, 0.0);
    assert_eq!(
        world.submit(0, &array_job("run-1", 3), runs_for(3_000)),
        201
    );
    assert_eq!(
        world.submit(
            1,
            &with_dependencies(array_job("run-2", 12), &["run-1"]),
            runs_for(3_000)
        ),
        201
    );
    assert_eq!(
        world.submit(
            2,
            &with_dependencies(gang_job("run-3", 1), &["run-1", "run-1"]),
            runs_for(3_000)
        ),
        201
    );
    let last = with_dependencies(array_job("run-4", 2), &["run-2", "run-3"]);
    assert_eq!(world.submit(0, &last, runs_for(1_000)), 201);
    for crash_after in [2_000, 4_000, 6_000] {
        world.run_for(crash_after);
        for i in 0..3 {
            world.crash(i);
        }
        for i in 0..3 {
            world.start(i);
        }
    }
    assert!(world.run_until(60_000, |world| world.phase(1, "run-4") == Some(Phase::Done)));
    for (job, tasks) in [("run-1", 3), ("run-2", 12), ("run-3", 1), ("run-4", 2)] {
        assert_eq!(start_count(&world, job), tasks, "{job}");
    }
    assert_no_violations(&world);
}

#[test]
fn dependency_ids_are_looked_up_and_a_known_job_id_is_answered_before_that() {
    let mut world = start_cluster(3, 2, 0.0);
    let post = |world: &mut World, job: &ciborium::Value| {
        world
            .send_and_wait(0, "POST", "/submissions", wire::encode(job))
            .0
    };
    let with = |id: &str, awaits: ciborium::Value| {
        let mut job = ciborium::Value::serialized(&array_job(id, 1)).expect("value");
        job.as_map_mut()
            .expect("map")
            .push(("awaits".into(), awaits));
        job
    };
    // Not a list of strings.
    for bad in [
        ciborium::Value::from("run-1"),
        ciborium::Value::from(vec![ciborium::Value::from(7)]),
    ] {
        assert_eq!(post(&mut world, &with("run-1", bad)), 400);
    }
    // No dependencies, written as null and as an empty list.
    assert_eq!(post(&mut world, &with("run-1", ciborium::Value::Null)), 201);
    assert_eq!(
        post(&mut world, &with("run-2", ciborium::Value::Array(vec![]))),
        201
    );
    // An id that was never accepted, the id of the job itself, and texts that are no ids.
    for name in ["run-99", "run-3", "x", ""] {
        assert_eq!(
            world.submit(
                1,
                &with_dependencies(array_job("run-3", 1), &["run-1", name]),
                runs_for(100)
            ),
            422,
            "{name}"
        );
        assert_eq!(world.phase(1, "run-3"), None, "a rejected job is known");
    }
    assert!(world.state_service.keys("j/run-3").is_empty());
    // A repeated submission of a known id is answered, whatever dependencies it names. The world keeps the job as first
    // accepted.
    for name in ["run-99", "run-2"] {
        let again = wire::encode(&with_dependencies(array_job("run-2", 1), &[name]));
        assert_eq!(world.send_and_wait(2, "POST", "/submissions", again).0, 200);
    }
    world
        .task_behaviour
        .insert("run-2".into(), runs_for(60_000));
    // A repeated dependency counts once, and a dependency may be over as well as open.
    world.task_behaviour.insert("run-1".into(), runs_for(100));
    assert!(completes_within(&mut world, "run-1", 20_000));
    assert_eq!(
        world.submit(
            2,
            &with_dependencies(array_job("run-4", 1), &["run-1", "run-2", "run-1"]),
            runs_for(100)
        ),
        201
    );
    let record: JobRecord = world
        .state_service
        .read(&job_key("run-4"))
        .expect("recorded");
    assert_eq!(record.spec.dependencies, ["run-1", "run-2"]);
    // An unknown dependency is rejected also next to a cancelled one.
    assert_eq!(world.abort(0, "run-2"), Some(Phase::Aborted));
    for names in [["run-2", "run-99"], ["run-99", "run-2"]] {
        assert_eq!(
            world.submit(
                1,
                &with_dependencies(array_job("run-5", 1), &names),
                runs_for(100)
            ),
            422
        );
    }
    // Without the state service it is unknown whether an id was accepted.
    world.state_service_down = true;
    world.run_for(100);
    assert_eq!(
        world.submit(
            1,
            &with_dependencies(array_job("run-5", 1), &["run-99"]),
            runs_for(100)
        ),
        503
    );
    world.state_service_down = false;
    assert_no_violations(&world);
}

#[test]
fn every_node_reports_dependents_of_a_cancelled_job_as_cancelled_at_once_also_without_a_leader() {
    for crash in [false, true] {
        let mut world = start_cluster(3, 1, 0.0);
        let ids = submit_chain(&mut world, 1, 6, 30_000);
        let fan_out: Vec<String> = (50..60).map(|n| format!("run-{n}")).collect();
        for id in &fan_out {
            assert_eq!(
                world.submit(
                    1,
                    &with_dependencies(array_job(id, 1), &[&ids[2]]),
                    runs_for(1_000)
                ),
                201
            );
        }
        let (leader, other) = (world.leader().expect("leader"), follower(&world));
        if crash {
            world.crash(leader);
        }
        assert_eq!(world.abort(other, &ids[1]), Some(Phase::Aborted));
        // Every node gives this answer, also one that has just started and knows none of these jobs, and before the
        // cancellation of each dependent is recorded.
        world.crash((0..3).find(|i| *i != leader && *i != other).expect("third"));
        world.start((0..3).find(|i| *i != leader && *i != other).expect("third"));
        world.run_for(200);
        for node in (0..3).filter(|n| !crash || *n != leader) {
            for id in ids[1..].iter().chain(&fan_out) {
                assert_eq!(
                    world.phase(node, id),
                    Some(Phase::Aborted),
                    "{id} at {node}, crash {crash}"
                );
            }
        }
        assert_ne!(
            world.phase(other, &ids[0]),
            Some(Phase::Aborted),
            "a dependency of the cancelled job was cancelled"
        );
        // A job submitted with a direct or indirect dependency on a cancelled job is accepted, and cancelled.
        let late = with_dependencies(array_job("run-80", 1), &[&ids[4], &ids[0]]);
        assert_eq!(world.submit(other, &late, runs_for(1_000)), 201);
        assert_eq!(world.phase(other, "run-80"), Some(Phase::Aborted));
        let open = |world: &mut World| world.state_service.keys(JOB_PREFIX).len() <= 1;
        assert!(
            world.run_until(20_000, open),
            "jobs without a final record: {:?}",
            world.state_service.keys(JOB_PREFIX)
        );
        world.run_for(40_000);
        for id in ids[1..].iter().chain(&fan_out) {
            assert_eq!(world.phase(other, id), Some(Phase::Aborted));
            assert_eq!(start_count(&world, id), 0);
        }
        assert_eq!(world.phase(other, &ids[0]), Some(Phase::Done));
        assert_no_violations(&world);
    }
}

/// The cancelled job gets no final record while its machine is silent. Its dependents don't wait for that.
#[test]
fn dependents_get_final_records_while_the_machine_of_the_cancelled_job_is_silent() {
    let mut world = start_cluster(3, 1, 0.0);
    let ids = submit_chain(&mut world, 1, 5, 60_000);
    world.run_for(3_000);
    assert_eq!(world.placed_tasks(&ids[0]).len(), 1);
    let now = world.now;
    for m in world.workers.values_mut() {
        m.disconnected_until = now + 60_000;
    }
    assert_eq!(world.abort(0, &ids[0]), Some(Phase::Aborted));
    assert!(
        world.run_until(5_000, |world| world.state_service.keys(JOB_PREFIX).len()
            == 1)
    );
    assert!(world.run_until(60_000, |world| world
        .state_service
        .keys(JOB_PREFIX)
        .is_empty()));
    assert_no_violations(&world);
}

#[test]
fn a_cancellation_answered_with_done_cancels_no_dependent_and_each_race_has_one_outcome() {
    let mut outcomes = std::collections::BTreeSet::new();
    for delay in (1_500..2_600).step_by(50) {
        let mut world = start_cluster(3, 1, 0.0);
        assert_eq!(
            world.submit(0, &array_job("run-1", 1), runs_for(1_500)),
            201
        );
        assert_eq!(
            world.submit(
                1,
                &with_dependencies(array_job("run-2", 1), &["run-1"]),
                runs_for(500)
            ),
            201
        );
        world.run_for(delay);
        let answer = world.abort(follower(&world), "run-1").expect("answered");
        // Submitted at the same moment, with both as dependencies.
        assert_eq!(
            world.submit(
                2,
                &with_dependencies(array_job("run-3", 1), &["run-1", "run-2"]),
                runs_for(500)
            ),
            201
        );
        let ends = [Some(Phase::Done), Some(Phase::Aborted)];
        assert!(
            world.run_until(20_000, |world| ends.contains(&world.phase(0, "run-3"))),
            "{delay}"
        );
        for id in ["run-1", "run-2", "run-3"] {
            assert_eq!(world.phase(1, id), Some(answer), "{id} {delay}");
        }
        assert_no_violations(&world);
        outcomes.insert(format!("{answer:?}"));
    }
    assert_eq!(
        outcomes.len(),
        2,
        "not both outcomes were seen: {outcomes:?}"
    );
}

#[test]
fn a_chain_of_hundreds_of_jobs_is_queried_and_cancelled_at_its_head() {
    let mut world = start_cluster(3, 1, 0.0);
    let ids = submit_chain(&mut world, 1_000, 220, 600_000);
    let many_dependencies: Vec<&str> = ids[..100].iter().map(String::as_str).collect();
    assert_eq!(
        world.submit(
            0,
            &with_dependencies(array_job("run-7", 1), &many_dependencies),
            runs_for(100)
        ),
        201
    );
    // A node that has just started knows none of these jobs. Each query lets it read further along the chain.
    let restarted = follower(&world);
    world.crash(restarted);
    world.start(restarted);
    let last = ids[219].clone();
    assert!(
        world.run_until(60_000, |world| world.phase(restarted, &last)
            == Some(Phase::Queued))
    );
    assert!(
        world.run_until(60_000, |world| world.phase(restarted, "run-7")
            == Some(Phase::Queued))
    );
    assert_eq!(world.abort(restarted, &ids[0]), Some(Phase::Aborted));
    for node in 0..3 {
        assert!(world.run_until(10_000, |world| world.phase(node, &last)
            == Some(Phase::Aborted)));
    }
    // The other jobs get their final records later, within the rate of the state service.
    assert!(world.run_until(60_000, |world| world
        .state_service
        .keys(JOB_PREFIX)
        .is_empty()));
    assert_eq!(world.state_service.keys(FINAL_RECORD_PREFIX).len(), 221);
    assert_no_violations(&world);
}

/// A dependency that has neither an open nor a final record may still be on its way to the records: its dependents must
/// not start.
#[test]
fn a_dependency_without_any_record_is_waited_for() {
    let mut world = start_cluster(1, 1, 0.0);
    let record = JobRecord::new(
        with_dependencies(array_job("run-2", 1), &["run-1"]),
        1_700_000_000_000,
    );
    world.jobs.insert("run-2".into(), record.spec.clone());
    world.task_behaviour.insert("run-2".into(), runs_for(500));
    world.state_service.write(&job_key("run-2"), &record, None);
    world.run_for(10_000);
    assert_eq!(start_count(&world, "run-2"), 0);
    world
        .state_service
        .write(&final_record_key("run-1"), &JobOutcome::Done, None);
    assert!(completes_within(&mut world, "run-2", 10_000));
    assert_no_violations(&world);
}

#[test]
fn a_job_with_open_dependencies_uses_nothing_of_its_teams_limit() {
    let mut world = start_cluster(3, 2, 4.0);
    assert_eq!(
        world.submit(0, &array_job("run-1", 1), runs_for(20_000)),
        201
    );
    assert_eq!(
        world.submit(
            0,
            &with_dependencies(gang_job("run-2", 1), &["run-1"]),
            runs_for(1_000)
        ),
        201
    );
    world.run_for(2_000);
    assert_eq!(
        world.submit(0, &array_job("run-3", 3), runs_for(2_000)),
        201
    );
    assert!(world.run_until(12_000, |world| world.phase(0, "run-3") == Some(Phase::Done)));
    assert_eq!(world.phase(0, "run-2"), Some(Phase::Queued));
    assert!(world.run_until(40_000, |world| world.phase(0, "run-2") == Some(Phase::Done)));
    assert_no_violations(&world);
}

/// Guards against a late last job of a pipeline: its earlier stages ran after all jobs that were submitted before them.
#[test]
fn deadline_and_priority_of_the_last_job_apply_to_its_dependencies() {
    let mut world = start_cluster(3, 1, 0.0);
    // The machine has four GPUs; this job takes all of them for a while.
    assert_eq!(
        world.submit(0, &array_job("run-1", 4), runs_for(9_000)),
        201
    );
    world.run_for(3_000);
    let low_priority = |id: &str| wire::users::Submission {
        priority: Priority::Low,
        ..array_job(id, 4)
    };
    assert_eq!(
        world.submit(0, &array_job("run-2", 4), runs_for(5_000)),
        201
    );
    assert_eq!(
        world.submit(0, &low_priority("run-3"), runs_for(5_000)),
        201
    );
    let last = wire::users::Submission {
        priority: Priority::Urgent,
        due_s: Some(60.0),
        ..with_dependencies(array_job("run-4", 1), &["run-3"])
    };
    assert_eq!(world.submit(0, &last, runs_for(1_000)), 201);
    assert!(world.run_until(30_000, |world| world.phase(0, "run-3") == Some(Phase::Done)));
    assert_ne!(
        world.phase(0, "run-2"),
        Some(Phase::Done),
        "run-2 was not placed after the pipeline"
    );
    assert!(world.run_until(30_000, |world| world.phase(0, "run-4") == Some(Phase::Done)));
    assert!(world.run_until(30_000, |world| world.phase(0, "run-2") == Some(Phase::Done)));
    assert_no_violations(&world);
}

/// The end of a job, its cancellation and a change of leader fall into the same second, with offsets 100 ms apart.
#[test]
fn a_release_during_a_takeover_and_a_cancellation_comes_after_the_end_or_never() {
    let mut outcomes = std::collections::BTreeSet::new();
    for delay in (1_400..2_400).step_by(100) {
        let mut world = start_cluster(3, 2, 0.0);
        assert_eq!(
            world.submit(0, &array_job("run-1", 2), runs_for(1_500)),
            201
        );
        assert_eq!(
            world.submit(
                1,
                &with_dependencies(array_job("run-2", 9), &["run-1"]),
                runs_for(500)
            ),
            201
        );
        assert_eq!(
            world.submit(
                2,
                &with_dependencies(gang_job("run-3", 1), &["run-2"]),
                runs_for(500)
            ),
            201
        );
        world.run_for(delay);
        let (leader, other) = (world.leader().expect("leader"), follower(&world));
        world.crash(leader);
        let answer = world.abort(other, "run-1").expect("answered");
        world.start(leader);
        let over = |world: &mut World| {
            [Some(Phase::Done), Some(Phase::Aborted)].contains(&world.phase(leader, "run-3"))
        };
        assert!(world.run_until(60_000, over), "{delay}");
        for id in ["run-1", "run-2", "run-3"] {
            assert_eq!(world.phase(other, id), Some(answer), "{id} {delay}");
        }
        assert_no_violations(&world);
        outcomes.insert(format!("{answer:?}"));
    }
    assert_eq!(
        outcomes.len(),
        2,
        "not both outcomes were seen: {outcomes:?}"
    );
}
