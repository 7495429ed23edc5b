//! Cancellations combined with other faults: whichever node confirms a cancellation, the job's tasks must end in time.
//! The simulated cluster checks that.

mod common;

use common::*;
use fakes::{array_job, StateServiceLimits, World};
use std::sync::atomic::{AtomicU64, Ordering};
use wire::users::Phase;

/// Time in which the tasks of a cancelled job must have ended (`cancel_s`), with a margin.
const CANCEL_DEADLINE_MS: u64 = 30_000 + 2_000;

/// Submits a job whose tasks run for minutes, and waits until all of them are on machines.
fn start_long_job(w: &mut World, id: &str, tasks: u64) {
    assert_eq!(
        w.submit(follower(w), &array_job(id, tasks), runs_for(600_000)),
        201
    );
    assert!(w.run_until(10_000, |w| w.placed_tasks(id).len() as u64 == tasks));
}

/// A cluster in which a job was cancelled through a follower while the leader, whose index is returned, can't read the
/// open jobs, though its other requests are answered, and receives nothing from its peers.
fn cluster_with_unread_cancellation() -> (World, usize) {
    let mut w = start_cluster(3, 2, 0.0);
    let leader = w.leader().expect("leader");
    let other_node = follower(&w);
    start_long_job(&mut w, "run-1", 2);
    // The open jobs can't be read any more, and all other requests are answered.
    (w.fail_watches, w.fail_lists) = (true, true);
    w.run_for(3_500);
    w.isolated_from_peers.insert(leader);
    assert_eq!(w.abort(other_node, "run-1"), Some(Phase::Aborted));
    (w, leader)
}

/// Lets time pass in small steps until a node other than `old_leader` has just been elected.
fn wait_for_new_leader(w: &mut World, old_leader: usize) -> usize {
    for _ in 0..1_000 {
        match w.leader().filter(|l| *l != old_leader) {
            Some(new_leader) => return new_leader,
            None => w.run_for(10),
        }
    }
    panic!("no node was elected");
}

#[test]
fn cancellations_between_a_refused_leader_and_an_outage_are_carried_out() {
    for wait_ms in [200, 900, 1_700, 2_600] {
        let mut w = start_cluster(3, 4, 0.0);
        let old_leader = w.leader().expect("leader");
        let other_node = follower(&w);
        for id in ["run-1", "run-2", "run-3"] {
            start_long_job(&mut w, id, 3);
        }
        w.refused_by_state_service.insert(old_leader);
        w.run_for(wait_ms / 2);
        for id in ["run-1", "run-2"] {
            assert_eq!(w.abort(other_node, id), Some(Phase::Aborted));
        }
        w.run_for(wait_ms / 2);
        w.state_service_down = true;
        w.run_for(14_000);
        w.refused_by_state_service.clear();
        w.run_for(CANCEL_DEADLINE_MS + 20_000);
        for id in ["run-1", "run-2"] {
            assert!(w.placed_tasks(id).is_empty(), "{id} after {wait_ms} ms");
        }
        assert_eq!(
            w.placed_tasks("run-3").len(),
            3,
            "leases are renewed after {wait_ms} ms"
        );
        assert_no_violations(&w);
    }
}

/// A successful renewal of the leader's lease proves nothing about changes that the watch has missed, and doesn't make
/// up for a notification that was lost with its connection.
#[test]
fn a_successful_lease_renewal_does_not_make_up_for_a_lost_notification() {
    let (mut w, leader) = cluster_with_unread_cancellation();
    w.isolated_from_peers.clear();
    w.run_for(4_000);
    assert_eq!(
        w.leader(),
        Some(leader),
        "the leader's lease is renewed all the time"
    );
    w.state_service_down = true;
    w.run_for(CANCEL_DEADLINE_MS);
    assert!(w.placed_tasks("run-1").is_empty());
    assert_no_violations(&w);
}

