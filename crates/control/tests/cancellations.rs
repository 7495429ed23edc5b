//! Cancellations that meet other troubles: whoever confirms one, its tasks are gone in time. The world watches for that.

mod common;

use common::*;
use fakes::{array, World};
use wire::users::Phase;

/// Milliseconds within which a cancelled job's tasks are to be gone in these worlds, and some more.
const CANCEL_MS: u64 = 30_000 + 2_000;

/// A job with a task on each machine, which run for minutes.
fn long_job(w: &mut World, id: &str, tasks: u64) {
    assert_eq!(
        w.submit(follower(w), &array(id, tasks), runs_for(600_000)),
        201
    );
    assert!(w.until(10_000, |w| w.on_machines(id).len() as u64 == tasks));
}

/// A job was cancelled through another node while the leader, the second one given, can't read what is open, though all
/// else is answered, and hears nothing from its peers.
fn cancelled_unread() -> (World, usize) {
    let mut w = start_cluster(3, 2, 0.0);
    let old = w.leader().expect("leader");
    let other = follower(&w);
    long_job(&mut w, "run-1", 2);
    // What is open is not read any more, and all else is answered.
    (w.break_watches, w.break_lists) = (true, true);
    w.run(3_500);
    w.silent_peers.insert(old);
    assert_eq!(w.abort(other, "run-1"), Some(Phase::Aborted));
    (w, old)
}

/// Lets time pass step by step until another node than `old` has just been elected.
fn elected(w: &mut World, old: usize) -> usize {
    for _ in 0..1_000 {
        match w.leader().filter(|l| *l != old) {
            Some(new) => return new,
            None => w.run(10),
        }
    }
    panic!("nobody was elected");
}

#[test]
fn the_gap_between_a_refused_leader_and_an_outage_hides_no_cancellation() {
    for wait in [200, 900, 1_700, 2_600] {
        let mut w = start_cluster(3, 4, 0.0);
        let old = w.leader().expect("leader");
        let other = follower(&w);
        for id in ["run-1", "run-2", "run-3"] {
            long_job(&mut w, id, 3);
        }
        w.refused.insert(old);
        w.run(wait / 2);
        for id in ["run-1", "run-2"] {
            assert_eq!(w.abort(other, id), Some(Phase::Aborted));
        }
        w.run(wait / 2);
        w.state_down = true;
        w.run(14_000);
        w.refused.clear();
        w.run(CANCEL_MS + 20_000);
        for id in ["run-1", "run-2"] {
            assert!(w.on_machines(id).is_empty(), "{id} after {wait}");
        }
        assert_eq!(w.on_machines("run-3").len(), 3, "kept alive after {wait}");
        assert_no_violations(&w);
    }
}

/// A renewal that gets through says nothing about what the watch has missed, and a notice lost with its connection is
/// not made up for by it.
#[test]
fn a_good_answer_to_something_else_does_not_vouch_for_a_lost_notice() {
    let (mut w, old) = cancelled_unread();
    w.silent_peers.clear();
    w.run(4_000);
    assert_eq!(w.leader(), Some(old), "its lease is renewed all the time");
    w.state_down = true;
    w.run(CANCEL_MS);
    assert!(w.on_machines("run-1").is_empty());
    assert_no_violations(&w);
}

/// Without an outage too: what it can't read of the records it may not go on keeping alive.
#[test]
fn a_leader_that_can_not_read_what_is_open_stops_answering_in_time() {
    let (mut w, old) = cancelled_unread();
    w.run(CANCEL_MS);
    assert!(w.on_machines("run-1").is_empty());
    w.silent_peers.clear();
    (w.break_watches, w.break_lists) = (false, false);
    assert!(w.until(20_000, |w| w.phase(old, "run-1") == Some(Phase::Aborted)));
    assert_no_violations(&w);
}

/// An answer of a leader that has not read its records used to renew the leases of tasks that it knew nothing of.
#[test]
fn a_leader_that_has_yet_to_read_its_records_keeps_nothing_alive() {
    for steps in [0, 3, 6, 9] {
        let mut w = start_cluster(3, 3, 0.0);
        let old = w.leader().expect("leader");
        let other = follower(&w);
        long_job(&mut w, "run-1", 3);
        w.refused.insert(old);
        w.silent_peers.insert(old);
        assert_eq!(w.abort(other, "run-1"), Some(Phase::Aborted));
        elected(&mut w, old);
        w.silent_peers.clear();
        w.run(10 * steps);
        w.state_down = true;
        w.run(CANCEL_MS);
        assert!(w.on_machines("run-1").is_empty(), "after {steps} steps");
        w.state_down = false;
        w.refused.clear();
        w.run(20_000);
        assert_eq!(w.phase(other, "run-1"), Some(Phase::Aborted));
        assert_no_violations(&w);
    }
}

/// The notice came while the records were being read, and was lost on a job that was not there yet.
#[test]
fn a_notice_that_comes_while_the_records_are_read_counts() {
    for steps in 0..16 {
        let mut w = start_cluster(3, 3, 0.0);
        let old = w.leader().expect("leader");
        long_job(&mut w, "run-1", 3);
        w.refused.insert(old);
        let new = elected(&mut w, old);
        let other = (0..3).find(|n| *n != old && *n != new).expect("third");
        w.run(10 * steps);
        // No watch will tell of it, and the reading comes to its end.
        w.break_watches = true;
        assert_eq!(w.abort(other, "run-1"), Some(Phase::Aborted));
        w.run(150);
        w.state_down = true;
        w.run(CANCEL_MS);
        assert!(w.on_machines("run-1").is_empty(), "after {steps} steps");
        assert_no_violations(&w);
    }
}

/// The first answer of a new leader goes to a report with the old term; it renewed the lease and ended nothing.
#[test]
fn the_first_answer_of_a_new_leader_ends_what_is_cancelled() {
    let mut w = World::new(3, |i| {
        let mut settings = settings(i, 3, 0.0);
        settings.deployment.workers.cancel_s = 14.0;
        settings
    });
    w.add_machine("vm-000000", "a");
    assert!(w.until(6_000, |w| w.leader().is_some()), "a leader");
    w.run(4_000);
    long_job(&mut w, "run-1", 1);
    let old = w.leader().expect("leader");
    let other = follower(&w);
    // Nobody leads for most of a lease after the cancellation.
    w.silent_peers.insert(old);
    w.refused.insert(old);
    assert_eq!(w.abort(other, "run-1"), Some(Phase::Aborted));
    w.crash(old);
    w.state_down = true;
    w.run(5_000);
    w.state_down = false;
    // It hears one answer of the next leader, and nothing more.
    assert!(w.until(8_000, |w| w.workers["vm-000000"].term > 1));
    w.workers.get_mut("vm-000000").expect("worker").one_way = true;
    w.run(20_000);
    assert!(w.on_machines("run-1").is_empty());
    assert_no_violations(&w);
}

/// What a node was told is cancelled it answers so at once, without the state service, and never takes back.
#[test]
fn every_node_answers_a_cancellation_as_soon_as_one_has_confirmed_it() {
    let mut w = start_cluster(3, 2, 0.0);
    long_job(&mut w, "run-1", 2);
    assert_eq!(w.abort(1, "run-1"), Some(Phase::Aborted));
    w.run(20);
    w.state_down = true;
    for node in 0..3 {
        assert_eq!(w.phase(node, "run-1"), Some(Phase::Aborted));
        assert_eq!(w.abort(node, "run-1"), Some(Phase::Aborted));
        assert_eq!(w.submit(node, &array("run-1", 2), runs_for(1)), 200);
    }
    assert_no_violations(&w);
}
