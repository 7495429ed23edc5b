//! Two troubles that meet, a scenario for each such meeting. The world checks every rule at every step.

mod common;

use common::*;
use fakes::{array_job, DuplicateTarget, World};
use wire::users::{Phase, Submission};

/// Asks every node about some jobs at every step for a while, and repeats a submission now and then.
fn look_closely(w: &mut World, ids: &[&str], ms: u64) {
    for round in 0..ms / 10 {
        for node in 0..3 {
            for id in ids {
                w.send_user_request(node, "GET", &format!("/submissions/{id}"), vec![]);
            }
            if round % 7 == node as u64 {
                let again = wire::encode(&w.jobs[ids[0]]);
                w.send_user_request(node, "POST", "/submissions", again);
            }
        }
        w.run_for(10);
    }
}

#[test]
fn close_looks_at_all_nodes_never_hear_anything_older() {
    for seed in 0..6 {
        let mut w = world(3, 3, 0.0);
        w.seed(seed);
        // Answers of the store take so long that newer ones overtake them.
        for (node, ms) in [(0, 0), (1, 300), (2, 120)] {
            w.faults.max_state_response_delay_ms.insert(node, ms);
        }
        for id in ["run-1", "run-2", "run-3"] {
            assert_eq!(
                w.submit(seed as usize % 3, &array_job(id, 2), runs(1_500)),
                201
            );
            look_closely(&mut w, &[id], 100);
        }
        w.send_user_request(1, "POST", "/submissions/run-3/abort", vec![]);
        look_closely(&mut w, &["run-3", "run-1", "run-2"], 6_000);
        w.faults.max_state_response_delay_ms.clear();
        assert!(done(&mut w, "run-1", 10_000) && done(&mut w, "run-2", 10_000));
        assert_eq!(w.phase(2, "run-3"), Some(Phase::Aborted));
        clean(&w);
    }
}

#[test]
fn answers_lost_while_others_read_what_was_written() {
    for seed in 0..6 {
        let mut w = world(3, 3, 0.0);
        w.seed(seed);
        w.faults.lost_response_share = 0.4;
        let ids: Vec<String> = (0..6).map(|n| format!("run-{n}")).collect();
        for (n, id) in ids.iter().enumerate() {
            w.upload_job(&array_job(id, 2), runs(2_000));
            let body = wire::encode(&array_job(id, 2));
            // Whoever heard nothing asks elsewhere.
            for k in 0..3 {
                w.send_user_request((n + k) % 3, "POST", "/submissions", body.clone());
                w.run_for(40);
                w.send_user_request(
                    (n + k + 1) % 3,
                    "GET",
                    &format!("/submissions/{id}"),
                    vec![],
                );
            }
            if n % 3 == 0 {
                w.send_user_request(n % 2, "POST", &format!("/submissions/{id}/abort"), vec![]);
            }
            w.run_for(300);
        }
        for _ in 0..40 {
            for id in &ids {
                for node in 0..3 {
                    w.send_user_request(node, "GET", &format!("/submissions/{id}"), vec![]);
                }
            }
            w.run_for(250);
        }
        w.faults.lost_response_share = 0.0;
        let over = |w: &mut World, id: &String| {
            w.run_until(30_000, |w| {
                matches!(w.phase(0, id), Some(Phase::Done | Phase::Aborted))
            })
        };
        assert!(ids.iter().all(|id| over(&mut w, id)), "seed {seed}");
        clean(&w);
    }
}

/// Two teams that may have two and three GPUs.
fn limited(nodes: usize, machines: usize) -> World {
    cluster(nodes, machines, |i| {
        let mut s = settings(i, nodes, 0.0);
        s.deployment.teams = vec![team("t", 4.0), team("u", 3.0)];
        s
    })
}

