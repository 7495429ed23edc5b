//! A guest team is a team without a guarantee: its tasks are preempted for guaranteed work and never preempt it, and
//! still its jobs don't starve.

mod common;

use common::*;
use fakes::{array_job, gang_job, TaskBehaviour, World};
use vetchmount_control::settings::Team;
use wire::records::JOB_PREFIX;
use wire::users::{Phase, Submission};

/// Number of machines of the cluster, each with 4 GPUs.
const MACHINES: usize = 8;
/// GPUs guaranteed to each of two teams; the cluster has 32.
const GUARANTEED_GPUS: f64 = 12.0;

/// A team with a guarantee and without a limit.
fn team_with_guarantee(name: &str) -> Team {
    Team {
        gpus: GUARANTEED_GPUS,
        ..team(name, 0.0)
    }
}

/// A simulated cluster that keeps idle machines, with two teams that have guarantees and a guest team.
fn cluster_with_guest() -> World {
    start_cluster_with(1, MACHINES, |i| {
        let mut settings = settings(i, 1, 0.0);
        settings.deployment.objectives[0].kind = "guarantee".into();
        settings.deployment.teams = vec![
            team_with_guarantee("t"),
            team_with_guarantee("u"),
            team("guest", 0.0),
        ];
        settings
    })
}

/// Number of tasks of a team that are on machines.
fn tasks_on_machines_of(w: &World, team: &str) -> usize {
    let jobs = w.jobs.values().filter(|j| j.team == team);
    jobs.map(|j| w.placed_tasks(&j.id).len()).sum()
}

/// Number of task starts of a team so far.
fn start_count(w: &World, team: &str) -> usize {
    let started = w.workers.values().flat_map(|m| m.started_attempts.iter());
    let of_team = |task: &str| {
        let job = task.split('/').next().and_then(|id| w.jobs.get(id));
        job.is_some_and(|j| j.team == team)
    };
    started.filter(|(task, _)| of_team(task)).count()
}

#[test]
fn guest_tasks_are_preempted_for_a_guarantee_and_not_vice_versa() {
    let mut w = cluster_with_guest();
    let guest_job = of_team("guest", array_job("run-1", 64));
    assert_eq!(w.submit(0, &guest_job, runs_for(300_000)), 201);
    assert!(w.run_until(10_000, |w| w.placed_tasks("run-1").len() == 32));
    // The guest uses the whole cluster. Each other team gets its guarantee within seconds, and no more.
    // (Arrays of more than seven tasks would wait for their pilot tasks first, which preempt nothing.)
    for n in 0..3 {
        for (first_id, name) in [(10, "t"), (20, "u")] {
            let job = of_team(name, array_job(&format!("run-{}", first_id + n), 6));
            assert_eq!(w.submit(0, &job, runs_for(120_000)), 201);
        }
    }
    let have_guarantees =
        |w: &mut World| ["t", "u"].map(|team| tasks_on_machines_of(w, team)) == [12, 12];
    assert!(w.run_until(10_000, have_guarantees));
    assert_eq!(w.placed_tasks("run-1").len(), 8);
    // More jobs of the guest, with a deadline or as a gang, preempt no task of the other teams.
    let job_with_deadline = Submission {
        due_s: Some(30.0),
        ..of_team("guest", array_job("run-4", 8))
    };
    assert_eq!(w.submit(0, &job_with_deadline, runs_for(5_000)), 201);
    let behaviour = TaskBehaviour {
        gang_size: 2,
        ..runs_for(5_000)
    };
    let guest_gang = of_team("guest", gang_job("run-5", 2));
    assert_eq!(w.submit(0, &guest_gang, behaviour), 201);
    w.run_for(60_000);
    assert!(have_guarantees(&mut w));
    assert_eq!(
        [start_count(&w, "t"), start_count(&w, "u")],
        [12, 12],
        "no task was preempted"
    );
    assert_no_violations(&w);
}

/// Number of jobs of a team that are not final.
fn open_job_count(w: &World, team: &str) -> usize {
    let open = w.state_service.keys(JOB_PREFIX);
    let ids = open.iter().filter_map(|key| key.strip_prefix(JOB_PREFIX));
    ids.filter(|id| w.jobs[*id].team == team).count()
}

/// A job of the guest, and when its first task was seen on a machine.
struct GuestJob {
    id: String,
    submitted_at: u64,
    began_at: Option<u64>,
}

#[test]
fn a_guest_is_served_next_to_a_full_load_of_guaranteed_work() {
    let mut w = cluster_with_guest();
    // Idle-time arrays, one huge array, single tasks and gangs of two whole machines.
    let mut jobs: Vec<GuestJob> = Vec::new();
    let mut submit = |w: &mut World, job: Submission, behaviour: TaskBehaviour| {
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
            estimated_run_s: 30.0,
            ..array_job(&format!("run-{}", 100 + n), 6)
        };
        submit(&mut w, job, runs_for(30_000));
    }
    let small_tasks = |id: &str, tasks: u64| Submission {
        cpus: 0.25,
        gpus: 0.0,
        mem_gb: 0.5,
        estimated_run_s: 5.0,
        ..array_job(id, tasks)
    };
    submit(&mut w, small_tasks("run-200", 5_000), runs_for(5_000));
    for n in 0..4 {
        let gang_behaviour = TaskBehaviour {
            gang_size: 2,
            ..runs_for(15_000)
        };
        let job = gang_job(&format!("run-{}", 300 + n), 2);
        submit(&mut w, job, gang_behaviour);
    }
    for n in 0..60 {
        submit(
            &mut w,
            small_tasks(&format!("run-{}", 400 + n), 1),
            runs_for(3_000),
        );
    }
    // Both teams request more than their guarantees throughout, in jobs of eight tasks of 10 s.
    let mut next_job = 1_000;
    for _ in 0..80 {
        for name in ["t", "u"] {
            while open_job_count(&w, name) < 3 {
                let job = of_team(name, array_job(&format!("run-{next_job}"), 8));
                assert_eq!(w.submit(0, &job, runs_for(10_000)), 201);
                next_job += 1;
            }
        }
        for job in &mut jobs {
            if job.began_at.is_none() && !w.placed_tasks(&job.id).is_empty() {
                job.began_at = Some(w.now);
            }
        }
        w.run_for(3_000);
    }
    let ids: Vec<String> = jobs.iter().map(|j| j.id.clone()).collect();
    let phases = w.phases(0, &ids);
    let done_of = |group: std::ops::Range<usize>| {
        let of_group = &phases[group];
        of_group.iter().filter(|p| **p == Some(Phase::Done)).count()
    };
    let [arrays_done, huge_done, gangs_done, single_done] =
        [0..6, 6..7, 7..11, 11..71].map(done_of);
    assert!(arrays_done >= 3, "{arrays_done} of 6 idle-time arrays");
    assert_eq!(huge_done, 1, "the huge array");
    assert!(gangs_done >= 2, "{gangs_done} of 4 gangs");
    assert!(single_done >= 30, "{single_done} of 60 single tasks");
    for gang in &jobs[7..11] {
        let wait_ms = gang.began_at.map(|at| at - gang.submitted_at);
        assert!(
            wait_ms.is_some_and(|ms| ms <= 240_000),
            "{}: {wait_ms:?}",
            gang.id
        );
    }
    for name in ["t", "u"] {
        let started = start_count(&w, name);
        assert!(
            started as f64 >= 20.0 * GUARANTEED_GPUS,
            "{started} tasks of {name}"
        );
    }
    assert_no_violations(&w);
}
