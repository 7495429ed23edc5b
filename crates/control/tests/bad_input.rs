//! What users may send wrongly, and what other parties may have written that can't be read.

mod common;

use ciborium::Value;
use common::*;
use fakes::{array, gang, World};
use wire::records::*;
use wire::users::{Phase, Submission};

const ID: &str = "run-1";

/// A submission in which no field is omitted.
fn complete() -> Submission {
    Submission {
        types: Some(vec![fakes::KIND.into()]),
        zone: Some("a".into()),
        due_s: Some(900.0),
        ..array(ID, 2)
    }
}

fn fields(job: &Submission) -> Vec<(String, Value)> {
    let Ok(Value::Map(map)) = Value::serialized(job) else {
        panic!("a submission is a map");
    };
    let named = |(name, value): (Value, Value)| match name {
        Value::Text(name) => (name, value),
        other => panic!("not a name: {other:?}"),
    };
    map.into_iter().map(named).collect()
}

/// The complete submission with one field changed, or left out.
fn with_field(name: &str, value: Option<Value>) -> Vec<u8> {
    let mut map = fields(&complete());
    map.retain(|(n, _)| n != name);
    map.extend(value.map(|v| (name.to_string(), v)));
    let map = map.into_iter().map(|(n, v)| (Value::Text(n), v)).collect();
    wire::encode(&Value::Map(map))
}

fn submit(w: &mut World, body: Vec<u8>) -> u16 {
    let (status, _) = w.ask(0, "POST", "/submissions", body);
    status
}

fn is_unknown(w: &mut World, id: &str) -> bool {
    let (status, _) = w.ask(0, "GET", &format!("/submissions/{id}"), vec![]);
    status == 404
}

fn text(s: &str) -> Value {
    Value::Text(s.into())
}

fn number(v: f64) -> Value {
    Value::Float(v)
}

#[test]
fn every_field_of_a_submission_is_refused_when_missing_or_wrong() {
    let mut w = start_cluster(1, 1, 0.0);
    let optional = ["breeds", "valley", "due_s", "awaits"];
    let names: Vec<String> = fields(&complete()).into_iter().map(|(n, _)| n).collect();
    assert_eq!(names.len(), 20, "{names:?}");
    for name in &names {
        if !optional.contains(&name.as_str()) {
            assert_eq!(
                submit(&mut w, with_field(name, None)),
                400,
                "{name}: missing"
            );
            let null = with_field(name, Some(Value::Null));
            assert_eq!(submit(&mut w, null), 400, "{name}: null");
        }
        // No field may be a map, and none both a list and something else.
        let map = with_field(name, Some(Value::Map(vec![])));
        assert_eq!(submit(&mut w, map), 400, "{name}: a map");
        let list = with_field(name, Some(Value::Array(vec![number(1.0)])));
        assert_eq!(submit(&mut w, list), 400, "{name}: a list of numbers");
    }
    let long = "x".repeat(200);
    let wrong = [
        ("id", text("")),
        ("id", text("run-")),
        ("id", text("run-1a")),
        ("id", text("job-1")),
        ("id", number(1.0)),
        ("cohort", text("")),
        ("cohort", text(&long)),
        ("tenant", text("")),
        ("tenant", number(1.0)),
        ("shape", text("ring")),
        ("shape", text("")),
        ("rank", text("highest")),
        ("rank", number(1.0)),
        ("shards", Value::from(0)),
        ("shards", Value::from(100_001)),
        ("shards", Value::from(-1)),
        ("shards", number(1.5)),
        ("shards", text("2")),
        ("bundle", text("")),
        ("bundle", Value::Bool(true)),
        ("breeds", text(fakes::KIND)),
        ("breeds", Value::Array(vec![text("")])),
        ("breeds", Value::Array(vec![text("g4"); 100])),
        ("valley", text("")),
        ("valley", number(1.0)),
        ("same_place", text("true")),
        ("apart", Value::from(1)),
        ("loaners", text("no")),
        ("awaits", text("run-2")),
    ];
    for (name, value) in wrong {
        let body = with_field(name, Some(value.clone()));
        assert_eq!(submit(&mut w, body), 400, "{name}: {value:?}");
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
            let body = with_field(name, Some(number(value)));
            assert_eq!(submit(&mut w, body), 400, "{name}: {value}");
        }
        let body = with_field(name, Some(text("4.0")));
        assert_eq!(submit(&mut w, body), 400, "{name}: text");
    }
    let whole = wire::encode(&complete());
    let bodies = [
        vec![],
        whole[..whole.len() / 2].to_vec(),
        wire::encode(&Value::Array(vec![text(ID)])),
        wire::encode(&text(ID)),
        vec![0xff; 40],
    ];
    for body in bodies {
        assert_eq!(submit(&mut w, body.clone()), 400, "{body:?}");
    }
    assert!(is_unknown(&mut w, ID), "nothing of all that was recorded");
    assert_no_violations(&w);
}

