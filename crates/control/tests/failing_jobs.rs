//! Jobs that were submitted with a mistake: each of their tasks exits with `error` soon after its start, on every
//! machine, until the user cancels them. And their counterpart, a machine on which every task fails.

mod common;

use common::*;
use fakes::{array, gang, Behaviour, World};
use wire::users::{Phase, Submission};

const MACHINES: usize = 8;
const GPUS: usize = MACHINES * 4;
/// GPUs that the team `t` may use.
const TEAM_GPUS: f64 = 24.0;

/// A simulated cluster whose machines stand ready, with two teams.
fn two_teams(nodes: usize) -> World {
    start_cluster_with(nodes, MACHINES, |i| {
        let mut s = settings(i, nodes, 0.0);
        s.deployment.objectives[0].kind = "guarantee".into();
        s.deployment.teams = vec![team("t", TEAM_GPUS), team("u", 0.0)];
        s
    })
}

/// Tasks that run for two seconds and exit with `error`.
fn failing() -> Behaviour {
    Behaviour {
        fails: true,
        ..runs_for(2_000)
    }
}

/// Starts of tasks of a job so far, on the machines that are there.
fn starts(w: &World, job: &str) -> usize {
    let started = w.workers.values().flat_map(|m| m.started.iter());
    started
        .filter(|(task, _)| task.split('/').next() == Some(job))
        .count()
}

/// Machines of the beginning that were given back meanwhile; the cloud lets others take their place.
fn given_back(w: &World) -> Vec<String> {
    let names = (0..MACHINES).map(|m| format!("vm-{m:06}"));
    names.filter(|m| !w.workers.contains_key(m)).collect()
}

/// Changes in the state service while time passes.
fn changes(w: &mut World, ms: u64) -> u64 {
    let before = w.state.writes;
    w.run(ms);
    w.state.writes - before
}

/// Runs one task on each GPU of the cluster that is not busy: every machine is there and is given work.
fn assert_all_machines_are_used(w: &mut World, id: &str, busy: usize) {
    assert_eq!(given_back(w), Vec::<String>::new());
    let job = of_team("u", array(id, (GPUS - busy) as u64));
    assert_eq!(w.submit(0, &job, runs_for(20_000)), 201);
    let whole = |w: &mut World| w.on_machines(id).len() == GPUS - busy;
    assert!(w.until(15_000, whole), "{}", w.on_machines(id).len());
    assert!(completes_within(w, id, 60_000));
}

#[test]
fn failing_jobs_of_each_shape_back_off_and_leave_room_to_others() {
    let mut w = two_teams(1);
    let ids = ["run-1", "run-2", "run-3"];
    let shape = Behaviour {
        gang: 3,
        ..failing()
    };
    // Expected to run long: taken for samples, the failed tasks would make them the smallest of all.
    let long = |job: Submission| Submission {
        guess_s: 2_000.0,
        ..job
    };
    assert_eq!(w.submit(0, &long(array("run-1", 1)), failing()), 201);
    assert_eq!(w.submit(0, &long(array("run-2", 400)), failing()), 201);
    assert_eq!(w.submit(0, &long(gang("run-3", 3)), shape), 201);
    let mut most_on_machines = 0;
    for minute in 0..5 {
        let array_before = starts(&w, "run-2");
        for second in 0..60 {
            if second % 10 == 0 {
                // Small work of both teams is done within seconds all the while.
                let team = ["t", "u"][second / 10 % 2];
                let id = format!("run-{}", 100 + 10 * minute + second / 10);
                let job = of_team(team, array(&id, 2));
                assert_eq!(w.submit(0, &job, runs_for(1_000)), 201);
                assert!(
                    completes_within(&mut w, &id, 9_000),
                    "minute {minute}, second {second}"
                );
            }
            w.run(1_000);
            if minute > 0 {
                most_on_machines = most_on_machines.max(w.on_machines("run-2").len());
            }
        }
        if minute > 0 {
            let fresh = starts(&w, "run-2") - array_before;
            assert!(fresh <= 2, "{fresh} starts in minute {minute}");
        }
    }
    assert!(most_on_machines <= 1, "one task at a time is tried");
    // Pauses of 4, 8, 16, 32 and then 60 s.
    let [one, wide, whole] = ids.map(|id| starts(&w, id));
    assert!((6..=9).contains(&one), "{one} starts of the single task");
    assert!((GPUS / 2..=GPUS + 12).contains(&wide), "{wide} starts");
    assert!((9..=24).contains(&whole), "{whole} starts of the gang");
    let with_them = changes(&mut w, 120_000);
    let [one, wide, whole] = ids.map(|id| starts(&w, id));
    for id in ids {
        let timed: u32 = recorded_page_entries(&w)
            .iter()
            .filter(|e| e.job == id)
            .map(|e| e.chunk.timed)
            .sum();
        assert_eq!(timed, 0, "no failed task of {id} is a sample");
    }
    assert_all_machines_are_used(&mut w, "run-50", 0);
    for id in ids {
        assert_eq!(w.abort(0, id), Some(Phase::Aborted));
    }
    let gone = |w: &mut World| ids.iter().all(|id| w.on_machines(id).is_empty());
    assert!(w.until(4_000, gone), "gone at once");
    w.run(5_000);
    let without = changes(&mut w, 120_000);
    // Two attempts of each, and a change for its places before and after.
    let theirs = with_them.saturating_sub(without);
    assert!(theirs <= 16, "{theirs} changes in two minutes");
    let after = ids.map(|id| starts(&w, id));
    assert_eq!(after, [one, wide, whole], "never started again");
    assert_no_violations(&w);
}

