//! Scenarios of jobs that need others. The world itself checks at every step that nothing starts too early, and at
//! every answer that nothing behind a cancelled job is still called open.

mod common;

use common::*;
use fakes::{array_job, gang_job, World};
use wire::records::*;
use wire::users::{Phase, Priority};

fn started(w: &World, job: &str) -> usize {
    let all = w.workers.values().flat_map(|m| &m.started_attempts);
    all.filter(|(t, _)| t.split('/').next() == Some(job))
        .count()
}

/// A chain of jobs, each behind the one before it.
fn chain(w: &mut World, first: u32, length: u32, run_ms: u64) -> Vec<String> {
    let ids: Vec<String> = (first..first + length)
        .map(|n| format!("run-{n}"))
        .collect();
    for (n, id) in ids.iter().enumerate() {
        let needs: Vec<&str> = n
            .checked_sub(1)
            .map(|b| ids[b].as_str())
            .into_iter()
            .collect();
        let mut status = 0;
        for _ in 0..20 {
            status = w.submit(n % 3, &after(array_job(id, 1), &needs), runs(run_ms));
            if status == 201 {
                break;
            }
            w.run_for(500);
        }
        assert_eq!(status, 201, "{id}");
    }
    ids
}

#[test]
fn a_diamond_runs_in_order_through_a_crash_of_all() {
    let mut w = world(3, 3, 0.0);
    assert_eq!(w.submit(0, &array_job("run-1", 3), runs(3_000)), 201);
    assert_eq!(
        w.submit(1, &after(array_job("run-2", 12), &["run-1"]), runs(3_000)),
        201
    );
    assert_eq!(
        w.submit(
            2,
            &after(gang_job("run-3", 1), &["run-1", "run-1"]),
            runs(3_000)
        ),
        201
    );
    let last = after(array_job("run-4", 2), &["run-2", "run-3"]);
    assert_eq!(w.submit(0, &last, runs(1_000)), 201);
    for crash_after in [2_000, 4_000, 6_000] {
        w.run_for(crash_after);
        for i in 0..3 {
            w.crash(i);
        }
        for i in 0..3 {
            w.start(i);
        }
    }
    assert!(w.run_until(60_000, |w| w.phase(1, "run-4") == Some(Phase::Done)));
    for (job, tasks) in [("run-1", 3), ("run-2", 12), ("run-3", 1), ("run-4", 2)] {
        assert_eq!(started(&w, job), tasks, "{job}");
    }
    clean(&w);
}