#[test]
fn teams_at_their_limit_while_cancelled_machines_are_cut_off_or_hang_and_the_leader_changes() {
    for (cut, hang) in [(true, false), (false, true), (true, true)] {
        let mut w = limited(3, 6);
        for (id, team, tasks) in [("run-1", "t", 4), ("run-2", "u", 3)] {
            assert_eq!(
                w.submit(0, &of_team(team, array_job(id, tasks)), runs(60_000)),
                201
            );
        }
        for (id, team) in [("run-3", "t"), ("run-4", "u")] {
            assert_eq!(
                w.submit(1, &of_team(team, array_job(id, 12)), runs(2_000)),
                201
            );
        }
        assert!(w.run_until(10_000, |w| w.placed_tasks("run-1").len() == 4));
        let old = w.leader().expect("leader");
        let until = w.now + 9_000;
        let names: Vec<String> = w.workers.keys().cloned().collect();
        for (n, name) in names.iter().enumerate().take(4) {
            let worker = w.workers.get_mut(name).expect("worker");
            match n % 2 == 0 {
                true if cut => worker.disconnected_until = until,
                false if hang => worker.hung_until = until,
                _ => {}
            }
        }
        let other = follower(&w);
        for id in ["run-1", "run-2"] {
            w.send_user_request(other, "POST", &format!("/submissions/{id}/abort"), vec![]);
        }
        w.run_for(60);
        w.crash(old);
        w.run_for(2_500);
        w.start(old);
        for id in ["run-3", "run-4"] {
            assert!(
                w.run_until(90_000, |w| w.phase(other, id) == Some(Phase::Done)),
                "{id}"
            );
        }
        for id in ["run-1", "run-2"] {
            assert_eq!(w.phase(other, id), Some(Phase::Aborted));
        }
        clean(&w);
    }
}

#[test]
fn jobs_cancelled_in_the_seconds_in_which_leadership_changes_hands() {
    for seed in 0..8 {
        let mut w = world(3, 4, 0.0);
        w.seed(seed);
        let ids: Vec<String> = (0..8).map(|n| format!("run-{n}")).collect();
        for id in &ids {
            assert_eq!(w.submit(1, &array_job(id, 2), runs(600_000)), 201);
        }
        w.run_for(5_000);
        let old = w.leader().expect("leader");
        match seed % 4 {
            0 => w.crash(old),
            1 => {
                w.refused_by_state_service.insert(old);
            }
            2 => {
                w.faults.frozen_until.insert(old, w.now + 5_000);
            }
            _ => {
                w.refused_by_state_service.insert(old);
                w.isolated_from_peers.insert(old);
            }
        }
        for (n, id) in ids.iter().enumerate() {
            let node = (old + 1 + n % 2) % 3;
            w.send_user_request(node, "POST", &format!("/submissions/{id}/abort"), vec![]);
            w.run_for(30 * (seed + 1) * n as u64 % 900);
        }
        if seed % 4 == 0 {
            w.start(old);
        }
        w.run_for(6_000);
        w.refused_by_state_service.clear();
        w.isolated_from_peers.clear();
        w.run_for(34_000);
        for id in &ids {
            assert!(w.placed_tasks(id).is_empty(), "{id}, seed {seed}");
            assert_eq!(w.phase(old, id), Some(Phase::Aborted), "seed {seed}");
        }
        assert!(w.rules.late_starts.is_empty(), "{:?}", w.rules.late_starts);
        clean(&w);
    }
}

#[test]
fn machines_up_at_once_get_work_while_writes_lag_and_the_leader_ends() {
    for seed in 0..8 {
        let mut w = world(3, 0, 0.0);
        w.seed(seed);
        w.cloud_capacity = 6;
        w.boot_ms = 0..=2_000;
        w.faults.max_state_request_delay_ms = (0..3).map(|n| (n, 700)).collect();
        w.faults.late_txn_share = 0.1;
        for n in 0..6 {
            let job = array_job(&format!("run-{n}"), 3);
            w.upload_job(&job, runs(8_000));
            w.send_user_request(n % 3, "POST", "/submissions", wire::encode(&job));
        }
        w.run_for(2_500 + 400 * seed);
        let old = w.leader().expect("leader");
        w.crash(old);
        w.run_for(300);
        w.start(old);
        w.run_for(4_000);
        if let Some(next) = w.leader() {
            w.crash(next);
            w.run_for(1_000);
            w.start(next);
        }
        w.run_for(5_000);
        w.end_faults();
        w.run_for(3_000);
        for n in 0..6 {
            let job = array_job(&format!("run-{n}"), 3);
            w.submit(n % 3, &job, runs(8_000));
            assert!(done(&mut w, &job.id, 90_000), "{} seed {seed}", job.id);
        }
        clean(&w);
    }
}

