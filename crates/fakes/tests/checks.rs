//! Every check can fail: each is driven with a breach made up for it, and with its lawful neighbour.

use control::settings::Team;
use std::collections::BTreeSet;
use vetchmount_fakes::{array, FakeLimits, FakeState, Jobs, Placed, Question, Rules, Waiter};
use wire::users::{Phase, Submission};

fn waiter(call: u64) -> Waiter {
    Waiter { node: 0, call }
}

fn rules() -> Rules {
    let team = |name: &str| Team {
        name: name.into(),
        cpus: 0.0,
        cpus_max: 6.0,
        gpus: 0.0,
        gpus_max: 4.0,
    };
    Rules::new(vec![team("s"), team("t")], 30.0)
}

fn jobs(all: &[Submission]) -> Jobs {
    all.iter().map(|j| (j.id.clone(), j.clone())).collect()
}

fn placed<'a>(machine: &'a str, zone: &'a str, task: &'a str) -> Placed<'a> {
    Placed {
        machine,
        kind: "g4",
        zone,
        spot: false,
        task,
        attempt: 1,
    }
}

/// Asks and is answered within a few milliseconds.
fn answered(r: &mut Rules, at: u64, question: Question, status: u16, phase: Option<Phase>) {
    answered_with(r, &jobs(&[array("run-1", 1)]), at, question, status, phase);
}

fn answered_with(
    r: &mut Rules,
    jobs: &Jobs,
    at: u64,
    question: Question,
    status: u16,
    phase: Option<Phase>,
) {
    r.sent(at, question, "run-1", at);
    r.answered(at, status, phase, (jobs, &BTreeSet::new()), at + 5);
}

fn accepted() -> Rules {
    let mut r = rules();
    answered(&mut r, 1_000, Question::Submit, 201, Some(Phase::Queued));
    clean(&r);
    r
}

#[track_caller]
fn clean(r: &Rules) {
    assert!(r.broken.is_empty(), "{:?}", r.broken);
}

#[track_caller]
fn broke(r: &Rules, rule: &str) {
    assert_eq!(r.broken.len(), 1, "{:?}", r.broken);
    assert!(r.broken[0].starts_with(rule), "{:?}", r.broken);
}

fn look(r: &mut Rules, all: &[Submission], placed: &[Placed<'_>], now: u64) {
    r.check_placement(placed, &jobs(all), |_| false, now);
}

#[test]
fn a_task_on_two_machines() {
    let mut r = rules();
    let job = [array("run-1", 2)];
    let apart = [placed("m1", "a", "run-1/0"), placed("m2", "a", "run-1/1")];
    look(&mut r, &job, &apart, 1_000);
    clean(&r);
    let twice = [placed("m1", "a", "run-1/0"), placed("m2", "a", "run-1/0")];
    look(&mut r, &job, &twice, 1_010);
    look(&mut r, &job, &twice, 1_020);
    broke(&r, "ran_twice run-1/0");
}

#[test]
fn any_team_over_either_limit() {
    for (cpus, gpus) in [(1.0, 2.5), (3.5, 0.0)] {
        for team in ["s", "t"] {
            let job = Submission {
                cpus,
                gpus,
                team: team.into(),
                ..array("run-1", 2)
            };
            let mut r = rules();
            let both = [placed("m1", "a", "run-1/0"), placed("m2", "a", "run-1/1")];
            look(&mut r, std::slice::from_ref(&job), &both[..1], 1_000);
            clean(&r);
            look(&mut r, &[job], &both, 1_010);
            broke(&r, &format!("quota {team}"));
        }
    }
}

#[test]
fn a_start_in_a_place_that_its_job_does_not_allow() {
    let wrong = |job: Submission, placed: Placed<'_>, what: &str| {
        let mut r = rules();
        look(&mut r, &[array("run-1", 4)], &[placed], 1_000);
        clean(&r);
        let mut r = rules();
        look(&mut r, &[job], &[placed], 1_000);
        broke(&r, "wrong_place run-1/0");
        assert!(r.broken[0].contains(what), "{:?}", r.broken);
    };
    let on_a = placed("m1", "a", "run-1/0");
    let spot = Placed { spot: true, ..on_a };
    let plain = array("run-1", 4);
    let zone = Some("b".to_string());
    let types = Some(vec!["g8".to_string()]);
    wrong(
        Submission {
            zone,
            ..plain.clone()
        },
        on_a,
        "zone",
    );
    wrong(
        Submission {
            machine_types: types,
            ..plain.clone()
        },
        on_a,
        "type",
    );
    wrong(
        Submission {
            spot_allowed: false,
            ..plain
        },
        spot,
        "kind",
    );
}