#[test]
fn names_are_looked_up_and_a_known_id_is_answered_before_them() {
    let mut w = world(3, 2, 0.0);
    let post = |w: &mut World, job: &ciborium::Value| {
        w.send_and_wait(0, "POST", "/submissions", wire::encode(job))
            .0
    };
    let with = |id: &str, awaits: ciborium::Value| {
        let mut job = ciborium::Value::serialized(&array_job(id, 1)).expect("value");
        job.as_map_mut()
            .expect("map")
            .push(("awaits".into(), awaits));
        job
    };
    // Not a list of strings.
    for bad in [
        ciborium::Value::from("run-1"),
        ciborium::Value::from(vec![ciborium::Value::from(7)]),
    ] {
        assert_eq!(post(&mut w, &with("run-1", bad)), 400);
    }
    // None at all, in three ways.
    assert_eq!(post(&mut w, &with("run-1", ciborium::Value::Null)), 201);
    assert_eq!(
        post(&mut w, &with("run-2", ciborium::Value::Array(vec![]))),
        201
    );
    // Never accepted, itself, and what can't be a job.
    for name in ["run-99", "run-3", "x", ""] {
        assert_eq!(
            w.submit(
                1,
                &after(array_job("run-3", 1), &["run-1", name]),
                runs(100)
            ),
            422,
            "{name}"
        );
        assert_eq!(w.phase(1, "run-3"), None, "nothing is kept of it");
    }
    assert!(w.state_service.keys("j/run-3").is_empty());
    // A known id is answered, whatever it names now; what the world knows of the job stays as first accepted.
    for name in ["run-99", "run-2"] {
        let again = wire::encode(&after(array_job("run-2", 1), &[name]));
        assert_eq!(w.send_and_wait(2, "POST", "/submissions", again).0, 200);
    }
    w.task_behaviour.insert("run-2".into(), runs(60_000));
    // Twice is once, and a job that is over counts as well as one that is open.
    w.task_behaviour.insert("run-1".into(), runs(100));
    assert!(done(&mut w, "run-1", 20_000));
    assert_eq!(
        w.submit(
            2,
            &after(array_job("run-4", 1), &["run-1", "run-2", "run-1"]),
            runs(100)
        ),
        201
    );
    let record: JobRecord = w.state_service.read(&job_key("run-4")).expect("recorded");
    assert_eq!(record.spec.dependencies, ["run-1", "run-2"]);
    // Behind a cancelled job a name never accepted is still none.
    assert_eq!(w.abort(0, "run-2"), Some(Phase::Aborted));
    for names in [["run-2", "run-99"], ["run-99", "run-2"]] {
        assert_eq!(
            w.submit(1, &after(array_job("run-5", 1), &names), runs(100)),
            422
        );
    }
    // Without the store it is not known whether a name was accepted.
    w.state_service_down = true;
    w.run_for(100);
    assert_eq!(
        w.submit(1, &after(array_job("run-5", 1), &["run-99"]), runs(100)),
        503
    );
    w.state_service_down = false;
    clean(&w);
}

#[test]
fn what_follows_a_cancelled_job_is_cancelled_for_every_node_at_once_though_the_leader_dies() {
    for crash in [false, true] {
        let mut w = world(3, 1, 0.0);
        let ids = chain(&mut w, 1, 6, 30_000);
        let fan: Vec<String> = (50..60).map(|n| format!("run-{n}")).collect();
        for id in &fan {
            assert_eq!(
                w.submit(1, &after(array_job(id, 1), &[&ids[2]]), runs(1_000)),
                201
            );
        }
        let (leader, other) = (w.leader().expect("leader"), follower(&w));
        if crash {
            w.crash(leader);
        }
        assert_eq!(w.abort(other, &ids[1]), Some(Phase::Aborted));
        // Whoever is asked, whether it has ever heard of these jobs or not, and before any cascade.
        w.crash((0..3).find(|i| *i != leader && *i != other).expect("third"));
        w.start((0..3).find(|i| *i != leader && *i != other).expect("third"));
        w.run_for(200);
        for node in (0..3).filter(|n| !crash || *n != leader) {
            for id in ids[1..].iter().chain(&fan) {
                assert_eq!(
                    w.phase(node, id),
                    Some(Phase::Aborted),
                    "{id} at {node}, crash {crash}"
                );
            }
        }
        assert_ne!(
            w.phase(other, &ids[0]),
            Some(Phase::Aborted),
            "what is before it goes on"
        );
        // Submitted behind a cancelled job, or behind one behind it: accepted, and cancelled.
        let late = after(array_job("run-80", 1), &[&ids[4], &ids[0]]);
        assert_eq!(w.submit(other, &late, runs(1_000)), 201);
        assert_eq!(w.phase(other, "run-80"), Some(Phase::Aborted));
        let open = |w: &mut World| w.state_service.keys(JOB_PREFIX).len() <= 1;
        assert!(
            w.run_until(20_000, open),
            "filed away: {:?}",
            w.state_service.keys(JOB_PREFIX)
        );
        w.run_for(40_000);
        for id in ids[1..].iter().chain(&fan) {
            assert_eq!(w.phase(other, id), Some(Phase::Aborted));
            assert_eq!(started(&w, id), 0);
        }
        assert_eq!(w.phase(other, &ids[0]), Some(Phase::Done));
        clean(&w);
    }
}