/// Copies of reports of an earlier term reach every node just as a new leader begins: they neither prove that a task is
/// gone nor that a machine lives.
#[test]
fn an_old_report_reaches_every_node_as_a_new_leader_begins() {
    for seed in 0..6 {
        let mut w = limited(3, 5);
        w.seed(seed);
        w.faults.duplicate_reports = Some((1.0, DuplicateTarget::NextLeader));
        assert_eq!(
            w.submit(0, &of_team("t", array_job("run-1", 4)), runs(20_000)),
            201
        );
        assert_eq!(
            w.submit(0, &of_team("u", array_job("run-2", 8)), runs(1_000)),
            201
        );
        w.run_for(1_500 + 300 * seed);
        let old = w.leader().expect("leader");
        // Some machines are cut off, so that nothing but the copy tells of them.
        let until = w.now + 20_000;
        for worker in w.workers.values_mut().take(2) {
            worker.disconnected_until = until;
        }
        w.crash(old);
        w.run_for(200 * seed);
        w.start(old);
        let other = (old + 1) % 3;
        assert!(w.run_until(120_000, |w| w.phase(other, "run-1") == Some(Phase::Done)));
        assert!(w.run_until(60_000, |w| w.phase(other, "run-2") == Some(Phase::Done)));
        clean(&w);
    }
}

#[test]
fn one_task_jobs_come_four_a_second_and_a_quarter_is_cancelled() {
    let mut w = world(3, 6, 0.0);
    // Each job costs at least three changes, and what its start and its cancellation take besides.
    let limits = w.state_service.limits.as_mut().expect("limits");
    limits.write_rps = 25.0;
    let mut ids = Vec::new();
    for n in 0..240_u64 {
        let id = format!("run-{n}");
        w.upload_job(&array_job(&id, 1), runs(1_500));
        w.send_user_request(
            (n % 3) as usize,
            "POST",
            "/submissions",
            wire::encode(&array_job(&id, 1)),
        );
        ids.push(id);
        w.run_for(250);
        if n % 4 == 3 {
            let early = &ids[(n - n % 3) as usize];
            w.send_user_request(
                (n % 2) as usize,
                "POST",
                &format!("/submissions/{early}/abort"),
                vec![],
            );
        }
        if n == 120 {
            let old = w.leader().expect("leader");
            w.crash(old);
            w.run_for(1_000);
            w.start(old);
        }
    }
    w.run_for(5_000);
    let mut open = Vec::new();
    for id in &ids {
        // Those whose submission was turned away are sent again, as their users do.
        if w.phase(0, id).is_none() {
            assert!(matches!(
                w.submit(1, &array_job(id, 1), runs(1_500)),
                200 | 201
            ));
            open.push(id.clone());
        }
    }
    assert!(open.len() < 60, "{} were refused", open.len());
    w.run_for(30_000);
    for id in &ids {
        let phase = w.phase(1, id);
        assert!(
            matches!(phase, Some(Phase::Done | Phase::Aborted)),
            "{id} {phase:?}"
        );
    }
    assert!(w.rules.late_starts.is_empty(), "{:?}", w.rules.late_starts);
    clean(&w);
}

/// Ends the leader, and starts it again after a while.
fn change_leader(w: &mut World, away_ms: u64) {
    let Some(old) = w.leader() else {
        return w.run_for(away_ms);
    };
    w.crash(old);
    w.run_for(away_ms);
    w.start(old);
}

/// All of these jobs are done before long, wherever one asks.
fn all_done(w: &mut World, ids: &[&str], ms: u64) {
    for id in ids {
        assert!(done(w, id, ms), "{id}");
        assert_eq!(w.phase(1, id), Some(Phase::Done));
    }
    clean(w);
}

