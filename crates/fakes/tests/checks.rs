//! Tests of the rule checks: each check reports a constructed violation, and accepts a similar observation that is
//! allowed.

use control::settings::Team;
use std::collections::BTreeSet;
use vetchmount_fakes::{
    array_job, Caller, FakeStateService, JobsByName, PlacedTask, RequestKind, RuleChecker,
    StateServiceLimits,
};
use wire::users::{Phase, Submission};

fn caller(call: u64) -> Caller {
    Caller { node: 0, call }
}

fn rule_checker() -> RuleChecker {
    let team = |name: &str| Team {
        name: name.into(),
        cpus: 0.0,
        cpus_max: 6.0,
        gpus: 0.0,
        gpus_max: 4.0,
    };
    RuleChecker::new(vec![team("s"), team("t")], 30.0)
}

fn jobs(all: &[Submission]) -> JobsByName {
    all.iter().map(|j| (j.id.clone(), j.clone())).collect()
}

fn placed<'a>(machine: &'a str, zone: &'a str, task: &'a str) -> PlacedTask<'a> {
    PlacedTask {
        machine,
        machine_type: "g4",
        zone,
        spot: false,
        task,
        attempt: 1,
    }
}

/// Sends a request that is answered within a few milliseconds.
fn request_and_response(
    checker: &mut RuleChecker,
    at: u64,
    kind: RequestKind,
    status: u16,
    phase: Option<Phase>,
) {
    request_and_response_with(
        checker,
        &jobs(&[array_job("run-1", 1)]),
        at,
        kind,
        status,
        phase,
    );
}

fn request_and_response_with(
    checker: &mut RuleChecker,
    jobs: &JobsByName,
    at: u64,
    kind: RequestKind,
    status: u16,
    phase: Option<Phase>,
) {
    checker.request_sent(at, kind, "run-1", at);
    checker.response_received(at, status, phase, (jobs, &BTreeSet::new()), at + 5);
}

/// Records that the cancellation of `run-1` was requested at `at` and confirmed.
fn confirm_cancellation(checker: &mut RuleChecker, at: u64) {
    let aborted = Some(Phase::Aborted);
    request_and_response(checker, at, RequestKind::Abort, 200, aborted);
}

fn checker_with_accepted_job() -> RuleChecker {
    let mut checker = rule_checker();
    request_and_response(
        &mut checker,
        1_000,
        RequestKind::Submit,
        201,
        Some(Phase::Queued),
    );
    assert_no_violation(&checker);
    checker
}

#[track_caller]
fn assert_no_violation(checker: &RuleChecker) {
    assert!(checker.violations.is_empty(), "{:?}", checker.violations);
}

#[track_caller]
fn assert_violation(checker: &RuleChecker, rule: &str) {
    assert_eq!(checker.violations.len(), 1, "{:?}", checker.violations);
    assert!(
        checker.violations[0].starts_with(rule),
        "{:?}",
        checker.violations
    );
}

fn check_placement(
    checker: &mut RuleChecker,
    all: &[Submission],
    placed: &[PlacedTask<'_>],
    now: u64,
) {
    checker.check_placement(placed, &jobs(all), |_| false, now);
}

#[test]
fn a_task_on_two_machines() {
    let mut checker = rule_checker();
    let job = [array_job("run-1", 2)];
    let apart = [placed("m1", "a", "run-1/0"), placed("m2", "a", "run-1/1")];
    check_placement(&mut checker, &job, &apart, 1_000);
    assert_no_violation(&checker);
    let twice = [placed("m1", "a", "run-1/0"), placed("m2", "a", "run-1/0")];
    check_placement(&mut checker, &job, &twice, 1_010);
    check_placement(&mut checker, &job, &twice, 1_020);
    assert_violation(&checker, "ran_twice run-1/0");
}

#[test]
fn any_team_over_either_limit() {
    for (cpus, gpus) in [(1.0, 2.5), (3.5, 0.0)] {
        for team in ["s", "t"] {
            let job = Submission {
                cpus,
                gpus,
                team: team.into(),
                ..array_job("run-1", 2)
            };
            let mut checker = rule_checker();
            let both = [placed("m1", "a", "run-1/0"), placed("m2", "a", "run-1/1")];
            check_placement(&mut checker, std::slice::from_ref(&job), &both[..1], 1_000);
            assert_no_violation(&checker);
            check_placement(&mut checker, &[job], &both, 1_010);
            assert_violation(&checker, &format!("quota {team}"));
        }
    }
}

#[test]
fn a_start_in_a_place_that_its_job_does_not_allow() {
    let assert_wrong_place = |job: Submission, placed: PlacedTask<'_>, what: &str| {
        let mut checker = rule_checker();
        check_placement(&mut checker, &[array_job("run-1", 4)], &[placed], 1_000);
        assert_no_violation(&checker);
        let mut checker = rule_checker();
        check_placement(&mut checker, &[job], &[placed], 1_000);
        assert_violation(&checker, "wrong_place run-1/0");
        assert!(
            checker.violations[0].contains(what),
            "{:?}",
            checker.violations
        );
    };
    let on_a = placed("m1", "a", "run-1/0");
    let spot = PlacedTask { spot: true, ..on_a };
    let plain = array_job("run-1", 4);
    let zone = Some("b".to_string());
    let types = Some(vec!["g8".to_string()]);
    assert_wrong_place(
        Submission {
            zone,
            ..plain.clone()
        },
        on_a,
        "zone",
    );
    assert_wrong_place(
        Submission {
            machine_types: types,
            ..plain.clone()
        },
        on_a,
        "type",
    );
    assert_wrong_place(
        Submission {
            spot_allowed: false,
            ..plain
        },
        spot,
        "kind",
    );
}

