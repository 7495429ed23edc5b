//! Nodes that stood still for seconds or minutes: on waking, everything that waited is judged by the clock before
//! anything goes out.

mod common;

use common::*;
use fakes::{array_job, FakeWorker, World, MACHINE_TYPE};
use wire::users::{JobStatus, Phase, Submission};
use wire::workers::Redirect;

/// Jobs of that many seconds are there for the whole of a scenario.
const LONG_MS: u64 = 600_000;

/// Which node stands still.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Frozen {
    Leader,
    Follower,
    /// A follower that passes its users' requests on to a peer.
    Forwarding,
}

/// From now on the node neither receives anything nor acts until this much time has passed.
fn freeze(w: &mut World, node: usize, ms: u64) {
    w.faults.frozen_until.insert(node, w.now + ms);
}

/// The nodes of a cluster of three other than this one.
fn others(node: usize) -> [usize; 2] {
    [(node + 1) % 3, (node + 2) % 3]
}

/// A job each of whose tasks takes all of a machine.
fn whole_machines(id: &str, tasks: u64) -> Submission {
    Submission {
        gpus: 4.0,
        ..array_job(id, tasks)
    }
}

/// Machines that are up, by name.
fn machine_names(w: &World) -> Vec<String> {
    w.workers.keys().cloned().collect()
}