#[test]
fn a_leader_ends_while_machines_with_long_tasks_can_not_be_reached_or_hear_nothing() {
    for (unreached, away_ms) in [(false, 0), (false, 4_000), (true, 0), (true, 4_000)] {
        let mut w = world(3, 4, 0.0);
        assert_eq!(w.submit(0, &array_job("run-1", 4), runs(25_000)), 201);
        assert!(w.run_until(10_000, |w| w.placed_tasks("run-1").len() == 4));
        let until = w.now + 30_000;
        for worker in w.workers.values_mut().take(2) {
            match unreached {
                true => worker.receives_nothing = true,
                false => worker.disconnected_until = until,
            }
        }
        w.run_for(300);
        change_leader(&mut w, away_ms);
        w.run_for(28_000);
        w.end_faults();
        all_done(&mut w, &["run-1"], 90_000);
    }
}

#[test]
fn arrays_bound_to_one_zone_or_spread_over_two_lose_machines_and_stay_within_bounds() {
    for seed in 0..6 {
        let mut w = world(3, 8, 0.0);
        w.seed(seed);
        w.cloud_capacity = 4;
        let bound = Submission {
            one_zone: true,
            ..array_job("run-1", 6)
        };
        let named = Submission {
            zone: Some("b".into()),
            ..array_job("run-2", 6)
        };
        let spread = Submission {
            spread: true,
            ..array_job("run-3", 6)
        };
        for (n, job) in [&bound, &named, &spread].into_iter().enumerate() {
            assert_eq!(w.submit(n, job, runs(6_000)), 201);
        }
        w.run_for(2_500 + 300 * seed);
        // Most of a zone is silent, one machine is gone for good, and the next leader knows only records.
        let until = w.now + 25_000;
        let zone = if seed % 2 == 0 { "a" } else { "b" };
        for worker in w.workers.values_mut().filter(|m| m.zone == zone).skip(1) {
            worker.disconnected_until = until;
        }
        w.workers.remove("vm-000000");
        change_leader(&mut w, 500);
        all_done(&mut w, &["run-1", "run-2", "run-3"], 120_000);
    }
}

#[test]
fn more_work_than_room_urgent_and_not_over_slow_links() {
    let mut w = world(3, 3, 0.0);
    w.faults.max_state_response_delay_ms = (0..3).map(|n| (n, 400)).collect();
    w.faults.max_state_request_delay_ms = (0..3).map(|n| (n, 400)).collect();
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
        w.upload_job(&job, runs(3_000));
        w.send_user_request(n % 3, "POST", "/submissions", wire::encode(&job));
        w.run_for(400);
        ids.push(job);
    }
    w.run_for(3_000);
    change_leader(&mut w, 300);
    w.run_for(10_000);
    for job in &ids {
        w.submit(1, job, runs(3_000));
    }
    let ids: Vec<&str> = ids.iter().map(|j| j.id.as_str()).collect();
    all_done(&mut w, &ids, 120_000);
}

#[test]
fn a_slow_store_refuses_the_leader_and_then_all_while_users_cancel_and_ask() {
    for seed in 0..4 {
        let mut w = world(3, 4, 0.0);
        w.seed(seed);
        w.faults.max_state_response_delay_ms = (0..3).map(|n| (n, 500)).collect();
        for n in 0..4 {
            let job = array_job(&format!("run-{n}"), 2);
            w.upload_job(&job, runs(600_000));
            w.send_user_request(n % 3, "POST", "/submissions", wire::encode(&job));
        }
        w.run_for(8_000);
        let old = w.leader().expect("leader");
        w.refused_by_state_service.insert(old);
        let mut asked = Vec::new();
        for n in 0..4 {
            let abort = format!("/submissions/run-{n}/abort");
            asked.push(w.send_user_request((old + 1 + n % 2) % 3, "POST", &abort, vec![]));
            look_closely(&mut w, &["run-0", "run-1"], 200 + 150 * seed);
        }
        w.state_service_down = true;
        w.run_for(10_000);
        w.refused_by_state_service.clear();
        w.run_for(35_000);
        w.state_service_down = false;
        w.run_for(5_000);
        for n in 0..4 {
            let id = format!("run-{n}");
            assert_eq!(w.abort(old, &id), Some(Phase::Aborted));
        }
        w.run_for(15_000);
        assert!((0..4).all(|n| w.placed_tasks(&format!("run-{n}")).is_empty()));
        clean(&w);
    }
}