#[test]
fn a_start_in_a_zone_that_the_other_tasks_of_its_job_rule_out() {
    let one_zone = Submission {
        one_zone: true,
        ..array_job("run-1", 4)
    };
    let here = placed("m1", "a", "run-1/0");
    let there = placed("m2", "b", "run-1/1");
    let mut checker = rule_checker();
    check_placement(
        &mut checker,
        std::slice::from_ref(&one_zone),
        &[here],
        1_000,
    );
    // The first task has left its machine when the second one starts.
    check_placement(
        &mut checker,
        std::slice::from_ref(&one_zone),
        &[there],
        1_010,
    );
    assert_no_violation(&checker);
    check_placement(&mut checker, &[one_zone], &[here, there], 1_020);
    assert_violation(&checker, "wrong_place run-1/0 on m1: one zone");

    let spread = Submission {
        spread: true,
        ..array_job("run-1", 3)
    };
    let mut checker = rule_checker();
    let two = [here, placed("m2", "a", "run-1/1")];
    check_placement(&mut checker, std::slice::from_ref(&spread), &two, 1_000);
    assert_no_violation(&checker);
    let three = [two[0], two[1], placed("m3", "a", "run-1/2")];
    check_placement(&mut checker, &[spread], &three, 1_010);
    assert_violation(&checker, "wrong_place run-1/2 on m3: spread");
}

#[test]
fn a_cancelled_job_on_a_machine_after_any_answer_confirmed_it() {
    for kind in [RequestKind::Abort, RequestKind::Status, RequestKind::Submit] {
        let mut checker = checker_with_accepted_job();
        checker.request_sent(1_500, RequestKind::Abort, "run-1", 1_500);
        request_and_response(&mut checker, 2_000, kind, 200, Some(Phase::Aborted));
        // A later confirmation does not restart the time that the job may take to end.
        request_and_response(
            &mut checker,
            9_000,
            RequestKind::Abort,
            200,
            Some(Phase::Aborted),
        );
        let job = [array_job("run-1", 1)];
        let on = [placed("m1", "a", "run-1/0")];
        check_placement(&mut checker, &job, &on, 32_005);
        assert_no_violation(&checker);
        check_placement(&mut checker, &job, &on, 32_010);
        assert_violation(&checker, "ran_cancelled run-1/0");
    }
}

#[test]
fn starts_after_a_confirmed_cancellation_are_counted_and_violate_no_rule() {
    let mut checker = checker_with_accepted_job();
    checker.task_started("run-1/0", 1, "m1", 1_900);
    confirm_cancellation(&mut checker, 2_000);
    checker.task_started("run-1/0", 2, "m1", 2_100);
    assert_eq!(checker.late_starts.len(), 0);
    checker.task_started("run-1/0", 3, "m1", 3_000);
    assert_eq!(checker.late_starts.len(), 1);
    assert_no_violation(&checker);
}