/// Without an outage, too, a leader must not keep renewing the leases of tasks whose records it can't read.
#[test]
fn a_leader_that_can_not_read_open_jobs_stops_answering_in_time() {
    let (mut w, leader) = cluster_with_unread_cancellation();
    w.run_for(CANCEL_DEADLINE_MS);
    assert!(w.placed_tasks("run-1").is_empty());
    w.isolated_from_peers.clear();
    (w.fail_watches, w.fail_lists) = (false, false);
    assert!(w.run_until(20_000, |w| w.phase(leader, "run-1") == Some(Phase::Aborted)));
    assert_no_violations(&w);
}

/// A leader that had not yet read its records renewed, with its answers, the leases of tasks that it did not know.
#[test]
fn a_leader_that_has_yet_to_read_its_records_renews_no_worker_lease() {
    for steps in [0, 3, 6, 9] {
        let mut w = start_cluster(3, 3, 0.0);
        let old_leader = w.leader().expect("leader");
        let other_node = follower(&w);
        start_long_job(&mut w, "run-1", 3);
        w.refused_by_state_service.insert(old_leader);
        w.isolated_from_peers.insert(old_leader);
        assert_eq!(w.abort(other_node, "run-1"), Some(Phase::Aborted));
        wait_for_new_leader(&mut w, old_leader);
        w.isolated_from_peers.clear();
        w.run_for(10 * steps);
        w.state_service_down = true;
        w.run_for(CANCEL_DEADLINE_MS);
        assert!(w.placed_tasks("run-1").is_empty(), "after {steps} steps");
        w.state_service_down = false;
        w.refused_by_state_service.clear();
        w.run_for(20_000);
        assert_eq!(w.phase(other_node, "run-1"), Some(Phase::Aborted));
        assert_no_violations(&w);
    }
}

/// A notification that arrived while the records were being read was lost, since the job had not been loaded yet.
#[test]
fn a_notification_that_arrives_while_the_records_are_read_takes_effect() {
    for steps in 0..16 {
        let mut w = start_cluster(3, 3, 0.0);
        let old_leader = w.leader().expect("leader");
        start_long_job(&mut w, "run-1", 3);
        w.refused_by_state_service.insert(old_leader);
        let new_leader = wait_for_new_leader(&mut w, old_leader);
        let third_node = (0..3)
            .find(|n| *n != old_leader && *n != new_leader)
            .expect("third");
        w.run_for(10 * steps);
        // No watch reports the cancellation, and the reading of the records completes.
        w.fail_watches = true;
        assert_eq!(w.abort(third_node, "run-1"), Some(Phase::Aborted));
        w.run_for(150);
        w.state_service_down = true;
        w.run_for(CANCEL_DEADLINE_MS);
        assert!(w.placed_tasks("run-1").is_empty(), "after {steps} steps");
        assert_no_violations(&w);
    }
}

/// The first answer of a new leader goes to a report with the old term. It renewed the lease and stopped no task.
#[test]
fn the_first_answer_of_a_new_leader_stops_cancelled_tasks() {
    let mut w = World::new(3, |i| {
        let mut settings = settings(i, 3, 0.0);
        settings.deployment.workers.cancel_s = 14.0;
        settings
    });
    w.add_machine("vm-000000", "a");
    assert!(w.run_until(6_000, |w| w.leader().is_some()), "a leader");
    w.run_for(4_000);
    start_long_job(&mut w, "run-1", 1);
    let old_leader = w.leader().expect("leader");
    let other_node = follower(&w);
    // There is no leader for most of a lease after the cancellation.
    w.isolated_from_peers.insert(old_leader);
    w.refused_by_state_service.insert(old_leader);
    assert_eq!(w.abort(other_node, "run-1"), Some(Phase::Aborted));
    w.crash(old_leader);
    w.state_service_down = true;
    w.run_for(5_000);
    w.state_service_down = false;
    // The worker receives one answer of the next leader and nothing after it.
    assert!(w.run_until(8_000, |w| w.workers["vm-000000"].term > 1));
    w.workers
        .get_mut("vm-000000")
        .expect("worker")
        .receives_nothing = true;
    w.run_for(20_000);
    assert!(w.placed_tasks("run-1").is_empty());
    assert_no_violations(&w);
}

