//! What people on call met: guests, floods of questions, jobs that always fail, nodes that wake.

mod common;

use common::*;
use fakes::array;
use wire::users::{Phase, Submission};

/// Work without any aim was taken for urgent at all times, went before everything with a deadline, and kept the whole
/// fleet for minutes.
#[test]
fn a_guests_idle_time_work_begins_but_does_not_go_before_work_with_deadlines() {
    let mut w = world(3, 4, 0.0);
    let guest = Submission {
        guess_s: 30.0,
        ..array("run-900", 96)
    };
    assert_eq!(w.submit(0, &guest, runs(30_000)), 201);
    w.run(3_000);
    for n in 0..8 {
        let job = Submission {
            guess_s: 4.0,
            due_s: Some(45.0),
            ..array(&format!("run-{n}"), 6)
        };
        assert_eq!(w.submit(n % 3, &job, runs(4_000)), 201);
        w.run(4_000);
    }
    // All machines are full of the guest's tasks when they come; what becomes free is theirs.
    w.run(30_000);
    let ids: Vec<String> = (0..8).map(|n| format!("run-{n}")).collect();
    let phases = w.phases(0, &ids);
    let over = phases.iter().filter(|p| **p == Some(Phase::Done)).count();
    assert!(over >= 7, "{phases:?}");
    assert!(done(&mut w, "run-900", 400_000), "nor does it starve");
    clean(&w);
}

/// Nothing asked for a round when a job's pause was over: in a quiet world it waited until something else happened.
#[test]
fn a_job_goes_on_when_its_pause_is_over_though_nothing_else_happens() {
    let mut w = world(3, 2, 0.0);
    let job = array("run-1", 1);
    // Its description has not been uploaded yet: the worker refuses the start.
    let body = wire::encode(&job);
    assert_eq!(w.ask(0, "POST", "/submissions", body).0, 201);
    w.run(2_000);
    w.describe(&job, runs(1_000));
    assert!(done(&mut w, "run-1", 8_000));
    clean(&w);
}
