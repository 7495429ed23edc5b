//! Scenarios in which two or more faults occur together. The world checks the rules of the protocol at every step.

mod common;

use common::*;
use fakes::{array_job, DuplicateTarget, World};
use wire::users::{Phase, Submission};

/// Queries the status of the jobs at every node every 10 ms for `ms`, and repeats the submission of the first job at
/// each node every 70 ms.
fn query_all_nodes(world: &mut World, ids: &[&str], ms: u64) {
    for round in 0..ms / 10 {
        for node in 0..3 {
            for id in ids {
                world.send_user_request(node, "GET", &format!("/submissions/{id}"), vec![]);
            }
            if round % 7 == node as u64 {
                let again = wire::encode(&world.jobs[ids[0]]);
                world.send_user_request(node, "POST", "/submissions", again);
            }
        }
        world.run_for(10);
    }
}

#[test]
fn queries_at_all_nodes_never_return_an_older_state() {
    for seed in 0..6 {
        let mut world = start_cluster(3, 3, 0.0);
        world.seed(seed);
        // Responses of the state service are delayed so much that newer ones overtake them.
        for (node, ms) in [(0, 0), (1, 300), (2, 120)] {
            world.faults.max_state_response_delay_ms.insert(node, ms);
        }
        for id in ["run-1", "run-2", "run-3"] {
            assert_eq!(
                world.submit(seed as usize % 3, &array_job(id, 2), runs_for(1_500)),
                201
            );
            query_all_nodes(&mut world, &[id], 100);
        }
        world.send_user_request(1, "POST", "/submissions/run-3/abort", vec![]);
        query_all_nodes(&mut world, &["run-3", "run-1", "run-2"], 6_000);
        world.faults.max_state_response_delay_ms.clear();
        assert!(
            completes_within(&mut world, "run-1", 10_000)
                && completes_within(&mut world, "run-2", 10_000)
        );
        assert_eq!(world.phase(2, "run-3"), Some(Phase::Aborted));
        assert_no_violations(&world);
    }
}

#[test]
fn lost_transaction_answers_while_other_nodes_read_what_was_written() {
    for seed in 0..6 {
        let mut world = start_cluster(3, 3, 0.0);
        world.seed(seed);
        world.faults.lost_response_share = 0.4;
        let ids: Vec<String> = (0..6).map(|n| format!("run-{n}")).collect();
        for (n, id) in ids.iter().enumerate() {
            world.upload_job(&array_job(id, 2), runs_for(2_000));
            let body = wire::encode(&array_job(id, 2));
            // A user without an answer retries at the next node.
            for k in 0..3 {
                world.send_user_request((n + k) % 3, "POST", "/submissions", body.clone());
                world.run_for(40);
                world.send_user_request(
                    (n + k + 1) % 3,
                    "GET",
                    &format!("/submissions/{id}"),
                    vec![],
                );
            }
            if n % 3 == 0 {
                world.send_user_request(n % 2, "POST", &format!("/submissions/{id}/abort"), vec![]);
            }
            world.run_for(300);
        }
        for _ in 0..40 {
            for id in &ids {
                for node in 0..3 {
                    world.send_user_request(node, "GET", &format!("/submissions/{id}"), vec![]);
                }
            }
            world.run_for(250);
        }
        world.faults.lost_response_share = 0.0;
        let over = |world: &mut World, id: &String| {
            world.run_until(30_000, |world| {
                matches!(world.phase(0, id), Some(Phase::Done | Phase::Aborted))
            })
        };
        assert!(ids.iter().all(|id| over(&mut world, id)), "seed {seed}");
        assert_no_violations(&world);
    }
}

/// A cluster with team `t`, limited to four GPUs, and team `u`, limited to three.
fn cluster_with_gpu_limits(nodes: usize, machines: usize) -> World {
    start_cluster_with(nodes, machines, |i| {
        let mut s = settings(i, nodes, 0.0);
        s.deployment.teams = vec![team("t", 4.0), team("u", 3.0)];
        s
    })
}

