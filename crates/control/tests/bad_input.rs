//! Invalid requests of users, and records that can't be read.

mod common;

use ciborium::Value;
use common::*;
use fakes::{array_job, gang_job, World};
use wire::records::*;
use wire::users::{Phase, Submission};

/// Job id of the submissions under test.
const JOB_ID: &str = "run-1";

/// A submission with every optional field set.
fn complete_submission() -> Submission {
    Submission {
        machine_types: Some(vec![fakes::MACHINE_TYPE.into()]),
        zone: Some("a".into()),
        due_s: Some(900.0),
        ..array_job(JOB_ID, 2)
    }
}

/// Names and values of a submission's fields as encoded.
fn fields(job: &Submission) -> Vec<(String, Value)> {
    let Ok(Value::Map(map)) = Value::serialized(job) else {
        panic!("a submission is a map");
    };
    let named = |(name, value): (Value, Value)| match name {
        Value::Text(name) => (name, value),
        other => panic!("a field name is not text: {other:?}"),
    };
    map.into_iter().map(named).collect()
}

/// The complete submission, encoded with one field replaced, or omitted if there is no value.
fn with_field(name: &str, value: Option<Value>) -> Vec<u8> {
    let mut map = fields(&complete_submission());
    map.retain(|(n, _)| n != name);
    map.extend(value.map(|v| (name.to_string(), v)));
    let map = map.into_iter().map(|(n, v)| (Value::Text(n), v)).collect();
    wire::encode(&Value::Map(map))
}

fn submit_body(w: &mut World, body: Vec<u8>) -> u16 {
    let (status, _) = w.send_and_wait(0, "POST", "/submissions", body);
    status
}

fn is_unknown(w: &mut World, id: &str) -> bool {
    let (status, _) = w.send_and_wait(0, "GET", &format!("/submissions/{id}"), vec![]);
    status == 404
}

fn text_value(value: &str) -> Value {
    Value::Text(value.into())
}

fn number_value(value: f64) -> Value {
    Value::Float(value)
}

#[test]
fn every_field_of_a_submission_is_refused_when_missing_or_wrong() {
    let mut w = start_cluster(1, 1, 0.0);
    let optional = ["breeds", "valley", "due_s", "awaits"];
    let names: Vec<String> = fields(&complete_submission())
        .into_iter()
        .map(|(n, _)| n)
        .collect();
    assert_eq!(names.len(), 20, "{names:?}");
    for name in &names {
        if !optional.contains(&name.as_str()) {
            assert_eq!(
                submit_body(&mut w, with_field(name, None)),
                400,
                "{name}: missing"
            );
            let null = with_field(name, Some(Value::Null));
            assert_eq!(submit_body(&mut w, null), 400, "{name}: null");
        }
        // No field is a map, and no field takes a list of numbers.
        let map = with_field(name, Some(Value::Map(vec![])));
        assert_eq!(submit_body(&mut w, map), 400, "{name}: a map");
        let list = with_field(name, Some(Value::Array(vec![number_value(1.0)])));
        assert_eq!(submit_body(&mut w, list), 400, "{name}: a list of numbers");
    }
    let too_long = "x".repeat(200);
    let invalid_values = [
        ("id", text_value("")),
        ("id", text_value("run-")),
        ("id", text_value("run-1a")),
        ("id", text_value("job-1")),
        ("id", number_value(1.0)),
        ("cohort", text_value("")),
        ("cohort", text_value(&too_long)),
        ("tenant", text_value("")),
        ("tenant", number_value(1.0)),
        ("shape", text_value("ring")),
        ("shape", text_value("")),
        ("rank", text_value("highest")),
        ("rank", number_value(1.0)),
        ("shards", Value::from(0)),
        ("shards", Value::from(100_001)),
        ("shards", Value::from(-1)),
        ("shards", number_value(1.5)),
        ("shards", text_value("2")),
        ("bundle", text_value("")),
        ("bundle", Value::Bool(true)),
        ("breeds", text_value(fakes::MACHINE_TYPE)),
        ("breeds", Value::Array(vec![text_value("")])),
        ("breeds", Value::Array(vec![text_value("g4"); 100])),
        ("valley", text_value("")),
        ("valley", number_value(1.0)),
        ("same_place", text_value("true")),
        ("apart", Value::from(1)),
        ("loaners", text_value("no")),
        ("awaits", text_value("run-2")),
    ];
    for (name, value) in invalid_values {
        let body = with_field(name, Some(value.clone()));
        assert_eq!(submit_body(&mut w, body), 400, "{name}: {value:?}");
    }
    let amounts = [
        "cpus",
        "gpus",
        "mem_gb",
        "pull_gb",
        "guess_s",
        "stow_every_s",
        "stow_s",
        "due_s",
    ];
    for name in amounts {
        for value in [-1.0, f64::NAN, f64::INFINITY] {
            let body = with_field(name, Some(number_value(value)));
            assert_eq!(submit_body(&mut w, body), 400, "{name}: {value}");
        }
        let body = with_field(name, Some(text_value("4.0")));
        assert_eq!(submit_body(&mut w, body), 400, "{name}: text");
    }
    let complete_body = wire::encode(&complete_submission());
    let bodies = [
        vec![],
        complete_body[..complete_body.len() / 2].to_vec(),
        wire::encode(&Value::Array(vec![text_value(JOB_ID)])),
        wire::encode(&text_value(JOB_ID)),
        vec![0xff; 40],
    ];
    for body in bodies {
        assert_eq!(submit_body(&mut w, body.clone()), 400, "{body:?}");
    }
    assert!(
        is_unknown(&mut w, JOB_ID),
        "no refused submission was recorded"
    );
    assert_no_violations(&w);
}