#[test]
fn a_start_beside_others_of_its_job_in_the_wrong_zone() {
    let one_zone = Submission {
        one_zone: true,
        ..array("run-1", 4)
    };
    let here = placed("m1", "a", "run-1/0");
    let there = placed("m2", "b", "run-1/1");
    let mut r = rules();
    look(&mut r, std::slice::from_ref(&one_zone), &[here], 1_000);
    // The first one is gone when the second one starts.
    look(&mut r, std::slice::from_ref(&one_zone), &[there], 1_010);
    clean(&r);
    look(&mut r, &[one_zone], &[here, there], 1_020);
    broke(&r, "wrong_place run-1/0 on m1: one zone");

    let spread = Submission {
        spread: true,
        ..array("run-1", 3)
    };
    let mut r = rules();
    let two = [here, placed("m2", "a", "run-1/1")];
    look(&mut r, std::slice::from_ref(&spread), &two, 1_000);
    clean(&r);
    let three = [two[0], two[1], placed("m3", "a", "run-1/2")];
    look(&mut r, &[spread], &three, 1_010);
    broke(&r, "wrong_place run-1/2 on m3: spread");
}

#[test]
fn a_cancelled_job_on_a_machine_after_any_answer_confirmed_it() {
    for question in [Question::Abort, Question::Status, Question::Submit] {
        let mut r = accepted();
        r.sent(1_500, Question::Abort, "run-1", 1_500);
        answered(&mut r, 2_000, question, 200, Some(Phase::Aborted));
        // Confirmed again later: the first time counts.
        answered(&mut r, 9_000, Question::Abort, 200, Some(Phase::Aborted));
        let job = [array("run-1", 1)];
        let on = [placed("m1", "a", "run-1/0")];
        look(&mut r, &job, &on, 32_005);
        clean(&r);
        look(&mut r, &job, &on, 32_010);
        broke(&r, "ran_cancelled run-1/0");
    }
}

#[test]
fn starts_after_a_confirmed_cancellation_are_counted_and_break_nothing() {
    let mut r = accepted();
    r.started("run-1/0", 1, "m1", 1_900);
    answered(&mut r, 2_000, Question::Abort, 200, Some(Phase::Aborted));
    r.started("run-1/0", 2, "m1", 2_100);
    assert_eq!(r.late_starts.len(), 0);
    r.started("run-1/0", 3, "m1", 3_000);
    assert_eq!(r.late_starts.len(), 1);
    clean(&r);
}

#[test]
fn an_older_answer_after_a_newer_one() {
    let done = |r: &mut Rules| {
        r.completed("run-1/0");
        answered(r, 2_000, Question::Status, 200, Some(Phase::Done));
    };
    for older in [Phase::Queued, Phase::Running] {
        let mut r = accepted();
        done(&mut r);
        clean(&r);
        answered(&mut r, 3_000, Question::Status, 200, Some(older));
        broke(&r, "went_back run-1");
    }
    // Sent before the newer answer was received: lawful.
    let mut r = accepted();
    r.sent(7, Question::Status, "run-1", 1_990);
    done(&mut r);
    let all = jobs(&[array("run-1", 1)]);
    let none = BTreeSet::new();
    r.answered(7, 200, Some(Phase::Running), (&all, &none), 2_100);
    clean(&r);
    // Heard by nobody, since its user had given up.
    r.sent(8, Question::Status, "run-1", 3_000);
    r.answered(8, 200, Some(Phase::Running), (&all, &none), 5_100);
    clean(&r);
}

#[test]
fn both_ends_of_a_job_even_when_asked_at_the_same_time() {
    let mut r = accepted();
    r.completed("run-1/0");
    r.sent(7, Question::Abort, "run-1", 1_990);
    answered(&mut r, 2_000, Question::Status, 200, Some(Phase::Done));
    let all = jobs(&[array("run-1", 1)]);
    let none = BTreeSet::new();
    r.answered(7, 200, Some(Phase::Aborted), (&all, &none), 2_010);
    broke(&r, "went_back run-1: Aborted and Done");
}

#[test]
fn an_accepted_job_that_is_refused_or_unknown_or_new() {
    for (question, status) in [
        (Question::Status, 404),
        (Question::Abort, 404),
        (Question::Submit, 400),
        (Question::Submit, 422),
        (Question::Submit, 201),
    ] {
        let mut r = rules();
        let phase = (status == 201).then_some(Phase::Queued);
        answered(&mut r, 500, question, status, phase);
        clean(&r);
        let mut r = accepted();
        answered(&mut r, 2_000, question, status, phase);
        broke(&r, "forgotten run-1");
    }
}

#[test]
fn done_before_all_tasks_are() {
    let all = jobs(&[array("run-1", 2)]);
    let mut r = accepted();
    r.completed("run-1/0");
    answered_with(
        &mut r,
        &all,
        2_000,
        Question::Status,
        200,
        Some(Phase::Done),
    );
    broke(&r, "not_done run-1: task 1");
}