#[test]
fn teams_at_their_limit_while_jobs_are_cancelled_machines_fail_and_the_leader_changes() {
    for (cut, hang) in [(true, false), (false, true), (true, true)] {
        let mut world = cluster_with_gpu_limits(3, 6);
        for (id, team, tasks) in [("run-1", "t", 4), ("run-2", "u", 3)] {
            assert_eq!(
                world.submit(0, &of_team(team, array_job(id, tasks)), runs_for(60_000)),
                201
            );
        }
        for (id, team) in [("run-3", "t"), ("run-4", "u")] {
            assert_eq!(
                world.submit(1, &of_team(team, array_job(id, 12)), runs_for(2_000)),
                201
            );
        }
        assert!(world.run_until(10_000, |world| world.placed_tasks("run-1").len() == 4));
        let old = world.leader().expect("leader");
        let until = world.now + 9_000;
        let names: Vec<String> = world.workers.keys().cloned().collect();
        for (n, name) in names.iter().enumerate().take(4) {
            let worker = world.workers.get_mut(name).expect("worker");
            match n % 2 == 0 {
                true if cut => worker.disconnected_until = until,
                false if hang => worker.hung_until = until,
                _ => {}
            }
        }
        let other = follower(&world);
        for id in ["run-1", "run-2"] {
            world.send_user_request(other, "POST", &format!("/submissions/{id}/abort"), vec![]);
        }
        world.run_for(60);
        world.crash(old);
        world.run_for(2_500);
        world.start(old);
        for id in ["run-3", "run-4"] {
            assert!(
                world.run_until(90_000, |world| world.phase(other, id) == Some(Phase::Done)),
                "{id}"
            );
        }
        for id in ["run-1", "run-2"] {
            assert_eq!(world.phase(other, id), Some(Phase::Aborted));
        }
        assert_no_violations(&world);
    }
}

#[test]
fn jobs_cancelled_during_a_change_of_leader() {
    for seed in 0..8 {
        let mut world = start_cluster(3, 4, 0.0);
        world.seed(seed);
        let ids: Vec<String> = (0..8).map(|n| format!("run-{n}")).collect();
        for id in &ids {
            assert_eq!(world.submit(1, &array_job(id, 2), runs_for(600_000)), 201);
        }
        world.run_for(5_000);
        let old = world.leader().expect("leader");
        match seed % 4 {
            0 => world.crash(old),
            1 => {
                world.refused_by_state_service.insert(old);
            }
            2 => {
                world.faults.frozen_until.insert(old, world.now + 5_000);
            }
            _ => {
                world.refused_by_state_service.insert(old);
                world.isolated_from_peers.insert(old);
            }
        }
        for (n, id) in ids.iter().enumerate() {
            let node = (old + 1 + n % 2) % 3;
            world.send_user_request(node, "POST", &format!("/submissions/{id}/abort"), vec![]);
            world.run_for(30 * (seed + 1) * n as u64 % 900);
        }
        if seed % 4 == 0 {
            world.start(old);
        }
        world.run_for(6_000);
        world.refused_by_state_service.clear();
        world.isolated_from_peers.clear();
        world.run_for(34_000);
        for id in &ids {
            assert!(world.placed_tasks(id).is_empty(), "{id}, seed {seed}");
            assert_eq!(world.phase(old, id), Some(Phase::Aborted), "seed {seed}");
        }
        assert!(
            world.rules.late_starts.is_empty(),
            "{:?}",
            world.rules.late_starts
        );
        assert_no_violations(&world);
    }
}

#[test]
fn machines_that_boot_quickly_get_work_while_writes_are_slow_and_the_leader_crashes() {
    for seed in 0..8 {
        let mut world = start_cluster(3, 0, 0.0);
        world.seed(seed);
        world.cloud_capacity = 6;
        world.boot_ms = 0..=2_000;
        world.faults.max_state_request_delay_ms = (0..3).map(|n| (n, 700)).collect();
        world.faults.late_txn_share = 0.1;
        for n in 0..6 {
            let job = array_job(&format!("run-{n}"), 3);
            world.upload_job(&job, runs_for(8_000));
            world.send_user_request(n % 3, "POST", "/submissions", wire::encode(&job));
        }
        world.run_for(2_500 + 400 * seed);
        let old = world.leader().expect("leader");
        world.crash(old);
        world.run_for(300);
        world.start(old);
        world.run_for(4_000);
        if let Some(next) = world.leader() {
            world.crash(next);
            world.run_for(1_000);
            world.start(next);
        }
        world.run_for(5_000);
        world.end_faults();
        world.run_for(3_000);
        for n in 0..6 {
            let job = array_job(&format!("run-{n}"), 3);
            world.submit(n % 3, &job, runs_for(8_000));
            assert!(
                completes_within(&mut world, &job.id, 90_000),
                "{} seed {seed}",
                job.id
            );
        }
        assert_no_violations(&world);
    }
}