#[test]
fn what_may_be_null_or_omitted_or_is_not_known_yet_is_accepted() {
    let mut w = start_cluster(1, 2, 0.0);
    let mut bodies = vec![with_field("added_later", Some(text("ignored")))];
    for name in ["breeds", "valley", "due_s", "awaits"] {
        bodies.push(with_field(name, None));
        bodies.push(with_field(name, Some(Value::Null)));
    }
    // A class that no objective names, and a type that the cloud does not have beside one that it has.
    bodies.push(with_field("cohort", Some(text("never seen"))));
    let types = vec![text("never seen"), text(fakes::KIND)];
    bodies.push(with_field("breeds", Some(Value::Array(types))));
    for (n, body) in bodies.into_iter().enumerate() {
        let id = format!("run-{}", 100 + n);
        let map: Value = wire::decode(&body).expect("a map");
        let Value::Map(mut map) = map else {
            panic!("a map");
        };
        map.retain(|(name, _)| *name != text("id"));
        map.push((text("id"), text(&id)));
        w.describe(&array(&id, 2), runs_for(500));
        let status = submit(&mut w, wire::encode(&Value::Map(map)));
        assert_eq!(status, 201, "{id}");
    }
    assert!(completes_within(&mut w, "run-100", 20_000));
    let last = w.jobs.keys().last().cloned().expect("jobs");
    assert!(completes_within(&mut w, &last, 20_000));
    assert_no_violations(&w);
}

#[test]
fn what_can_never_run_is_refused_as_such_and_stays_unknown() {
    let mut w = start_cluster(1, 1, 8.0);
    let job = || array(ID, 1);
    let one = |change: fn(&mut Submission)| {
        let mut job = job();
        change(&mut job);
        job
    };
    let never = [
        ("a team never seen", one(|j| j.team = "never seen".into())),
        (
            "a type never seen",
            one(|j| j.types = Some(vec!["g5".into()])),
        ),
        ("no type at all", one(|j| j.types = Some(vec![]))),
        ("a zone never seen", one(|j| j.zone = Some("z".into()))),
        ("more CPUs than any type", one(|j| j.cpus = 33.0)),
        ("more GPUs than any type", one(|j| j.gpus = 5.0)),
        ("more memory than any type", one(|j| j.mem_gb = 257.0)),
        ("a task over its team's limit", one(|j| j.gpus = 9.0)),
        ("a gang over its team's limit", gang(ID, 3)),
        (
            "a job that nobody has submitted",
            with_dependencies(job(), &["run-999"]),
        ),
        (
            "a job that waits for itself",
            with_dependencies(job(), &[ID]),
        ),
    ];
    for (what, job) in never {
        assert_eq!(submit(&mut w, wire::encode(&job)), 422, "{what}");
    }
    assert!(is_unknown(&mut w, ID));
    // An array of which not all tasks fit into the limit at once can run, and so can a gang that just fits.
    for job in [array("run-2", 9), gang("run-3", 2)] {
        assert_eq!(submit(&mut w, wire::encode(&job)), 201, "{}", job.id);
    }
    // What is known is answered before anything is looked at.
    let known = Submission {
        team: "never seen".into(),
        ..array("run-2", 9)
    };
    assert_eq!(submit(&mut w, wire::encode(&known)), 200);
    assert_no_violations(&w);
}