/// The freeze begins while the leader records the place of a task and a worker's report waits for it, so that on waking
/// the commit comes first and the notice of the cancellation, confirmed meanwhile, after it.
#[test]
fn a_woken_leader_starts_nothing_of_a_job_cancelled_while_it_stood_still() {
    for freeze_ms in [1_500, 2_000, 2_600, 3_500] {
        for offset in 0..24 {
            let mut w = world(3, 4, 0.0);
            let leader = w.leader().expect("leader");
            let [first, second] = others(leader);
            // Renewals are answered late too.
            w.seed(offset);
            let slow_ms = if offset < 10 { 0 } else { 400 };
            w.faults.max_state_response_delay_ms.insert(leader, slow_ms);
            assert_eq!(
                w.submit(first, &whole_machines("run-1", 4), runs(LONG_MS)),
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
            clean(&w);
        }
    }
}

/// Reports to this node from now on, and nowhere else.
fn bind_workers(w: &mut World, node: usize) {
    let now = w.now;
    for worker in w.workers.values_mut() {
        (worker.only_node, worker.node) = (Some(node), node);
        (worker.report_in_flight, worker.next_report_at) = (None, now);
    }
}

/// The reply to a watch and the beats of the peers wait for the leader while it stands still. It is cut off before the job
/// is cancelled elsewhere, and the machines reach nobody but it.
#[test]
fn replies_that_waited_vouch_for_nothing_later_than_their_sending() {
    for (freeze_ms, offset) in [(8_000, 0), (8_000, 1_000), (8_000, 2_000), (4_000, 500)] {
        let mut w = world(3, 2, 0.0);
        let leader = w.leader().expect("leader");
        let [first, second] = others(leader);
        assert_eq!(w.submit(first, &array_job("run-1", 8), runs(LONG_MS)), 201);
        assert!(w.run_until(8_000, |w| w.placed_tasks("run-1").len() == 8));
        bind_workers(&mut w, leader);
        w.run_for(2_200 + offset);
        freeze(&mut w, leader, freeze_ms);
        // Long enough for some beats and mostly for the watch to time out, but not for another to be elected.
        w.run_for(2_000);
        w.isolated_from_peers.insert(leader);
        w.faults.isolated_from_state_service.insert(leader);
        assert_eq!(w.abort(second, "run-1"), Some(Phase::Aborted));
        w.run_for(freeze_ms - 2_500);
        // Its machines report as it wakes, while their leases hold.
        bind_workers(&mut w, leader);
        w.run_for(7_000);
        let at = format!("{freeze_ms} ms, offset {offset}");
        assert_eq!(w.placed_tasks("run-1").len(), 8, "not ended so far, {at}");
        w.run_for(40_000);
        assert!(w.placed_tasks("run-1").is_empty(), "{at}");
        clean(&w);
    }
}

/// Its last look at the leader key was answered while it stood still, before another node was elected, and it wakes in an
/// outage, so that no newer answer follows.
#[test]
fn a_woken_follower_sends_no_worker_to_a_former_leader() {
    for offset in 0..8 {
        let mut w = world(3, 0, 0.0);
        let old = w.leader().expect("leader");
        let [first, _] = others(old);
        // The answer takes some time, so that it is on its way when the freeze begins.
        w.seed(offset);
        w.faults.max_state_response_delay_ms.insert(first, 600);
        w.run_for(80 * offset);
        freeze(&mut w, first, 20_000);
        w.run_for(100);
        w.refused_by_state_service.insert(old);
        w.run_for(17_000);
        assert_ne!(w.leader(), Some(old));
        w.state_service_down = true;
        w.run_for(2_700);
        let report = FakeWorker::new("vm-000000", "a", false, 0).report(MACHINE_TYPE, 0);
        let sent = w.send_user_request(first, "POST", "/v1/report", wire::encode(&report));
        w.run_for(2_500);
        let (status, body) = w.take_response(sent).expect("an answer");
        let named = wire::decode::<Redirect>(&body).ok().and_then(|e| e.leader);
        assert_eq!((status, named), (421, None), "offset {offset}");
        clean(&w);
    }
}

/// What users asked just before the freeze is refused on waking, since whatever was read for it is of that time; what
/// they ask from then on is answered as it is.
#[test]
fn users_of_a_woken_node_hear_a_refusal_or_the_present() {
    let frozen = [
        (1_300, Frozen::Leader),
        (1_300, Frozen::Follower),
        (1_300, Frozen::Forwarding),
        (20_000, Frozen::Leader),
        (61_000, Frozen::Follower),
    ];
    for (freeze_ms, frozen) in frozen {
        for offset in [0, 1, 3, 6] {
            let mut w = world(3, 2, 0.0);
            let leader = w.leader().expect("leader");
            let [first, second] = others(leader);
            let node = match frozen {
                Frozen::Leader => leader,
                Frozen::Follower | Frozen::Forwarding => first,
            };
            assert_eq!(w.submit(second, &array_job("run-1", 1), runs(LONG_MS)), 201);
            if frozen == Frozen::Forwarding {
                w.refused_by_state_service.insert(node);
            }
            w.run_for(4_000);
            w.upload_job(&array_job("run-2", 1), runs(LONG_MS));
            let body = wire::encode(&array_job("run-2", 1));
            let poll = w.send_user_request(node, "GET", "/submissions/run-1", vec![]);
            let creation = w.send_user_request(node, "POST", "/submissions", body);
            w.run_for(10 * offset);
            freeze(&mut w, node, freeze_ms);
            w.run_for(50);
            let waits = [poll, creation].map(|request| w.take_response(request).is_none());
            assert_eq!(w.abort(second, "run-1"), Some(Phase::Aborted));
            w.run_for(freeze_ms + 100);
            let mut heard = |request| {
                let (status, body) = w.take_response(request).expect("an answer");
                (
                    status,
                    wire::decode::<JobStatus>(&body).map(|s| s.phase).ok(),
                )
            };
            let at = format!("{frozen:?}, {freeze_ms} ms, offset {offset}");
            if waits[0] {
                let fresh = [(503, None), (200, Some(Phase::Aborted))];
                let heard = heard(poll);
                assert!(fresh.contains(&heard), "{at}: {heard:?}");
            }
            if waits[1] {
                let status = heard(creation).0;
                assert_eq!(status, if offset == 0 { 201 } else { 503 }, "{at}");
            }
            w.refused_by_state_service.clear();
            w.run_for(2_000);
            assert_eq!(w.phase(node, "run-1"), Some(Phase::Aborted), "{at}");
            let again = w.submit(node, &array_job("run-2", 1), runs(LONG_MS));
            assert!(matches!(again, 200 | 201), "{at}: {again}");
            clean(&w);
        }
    }
}

/// A leader stands still for most of an outage and still leads after it. Nobody has heard of its machines since: all of
/// them were given back at once.
#[test]
fn a_leader_that_stood_still_in_an_outage_gives_no_machine_back_for_silence() {
    // Awake, with and without its peers; frozen, with and without workers that reach it as it wakes.
    for (freeze_ms, peers_cut, workers_cut) in [
        (0, false, false),
        (0, true, false),
        (65_000, false, false),
        (65_000, false, true),
    ] {
        let mut w = world(3, 6, 0.0);
        w.cloud_capacity = 6;
        let leader = w.leader().expect("leader");
        assert_eq!(
            w.submit(leader, &array_job("run-1", 24), runs(LONG_MS)),
            201
        );
        assert!(w.run_until(8_000, |w| w.placed_tasks("run-1").len() == 24));
        let before = machine_names(&w);
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
        let at = format!("{freeze_ms} ms, {peers_cut} {workers_cut}");
        assert_eq!(machine_names(&w), before, "{at}");
        assert!(w.run_until(20_000, |w| w.placed_tasks("run-1").len() == 24));
        // A machine that is gone is told from the others as ever.
        let gone = w.workers.get_mut("vm-000000").expect("worker");
        gone.disconnected_until = u64::MAX;
        assert!(w.run_until(60_000, |w| !w.workers.contains_key("vm-000000")));
        clean(&w);
    }
}

/// Each leader stands still as soon as it has been elected, the next one a little later, while jobs are submitted,
/// cancelled and completed through whoever is awake.
#[test]
fn freezes_that_straddle_elections_cancellations_and_completions_break_no_rule() {
    for freeze_ms in [2_000, 3_200, 20_000, 61_000] {
        let mut w = world(3, 12, 0.0);
        assert_eq!(w.submit(0, &array_job("run-1", 12), runs(LONG_MS)), 201);
        assert!(w.run_until(8_000, |w| w.placed_tasks("run-1").len() == 12));
        let mut before = w.placed_tasks("run-1");
        before.sort();
        for round in 0..4 {
            let leader = w.leader().expect("leader");
            let [first, second] = others(leader);
            let (short, called_off) = (format!("run-{round}1"), format!("run-{round}2"));
            assert_eq!(w.submit(first, &array_job(&short, 6), runs(3_000)), 201);
            assert_eq!(
                w.submit(leader, &array_job(&called_off, 6), runs(LONG_MS)),
                201
            );
            w.run_for(150 + 900 * round);
            freeze(&mut w, leader, freeze_ms);
            w.run_for(1_000);
            assert!(w.run_until(5_000, |w| w.abort(second, &called_off)
                == Some(Phase::Aborted)));
            assert!(w.run_until(25_000, |w| w.phase(first, &short) == Some(Phase::Done)));
            w.run_for(4_000);
            assert!(w.run_until(70_000, |w| w.phase(leader, &short) == Some(Phase::Done)));
            assert_eq!(w.phase(leader, &called_off), Some(Phase::Aborted));
        }
        w.run_for(32_000);
        let mut after = w.placed_tasks("run-1");
        after.sort();
        assert_eq!(after, before, "healthy tasks went on, {freeze_ms}");
        assert!(w.rules.late_starts.is_empty(), "{:?}", w.rules.late_starts);
        clean(&w);
    }
}