/// Copies of reports of an earlier term reach every node just as a new leader takes over. They prove neither that a
/// task is gone nor that a machine is alive.
#[test]
fn a_copy_of_an_old_report_reaches_every_node_as_a_new_leader_takes_over() {
    for seed in 0..6 {
        let mut world = cluster_with_gpu_limits(3, 5);
        world.seed(seed);
        world.faults.duplicate_reports = Some((1.0, DuplicateTarget::NextLeader));
        assert_eq!(
            world.submit(0, &of_team("t", array_job("run-1", 4)), runs_for(20_000)),
            201
        );
        assert_eq!(
            world.submit(0, &of_team("u", array_job("run-2", 8)), runs_for(1_000)),
            201
        );
        world.run_for(1_500 + 300 * seed);
        let old = world.leader().expect("leader");
        // Two machines are cut off, so that only the copies report on them.
        let until = world.now + 20_000;
        for worker in world.workers.values_mut().take(2) {
            worker.disconnected_until = until;
        }
        world.crash(old);
        world.run_for(200 * seed);
        world.start(old);
        let other = (old + 1) % 3;
        assert!(world.run_until(120_000, |world| world.phase(other, "run-1")
            == Some(Phase::Done)));
        assert!(world.run_until(60_000, |world| world.phase(other, "run-2")
            == Some(Phase::Done)));
        assert_no_violations(&world);
    }
}

#[test]
fn one_task_jobs_arrive_four_per_second_and_a_quarter_is_cancelled() {
    let mut world = start_cluster(3, 6, 0.0);
    // Each job needs at least three writes, besides those for its start and its cancellation.
    let limits = world.state_service.limits.as_mut().expect("limits");
    limits.write_rps = 25.0;
    let mut ids = Vec::new();
    for n in 0..240_u64 {
        let id = format!("run-{n}");
        world.upload_job(&array_job(&id, 1), runs_for(1_500));
        world.send_user_request(
            (n % 3) as usize,
            "POST",
            "/submissions",
            wire::encode(&array_job(&id, 1)),
        );
        ids.push(id);
        world.run_for(250);
        if n % 4 == 3 {
            let early = &ids[(n - n % 3) as usize];
            world.send_user_request(
                (n % 2) as usize,
                "POST",
                &format!("/submissions/{early}/abort"),
                vec![],
            );
        }
        if n == 120 {
            let old = world.leader().expect("leader");
            world.crash(old);
            world.run_for(1_000);
            world.start(old);
        }
    }
    world.run_for(5_000);
    let mut resubmitted = Vec::new();
    for id in &ids {
        // Refused submissions are repeated, as their users do.
        if world.phase(0, id).is_none() {
            assert!(matches!(
                world.submit(1, &array_job(id, 1), runs_for(1_500)),
                200 | 201
            ));
            resubmitted.push(id.clone());
        }
    }
    assert!(
        resubmitted.len() < 60,
        "{} submissions were refused",
        resubmitted.len()
    );
    world.run_for(30_000);
    for id in &ids {
        let phase = world.phase(1, id);
        assert!(
            matches!(phase, Some(Phase::Done | Phase::Aborted)),
            "{id} {phase:?}"
        );
    }
    assert!(
        world.rules.late_starts.is_empty(),
        "{:?}",
        world.rules.late_starts
    );
    assert_no_violations(&world);
}

/// Crashes the leader, if there is one, and restarts its node after `down_ms`.
fn change_leader(world: &mut World, down_ms: u64) {
    let Some(old) = world.leader() else {
        return world.run_for(down_ms);
    };
    world.crash(old);
    world.run_for(down_ms);
    world.start(old);
}

/// Asserts that each job is done within `ms` of the one before it, also as node 1 answers, and that no rule is broken.
fn assert_all_done(world: &mut World, ids: &[&str], ms: u64) {
    for id in ids {
        assert!(completes_within(world, id, ms), "{id}");
        assert_eq!(world.phase(1, id), Some(Phase::Done));
    }
    assert_no_violations(world);
}

#[test]
fn the_leader_crashes_while_machines_with_long_tasks_are_cut_off_or_receive_nothing() {
    for (unreached, down_ms) in [(false, 0), (false, 4_000), (true, 0), (true, 4_000)] {
        let mut world = start_cluster(3, 4, 0.0);
        assert_eq!(
            world.submit(0, &array_job("run-1", 4), runs_for(25_000)),
            201
        );
        assert!(world.run_until(10_000, |world| world.placed_tasks("run-1").len() == 4));
        let until = world.now + 30_000;
        for worker in world.workers.values_mut().take(2) {
            match unreached {
                true => worker.receives_nothing = true,
                false => worker.disconnected_until = until,
            }
        }
        world.run_for(300);
        change_leader(&mut world, down_ms);
        world.run_for(28_000);
        world.end_faults();
        assert_all_done(&mut world, &["run-1"], 90_000);
    }
}