#[test]
fn a_start_sent_after_a_confirmed_cancellation() {
    let mut checker = checker_with_accepted_job();
    checker.start_sent("run-1/0", 1, "m1", 1_900);
    confirm_cancellation(&mut checker, 2_000);
    checker.start_sent("run-1/0", 2, "m1", 2_500);
    assert_no_violation(&checker);
    checker.start_sent("run-1/0", 3, "m1", 2_520);
    assert_violation(&checker, "started_after_abort run-1/0 try 3 on m1");
}

#[test]
fn a_response_that_reports_an_earlier_phase_than_a_previous_one() {
    let done = |checker: &mut RuleChecker| {
        checker.task_completed("run-1/0");
        request_and_response(checker, 2_000, RequestKind::Status, 200, Some(Phase::Done));
    };
    for older in [Phase::Queued, Phase::Running] {
        let mut checker = checker_with_accepted_job();
        done(&mut checker);
        assert_no_violation(&checker);
        request_and_response(&mut checker, 3_000, RequestKind::Status, 200, Some(older));
        assert_violation(&checker, "went_back run-1");
    }
    // Allowed, because the request was sent before the newer response was received.
    let mut checker = checker_with_accepted_job();
    checker.request_sent(7, RequestKind::Status, "run-1", 1_990);
    done(&mut checker);
    let all = jobs(&[array_job("run-1", 1)]);
    let none = BTreeSet::new();
    checker.response_received(7, 200, Some(Phase::Running), (&all, &none), 2_100);
    assert_no_violation(&checker);
    // Ignored, because the user had stopped waiting for the response.
    checker.request_sent(8, RequestKind::Status, "run-1", 3_000);
    checker.response_received(8, 200, Some(Phase::Running), (&all, &none), 5_100);
    assert_no_violation(&checker);
}

#[test]
fn a_job_reported_as_done_and_as_cancelled_even_by_concurrent_requests() {
    let mut checker = checker_with_accepted_job();
    checker.task_completed("run-1/0");
    checker.request_sent(7, RequestKind::Abort, "run-1", 1_990);
    request_and_response(
        &mut checker,
        2_000,
        RequestKind::Status,
        200,
        Some(Phase::Done),
    );
    let all = jobs(&[array_job("run-1", 1)]);
    let none = BTreeSet::new();
    checker.response_received(7, 200, Some(Phase::Aborted), (&all, &none), 2_010);
    assert_violation(&checker, "went_back run-1: Aborted and Done");
}

#[test]
fn an_accepted_job_that_is_rejected_unknown_or_accepted_as_new() {
    for (kind, status) in [
        (RequestKind::Status, 404),
        (RequestKind::Abort, 404),
        (RequestKind::Submit, 400),
        (RequestKind::Submit, 422),
        (RequestKind::Submit, 201),
    ] {
        let mut checker = rule_checker();
        let phase = (status == 201).then_some(Phase::Queued);
        request_and_response(&mut checker, 500, kind, status, phase);
        assert_no_violation(&checker);
        let mut checker = checker_with_accepted_job();
        request_and_response(&mut checker, 2_000, kind, status, phase);
        assert_violation(&checker, "forgotten run-1");
    }
}

#[test]
fn a_job_reported_as_done_before_all_its_tasks_have_completed() {
    let all = jobs(&[array_job("run-1", 2)]);
    let mut checker = checker_with_accepted_job();
    checker.task_completed("run-1/0");
    request_and_response_with(
        &mut checker,
        &all,
        2_000,
        RequestKind::Status,
        200,
        Some(Phase::Done),
    );
    assert_violation(&checker, "not_done run-1: task 1");
}

#[test]
fn a_job_cancelled_or_reported_without_a_request_of_a_user() {
    let mut checker = checker_with_accepted_job();
    request_and_response(
        &mut checker,
        2_000,
        RequestKind::Status,
        200,
        Some(Phase::Aborted),
    );
    assert_violation(&checker, "went_back run-1: cancelled by nobody");
    let mut checker = rule_checker();
    request_and_response_with(
        &mut checker,
        &JobsByName::new(),
        2_000,
        RequestKind::Status,
        200,
        Some(Phase::Queued),
    );
    assert_violation(&checker, "invented run-1");
    let mut checker = checker_with_accepted_job();
    request_and_response(
        &mut checker,
        2_000,
        RequestKind::Abort,
        200,
        Some(Phase::Running),
    );
    assert_violation(&checker, "not_cancelled run-1");
}

