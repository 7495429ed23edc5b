//! What people on call met: guests, floods of questions, jobs that always fail, nodes that wake.

mod common;

use common::*;
use fakes::{array, KIND};
use wire::users::{Phase, Submission};
use wire::workers::HeartbeatResponse;

/// Work without any aim was taken for urgent at all times, went before everything with a deadline, and kept the whole
/// fleet for minutes.
#[test]
fn a_guests_idle_time_work_begins_but_does_not_go_before_work_with_deadlines() {
    let mut w = start_cluster(3, 4, 0.0);
    let guest = Submission {
        guess_s: 30.0,
        ..array("run-900", 96)
    };
    assert_eq!(w.submit(0, &guest, runs_for(30_000)), 201);
    w.run(3_000);
    for n in 0..8 {
        let job = Submission {
            guess_s: 4.0,
            due_s: Some(45.0),
            ..array(&format!("run-{n}"), 6)
        };
        assert_eq!(w.submit(n % 3, &job, runs_for(4_000)), 201);
        w.run(4_000);
    }
    // All machines are full of the guest's tasks when they come; what becomes free is theirs.
    w.run(30_000);
    let ids: Vec<String> = (0..8).map(|n| format!("run-{n}")).collect();
    let phases = w.phases(0, &ids);
    let over = phases.iter().filter(|p| **p == Some(Phase::Done)).count();
    assert!(over >= 7, "{phases:?}");
    assert!(
        completes_within(&mut w, "run-900", 400_000),
        "nor does it starve"
    );
    assert_no_violations(&w);
}

/// Nothing asked for a round when a job's pause was over: in a quiet world it waited until something else happened.
#[test]
fn a_job_goes_on_when_its_pause_is_over_though_nothing_else_happens() {
    let mut w = start_cluster(3, 2, 0.0);
    let job = array("run-1", 1);
    // Its description has not been uploaded yet: the worker refuses the start.
    let body = wire::encode(&job);
    assert_eq!(w.ask(0, "POST", "/submissions", body).0, 201);
    w.run(2_000);
    w.describe(&job, runs_for(1_000));
    assert!(completes_within(&mut w, "run-1", 8_000));
    assert_no_violations(&w);
}

/// A cut that outlasts a lease delivers, at its end, what was sent before the lease ran out. By its number such a report
/// is newer than all others: its tasks, long started elsewhere, were taken for orphans and stopped, and the machine for
/// one that is reached.
#[test]
fn a_report_held_back_until_its_session_has_ended_changes_nothing() {
    let mut w = start_cluster(3, 2, 0.0);
    assert_eq!(w.submit(0, &array("run-1", 8), runs_for(120_000)), 201);
    w.run(6_000);
    let cut_machine = "vm-000000";
    let now = w.now;
    let worker = w.workers.get_mut(cut_machine).expect("worker");
    worker.cut_until = now + 60_000;
    let held_back = worker.report(KIND, now);
    assert!(!held_back.tasks.is_empty(), "it runs something");
    let places = |w: &fakes::World| {
        let all = recorded_page_entries(w)
            .into_iter()
            .flat_map(|part| part.chunk.at);
        all.filter(|(_, _, machine)| machine == cut_machine).count()
    };
    assert!(w.until(30_000, |w| places(w) == 0), "freed by the lapse");

    let leader = w.leader().expect("leader");
    let (status, body) = w.ask(leader, "POST", "/v1/report", wire::encode(&held_back));
    assert_eq!(status, 200);
    let answer: HeartbeatResponse = wire::decode(&body).expect("answer");
    assert_eq!(answer.orders, vec![], "nothing to stop");
    // The other machine is full of what was started again.
    assert_eq!(w.submit(0, &array("run-2", 1), runs_for(1_000)), 201);
    w.run(2_000);
    assert_eq!(places(&w), 0, "no work for a machine that is cut off");
    w.heal();
    assert!(completes_within(&mut w, "run-2", 60_000));
    assert_no_violations(&w);
}

/// A node that could serve nobody went on telling the load balancer that it was ready.
#[test]
fn a_node_cut_off_from_state_service_and_peers_is_not_ready_and_an_outage_takes_nobody_away() {
    let mut w = start_cluster(3, 2, 0.0);
    let ready = |w: &mut fakes::World| -> Vec<u16> {
        let ask = |node| w.ask(node, "GET", "/ready", vec![]).0;
        (0..3).map(ask).collect()
    };
    let cut = w.leader().expect("leader");
    w.refused.insert(cut);
    w.run(8_000);
    assert_eq!(ready(&mut w), [200; 3], "served through a peer");
    w.silent_peers.insert(cut);
    w.run(6_000);
    let statuses = ready(&mut w);
    assert_eq!(statuses[cut], 503);
    assert_eq!(statuses.iter().filter(|s| **s == 200).count(), 2);
    w.heal();
    w.run(2_000);
    assert_eq!(ready(&mut w), [200; 3]);
    w.state_down = true;
    w.run(20_000);
    assert_eq!(ready(&mut w), [200; 3], "an outage for all");
    w.state_down = false;
    w.run(5_000);
    assert_no_violations(&w);
}