#[test]
fn arrays_with_zone_constraints_keep_them_when_machines_are_lost() {
    for seed in 0..6 {
        let mut world = start_cluster(3, 8, 0.0);
        world.seed(seed);
        world.cloud_capacity = 4;
        let one_zone = Submission {
            one_zone: true,
            ..array_job("run-1", 6)
        };
        let named_zone = Submission {
            zone: Some("b".into()),
            ..array_job("run-2", 6)
        };
        let spread = Submission {
            spread: true,
            ..array_job("run-3", 6)
        };
        for (n, job) in [&one_zone, &named_zone, &spread].into_iter().enumerate() {
            assert_eq!(world.submit(n, job, runs_for(6_000)), 201);
        }
        world.run_for(2_500 + 300 * seed);
        // Most machines of a zone are cut off, one machine is gone for good, and the next leader knows only what is
        // recorded.
        let until = world.now + 25_000;
        let zone = if seed % 2 == 0 { "a" } else { "b" };
        for worker in world
            .workers
            .values_mut()
            .filter(|m| m.zone == zone)
            .skip(1)
        {
            worker.disconnected_until = until;
        }
        world.workers.remove("vm-000000");
        change_leader(&mut world, 500);
        assert_all_done(&mut world, &["run-1", "run-2", "run-3"], 120_000);
    }
}

#[test]
fn more_work_than_capacity_with_all_priorities_and_a_slow_state_service() {
    let mut world = start_cluster(3, 3, 0.0);
    world.faults.max_state_response_delay_ms = (0..3).map(|n| (n, 400)).collect();
    world.faults.max_state_request_delay_ms = (0..3).map(|n| (n, 400)).collect();
    let mut ids = Vec::new();
    for n in 0..10 {
        let job = Submission {
            priority: match n % 3 {
                0 => wire::users::Priority::Low,
                1 => wire::users::Priority::Normal,
                _ => wire::users::Priority::Urgent,
            },
            gpus: 2.0,
            ..array_job(&format!("run-{n}"), 3)
        };
        world.upload_job(&job, runs_for(3_000));
        world.send_user_request(n % 3, "POST", "/submissions", wire::encode(&job));
        world.run_for(400);
        ids.push(job);
    }
    world.run_for(3_000);
    change_leader(&mut world, 300);
    world.run_for(10_000);
    for job in &ids {
        world.submit(1, job, runs_for(3_000));
    }
    let ids: Vec<&str> = ids.iter().map(|j| j.id.as_str()).collect();
    assert_all_done(&mut world, &ids, 120_000);
}

#[test]
fn a_slow_state_service_refuses_the_leader_and_then_all_while_users_cancel_and_query() {
    for seed in 0..4 {
        let mut world = start_cluster(3, 4, 0.0);
        world.seed(seed);
        world.faults.max_state_response_delay_ms = (0..3).map(|n| (n, 500)).collect();
        for n in 0..4 {
            let job = array_job(&format!("run-{n}"), 2);
            world.upload_job(&job, runs_for(600_000));
            world.send_user_request(n % 3, "POST", "/submissions", wire::encode(&job));
        }
        world.run_for(8_000);
        let old = world.leader().expect("leader");
        world.refused_by_state_service.insert(old);
        let mut asked = Vec::new();
        for n in 0..4 {
            let abort = format!("/submissions/run-{n}/abort");
            asked.push(world.send_user_request((old + 1 + n % 2) % 3, "POST", &abort, vec![]));
            query_all_nodes(&mut world, &["run-0", "run-1"], 200 + 150 * seed);
        }
        world.state_service_down = true;
        world.run_for(10_000);
        world.refused_by_state_service.clear();
        world.run_for(35_000);
        world.state_service_down = false;
        world.run_for(5_000);
        for n in 0..4 {
            let id = format!("run-{n}");
            assert_eq!(world.abort(old, &id), Some(Phase::Aborted));
        }
        world.run_for(15_000);
        assert!((0..4).all(|n| world.placed_tasks(&format!("run-{n}")).is_empty()));
        assert_no_violations(&world);
    }
}