/// Submits a one-task job through a follower, and waits until the leader has recorded an assignment that it can send
/// only in the answer to a later report. Returns false if the task was started meanwhile.
fn record_assignment_without_start(w: &mut World, node: usize, id: &str) -> bool {
    let status = w.submit(node, &array_job(id, 1), runs_for(600_000));
    assert_eq!(status, 201);
    let mut is_recorded = false;
    for _ in 0..20 {
        is_recorded = recorded_page_entries(w).iter().any(|entry| entry.job == id);
        if is_recorded {
            break;
        }
        w.run_for(10);
    }
    // The leader receives the reply to its transaction.
    w.run_for(20);
    is_recorded && w.workers.values().all(|worker| worker.tasks.is_empty())
}

/// Guards against starts that rest on outdated knowledge: a leader that lost the state service and its peers started,
/// while its lease was valid, tasks of jobs whose cancellation another node had confirmed.
#[test]
fn an_isolated_leader_starts_no_task_of_a_job_cancelled_through_another_node() {
    let mut late_starts = Vec::new();
    let mut isolated_before_the_start = 0;
    for offset in 0..20 {
        let mut w = start_cluster(3, 1, 0.0);
        let leader = w.leader().expect("leader");
        let other_node = follower(&w);
        // Reports are answered at once, so that a start waits for the next one.
        w.set_crowded(leader, true);
        w.run_for(4_000 + 100 * offset);
        if !record_assignment_without_start(&mut w, other_node, "run-1") {
            continue;
        }
        isolated_before_the_start += 1;
        w.faults.isolated_from_state_service.insert(leader);
        w.isolated_from_peers.insert(leader);
        assert_eq!(w.abort(other_node, "run-1"), Some(Phase::Aborted));
        w.run_for(8_000);
        late_starts.append(&mut w.rules.late_starts);
        w.faults.isolated_from_state_service.clear();
        w.isolated_from_peers.clear();
        assert_eq!(
            w.submit(other_node, &array_job("run-2", 1), runs_for(1_000)),
            201
        );
        assert!(completes_within(&mut w, "run-2", 30_000));
        assert!(w.placed_tasks("run-1").is_empty());
        assert_no_violations(&w);
    }
    assert!(
        isolated_before_the_start >= 10,
        "{isolated_before_the_start} of 20"
    );
    assert!(late_starts.is_empty(), "{late_starts:#?}");
}

/// Guards against starts on the reply to a transaction that was executed before the cancellation and answered after it,
/// to a leader that its peers can't notify.
#[test]
fn a_late_commit_reply_starts_no_task_of_a_job_cancelled_meanwhile() {
    let mut late_starts = Vec::new();
    for offset in 0..40 {
        let mut w = start_cluster(3, 2, 0.0);
        w.seed(offset);
        let leader = w.leader().expect("leader");
        let other_node = follower(&w);
        w.run_for(100 * (offset % 20));
        w.faults.max_state_response_delay_ms.insert(leader, 1_000);
        w.isolated_from_peers.insert(leader);
        assert_eq!(
            w.submit(other_node, &array_job("run-1", 4), runs_for(600_000)),
            201
        );
        let mut is_recorded = false;
        for _ in 0..200 {
            is_recorded = recorded_page_entries(&w)
                .iter()
                .any(|entry| entry.job == "run-1");
            if is_recorded {
                break;
            }
            w.run_for(10);
        }
        assert!(is_recorded, "no assignment is recorded at offset {offset}");
        assert_eq!(w.abort(other_node, "run-1"), Some(Phase::Aborted));
        w.run_for(8_000);
        late_starts.append(&mut w.rules.late_starts);
        assert_no_violations(&w);
    }
    assert!(late_starts.is_empty(), "{late_starts:#?}");
}

