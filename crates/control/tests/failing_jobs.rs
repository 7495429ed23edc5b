//! Jobs that were submitted with a mistake: each of their tasks exits with `error` soon after its start, on every
//! machine, until the user cancels them. And their counterpart, a machine on which every task fails.

mod common;

use common::*;
use fakes::{array, Behaviour, World};

const MACHINES: usize = 8;
const GPUS: usize = MACHINES * 4;
/// GPUs that the team `t` may use.
const TEAM_GPUS: f64 = 24.0;

/// A simulated cluster whose machines stand ready, with two teams.
fn two_teams(nodes: usize) -> World {
    cluster(nodes, MACHINES, |i| {
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
        ..runs(2_000)
    }
}

/// Machines of the beginning that were given back meanwhile; the cloud lets others take their place.
fn given_back(w: &World) -> Vec<String> {
    let names = (0..MACHINES).map(|m| format!("vm-{m:06}"));
    names.filter(|m| !w.workers.contains_key(m)).collect()
}

/// Runs one task on each GPU of the cluster that is not busy: every machine is there and is given work.
fn assert_all_machines_are_used(w: &mut World, id: &str, busy: usize) {
    assert_eq!(given_back(w), Vec::<String>::new());
    let job = of_team("u", array(id, (GPUS - busy) as u64));
    assert_eq!(w.submit(0, &job, runs(20_000)), 201);
    let whole = |w: &mut World| w.on_machines(id).len() == GPUS - busy;
    assert!(w.until(15_000, whole), "{}", w.on_machines(id).len());
    assert!(done(w, id, 60_000));
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
        assert_eq!(w.submit(0, &job, runs(1_000)), 201);
        assert!(done(&mut w, &id, 9_000), "{id}");
    }
    assert_all_machines_are_used(&mut w, "run-50", 0);
    clean(&w);
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
        assert_eq!(w.submit(0, &job, runs(8_000)), 201);
        w.run(2_000);
        let there = w.workers.get("vm-000003").map(|m| m.started.len());
        starts_there = there.unwrap_or(starts_there);
    }
    assert_eq!(given_back(&w), ["vm-000003"], "and no other");
    assert!(starts_there <= 24, "{starts_there} starts there");
    let last = "run-239";
    assert!(done(&mut w, last, 40_000));
    clean(&w);
}