#[test]
fn leaders_change_ten_times_in_two_minutes_also_during_an_outage() {
    let mut world = cluster_with_gpu_limits(3, 5);
    assert_eq!(
        world.submit(0, &of_team("t", array_job("run-1", 12)), runs_for(9_000)),
        201
    );
    assert_eq!(
        world.submit(0, &of_team("u", array_job("run-2", 9)), runs_for(5_000)),
        201
    );
    for n in 0..10 {
        world.run_for(5_000);
        world.state_service_down = n % 4 == 2;
        world.run_for(1_000);
        change_leader(&mut world, 300 * n);
        world.run_for(2_000);
        world.state_service_down = false;
    }
    assert_all_done(&mut world, &["run-1", "run-2"], 90_000);
}

#[test]
fn all_controllers_are_down_for_longer_than_a_lease() {
    for first_runs_alone in [false, true] {
        let mut world = cluster_with_gpu_limits(3, 4);
        assert_eq!(
            world.submit(0, &of_team("t", array_job("run-1", 6)), runs_for(15_000)),
            201
        );
        assert_eq!(
            world.submit(0, &of_team("u", array_job("run-2", 3)), runs_for(600_000)),
            201
        );
        world.run_for(5_000);
        assert_eq!(world.abort(0, "run-2"), Some(Phase::Aborted));
        (0..3).for_each(|n| world.crash(n));
        world.run_for(17_000);
        world.start(0);
        world.run_for(if first_runs_alone { 20_000 } else { 500 });
        world.start(1);
        world.start(2);
        assert_all_done(&mut world, &["run-1"], 90_000);
        assert_eq!(world.phase(2, "run-2"), Some(Phase::Aborted));
        assert_no_violations(&world);
    }
}

#[test]
fn leaders_change_repeatedly_then_all_controllers_crash_and_one_restarts_first() {
    for away in [10, 200, 900, 2_500] {
        let mut world = cluster_with_gpu_limits(3, 4);
        assert_eq!(
            world.submit(0, &of_team("t", array_job("run-1", 12)), runs_for(4_000)),
            201
        );
        world.run_for(3_000);
        for _ in 0..3 {
            change_leader(&mut world, away);
            world.run_for(1_500);
        }
        (0..3).for_each(|n| world.crash(n));
        world.run_for(away);
        world.start(1);
        world.run_for(3_000);
        world.start(0);
        world.start(2);
        assert_all_done(&mut world, &["run-1"], 90_000);
    }
}

#[test]
fn orders_and_answers_delayed_for_seconds_arrive_when_they_are_outdated() {
    for seed in 0..6 {
        let mut world = cluster_with_gpu_limits(3, 4);
        world.seed(seed);
        assert_eq!(
            world.submit(0, &of_team("t", array_job("run-1", 4)), runs_for(40_000)),
            201
        );
        assert_eq!(
            world.submit(0, &of_team("u", array_job("run-2", 6)), runs_for(4_000)),
            201
        );
        world.run_for(1_500 + 400 * seed);
        let until = world.now + 7_000;
        for name in world.workers.keys().take(3) {
            world
                .faults
                .messages_delayed_until
                .insert(name.clone(), until);
        }
        let other = follower(&world);
        world.send_user_request(other, "POST", "/submissions/run-1/abort", vec![]);
        world.run_for(2_000);
        if seed % 2 == 0 {
            change_leader(&mut world, 500);
        }
        assert_all_done(&mut world, &["run-2"], 90_000);
        world.run_for(15_000);
        assert!(world.placed_tasks("run-1").is_empty());
        assert_no_violations(&world);
    }
}

#[test]
fn a_zone_with_workers_and_a_controller_is_cut_off_for_longer_than_a_lease() {
    for cut_off_node_leads in [true, false] {
        let mut world = cluster_with_gpu_limits(3, 6);
        assert_eq!(
            world.submit(0, &of_team("t", array_job("run-1", 8)), runs_for(20_000)),
            201
        );
        assert_eq!(
            world.submit(0, &of_team("u", array_job("run-2", 3)), runs_for(600_000)),
            201
        );
        world.run_for(6_000);
        let leader = world.leader().expect("leader");
        let cut_off_node = if cut_off_node_leads {
            leader
        } else {
            (leader + 1) % 3
        };
        for worker in world.workers.values_mut().filter(|m| m.zone == "a") {
            worker.only_node = Some(cut_off_node);
        }
        world.isolated_from_peers.insert(cut_off_node);
        world
            .faults
            .isolated_from_state_service
            .insert(cut_off_node);
        world.run_for(1_000);
        let other = (cut_off_node + 1) % 3;
        assert!(world.run_until(10_000, |world| world.abort(other, "run-2")
            == Some(Phase::Aborted)));
        world.run_for(40_000);
        assert!(
            world.placed_tasks("run-2").is_empty(),
            "tasks of a cancelled job still run, possibly in the zone that is cut off"
        );
        world.end_faults();
        assert_all_done(&mut world, &["run-1"], 90_000);
    }
}