/// Each machine had failed two of the jobs before any of them had failed on a third machine, and all were taken for
/// faulty and given back.
#[test]
fn many_failing_jobs_at_once_blame_no_machine_and_hold_up_nobody() {
    let mut w = two_teams(1);
    for n in 0..20 {
        let id = format!("run-{}", 100 + n);
        assert_eq!(w.submit(0, &array(&id, 1), failing()), 201);
    }
    for n in 0..12 {
        let team = ["t", "u"][n % 2];
        let id = format!("run-{}", 200 + n);
        let job = of_team(team, array(&id, 2));
        assert_eq!(w.submit(0, &job, runs_for(1_000)), 201);
        assert!(completes_within(&mut w, &id, 9_000), "{id}");
    }
    assert_all_machines_are_used(&mut w, "run-50", 0);
    assert_no_violations(&w);
}

/// A new leader knew nothing of earlier failures: all failing jobs began anew with short pauses, wide arrays with as
/// many tasks as there was room for.
#[test]
fn failing_jobs_stay_backed_off_across_a_change_of_leader() {
    let mut w = two_teams(3);
    let mut ids: Vec<String> = (100..110).map(|n| format!("run-{n}")).collect();
    for id in &ids {
        assert_eq!(w.submit(0, &array(id, 1), failing()), 201);
    }
    for id in ["run-1", "run-2"] {
        assert_eq!(w.submit(0, &array(id, 300), failing()), 201);
        ids.push(id.into());
    }
    // A job whose tasks run on; it is no worse off with the new leader.
    let sound = of_team("u", array("run-3", 8));
    assert_eq!(w.submit(0, &sound, runs_for(600_000)), 201);
    w.run(200_000);
    let placed = w.on_machines("run-3");
    let count = |w: &World| ids.iter().map(|id| starts(w, id)).collect::<Vec<usize>>();
    let before = count(&w);
    let leader = w.leader().expect("leader");
    w.crash(leader);
    w.run(60_000);
    let after = count(&w);
    let fresh: Vec<usize> = after.iter().zip(&before).map(|(a, b)| a - b).collect();
    assert!(fresh.iter().all(|n| *n <= 1), "{fresh:?} starts of {ids:?}");
    assert!(fresh.contains(&1), "they are still tried");
    assert_eq!(w.on_machines("run-3"), placed);
    w.start(leader);
    w.run(4_000);
    assert_all_machines_are_used(&mut w, "run-50", 8);
    assert_no_violations(&w);
}

/// A machine is told apart by jobs that run elsewhere, also while jobs that fail everywhere are about.
#[test]
fn a_machine_on_which_every_job_fails_is_kept_free_and_given_back() {
    let mut w = two_teams(1);
    w.workers.get_mut("vm-000003").expect("worker").faulty = true;
    for n in 0..3 {
        let id = format!("run-{}", 100 + n);
        assert_eq!(w.submit(0, &array(&id, 1), failing()), 201);
    }
    let mut starts_there = 0;
    for n in 0..40 {
        let job = of_team("u", array(&format!("run-{}", 200 + n), 4));
        assert_eq!(w.submit(0, &job, runs_for(8_000)), 201);
        w.run(2_000);
        let there = w.workers.get("vm-000003").map(|m| m.started.len());
        starts_there = there.unwrap_or(starts_there);
    }
    assert_eq!(given_back(&w), ["vm-000003"], "and no other");
    assert!(starts_there <= 24, "{starts_there} starts there");
    let last = "run-239";
    assert!(completes_within(&mut w, last, 40_000));
    assert_no_violations(&w);
}
