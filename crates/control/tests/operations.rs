//! Faults seen in operation: guest work that delays work with deadlines, a missing wake-up after a backoff, reports
//! that arrive after the end of their session, and nodes that report ready although they can serve nobody.

mod common;

use common::*;
use fakes::{array_job, MACHINE_TYPE};
use wire::users::{Phase, Submission};
use wire::workers::HeartbeatResponse;

/// Work without any objective was always considered urgent, went before all work with a deadline and occupied the whole
/// fleet for minutes.
#[test]
fn a_guests_idle_time_work_begins_but_does_not_precede_work_with_deadlines() {
    let mut w = start_cluster(3, 4, 0.0);
    let guest = Submission {
        estimated_run_s: 30.0,
        ..array_job("run-900", 96)
    };
    assert_eq!(w.submit(0, &guest, runs_for(30_000)), 201);
    w.run_for(3_000);
    for n in 0..8 {
        let job = Submission {
            estimated_run_s: 4.0,
            due_s: Some(45.0),
            ..array_job(&format!("run-{n}"), 6)
        };
        assert_eq!(w.submit(n % 3, &job, runs_for(4_000)), 201);
        w.run_for(4_000);
    }
    // The guest's tasks fill all machines when the jobs with deadlines arrive; freed capacity goes to these jobs.
    w.run_for(30_000);
    let ids: Vec<String> = (0..8).map(|n| format!("run-{n}")).collect();
    let phases = w.phases(0, &ids);
    let done_count = phases.iter().filter(|p| **p == Some(Phase::Done)).count();
    assert!(done_count >= 7, "{phases:?}");
    assert!(
        completes_within(&mut w, "run-900", 400_000),
        "the guest's job does not starve"
    );
    assert_no_violations(&w);
}

/// No scheduling round was requested at the end of a job's backoff: without other events, the job kept waiting.
#[test]
fn a_job_resumes_at_the_end_of_its_backoff_without_other_events() {
    let mut w = start_cluster(3, 2, 0.0);
    let job = array_job("run-1", 1);
    // The job's description has not been uploaded yet, so that the worker refuses the start.
    let body = wire::encode(&job);
    assert_eq!(w.send_and_wait(0, "POST", "/submissions", body).0, 201);
    w.run_for(2_000);
    w.upload_job(&job, runs_for(1_000));
    assert!(completes_within(&mut w, "run-1", 8_000));
    assert_no_violations(&w);
}

/// When a network interruption that lasts longer than a lease ends, it delivers reports that were sent before the lease
/// expired. By its sequence number such a report is newer than all others: its tasks, which had long been started
/// elsewhere, were taken for orphans and stopped, and the machine was taken for reachable.
#[test]
fn a_report_delayed_until_its_session_has_ended_changes_nothing() {
    let mut w = start_cluster(3, 2, 0.0);
    assert_eq!(w.submit(0, &array_job("run-1", 8), runs_for(120_000)), 201);
    w.run_for(6_000);
    let disconnected_machine = "vm-000000";
    let now = w.now;
    let worker = w.workers.get_mut(disconnected_machine).expect("worker");
    worker.disconnected_until = now + 60_000;
    let delayed_report = worker.report(MACHINE_TYPE, now);
    assert!(!delayed_report.tasks.is_empty(), "the machine runs tasks");
    let assignments_there = |w: &fakes::World| {
        let assignments = recorded_page_entries(w)
            .into_iter()
            .flat_map(|part| part.chunk.assignments);
        assignments
            .filter(|(_, _, machine)| machine == disconnected_machine)
            .count()
    };
    assert!(
        w.run_until(30_000, |w| assignments_there(w) == 0),
        "released when the lease expired"
    );

    let leader = w.leader().expect("leader");
    let (status, body) =
        w.send_and_wait(leader, "POST", "/v1/report", wire::encode(&delayed_report));
    assert_eq!(status, 200);
    let answer: HeartbeatResponse = wire::decode(&body).expect("answer");
    assert_eq!(answer.orders, vec![], "no stop orders");
    // The restarted tasks fill the other machine.
    assert_eq!(w.submit(0, &array_job("run-2", 1), runs_for(1_000)), 201);
    w.run_for(2_000);
    assert_eq!(
        assignments_there(&w),
        0,
        "no tasks for a disconnected machine"
    );
    w.end_faults();
    assert!(completes_within(&mut w, "run-2", 60_000));
    assert_no_violations(&w);
}

/// A node that could serve nobody kept reporting to the load balancer that it was ready.
#[test]
fn a_node_isolated_from_state_service_and_peers_is_not_ready_but_all_stay_ready_in_an_outage() {
    let mut w = start_cluster(3, 2, 0.0);
    let ready_statuses = |w: &mut fakes::World| -> Vec<u16> {
        let status_of = |node| w.send_and_wait(node, "GET", "/ready", vec![]).0;
        (0..3).map(status_of).collect()
    };
    let isolated_node = w.leader().expect("leader");
    w.refused_by_state_service.insert(isolated_node);
    w.run_for(8_000);
    assert_eq!(
        ready_statuses(&mut w),
        [200; 3],
        "requests are served through a peer"
    );
    w.isolated_from_peers.insert(isolated_node);
    w.run_for(6_000);
    let statuses = ready_statuses(&mut w);
    assert_eq!(statuses[isolated_node], 503);
    assert_eq!(statuses.iter().filter(|s| **s == 200).count(), 2);
    w.end_faults();
    w.run_for(2_000);
    assert_eq!(ready_statuses(&mut w), [200; 3]);
    w.state_service_down = true;
    w.run_for(20_000);
    assert_eq!(
        ready_statuses(&mut w),
        [200; 3],
        "ready in an outage that affects all nodes"
    );
    w.state_service_down = false;
    w.run_for(5_000);
    assert_no_violations(&w);
}