#[test]
fn jobs_whose_two_or_three_tasks_end_far_apart_across_changes_of_leader() {
    let mut world = start_cluster(3, 3, 0.0);
    for (n, tasks) in [2, 3, 3, 2].into_iter().enumerate() {
        let id = format!("run-{n}");
        // Each task takes all GPUs of a machine, so that the tasks start and end far apart.
        let job = Submission {
            gpus: 4.0,
            ..array_job(&id, tasks)
        };
        assert_eq!(world.submit(n % 3, &job, runs_for(6_000)), 201);
    }
    for _ in 0..3 {
        world.run_for(7_000);
        change_leader(&mut world, 700);
        query_all_nodes(&mut world, &["run-0", "run-1", "run-2", "run-3"], 150);
    }
    assert_all_done(&mut world, &["run-0", "run-1", "run-2", "run-3"], 90_000);
}

#[test]
fn workers_reach_no_controller_while_direct_orders_reach_them() {
    for leader_changes in [false, true] {
        let mut world = cluster_with_gpu_limits(3, 4);
        assert_eq!(
            world.submit(0, &of_team("t", array_job("run-1", 4)), runs_for(600_000)),
            201
        );
        assert_eq!(
            world.submit(0, &of_team("u", array_job("run-2", 3)), runs_for(8_000)),
            201
        );
        world.run_for(6_000);
        for worker in world.workers.values_mut() {
            worker.reports_lost = true;
        }
        world.run_for(3_000);
        let other = follower(&world);
        assert_eq!(world.abort(other, "run-1"), Some(Phase::Aborted));
        if !leader_changes {
            // Direct orders reach the workers long before their leases expire.
            assert!(world.run_until(3_000, |world| world.placed_tasks("run-1").is_empty()));
        } else {
            change_leader(&mut world, 300);
        }
        world.run_for(20_000);
        assert!(world.placed_tasks("run-1").is_empty());
        world.end_faults();
        assert_all_done(&mut world, &["run-2"], 90_000);
    }
}

/// The leader learns of a cancellation only by a notice of its peers, its lease has expired, and its workers receive
/// only direct orders.
#[test]
fn a_leader_without_its_lease_still_stops_tasks_of_cancelled_jobs() {
    let mut world = start_cluster(3, 2, 0.0);
    assert_eq!(
        world.submit(0, &array_job("run-1", 2), runs_for(600_000)),
        201
    );
    world.run_for(5_000);
    world.state_service_down = true;
    world.run_for(5_000);
    // The state service is back, but still refuses the leader. Its peers confirm a cancellation meanwhile.
    let old = world.leader().expect("leader");
    world.refused_by_state_service.insert(old);
    world.state_service_down = false;
    for worker in world.workers.values_mut() {
        worker.reports_lost = true;
    }
    let other = (old + 1) % 3;
    assert!(world.run_until(1_500, |world| world.abort(other, "run-1")
        == Some(Phase::Aborted)));
    assert!(world.run_until(1_200, |world| world.placed_tasks("run-1").is_empty()));
    assert_eq!(
        world.leader(),
        Some(old),
        "another node was elected already"
    );
    assert_no_violations(&world);
}

#[test]
fn an_isolated_leader_keeps_no_task_of_a_job_cancelled_through_the_new_leader() {
    for wait in [0, 3_000, 9_000] {
        let mut world = start_cluster(3, 4, 0.0);
        assert_eq!(
            world.submit(0, &array_job("run-1", 4), runs_for(600_000)),
            201
        );
        world.run_for(5_000);
        let old = world.leader().expect("leader");
        world.only_reachable_node = Some(old);
        world.isolated_from_peers.insert(old);
        world.faults.isolated_from_state_service.insert(old);
        world.run_for(wait);
        let other = (old + 1) % 3;
        assert!(world.run_until(8_000, |world| world.abort(other, "run-1")
            == Some(Phase::Aborted)));
        world.run_for(40_000);
        assert!(world.placed_tasks("run-1").is_empty());
        assert_no_violations(&world);
    }
}

