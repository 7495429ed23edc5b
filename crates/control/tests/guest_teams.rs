//! A guest team has no guarantee: its work gives way to guaranteed work, never stops it, and still does not starve.

mod common;

use common::*;
use fakes::{array, gang, Behaviour, World};
use vetchmount_control::settings::Team;
use wire::records::JOBS;
use wire::users::{Phase, Submission};

const MACHINES: usize = 8;
/// GPUs guaranteed to each of two teams; the cluster has 32.
const GUARANTEE: f64 = 12.0;

fn guaranteed(name: &str) -> Team {
    Team {
        gpus: GUARANTEE,
        ..team(name, 0.0)
    }
}

/// A simulated cluster of machines that stand ready, two teams with guarantees and a guest.
fn cluster_with_guest() -> World {
    start_cluster_with(1, MACHINES, |i| {
        let mut s = settings(i, 1, 0.0);
        s.deployment.objectives[0].kind = "guarantee".into();
        s.deployment.teams = vec![guaranteed("t"), guaranteed("u"), team("guest", 0.0)];
        s
    })
}

/// Tasks of a team on machines.
fn tasks_of(w: &World, team: &str) -> usize {
    let jobs = w.jobs.values().filter(|j| j.team == team);
    jobs.map(|j| w.on_machines(&j.id).len()).sum()
}

/// Starts of a team's tasks so far.
fn starts(w: &World, team: &str) -> usize {
    let started = w.workers.values().flat_map(|m| m.started.iter());
    let of_team = |task: &str| {
        let job = task.split('/').next().and_then(|id| w.jobs.get(id));
        job.is_some_and(|j| j.team == team)
    };
    started.filter(|(task, _)| of_team(task)).count()
}

#[test]
fn guest_tasks_are_stopped_for_a_guarantee_and_not_the_other_way_round() {
    let mut w = cluster_with_guest();
    let guest = of_team("guest", array("run-1", 64));
    assert_eq!(w.submit(0, &guest, runs_for(300_000)), 201);
    assert!(w.until(10_000, |w| w.on_machines("run-1").len() == 32));
    // The guest has the whole cluster. Each team gets what is guaranteed to it within seconds, and no more.
    // (Arrays of more than seven tasks would wait for their pilots first, which stop nothing.)
    for n in 0..3 {
        for (first, name) in [(10, "t"), (20, "u")] {
            let job = of_team(name, array(&format!("run-{}", first + n), 6));
            assert_eq!(w.submit(0, &job, runs_for(120_000)), 201);
        }
    }
    let served = |w: &mut World| ["t", "u"].map(|team| tasks_of(w, team)) == [12, 12];
    assert!(w.until(10_000, served));
    assert_eq!(w.on_machines("run-1").len(), 8);
    // More work of the guest, of a class with a deadline or a gang, stops none of theirs.
    let due = Submission {
        due_s: Some(30.0),
        ..of_team("guest", array("run-4", 8))
    };
    assert_eq!(w.submit(0, &due, runs_for(5_000)), 201);
    let b = Behaviour {
        gang: 2,
        ..runs_for(5_000)
    };
    let large = of_team("guest", gang("run-5", 2));
    assert_eq!(w.submit(0, &large, b), 201);
    w.run(60_000);
    assert!(served(&mut w));
    assert_eq!(
        [starts(&w, "t"), starts(&w, "u")],
        [12, 12],
        "none was stopped"
    );
    assert_no_violations(&w);
}

/// Jobs of a team that are not over.
fn open_jobs(w: &World, team: &str) -> usize {
    let open = w.state.keys(JOBS);
    let ids = open.iter().filter_map(|key| key.strip_prefix(JOBS));
    ids.filter(|id| w.jobs[*id].team == team).count()
}

/// A guest's job, and whether it has begun and when.
struct GuestJob {
    id: String,
    submitted_at: u64,
    began_at: Option<u64>,
}

#[test]
fn a_guest_is_served_beside_a_full_load_of_guaranteed_work() {
    let mut w = cluster_with_guest();
    // Idle-time arrays, one huge array, single tasks and gangs of two whole machines.
    let mut jobs: Vec<GuestJob> = Vec::new();
    let mut submit = |w: &mut World, job: Submission, behaviour: Behaviour| {
        let job = of_team("guest", job);
        assert_eq!(w.submit(0, &job, behaviour), 201);
        jobs.push(GuestJob {
            id: job.id,
            submitted_at: w.now,
            began_at: None,
        });
    };
    for n in 0..6 {
        let job = Submission {
            guess_s: 30.0,
            ..array(&format!("run-{}", 100 + n), 6)
        };
        submit(&mut w, job, runs_for(30_000));
    }
    let tiny = |id: &str, tasks: u64| Submission {
        cpus: 0.25,
        gpus: 0.0,
        mem_gb: 0.5,
        guess_s: 5.0,
        ..array(id, tasks)
    };
    submit(&mut w, tiny("run-200", 5_000), runs_for(5_000));
    for n in 0..4 {
        let shape = Behaviour {
            gang: 2,
            ..runs_for(15_000)
        };
        let job = gang(&format!("run-{}", 300 + n), 2);
        submit(&mut w, job, shape);
    }
    for n in 0..60 {
        submit(
            &mut w,
            tiny(&format!("run-{}", 400 + n), 1),
            runs_for(3_000),
        );
    }
    // Both teams ask for more than their guarantees all the while, in jobs of eight tasks of 10 s.
    let mut load = 1_000;
    for _ in 0..80 {
        for name in ["t", "u"] {
            while open_jobs(&w, name) < 3 {
                let job = of_team(name, array(&format!("run-{load}"), 8));
                assert_eq!(w.submit(0, &job, runs_for(10_000)), 201);
                load += 1;
            }
        }
        for job in &mut jobs {
            if job.began_at.is_none() && !w.on_machines(&job.id).is_empty() {
                job.began_at = Some(w.now);
            }
        }
        w.run(3_000);
    }
    let ids: Vec<String> = jobs.iter().map(|j| j.id.clone()).collect();
    let phases = w.phases(0, &ids);
    let done_of = |class: std::ops::Range<usize>| {
        let of_class = &phases[class];
        of_class.iter().filter(|p| **p == Some(Phase::Done)).count()
    };
    let [arrays, huge, gangs, single] = [0..6, 6..7, 7..11, 11..71].map(done_of);
    assert!(arrays >= 3, "{arrays} of 6 idle-time arrays");
    assert_eq!(huge, 1, "the huge array");
    assert!(gangs >= 2, "{gangs} of 4 gangs");
    assert!(single >= 30, "{single} of 60 single tasks");
    for gang in &jobs[7..11] {
        let began = gang.began_at.map(|at| at - gang.submitted_at);
        assert!(
            began.is_some_and(|ms| ms <= 240_000),
            "{}: {began:?}",
            gang.id
        );
    }
    for name in ["t", "u"] {
        let load = starts(&w, name);
        assert!(load as f64 >= 20.0 * GUARANTEE, "{load} tasks of {name}");
    }
    assert_no_violations(&w);
}
