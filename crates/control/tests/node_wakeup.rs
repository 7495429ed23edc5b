//! Node processes that were frozen for seconds or minutes: when one resumes, it checks everything that waited by the
//! clock before it sends anything.

mod common;

use common::*;
use fakes::{array_job, FakeWorker, World, MACHINE_TYPE};
use wire::users::{JobStatus, Phase, Submission};
use wire::workers::Redirect;

/// Run time of tasks that outlast every scenario.
const LONG_RUN_MS: u64 = 600_000;

/// Which node is frozen.
#[derive(Debug, Clone, Copy, PartialEq)]
enum FrozenNode {
    Leader,
    Follower,
    /// A follower that forwards its users' requests to a peer.
    Forwarding,
}

/// Freezes a node for `ms`: meanwhile it neither receives input nor acts.
fn freeze(w: &mut World, node: usize, ms: u64) {
    w.faults.frozen_until.insert(node, w.now + ms);
}

/// The other two nodes of a cluster of three.
fn other_nodes(node: usize) -> [usize; 2] {
    [(node + 1) % 3, (node + 2) % 3]
}

/// A job whose tasks each occupy a whole machine.
fn whole_machine_job(id: &str, tasks: u64) -> Submission {
    Submission {
        gpus: 4.0,
        ..array_job(id, tasks)
    }
}

/// Names of the machines that are up.
fn machine_names(w: &World) -> Vec<String> {
    w.workers.keys().cloned().collect()
}

/// The leader is frozen while it records the assignment of a task and a worker's report waits for the record. When the
/// leader resumes, it processes the commit first and then the notification of the cancellation, which was confirmed
/// meanwhile.
#[test]
fn a_resumed_leader_starts_no_task_of_a_job_cancelled_while_it_was_frozen() {
    for freeze_ms in [1_500, 2_000, 2_600, 3_500] {
        for offset in 0..24 {
            let mut w = start_cluster(3, 4, 0.0);
            let leader = w.leader().expect("leader");
            let [first, second] = other_nodes(leader);
            // Renewals of the leader's lease are answered late, too.
            w.seed(offset);
            let slow_ms = if offset < 10 { 0 } else { 400 };
            w.faults.max_state_response_delay_ms.insert(leader, slow_ms);
            assert_eq!(
                w.submit(first, &whole_machine_job("run-1", 4), runs_for(LONG_RUN_MS)),
                201
            );
            w.run_for(10 * (offset % 12));
            freeze(&mut w, leader, freeze_ms);
            w.run_for(20);
            let started = w.placed_tasks("run-1").len();
            assert_eq!(w.abort(second, "run-1"), Some(Phase::Aborted));
            w.run_for(freeze_ms + 3_000);
            let late = &w.rules.late_starts;
            assert!(
                late.is_empty(),
                "{freeze_ms} ms, {offset}, {started}: {late:?}"
            );
            w.run_for(15_000);
            assert!(w.placed_tasks("run-1").is_empty());
            assert_no_violations(&w);
        }
    }
}

/// Makes all workers report to this node only, from now on.
fn bind_workers_to(w: &mut World, node: usize) {
    let now = w.now;
    for worker in w.workers.values_mut() {
        (worker.only_node, worker.node) = (Some(node), node);
        (worker.report_in_flight, worker.next_report_at) = (None, now);
    }
}

/// The reply to a watch and heartbeats of the peers wait for the leader while it is frozen. The leader is isolated
/// before the job is cancelled through another node, and the workers reach only the leader.
#[test]
fn replies_that_waited_prove_nothing_later_than_the_time_they_were_sent() {
    for (freeze_ms, offset) in [(8_000, 0), (8_000, 1_000), (8_000, 2_000), (4_000, 500)] {
        let mut w = start_cluster(3, 2, 0.0);
        let leader = w.leader().expect("leader");
        let [first, second] = other_nodes(leader);
        assert_eq!(
            w.submit(first, &array_job("run-1", 8), runs_for(LONG_RUN_MS)),
            201
        );
        assert!(w.run_until(8_000, |w| w.placed_tasks("run-1").len() == 8));
        bind_workers_to(&mut w, leader);
        w.run_for(2_200 + offset);
        freeze(&mut w, leader, freeze_ms);
        // Long enough for some heartbeats and mostly for the watch to time out, but not for another leader's election.
        w.run_for(2_000);
        w.isolated_from_peers.insert(leader);
        w.faults.isolated_from_state_service.insert(leader);
        assert_eq!(w.abort(second, "run-1"), Some(Phase::Aborted));
        w.run_for(freeze_ms - 2_500);
        // The workers report when the leader resumes, while their leases are valid.
        bind_workers_to(&mut w, leader);
        w.run_for(7_000);
        let case = format!("{freeze_ms} ms, offset {offset}");
        assert_eq!(w.placed_tasks("run-1").len(), 8, "not ended so far, {case}");
        w.run_for(40_000);
        assert!(w.placed_tasks("run-1").is_empty(), "{case}");
        assert_no_violations(&w);
    }
}