/// The first report of a machine that the next leader receives is a copy from before a task began there, while the
/// machine itself can't be reached. Treated as current, it would free the task's place.
#[test]
fn an_outdated_report_that_arrives_first_from_its_machine_releases_no_task() {
    for pause in [0, 400, 1_200] {
        let mut world = start_cluster(3, 4, 0.0);
        world.faults.duplicate_reports = Some((1.0, DuplicateTarget::NextLeader));
        world.run_for(2_500);
        world.faults.duplicate_reports = None;
        let whole = Submission {
            gpus: 4.0,
            ..array_job("run-1", 3)
        };
        assert_eq!(world.submit(0, &whole, runs_for(20_000)), 201);
        assert!(world.run_until(8_000, |world| world.placed_tasks("run-1").len() == 3));
        // The machines with tasks are cut off; the remaining one is idle and reachable.
        let until = world.now + 8_000;
        let busy = |m: &&mut fakes::FakeWorker| !m.tasks.is_empty();
        world
            .workers
            .values_mut()
            .filter(busy)
            .for_each(|m| m.disconnected_until = until);
        // The machines on which its tasks are by the newest record.
        let recorded_assignments = |world: &World| {
            let last = recorded_page_entries(world)
                .into_iter()
                .filter(|p| p.job == "run-1");
            last.max_by_key(|p| p.seq).map(|p| p.chunk.assignments)
        };
        let before = recorded_assignments(&world);
        assert_eq!(before.as_ref().map_or(0, Vec::len), 3);
        world.run_for(10);
        change_leader(&mut world, pause);
        world.run_for(4_500);
        assert_eq!(
            recorded_assignments(&world),
            before,
            "recorded assignments changed while the machines were cut off"
        );
        assert_all_done(&mut world, &["run-1"], 90_000);
    }
}

/// The read for a status query is sent before the job is cancelled at another node, and its response arrives after that
/// cancellation was confirmed.
#[test]
fn a_late_read_response_does_not_hide_a_confirmed_cancellation() {
    let mut seen = 0;
    for seed in 0..12 {
        let mut world = start_cluster(3, 2, 0.0);
        world.seed(seed);
        assert_eq!(
            world.submit(0, &array_job("run-1", 2), runs_for(60_000)),
            201
        );
        world.run_for(5_000);
        world.faults.max_state_response_delay_ms.insert(1, 900);
        let query = world.send_user_request(1, "GET", "/submissions/run-1", vec![]);
        // Validations of answers are collected for some 40 ms and sent as a batch.
        world.run_for(100);
        assert_eq!(world.abort(2, "run-1"), Some(Phase::Aborted));
        world.run_for(20);
        if world.take_response(query).is_none() {
            world.run_for(1_500);
            let (status, body) = world.take_response(query).expect("an answer");
            let phase = wire::decode::<wire::users::JobStatus>(&body).map(|s| s.phase);
            assert!(matches!((status, phase), (200, Ok(Phase::Aborted))));
            seen += 1;
        }
        assert_no_violations(&world);
    }
    assert!(seen > 2, "only {seen} read responses came back late");
}

/// The creation of a job is recorded; another node answers a repeated submission and cancels the job. Only then does
/// the first node receive the response to its create transaction.
#[test]
fn a_late_create_response_does_not_hide_a_cancellation_made_since() {
    let mut seen = 0;
    for seed in 0..12 {
        let mut world = start_cluster(3, 2, 0.0);
        world.seed(seed);
        let job = array_job("run-1", 1);
        world.upload_job(&job, runs_for(60_000));
        world.faults.max_state_response_delay_ms.insert(1, 1_000);
        let first = world.send_user_request(1, "POST", "/submissions", wire::encode(&job));
        world.run_for(40);
        assert_eq!(world.submit(2, &job, runs_for(60_000)), 200);
        assert_eq!(world.abort(2, "run-1"), Some(Phase::Aborted));
        world.run_for(20);
        if world.take_response(first).is_none() {
            world.run_for(1_500);
            let (status, body) = world.take_response(first).expect("an answer");
            let phase = wire::decode::<wire::users::JobStatus>(&body).map(|s| s.phase);
            assert!(matches!((status, phase), (200 | 201, Ok(Phase::Aborted))));
            seen += 1;
        }
        assert_no_violations(&world);
    }
    assert!(seen > 2, "only {seen} create responses came back late");
}