#[test]
fn a_task_on_a_machine_before_the_dependencies_of_its_job_are_done() {
    let mut checker = rule_checker();
    let job = Submission {
        dependencies: vec!["run-2".into()],
        ..array_job("run-1", 1)
    };
    let on = [placed("m1", "a", "run-1/0")];
    checker.check_placement(&on, &jobs(std::slice::from_ref(&job)), |_| true, 1_000);
    assert_no_violation(&checker);
    checker.check_placement(&on, &jobs(&[job]), |_| false, 1_010);
    assert_violation(&checker, "too_early run-1/0 before run-2");
}

#[test]
fn a_job_reported_as_open_long_after_its_dependency_was_cancelled() {
    let mut checker = checker_with_accepted_job();
    checker.record_cancellation("run-2", 2_000);
    let all = jobs(&[array_job("run-1", 1)]);
    let before = BTreeSet::from(["run-2".to_string()]);
    let mut ask = |at: u64| {
        checker.request_sent(at, RequestKind::Status, "run-1", at);
        checker.response_received(at, 200, Some(Phase::Queued), (&all, &before), at + 5);
        checker.violations.len()
    };
    assert_eq!(ask(31_000), 0);
    assert_eq!(ask(33_000), 1);
    assert_violation(&checker, "orphaned run-1 behind run-2");
}

#[test]
fn a_job_whose_requests_all_stay_unanswered() {
    let send_unanswered_requests = |checker: &mut RuleChecker, from: u64, every: u64, to: u64| {
        for at in (from..to).step_by(every as usize) {
            checker.request_sent(at, RequestKind::Status, "run-1", at);
            let none = BTreeSet::new();
            checker.response_received(at, 503, None, (&JobsByName::new(), &none), at + 5);
        }
    };
    let mut checker = checker_with_accepted_job();
    send_unanswered_requests(&mut checker, 2_000, 5_000, 200_000);
    assert_no_violation(&checker);
    checker.faults_ended(200_000);
    send_unanswered_requests(&mut checker, 200_000, 5_000, 274_000);
    assert_no_violation(&checker);
    request_and_response(
        &mut checker,
        274_000,
        RequestKind::Status,
        200,
        Some(Phase::Queued),
    );
    // Requests with gaps as long as these do not add up to a period without an answer.
    send_unanswered_requests(&mut checker, 280_000, 20_000, 400_000);
    assert_no_violation(&checker);
    request_and_response(
        &mut checker,
        400_000,
        RequestKind::Status,
        200,
        Some(Phase::Queued),
    );
    send_unanswered_requests(&mut checker, 401_000, 5_000, 482_000);
    assert_violation(&checker, "forgotten run-1: no answer");
}

#[test]
fn a_task_that_waits_although_a_machine_has_free_resources() {
    let mut checker = rule_checker();
    for at in (0..200_000).step_by(1_000) {
        checker.observe_waiting("run-1", true, at);
    }
    assert_no_violation(&checker);
    checker.faults_ended(200_000);
    for at in (200_000..400_000).step_by(1_000) {
        // At one moment in between there are no free resources.
        checker.observe_waiting("run-1", at != 280_000, at);
        if at < 371_000 {
            assert_no_violation(&checker);
        }
    }
    assert_violation(&checker, "left_waiting run-1");
}

#[test]
fn requests_and_writes_beyond_the_rates_of_the_state_service_are_refused_and_counted() {
    let mut state = FakeStateService::default();
    state.limits = Some(StateServiceLimits {
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
            .serve(5_000, caller(n), "POST", "/multi", &body)
            .expect("answer");
        statuses.push(status);
    }
    assert_eq!(
        statuses.iter().filter(|s| **s == 200).count(),
        5,
        "the writes of one second"
    );
    for n in 0..15 {
        let (status, _) = state
            .serve(5_000, caller(n), "GET", "/kv/k/1", &[])
            .expect("answer");
        assert_eq!(status, if n < 10 { 404 } else { 429 }, "request {n}");
    }
    let refused = (state.throttled_txns, state.throttled_requests);
    assert_eq!(refused, (5, 5));
    assert_eq!(
        (state.request_counts.commits, state.request_counts.reads),
        (10, 15)
    );
    // Half a second later, half of a second's requests are available again.
    let answers = (0..11).map(|n| state.serve(5_500, caller(n), "GET", "/kv/k/1", &[]));
    let served = answers.flatten().filter(|(status, _)| *status == 404);
    assert_eq!(served.count(), 10);
}