/// The follower's last read of the leader key was answered while it was frozen, before another node was elected. It
/// resumes in an outage, so that no newer answer follows.
#[test]
fn a_resumed_follower_redirects_no_worker_to_a_former_leader() {
    for offset in 0..8 {
        let mut w = start_cluster(3, 0, 0.0);
        let old_leader = w.leader().expect("leader");
        let [first, _] = other_nodes(old_leader);
        // The answer takes some time, so that it is in transit when the node is frozen.
        w.seed(offset);
        w.faults.max_state_response_delay_ms.insert(first, 600);
        w.run_for(80 * offset);
        freeze(&mut w, first, 20_000);
        w.run_for(100);
        w.refused_by_state_service.insert(old_leader);
        w.run_for(17_000);
        assert_ne!(w.leader(), Some(old_leader));
        w.state_service_down = true;
        w.run_for(2_700);
        let report = FakeWorker::new("vm-000000", "a", false, 0).report(MACHINE_TYPE, 0);
        let request = w.send_user_request(first, "POST", "/v1/report", wire::encode(&report));
        w.run_for(2_500);
        let (status, body) = w.take_response(request).expect("an answer");
        let named_leader = wire::decode::<Redirect>(&body)
            .ok()
            .and_then(|redirect| redirect.controller);
        assert_eq!((status, named_leader), (421, None), "offset {offset}");
        assert_no_violations(&w);
    }
}

/// User requests from just before the freeze are refused when the node resumes, since the data read for them is from
/// that time. Later requests are answered with the current state.
#[test]
fn users_of_a_resumed_node_get_a_refusal_or_the_current_state() {
    let frozen = [
        (1_300, FrozenNode::Leader),
        (1_300, FrozenNode::Follower),
        (1_300, FrozenNode::Forwarding),
        (20_000, FrozenNode::Leader),
        (61_000, FrozenNode::Follower),
    ];
    for (freeze_ms, frozen) in frozen {
        for offset in [0, 1, 3, 6] {
            let mut w = start_cluster(3, 2, 0.0);
            let leader = w.leader().expect("leader");
            let [first, second] = other_nodes(leader);
            let node = match frozen {
                FrozenNode::Leader => leader,
                FrozenNode::Follower | FrozenNode::Forwarding => first,
            };
            assert_eq!(
                w.submit(second, &array_job("run-1", 1), runs_for(LONG_RUN_MS)),
                201
            );
            if frozen == FrozenNode::Forwarding {
                w.refused_by_state_service.insert(node);
            }
            w.run_for(4_000);
            w.upload_job(&array_job("run-2", 1), runs_for(LONG_RUN_MS));
            let body = wire::encode(&array_job("run-2", 1));
            let poll = w.send_user_request(node, "GET", "/submissions/run-1", vec![]);
            let submission = w.send_user_request(node, "POST", "/submissions", body);
            w.run_for(10 * offset);
            freeze(&mut w, node, freeze_ms);
            w.run_for(50);
            let is_pending = [poll, submission].map(|request| w.take_response(request).is_none());
            assert_eq!(w.abort(second, "run-1"), Some(Phase::Aborted));
            w.run_for(freeze_ms + 100);
            let mut answer_of = |request| {
                let (status, body) = w.take_response(request).expect("an answer");
                (
                    status,
                    wire::decode::<JobStatus>(&body).map(|s| s.phase).ok(),
                )
            };
            let case = format!("{frozen:?}, {freeze_ms} ms, offset {offset}");
            if is_pending[0] {
                let allowed = [(503, None), (200, Some(Phase::Aborted))];
                let answer = answer_of(poll);
                assert!(allowed.contains(&answer), "{case}: {answer:?}");
            }
            if is_pending[1] {
                let status = answer_of(submission).0;
                assert_eq!(status, if offset == 0 { 201 } else { 503 }, "{case}");
            }
            w.refused_by_state_service.clear();
            w.run_for(2_000);
            assert_eq!(w.phase(node, "run-1"), Some(Phase::Aborted), "{case}");
            let again = w.submit(node, &array_job("run-2", 1), runs_for(LONG_RUN_MS));
            assert!(matches!(again, 200 | 201), "{case}: {again}");
            assert_no_violations(&w);
        }
    }
}