#[test]
fn a_cancellation_of_what_is_done_answers_done_and_of_what_is_unknown_404() {
    let mut w = start_cluster(3, 2, 0.0);
    assert_eq!(w.submit(0, &array(ID, 2), runs_for(500)), 201);
    assert!(completes_within(&mut w, ID, 20_000));
    for node in 0..3 {
        assert_eq!(w.abort(node, ID), Some(Phase::Done), "node {node}");
        let (status, _) = w.ask(node, "POST", "/submissions/run-2/abort", vec![]);
        assert_eq!(status, 404, "node {node}");
        w.crash(node);
        w.start(node);
        w.run(5_000);
        assert_eq!(w.abort(node, ID), Some(Phase::Done), "node {node} anew");
    }
    for target in [
        "/submissions/",
        "/submissions/x",
        "/submissions/run-1/x",
        "/x",
    ] {
        assert_eq!(w.ask(0, "GET", target, vec![]).0, 404, "{target}");
    }
    for (method, target) in [("PUT", "/submissions"), ("DELETE", "/submissions/run-1")] {
        assert_eq!(w.ask(0, method, target, vec![]).0, 405, "{method} {target}");
    }
    assert_no_violations(&w);
}

/// Records that another program left, or that a later version writes.
#[test]
fn unreadable_records_are_survived_and_stop_nothing_else() {
    let mut w = start_cluster(3, 2, 0.0);
    let junk = "not a record";
    w.state.write(&job_key("run-7"), &junk, None);
    w.state.write(&final_key("run-8"), &junk, None);
    w.state.write("j/not-an-id", &7, None);
    w.run(1_000);
    for round in 0..2 {
        let leader = w.leader().expect("leader");
        for node in 0..3 {
            for id in ["run-7", "run-8"] {
                let (status, _) = w.ask(node, "GET", &format!("/submissions/{id}"), vec![]);
                assert_eq!(status, 503, "{id} exists, and nothing can be said of it");
            }
        }
        let id = format!("run-1{round}");
        assert_eq!(w.submit(leader, &array(&id, 4), runs_for(500)), 201);
        assert!(completes_within(&mut w, &id, 20_000), "round {round}");
        // The next leader has to read all of it.
        w.crash(leader);
        assert!(w.until(6_000, |w| w.leader().is_some()));
        w.start(leader);
        w.run(2_000);
    }
    // Reports, direct answers and frames that mean nothing.
    for body in [vec![], vec![0xff; 40], wire::encode(&junk)] {
        assert_eq!(w.ask(0, "POST", "/v1/report", body).0, 400);
    }
    assert!(w.leader().is_some());
    assert_no_violations(&w);
}

#[test]
fn half_as_many_machines_controllers_and_limits_again_change_nothing() {
    let settings = |i: usize| {
        let mut settings = settings(i, 5, 0.0);
        let d = &mut settings.deployment;
        for rate in [
            &mut d.state.rps,
            &mut d.state.write_rps,
            &mut d.cloud.rps,
            &mut d.quota.cpu,
            &mut d.quota.mem_mb,
        ] {
            *rate *= 1.5;
        }
        d.quota.max_connections += d.quota.max_connections / 2;
        settings.validate().expect("valid");
        settings
    };
    let mut w = start_cluster_with(5, 9, settings);
    for n in 0..10 {
        let job = array(&format!("run-{n}"), 6);
        assert_eq!(w.submit(n % 5, &job, runs_for(2_000)), 201);
    }
    for n in 0..10 {
        assert!(
            completes_within(&mut w, &format!("run-{n}"), 30_000),
            "job {n}"
        );
    }
    assert_eq!(w.state.too_frequent, 0);
    assert_no_violations(&w);
}