#[test]
fn leaders_change_ten_times_in_two_minutes_also_inside_an_outage() {
    let mut w = limited(3, 5);
    assert_eq!(
        w.submit(0, &of_team("t", array_job("run-1", 12)), runs(9_000)),
        201
    );
    assert_eq!(
        w.submit(0, &of_team("u", array_job("run-2", 9)), runs(5_000)),
        201
    );
    for n in 0..10 {
        w.run_for(5_000);
        w.state_service_down = n % 4 == 2;
        w.run_for(1_000);
        change_leader(&mut w, 300 * n);
        w.run_for(2_000);
        w.state_service_down = false;
    }
    all_done(&mut w, &["run-1", "run-2"], 90_000);
}

#[test]
fn all_controllers_are_away_for_longer_than_a_lease() {
    for one_first in [false, true] {
        let mut w = limited(3, 4);
        assert_eq!(
            w.submit(0, &of_team("t", array_job("run-1", 6)), runs(15_000)),
            201
        );
        assert_eq!(
            w.submit(0, &of_team("u", array_job("run-2", 3)), runs(600_000)),
            201
        );
        w.run_for(5_000);
        assert_eq!(w.abort(0, "run-2"), Some(Phase::Aborted));
        (0..3).for_each(|n| w.crash(n));
        w.run_for(17_000);
        w.start(0);
        w.run_for(if one_first { 20_000 } else { 500 });
        w.start(1);
        w.start(2);
        all_done(&mut w, &["run-1"], 90_000);
        assert_eq!(w.phase(2, "run-2"), Some(Phase::Aborted));
        clean(&w);
    }
}

#[test]
fn controllers_hand_over_and_back_all_end_and_one_returns_at_once() {
    for away in [10, 200, 900, 2_500] {
        let mut w = limited(3, 4);
        assert_eq!(
            w.submit(0, &of_team("t", array_job("run-1", 12)), runs(4_000)),
            201
        );
        w.run_for(3_000);
        for _ in 0..3 {
            change_leader(&mut w, away);
            w.run_for(1_500);
        }
        (0..3).for_each(|n| w.crash(n));
        w.run_for(away);
        w.start(1);
        w.run_for(3_000);
        w.start(0);
        w.start(2);
        all_done(&mut w, &["run-1"], 90_000);
    }
}

#[test]
fn commands_and_answers_held_for_seconds_arrive_when_they_no_longer_matter() {
    for seed in 0..6 {
        let mut w = limited(3, 4);
        w.seed(seed);
        assert_eq!(
            w.submit(0, &of_team("t", array_job("run-1", 4)), runs(40_000)),
            201
        );
        assert_eq!(
            w.submit(0, &of_team("u", array_job("run-2", 6)), runs(4_000)),
            201
        );
        w.run_for(1_500 + 400 * seed);
        let until = w.now + 7_000;
        for name in w.workers.keys().take(3) {
            w.faults.messages_delayed_until.insert(name.clone(), until);
        }
        let other = follower(&w);
        w.send_user_request(other, "POST", "/submissions/run-1/abort", vec![]);
        w.run_for(2_000);
        if seed % 2 == 0 {
            change_leader(&mut w, 500);
        }
        all_done(&mut w, &["run-2"], 90_000);
        w.run_for(15_000);
        assert!(w.placed_tasks("run-1").is_empty());
        clean(&w);
    }
}

#[test]
fn a_zone_with_workers_and_a_controller_is_cut_off_for_longer_than_a_lease() {
    for leads_inside in [true, false] {
        let mut w = limited(3, 6);
        assert_eq!(
            w.submit(0, &of_team("t", array_job("run-1", 8)), runs(20_000)),
            201
        );
        assert_eq!(
            w.submit(0, &of_team("u", array_job("run-2", 3)), runs(600_000)),
            201
        );
        w.run_for(6_000);
        let leader = w.leader().expect("leader");
        let inside = if leads_inside {
            leader
        } else {
            (leader + 1) % 3
        };
        for worker in w.workers.values_mut().filter(|m| m.zone == "a") {
            worker.only_node = Some(inside);
        }
        w.isolated_from_peers.insert(inside);
        w.faults.isolated_from_state_service.insert(inside);
        w.run_for(1_000);
        let other = (inside + 1) % 3;
        assert!(w.run_until(10_000, |w| w.abort(other, "run-2") == Some(Phase::Aborted)));
        w.run_for(40_000);
        assert!(w.placed_tasks("run-2").is_empty(), "also in the cut zone");
        w.end_faults();
        all_done(&mut w, &["run-1"], 90_000);
    }
}