/// A leader is frozen for most of an outage and still leads after it. No node has received reports of its machines
/// meanwhile, and all of them were returned at once.
#[test]
fn a_leader_frozen_in_an_outage_returns_no_machine_for_missing_reports() {
    // Not frozen, with and without its peers; frozen, with and without workers that reach it when it resumes.
    for (freeze_ms, peers_cut, workers_cut) in [
        (0, false, false),
        (0, true, false),
        (65_000, false, false),
        (65_000, false, true),
    ] {
        let mut w = start_cluster(3, 6, 0.0);
        w.cloud_capacity = 6;
        let leader = w.leader().expect("leader");
        assert_eq!(
            w.submit(leader, &array_job("run-1", 24), runs_for(LONG_RUN_MS)),
            201
        );
        assert!(w.run_until(8_000, |w| w.placed_tasks("run-1").len() == 24));
        let machines_before = machine_names(&w);
        w.state_service_down = true;
        freeze(&mut w, leader, freeze_ms);
        if peers_cut {
            w.isolated_from_peers.insert(leader);
        }
        if workers_cut {
            w.isolated_from_workers.insert(leader);
        }
        w.run_for(64_500);
        w.state_service_down = false;
        w.run_for(3_500);
        w.isolated_from_peers.clear();
        w.isolated_from_workers.clear();
        w.run_for(20_000);
        let case = format!("{freeze_ms} ms, peers cut: {peers_cut}, workers cut: {workers_cut}");
        assert_eq!(machine_names(&w), machines_before, "{case}");
        assert!(w.run_until(20_000, |w| w.placed_tasks("run-1").len() == 24));
        // A machine that is lost is still distinguished from the others.
        let lost_worker = w.workers.get_mut("vm-000000").expect("worker");
        lost_worker.disconnected_until = u64::MAX;
        assert!(w.run_until(60_000, |w| !w.workers.contains_key("vm-000000")));
        assert_no_violations(&w);
    }
}

/// Each leader is frozen soon after its election, each a little later than the one before, while jobs are submitted,
/// cancelled and completed through the other nodes.
#[test]
fn freezes_across_elections_cancellations_and_completions_violate_no_rule() {
    for freeze_ms in [2_000, 3_200, 20_000, 61_000] {
        let mut w = start_cluster(3, 12, 0.0);
        assert_eq!(
            w.submit(0, &array_job("run-1", 12), runs_for(LONG_RUN_MS)),
            201
        );
        assert!(w.run_until(8_000, |w| w.placed_tasks("run-1").len() == 12));
        let mut placed_before = w.placed_tasks("run-1");
        placed_before.sort();
        for round in 0..4 {
            let leader = w.leader().expect("leader");
            let [first, second] = other_nodes(leader);
            let (short_job, cancelled_job) = (format!("run-{round}1"), format!("run-{round}2"));
            assert_eq!(
                w.submit(first, &array_job(&short_job, 6), runs_for(3_000)),
                201
            );
            assert_eq!(
                w.submit(leader, &array_job(&cancelled_job, 6), runs_for(LONG_RUN_MS)),
                201
            );
            w.run_for(150 + 900 * round);
            freeze(&mut w, leader, freeze_ms);
            w.run_for(1_000);
            assert!(w.run_until(5_000, |w| w.abort(second, &cancelled_job)
                == Some(Phase::Aborted)));
            assert!(w.run_until(25_000, |w| w.phase(first, &short_job) == Some(Phase::Done)));
            w.run_for(4_000);
            assert!(w.run_until(70_000, |w| w.phase(leader, &short_job) == Some(Phase::Done)));
            assert_eq!(w.phase(leader, &cancelled_job), Some(Phase::Aborted));
        }
        w.run_for(32_000);
        let mut placed_after = w.placed_tasks("run-1");
        placed_after.sort();
        assert_eq!(
            placed_after, placed_before,
            "healthy tasks kept running, {freeze_ms}"
        );
        assert!(w.rules.late_starts.is_empty(), "{:?}", w.rules.late_starts);
        assert_no_violations(&w);
    }
}