/// The cancelled job can't be filed away while its machine is silent; what follows does not wait for that.
#[test]
fn what_follows_is_filed_though_the_cancelled_jobs_machine_is_silent() {
    let mut w = world(3, 1, 0.0);
    let ids = chain(&mut w, 1, 5, 60_000);
    w.run_for(3_000);
    assert_eq!(w.placed_tasks(&ids[0]).len(), 1);
    let now = w.now;
    for m in w.workers.values_mut() {
        m.disconnected_until = now + 60_000;
    }
    assert_eq!(w.abort(0, &ids[0]), Some(Phase::Aborted));
    assert!(w.run_until(5_000, |w| w.state_service.keys(JOB_PREFIX).len() == 1));
    assert!(w.run_until(60_000, |w| w.state_service.keys(JOB_PREFIX).is_empty()));
    clean(&w);
}

#[test]
fn a_cancellation_answered_done_stops_nothing_and_each_race_has_one_outcome() {
    let mut outcomes = std::collections::BTreeSet::new();
    for delay in (1_500..2_600).step_by(50) {
        let mut w = world(3, 1, 0.0);
        assert_eq!(w.submit(0, &array_job("run-1", 1), runs(1_500)), 201);
        assert_eq!(
            w.submit(1, &after(array_job("run-2", 1), &["run-1"]), runs(500)),
            201
        );
        w.run_for(delay);
        let answer = w.abort(follower(&w), "run-1").expect("answered");
        // Submitted in the same moment, behind both.
        assert_eq!(
            w.submit(
                2,
                &after(array_job("run-3", 1), &["run-1", "run-2"]),
                runs(500)
            ),
            201
        );
        let ends = [Some(Phase::Done), Some(Phase::Aborted)];
        assert!(
            w.run_until(20_000, |w| ends.contains(&w.phase(0, "run-3"))),
            "{delay}"
        );
        for id in ["run-1", "run-2", "run-3"] {
            assert_eq!(w.phase(1, id), Some(answer), "{id} {delay}");
        }
        clean(&w);
        outcomes.insert(format!("{answer:?}"));
    }
    assert_eq!(outcomes.len(), 2, "both outcomes were seen: {outcomes:?}");
}

#[test]
fn a_chain_of_hundreds_is_answered_and_cancelled_at_its_head() {
    let mut w = world(3, 1, 0.0);
    let ids = chain(&mut w, 1_000, 220, 600_000);
    let wide: Vec<&str> = ids[..100].iter().map(String::as_str).collect();
    assert_eq!(
        w.submit(0, &after(array_job("run-7", 1), &wide), runs(100)),
        201
    );
    // A node that has just started knows none of them: each question takes it further.
    let fresh = follower(&w);
    w.crash(fresh);
    w.start(fresh);
    let last = ids[219].clone();
    assert!(w.run_until(60_000, |w| w.phase(fresh, &last) == Some(Phase::Queued)));
    assert!(w.run_until(60_000, |w| w.phase(fresh, "run-7") == Some(Phase::Queued)));
    assert_eq!(w.abort(fresh, &ids[0]), Some(Phase::Aborted));
    for node in 0..3 {
        assert!(w.run_until(10_000, |w| w.phase(node, &last) == Some(Phase::Aborted)));
    }
    // The rest follows, within the rate of the state service.
    assert!(w.run_until(60_000, |w| w.state_service.keys(JOB_PREFIX).is_empty()));
    assert_eq!(w.state_service.keys(FINAL_RECORD_PREFIX).len(), 221);
    clean(&w);
}

/// A job that is found neither open nor final may be on its way: it is no reason to begin.
#[test]
fn what_is_found_nowhere_is_waited_for() {
    let mut w = world(1, 1, 0.0);
    let record = JobRecord::new(after(array_job("run-2", 1), &["run-1"]), 1_700_000_000_000);
    w.jobs.insert("run-2".into(), record.spec.clone());
    w.task_behaviour.insert("run-2".into(), runs(500));
    w.state_service.write(&job_key("run-2"), &record, None);
    w.run_for(10_000);
    assert_eq!(started(&w, "run-2"), 0);
    w.state_service
        .write(&final_record_key("run-1"), &JobOutcome::Done, None);
    assert!(done(&mut w, "run-2", 10_000));
    clean(&w);
}