#[test]
fn jobs_of_two_or_three_tasks_end_far_apart_across_a_change_of_leader() {
    let mut w = world(3, 3, 0.0);
    for (n, tasks) in [2, 3, 3, 2].into_iter().enumerate() {
        let id = format!("run-{n}");
        // One task at a time: they begin and end far apart.
        let job = Submission {
            gpus: 4.0,
            ..array_job(&id, tasks)
        };
        assert_eq!(w.submit(n % 3, &job, runs(6_000)), 201);
    }
    for _ in 0..3 {
        w.run_for(7_000);
        change_leader(&mut w, 700);
        look_closely(&mut w, &["run-0", "run-1", "run-2", "run-3"], 150);
    }
    all_done(&mut w, &["run-0", "run-1", "run-2", "run-3"], 90_000);
}

#[test]
fn workers_reach_no_controller_while_direct_commands_reach_them() {
    for change in [false, true] {
        let mut w = limited(3, 4);
        assert_eq!(
            w.submit(0, &of_team("t", array_job("run-1", 4)), runs(600_000)),
            201
        );
        assert_eq!(
            w.submit(0, &of_team("u", array_job("run-2", 3)), runs(8_000)),
            201
        );
        w.run_for(6_000);
        for worker in w.workers.values_mut() {
            worker.reports_lost = true;
        }
        w.run_for(3_000);
        let other = follower(&w);
        assert_eq!(w.abort(other, "run-1"), Some(Phase::Aborted));
        if !change {
            // Told directly, long before their leases run out.
            assert!(w.run_until(3_000, |w| w.placed_tasks("run-1").is_empty()));
        } else {
            change_leader(&mut w, 300);
        }
        w.run_for(20_000);
        assert!(w.placed_tasks("run-1").is_empty());
        w.end_faults();
        all_done(&mut w, &["run-2"], 90_000);
    }
}

/// The leader hears of a cancellation only by notice, its lease is over, and its workers only hear direct commands.
#[test]
fn a_leader_without_its_lease_still_ends_what_is_cancelled() {
    let mut w = world(3, 2, 0.0);
    assert_eq!(w.submit(0, &array_job("run-1", 2), runs(600_000)), 201);
    w.run_for(5_000);
    w.state_service_down = true;
    w.run_for(5_000);
    // Out a moment longer for the leader, whose peers confirm a cancellation meanwhile.
    let old = w.leader().expect("leader");
    w.refused_by_state_service.insert(old);
    w.state_service_down = false;
    for worker in w.workers.values_mut() {
        worker.reports_lost = true;
    }
    let other = (old + 1) % 3;
    assert!(w.run_until(1_500, |w| w.abort(other, "run-1") == Some(Phase::Aborted)));
    assert!(w.run_until(1_200, |w| w.placed_tasks("run-1").is_empty()));
    assert_eq!(w.leader(), Some(old), "nobody else was elected yet");
    clean(&w);
}

#[test]
fn a_leader_cut_from_state_and_peers_keeps_no_task_that_is_cancelled_through_the_new_one() {
    for wait in [0, 3_000, 9_000] {
        let mut w = world(3, 4, 0.0);
        assert_eq!(w.submit(0, &array_job("run-1", 4), runs(600_000)), 201);
        w.run_for(5_000);
        let old = w.leader().expect("leader");
        w.only_reachable_node = Some(old);
        w.isolated_from_peers.insert(old);
        w.faults.isolated_from_state_service.insert(old);
        w.run_for(wait);
        let other = (old + 1) % 3;
        assert!(w.run_until(8_000, |w| w.abort(other, "run-1") == Some(Phase::Aborted)));
        w.run_for(40_000);
        assert!(w.placed_tasks("run-1").is_empty());
        clean(&w);
    }
}