/// A node that forwards requests to a peer crashes, and its next process receives the answers to the forwarded requests
/// of the earlier one.
#[test]
fn an_answer_for_an_earlier_process_answers_no_request_of_the_next() {
    let mut world = start_cluster(3, 2, 0.0);
    let isolated = follower(&world);
    let ids = ["run-1", "run-2", "run-3", "run-4"];
    for id in ids {
        assert_eq!(
            world.submit(isolated, &array_job(id, 1), runs_for(60_000)),
            201
        );
    }
    world.run_for(5_000);
    world.refused_by_state_service.insert(isolated);
    for n in (0..3).filter(|n| *n != isolated) {
        world.faults.max_state_response_delay_ms.insert(n, 1_000);
    }
    world.run_for(3_000);
    for _ in 0..6 {
        // Some of these are on their way to the state service when the process ends.
        for id in ids {
            world.send_user_request(isolated, "GET", &format!("/submissions/{id}"), vec![]);
        }
        world.run_for(150);
        world.crash(isolated);
        world.run_for(20);
        world.start(isolated);
        // Nothing is forwarded until the node knows a peer that reaches the state service.
        world.run_for(620);
        for id in ids {
            let abort = format!("/submissions/{id}/abort");
            world.send_user_request(isolated, "POST", &abort, vec![]);
        }
        world.run_for(1_200);
    }
    world.end_faults();
    for id in ids {
        assert!(world.run_until(5_000, |world| world.abort(isolated, id)
            == Some(Phase::Aborted)));
    }
    assert_no_violations(&world);
}

/// The former leader is cut off from the state service and its peers, and goes on renewing a machine's lease for a
/// while. The new leader receives only a late copy of a report of that machine, and then nothing.
#[test]
fn silence_of_a_machine_without_contact_to_the_new_leader_releases_no_task() {
    let mut world = start_cluster(3, 2, 0.0);
    let whole = Submission {
        gpus: 4.0,
        ..array_job("run-1", 1)
    };
    assert_eq!(world.submit(0, &whole, runs_for(40_000)), 201);
    assert!(world.run_until(8_000, |world| world.placed_tasks("run-1").len() == 1));
    world.faults.duplicate_reports = Some((1.0, DuplicateTarget::NextLeader));
    world.run_for(2_500);
    let old = world.leader().expect("leader");
    let busy = |m: &&mut fakes::FakeWorker| !m.tasks.is_empty();
    world
        .workers
        .values_mut()
        .filter(busy)
        .for_each(|m| m.only_node = Some(old));
    world.isolated_from_peers.insert(old);
    world.faults.isolated_from_state_service.insert(old);
    world.run_for(40_000);
    world.end_faults();
    assert_all_done(&mut world, &["run-1"], 90_000);
}

/// A task runs on a machine that no record names for it and that receives no messages. The task counts against its
/// team's limit while it may be there, and ends when the worker's lease expires, although no order to stop reaches it.
#[test]
fn an_orphan_task_on_an_unreachable_machine_counts_until_its_lease_expires() {
    let mut world = cluster_with_gpu_limits(3, 4);
    let two_gpu_job = |id: &str, tasks: u64| Submission {
        gpus: 2.0,
        ..of_team("t", array_job(id, tasks))
    };
    assert_eq!(
        world.submit(0, &two_gpu_job("run-1", 2), runs_for(60_000)),
        201
    );
    assert!(world.run_until(8_000, |world| world.placed_tasks("run-1").len() == 2));
    assert_eq!(
        world.submit(0, &two_gpu_job("run-2", 2), runs_for(2_000)),
        201
    );
    world.run_for(3_000);
    // Moves one of its tasks to another machine than its record names, under another attempt.
    let (from, task, attempt) = world.placed_tasks("run-1").remove(1);
    let moved = world
        .workers
        .get_mut(&from)
        .and_then(|m| m.tasks.remove(&(task.clone(), attempt)));
    let free = |m: &&mut fakes::FakeWorker| m.tasks.is_empty() && m.name != from;
    let unreached = world
        .workers
        .values_mut()
        .find(free)
        .expect("a free machine");
    unreached
        .tasks
        .insert((task, attempt + 8), moved.expect("it was there"));
    unreached.receives_nothing = true;
    // This machine reports the task before the other machine reports that it is gone.
    (unreached.report_in_flight, unreached.next_report_at) = (None, world.now);
    let name = unreached.name.clone();
    let now = world.now;
    let former = world.workers.get_mut(&from).expect("worker");
    (former.report_in_flight, former.next_report_at) = (None, now + 1_500);
    world.run_for(10_000);
    assert!(
        world.placed_tasks("run-2").is_empty(),
        "the team exceeds its limit"
    );
    world.run_for(6_000);
    let ended = world.workers.get(&name).is_none_or(|m| m.tasks.is_empty());
    assert!(
        ended,
        "the task outlived the lease of its worker, and the machine was not returned"
    );
    world.end_faults();
    assert_all_done(&mut world, &["run-2", "run-1"], 120_000);
}