#[test]
fn a_job_that_waits_takes_nothing_of_its_teams_limit() {
    let mut w = world(3, 2, 4.0);
    assert_eq!(w.submit(0, &array_job("run-1", 1), runs(20_000)), 201);
    assert_eq!(
        w.submit(0, &after(gang_job("run-2", 1), &["run-1"]), runs(1_000)),
        201
    );
    w.run_for(2_000);
    assert_eq!(w.submit(0, &array_job("run-3", 3), runs(2_000)), 201);
    assert!(w.run_until(12_000, |w| w.phase(0, "run-3") == Some(Phase::Done)));
    assert_eq!(w.phase(0, "run-2"), Some(Phase::Queued));
    assert!(w.run_until(40_000, |w| w.phase(0, "run-2") == Some(Phase::Done)));
    clean(&w);
}

/// Stages of a pipeline came behind whatever was submitted before them; its last job was late.
#[test]
fn deadline_and_priority_of_the_last_job_reach_back() {
    let mut w = world(3, 1, 0.0);
    // The machine has four places; they are taken for a while.
    assert_eq!(w.submit(0, &array_job("run-1", 4), runs(9_000)), 201);
    w.run_for(3_000);
    let low = |id: &str| wire::users::Submission {
        priority: Priority::Low,
        ..array_job(id, 4)
    };
    assert_eq!(w.submit(0, &array_job("run-2", 4), runs(5_000)), 201);
    assert_eq!(w.submit(0, &low("run-3"), runs(5_000)), 201);
    let last = wire::users::Submission {
        priority: Priority::Urgent,
        due_s: Some(60.0),
        ..after(array_job("run-4", 1), &["run-3"])
    };
    assert_eq!(w.submit(0, &last, runs(1_000)), 201);
    assert!(w.run_until(30_000, |w| w.phase(0, "run-3") == Some(Phase::Done)));
    assert_ne!(
        w.phase(0, "run-2"),
        Some(Phase::Done),
        "it went behind the pipeline"
    );
    assert!(w.run_until(30_000, |w| w.phase(0, "run-4") == Some(Phase::Done)));
    assert!(w.run_until(30_000, |w| w.phase(0, "run-2") == Some(Phase::Done)));
    clean(&w);
}

/// The end of a job, its cancellation and a change of leader within the same second, at every offset.
#[test]
fn a_release_that_races_with_a_takeover_and_a_cancellation_comes_after_the_end_or_never() {
    let mut outcomes = std::collections::BTreeSet::new();
    for delay in (1_400..2_400).step_by(100) {
        let mut w = world(3, 2, 0.0);
        assert_eq!(w.submit(0, &array_job("run-1", 2), runs(1_500)), 201);
        assert_eq!(
            w.submit(1, &after(array_job("run-2", 9), &["run-1"]), runs(500)),
            201
        );
        assert_eq!(
            w.submit(2, &after(gang_job("run-3", 1), &["run-2"]), runs(500)),
            201
        );
        w.run_for(delay);
        let (leader, other) = (w.leader().expect("leader"), follower(&w));
        w.crash(leader);
        let answer = w.abort(other, "run-1").expect("answered");
        w.start(leader);
        let over = |w: &mut World| {
            [Some(Phase::Done), Some(Phase::Aborted)].contains(&w.phase(leader, "run-3"))
        };
        assert!(w.run_until(60_000, over), "{delay}");
        for id in ["run-1", "run-2", "run-3"] {
            assert_eq!(w.phase(other, id), Some(answer), "{id} {delay}");
        }
        clean(&w);
        outcomes.insert(format!("{answer:?}"));
    }
    assert_eq!(outcomes.len(), 2, "both outcomes were seen: {outcomes:?}");
}