#[test]
fn fields_that_are_optional_or_not_known_yet_are_accepted() {
    let mut w = start_cluster(1, 2, 0.0);
    let mut bodies = vec![with_field("added_later", Some(text_value("ignored")))];
    for name in ["breeds", "valley", "due_s", "awaits"] {
        bodies.push(with_field(name, None));
        bodies.push(with_field(name, Some(Value::Null)));
    }
    // A class without an objective, and a machine type that the cloud doesn't have next to one that it has.
    bodies.push(with_field("cohort", Some(text_value("never seen"))));
    let types = vec![text_value("never seen"), text_value(fakes::MACHINE_TYPE)];
    bodies.push(with_field("breeds", Some(Value::Array(types))));
    for (n, body) in bodies.into_iter().enumerate() {
        let id = format!("run-{}", 100 + n);
        let map: Value = wire::decode(&body).expect("a map");
        let Value::Map(mut map) = map else {
            panic!("a map");
        };
        map.retain(|(name, _)| *name != text_value("id"));
        map.push((text_value("id"), text_value(&id)));
        w.upload_job(&array_job(&id, 2), runs_for(500));
        let status = submit_body(&mut w, wire::encode(&Value::Map(map)));
        assert_eq!(status, 201, "{id}");
    }
    assert!(completes_within(&mut w, "run-100", 20_000));
    let last = w.jobs.keys().last().cloned().expect("jobs");
    assert!(completes_within(&mut w, &last, 20_000));
    assert_no_violations(&w);
}

#[test]
fn a_job_that_can_never_run_is_refused_with_422_and_stays_unknown() {
    let mut w = start_cluster(1, 1, 8.0);
    let job = || array_job(JOB_ID, 1);
    let changed_job = |change: fn(&mut Submission)| {
        let mut job = job();
        change(&mut job);
        job
    };
    let impossible_jobs = [
        (
            "an unknown team",
            changed_job(|j| j.team = "never seen".into()),
        ),
        (
            "an unknown machine type",
            changed_job(|j| j.machine_types = Some(vec!["g5".into()])),
        ),
        (
            "no machine type",
            changed_job(|j| j.machine_types = Some(vec![])),
        ),
        (
            "an unknown zone",
            changed_job(|j| j.zone = Some("z".into())),
        ),
        ("more CPUs than any type", changed_job(|j| j.cpus = 33.0)),
        ("more GPUs than any type", changed_job(|j| j.gpus = 5.0)),
        (
            "more memory than any type",
            changed_job(|j| j.mem_gb = 257.0),
        ),
        (
            "a task over its team's limit",
            changed_job(|j| j.gpus = 9.0),
        ),
        ("a gang over its team's limit", gang_job(JOB_ID, 3)),
        (
            "a dependency that was never submitted",
            with_dependencies(job(), &["run-999"]),
        ),
        (
            "a dependency on itself",
            with_dependencies(job(), &[JOB_ID]),
        ),
    ];
    for (description, job) in impossible_jobs {
        assert_eq!(
            submit_body(&mut w, wire::encode(&job)),
            422,
            "{description}"
        );
    }
    assert!(is_unknown(&mut w, JOB_ID));
    // An array can run although its tasks don't all fit into the limit at once, and so can a gang that just fits.
    for job in [array_job("run-2", 9), gang_job("run-3", 2)] {
        assert_eq!(submit_body(&mut w, wire::encode(&job)), 201, "{}", job.id);
    }
    // A known id is answered before the submission is checked.
    let known = Submission {
        team: "never seen".into(),
        ..array_job("run-2", 9)
    };
    assert_eq!(submit_body(&mut w, wire::encode(&known)), 200);
    assert_no_violations(&w);
}