/// A copy that tells of a machine as it was before a task began there reaches the next leader first, while the machine
/// can't be reached: taken as current it would free the task's place.
#[test]
fn an_old_report_that_is_the_first_of_its_machine_frees_nothing() {
    for pause in [0, 400, 1_200] {
        let mut w = world(3, 4, 0.0);
        w.faults.duplicate_reports = Some((1.0, DuplicateTarget::NextLeader));
        w.run_for(2_500);
        w.faults.duplicate_reports = None;
        let whole = Submission {
            gpus: 4.0,
            ..array_job("run-1", 3)
        };
        assert_eq!(w.submit(0, &whole, runs(20_000)), 201);
        assert!(w.run_until(8_000, |w| w.placed_tasks("run-1").len() == 3));
        // One machine is free, and reached.
        let until = w.now + 8_000;
        let busy = |m: &&mut fakes::FakeWorker| !m.tasks.is_empty();
        w.workers
            .values_mut()
            .filter(busy)
            .for_each(|m| m.disconnected_until = until);
        // Where the records say that its tasks are.
        let recorded = |w: &World| {
            let last = parts(w).into_iter().filter(|p| p.job == "run-1");
            last.max_by_key(|p| p.seq).map(|p| p.chunk.assignments)
        };
        let before = recorded(&w);
        assert_eq!(before.as_ref().map_or(0, Vec::len), 3);
        w.run_for(10);
        change_leader(&mut w, pause);
        w.run_for(4_500);
        assert_eq!(recorded(&w), before, "while they are cut off");
        all_done(&mut w, &["run-1"], 90_000);
    }
}

/// The reading for a question was sent before the job was cancelled elsewhere, and comes back after that was confirmed.
#[test]
fn a_reading_that_comes_back_late_does_not_hide_a_confirmed_cancellation() {
    let mut seen = 0;
    for seed in 0..12 {
        let mut w = world(3, 2, 0.0);
        w.seed(seed);
        assert_eq!(w.submit(0, &array_job("run-1", 2), runs(60_000)), 201);
        w.run_for(5_000);
        let ask = |w: &mut World| w.send_user_request(1, "GET", "/submissions/run-1", vec![]);
        w.faults.max_state_response_delay_ms.insert(1, 900);
        let question = ask(&mut w);
        // Proofs wait for others for some 40 ms.
        w.run_for(100);
        assert_eq!(w.abort(2, "run-1"), Some(Phase::Aborted));
        w.run_for(20);
        if w.take_response(question).is_none() {
            w.run_for(1_500);
            let (status, body) = w.take_response(question).expect("an answer");
            let phase = wire::decode::<wire::users::JobStatus>(&body).map(|s| s.phase);
            assert!(matches!((status, phase), (200, Ok(Phase::Aborted))));
            seen += 1;
        }
        clean(&w);
    }
    assert!(seen > 2, "{seen} readings came back late");
}

/// The creation is recorded, a repeat is answered and the job cancelled at another node, and only then does the first
/// node hear of its creation.
#[test]
fn a_late_creation_is_not_answered_as_if_nothing_had_happened_since() {
    let mut seen = 0;
    for seed in 0..12 {
        let mut w = world(3, 2, 0.0);
        w.seed(seed);
        let job = array_job("run-1", 1);
        w.upload_job(&job, runs(60_000));
        w.faults.max_state_response_delay_ms.insert(1, 1_000);
        let first = w.send_user_request(1, "POST", "/submissions", wire::encode(&job));
        w.run_for(40);
        assert_eq!(w.submit(2, &job, runs(60_000)), 200);
        assert_eq!(w.abort(2, "run-1"), Some(Phase::Aborted));
        w.run_for(20);
        if w.take_response(first).is_none() {
            w.run_for(1_500);
            let (status, body) = w.take_response(first).expect("an answer");
            let phase = wire::decode::<wire::users::JobStatus>(&body).map(|s| s.phase);
            assert!(matches!((status, phase), (200 | 201, Ok(Phase::Aborted))));
            seen += 1;
        }
        clean(&w);
    }
    assert!(seen > 2, "{seen} creations came back late");
}