#[test]
fn a_job_that_nobody_cancelled_or_submitted() {
    let mut r = accepted();
    answered(&mut r, 2_000, Question::Status, 200, Some(Phase::Aborted));
    broke(&r, "went_back run-1: cancelled by nobody");
    let mut r = rules();
    answered_with(
        &mut r,
        &Jobs::new(),
        2_000,
        Question::Status,
        200,
        Some(Phase::Queued),
    );
    broke(&r, "invented run-1");
    let mut r = accepted();
    answered(&mut r, 2_000, Question::Abort, 200, Some(Phase::Running));
    broke(&r, "not_cancelled run-1");
}

#[test]
fn a_task_before_what_its_job_needs() {
    let mut r = rules();
    let job = Submission {
        dependencies: vec!["run-2".into()],
        ..array("run-1", 1)
    };
    let on = [placed("m1", "a", "run-1/0")];
    r.check_placement(&on, &jobs(std::slice::from_ref(&job)), |_| true, 1_000);
    clean(&r);
    r.check_placement(&on, &jobs(&[job]), |_| false, 1_010);
    broke(&r, "too_early run-1/0 before run-2");
}

#[test]
fn a_job_called_open_long_after_the_one_before_it_was_cancelled() {
    let mut r = accepted();
    r.confirm_cancelled("run-2", 2_000);
    let all = jobs(&[array("run-1", 1)]);
    let before = BTreeSet::from(["run-2".to_string()]);
    let mut ask = |at: u64| {
        r.sent(at, Question::Status, "run-1", at);
        r.answered(at, 200, Some(Phase::Queued), (&all, &before), at + 5);
        r.broken.len()
    };
    assert_eq!(ask(31_000), 0);
    assert_eq!(ask(33_000), 1);
    broke(&r, "orphaned run-1 behind run-2");
}

#[test]
fn a_job_about_which_no_question_is_answered() {
    let asks = |r: &mut Rules, from: u64, every: u64, to: u64| {
        for at in (from..to).step_by(every as usize) {
            r.sent(at, Question::Status, "run-1", at);
            let none = BTreeSet::new();
            r.answered(at, 503, None, (&Jobs::new(), &none), at + 5);
        }
    };
    let mut r = accepted();
    asks(&mut r, 2_000, 5_000, 200_000);
    clean(&r);
    r.troubles_over(200_000);
    asks(&mut r, 200_000, 5_000, 274_000);
    clean(&r);
    answered(&mut r, 274_000, Question::Status, 200, Some(Phase::Queued));
    // Asked too seldom for that.
    asks(&mut r, 280_000, 20_000, 400_000);
    clean(&r);
    answered(&mut r, 400_000, Question::Status, 200, Some(Phase::Queued));
    asks(&mut r, 401_000, 5_000, 482_000);
    broke(&r, "forgotten run-1: no answer");
}

#[test]
fn a_task_that_waits_beside_room() {
    let mut r = rules();
    for at in (0..200_000).step_by(1_000) {
        r.note_waiting("run-1", true, at);
    }
    clean(&r);
    r.troubles_over(200_000);
    for at in (200_000..400_000).step_by(1_000) {
        // Once in between there is no room.
        r.note_waiting("run-1", at != 280_000, at);
        if at < 371_000 {
            clean(&r);
        }
    }
    broke(&r, "left_waiting run-1");
}

#[test]
fn requests_and_writes_beyond_the_rates_of_the_state_service_are_refused_and_counted() {
    let mut state = FakeState::default();
    state.limits = Some(FakeLimits {
        value_bytes: 1024,
        txn_ops: 4,
        rps: 20.0,
        write_rps: 5.0,
    });
    let write = |n: u64| wire::state::Txn {
        compares: vec![],
        writes: vec![wire::state::Write::delete(format!("k/{n}"))],
    };
    let mut statuses = Vec::new();
    for n in 0..10 {
        let body = wire::encode(&write(n));
        let (status, _) = state
            .serve(5_000, waiter(n), "POST", "/multi", &body)
            .expect("answer");
        statuses.push(status);
    }
    assert_eq!(
        statuses.iter().filter(|s| **s == 200).count(),
        5,
        "one second's worth"
    );
    for n in 0..15 {
        let (status, _) = state
            .serve(5_000, waiter(n), "GET", "/kv/k/1", &[])
            .expect("answer");
        assert_eq!(status, if n < 10 { 404 } else { 429 }, "request {n}");
    }
    let refused = (state.too_many, state.too_frequent);
    assert_eq!(refused, (5, 5));
    assert_eq!((state.counts.commits, state.counts.reads), (10, 15));
    // Half a second later half of the rate is there again.
    let answers = (0..11).map(|n| state.serve(5_500, waiter(n), "GET", "/kv/k/1", &[]));
    let served = answers.flatten().filter(|(status, _)| *status == 404);
    assert_eq!(served.count(), 10);
}