#[test]
fn a_cancellation_answers_done_for_a_completed_job_and_404_for_an_unknown_one() {
    let mut w = start_cluster(3, 2, 0.0);
    assert_eq!(w.submit(0, &array_job(JOB_ID, 2), runs_for(500)), 201);
    assert!(completes_within(&mut w, JOB_ID, 20_000));
    for node in 0..3 {
        assert_eq!(w.abort(node, JOB_ID), Some(Phase::Done), "node {node}");
        let (status, _) = w.send_and_wait(node, "POST", "/submissions/run-2/abort", vec![]);
        assert_eq!(status, 404, "node {node}");
        w.crash(node);
        w.start(node);
        w.run_for(5_000);
        assert_eq!(
            w.abort(node, JOB_ID),
            Some(Phase::Done),
            "node {node} after its restart"
        );
    }
    for target in [
        "/submissions/",
        "/submissions/x",
        "/submissions/run-1/x",
        "/x",
    ] {
        assert_eq!(w.send_and_wait(0, "GET", target, vec![]).0, 404, "{target}");
    }
    for (method, target) in [("PUT", "/submissions"), ("DELETE", "/submissions/run-1")] {
        assert_eq!(
            w.send_and_wait(0, method, target, vec![]).0,
            405,
            "{method} {target}"
        );
    }
    assert_no_violations(&w);
}

/// Records that another program left or that a later version writes must not stop the work on other jobs.
#[test]
fn unreadable_records_stop_no_other_work() {
    let mut w = start_cluster(3, 2, 0.0);
    let unreadable = "not a record";
    w.state_service.write(&job_key("run-7"), &unreadable, None);
    w.state_service
        .write(&final_record_key("run-8"), &unreadable, None);
    w.state_service.write("j/not-an-id", &7, None);
    w.run_for(1_000);
    for round in 0..2 {
        let leader = w.leader().expect("leader");
        for node in 0..3 {
            for id in ["run-7", "run-8"] {
                let (status, _) =
                    w.send_and_wait(node, "GET", &format!("/submissions/{id}"), vec![]);
                assert_eq!(status, 503, "{id} exists, and its state can't be read");
            }
        }
        let id = format!("run-1{round}");
        assert_eq!(w.submit(leader, &array_job(&id, 4), runs_for(500)), 201);
        assert!(completes_within(&mut w, &id, 20_000), "round {round}");
        // The next leader has to read all records, including the unreadable ones.
        w.crash(leader);
        assert!(w.run_until(6_000, |w| w.leader().is_some()));
        w.start(leader);
        w.run_for(2_000);
    }
    // Reports that can't be decoded.
    for body in [vec![], vec![0xff; 40], wire::encode(&unreadable)] {
        assert_eq!(w.send_and_wait(0, "POST", "/v1/report", body).0, 400);
    }
    assert!(w.leader().is_some());
    assert_no_violations(&w);
}

#[test]
fn a_cluster_with_one_and_a_half_times_the_machines_controllers_and_limits_works_the_same() {
    let settings = |i: usize| {
        let mut settings = settings(i, 5, 0.0);
        let deployment = &mut settings.deployment;
        for rate in [
            &mut deployment.state.rps,
            &mut deployment.state.write_rps,
            &mut deployment.cloud.rps,
            &mut deployment.quota.cpu,
            &mut deployment.quota.mem_mb,
        ] {
            *rate *= 1.5;
        }
        deployment.quota.max_connections += deployment.quota.max_connections / 2;
        settings.validate().expect("valid");
        settings
    };
    let mut w = start_cluster_with(5, 9, settings);
    for n in 0..10 {
        let job = array_job(&format!("run-{n}"), 6);
        assert_eq!(w.submit(n % 5, &job, runs_for(2_000)), 201);
    }
    for n in 0..10 {
        assert!(
            completes_within(&mut w, &format!("run-{n}"), 30_000),
            "job {n}"
        );
    }
    assert_eq!(w.state_service.throttled_requests, 0);
    assert_no_violations(&w);
}