/// A node that passes requests on to a peer ends, and its next process gets the answers that were meant for it.
#[test]
fn an_answer_for_an_earlier_process_answers_nobody() {
    let mut w = world(3, 2, 0.0);
    let alone = follower(&w);
    let ids = ["run-1", "run-2", "run-3", "run-4"];
    for id in ids {
        assert_eq!(w.submit(alone, &array_job(id, 1), runs(60_000)), 201);
    }
    w.run_for(5_000);
    w.refused_by_state_service.insert(alone);
    for n in (0..3).filter(|n| *n != alone) {
        w.faults.max_state_response_delay_ms.insert(n, 1_000);
    }
    w.run_for(3_000);
    for _ in 0..6 {
        // Some of these are on their way to the store when the process ends.
        for id in ids {
            w.send_user_request(alone, "GET", &format!("/submissions/{id}"), vec![]);
        }
        w.run_for(150);
        w.crash(alone);
        w.run_for(20);
        w.start(alone);
        // Until it knows a peer that reaches the store nothing is passed on.
        w.run_for(620);
        for id in ids {
            let abort = format!("/submissions/{id}/abort");
            w.send_user_request(alone, "POST", &abort, vec![]);
        }
        w.run_for(1_200);
    }
    w.end_faults();
    for id in ids {
        assert!(w.run_until(5_000, |w| w.abort(alone, id) == Some(Phase::Aborted)));
    }
    clean(&w);
}

/// The former leader is cut off and goes on renewing a machine's lease for a while; the new one has only a late copy of a
/// report of that machine, and then silence.
#[test]
fn the_silence_of_a_machine_that_has_not_heard_the_new_leader_frees_nothing() {
    let mut w = world(3, 2, 0.0);
    let whole = Submission {
        gpus: 4.0,
        ..array_job("run-1", 1)
    };
    assert_eq!(w.submit(0, &whole, runs(40_000)), 201);
    assert!(w.run_until(8_000, |w| w.placed_tasks("run-1").len() == 1));
    w.faults.duplicate_reports = Some((1.0, DuplicateTarget::NextLeader));
    w.run_for(2_500);
    let old = w.leader().expect("leader");
    let busy = |m: &&mut fakes::FakeWorker| !m.tasks.is_empty();
    w.workers
        .values_mut()
        .filter(busy)
        .for_each(|m| m.only_node = Some(old));
    w.isolated_from_peers.insert(old);
    w.faults.isolated_from_state_service.insert(old);
    w.run_for(40_000);
    w.end_faults();
    all_done(&mut w, &["run-1"], 90_000);
}

/// A task where no record has it, on a machine that hears nothing: it counts against its team's limit while it may be
/// there, and ends with its worker's lease, though nobody can tell it to.
#[test]
fn an_orphan_on_an_unreached_machine_counts_until_its_lease_ends_it() {
    let mut w = limited(3, 4);
    let pairs = |id: &str, tasks: u64| Submission {
        gpus: 2.0,
        ..of_team("t", array_job(id, tasks))
    };
    assert_eq!(w.submit(0, &pairs("run-1", 2), runs(60_000)), 201);
    assert!(w.run_until(8_000, |w| w.placed_tasks("run-1").len() == 2));
    assert_eq!(w.submit(0, &pairs("run-2", 2), runs(2_000)), 201);
    w.run_for(3_000);
    // One of its tasks is on another machine than its record says, under another attempt.
    let (from, task, attempt) = w.placed_tasks("run-1").remove(1);
    let moved = w
        .workers
        .get_mut(&from)
        .and_then(|m| m.tasks.remove(&(task.clone(), attempt)));
    let free = |m: &&mut fakes::FakeWorker| m.tasks.is_empty() && m.name != from;
    let unreached = w.workers.values_mut().find(free).expect("a free machine");
    unreached
        .tasks
        .insert((task, attempt + 8), moved.expect("it was there"));
    unreached.receives_nothing = true;
    // It tells of the task before the other machine tells that it is gone.
    (unreached.report_in_flight, unreached.next_report_at) = (None, w.now);
    let name = unreached.name.clone();
    let now = w.now;
    let left = w.workers.get_mut(&from).expect("worker");
    (left.report_in_flight, left.next_report_at) = (None, now + 1_500);
    w.run_for(10_000);
    assert!(w.placed_tasks("run-2").is_empty(), "the limit is reached");
    w.run_for(6_000);
    let ended = w.workers.get(&name).is_none_or(|m| m.tasks.is_empty());
    assert!(ended, "its lease is over, or it was given back");
    w.end_faults();
    all_done(&mut w, &["run-2", "run-1"], 120_000);
}