/// Microseconds that pass between two readings of [`stopwatch`].
static STOPWATCH_STEP_US: AtomicU64 = AtomicU64::new(0);
static STOPWATCH_US: AtomicU64 = AtomicU64::new(0);

/// A stopwatch by which each turn of a node takes at least [`STOPWATCH_STEP_US`].
fn stopwatch() -> u64 {
    let step_us = STOPWATCH_STEP_US.load(Ordering::Relaxed);
    STOPWATCH_US.fetch_add(step_us, Ordering::Relaxed)
}

/// Guards against starts whose proof was recent when the turn began: a turn with a scheduling round takes long on a busy
/// controller.
#[test]
fn a_start_at_the_end_of_a_long_turn_is_withheld() {
    let mut w = World::new(3, |node| settings(node, 3, 0.0));
    w.stopwatch = stopwatch;
    for node in 0..3 {
        w.crash(node);
        w.start(node);
    }
    w.add_machine("vm-000000", "a");
    assert!(w.run_until(6_000, |w| w.leader().is_some()));
    let leader = w.leader().expect("leader");
    let other_node = follower(&w);
    w.set_crowded(leader, true);
    w.run_for(4_500);
    assert!(record_assignment_without_start(&mut w, other_node, "run-1"));
    STOPWATCH_STEP_US.store(500_000, Ordering::Relaxed);
    w.run_for(5_000);
    assert!(w.placed_tasks("run-1").is_empty());
    STOPWATCH_STEP_US.store(0, Ordering::Relaxed);
    assert!(w.run_until(4_000, |w| w.placed_tasks("run-1").len() == 1));
    assert_no_violations(&w);
}

/// A leader without its peers proves by reads of the state service that jobs are not cancelled. It goes on starting
/// tasks, also where a start waits for the worker's next report, within the rate limit of the state service.
#[test]
fn a_leader_without_peers_starts_tasks_after_a_read_of_the_state_service() {
    let mut w = start_cluster(3, 4, 0.0);
    let leader = w.leader().expect("leader");
    let other_node = follower(&w);
    w.state_service.limits = Some(StateServiceLimits {
        value_bytes: 16 * 1024,
        txn_ops: 12,
        rps: 150.0,
        write_rps: 50.0,
    });
    w.set_crowded(leader, true);
    w.isolated_from_peers.insert(leader);
    w.run_for(3_000);
    for round in 0..8 {
        let id = format!("run-{round}");
        let status = w.submit(other_node, &array_job(&id, 2), runs_for(600_000));
        assert_eq!(status, 201);
        // A round, a transaction and a worker's report.
        assert!(
            w.run_until(4_000, |w| w.placed_tasks(&id).len() == 2),
            "{id}"
        );
    }
    assert_eq!(w.state_service.throttled_requests, 0);
    assert_no_violations(&w);
}

/// A node that was told of a cancellation answers with it at once, without the state service, and never reverts it.
#[test]
fn every_node_answers_a_cancellation_as_soon_as_one_has_confirmed_it() {
    let mut w = start_cluster(3, 2, 0.0);
    start_long_job(&mut w, "run-1", 2);
    assert_eq!(w.abort(1, "run-1"), Some(Phase::Aborted));
    w.run_for(20);
    w.state_service_down = true;
    for node in 0..3 {
        assert_eq!(w.phase(node, "run-1"), Some(Phase::Aborted));
        assert_eq!(w.abort(node, "run-1"), Some(Phase::Aborted));
        assert_eq!(w.submit(node, &array_job("run-1", 2), runs_for(1)), 200);
    }
    assert_no_violations(&w);
}
