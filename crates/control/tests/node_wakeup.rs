//! Nodes that stood still for seconds or minutes: on waking, everything that waited is judged by the clock before
//! anything goes out.

mod common;

use common::*;
use fakes::{array, FakeWorker, World, KIND};
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
    w.troubles.frozen.insert(node, w.now + ms);
}

/// The nodes of a cluster of three other than this one.
fn others(node: usize) -> [usize; 2] {
    [(node + 1) % 3, (node + 2) % 3]
}

/// A job each of whose tasks takes all of a machine.
fn whole_machines(id: &str, tasks: u64) -> Submission {
    Submission {
        gpus: 4.0,
        ..array(id, tasks)
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
            let mut w = start_cluster(3, 4, 0.0);
            let leader = w.leader().expect("leader");
            let [first, second] = others(leader);
            // Renewals are answered late too.
            w.seed(offset);
            let slow_ms = if offset < 10 { 0 } else { 400 };
            w.troubles.slow_state.insert(leader, slow_ms);
            assert_eq!(
                w.submit(first, &whole_machines("run-1", 4), runs_for(LONG_MS)),
                201
            );
            w.run(10 * (offset % 12));
            freeze(&mut w, leader, freeze_ms);
            w.run(20);
            let started = w.on_machines("run-1").len();
            assert_eq!(w.abort(second, "run-1"), Some(Phase::Aborted));
            w.run(freeze_ms + 3_000);
            let late = &w.rules.late_starts;
            assert!(
                late.is_empty(),
                "{freeze_ms} ms, {offset}, {started}: {late:?}"
            );
            w.run(15_000);
            assert!(w.on_machines("run-1").is_empty());
            assert_no_violations(&w);
        }
    }
}

/// Reports to this node from now on, and nowhere else.
fn bind_workers(w: &mut World, node: usize) {
    let now = w.now;
    for worker in w.workers.values_mut() {
        (worker.only, worker.node) = (Some(node), node);
        (worker.in_flight, worker.report_at) = (None, now);
    }
}

/// The reply to a watch and the beats of the peers wait for the leader while it stands still. It is cut off before the job
/// is cancelled elsewhere, and the machines reach nobody but it.
#[test]
fn replies_that_waited_vouch_for_nothing_later_than_their_sending() {
    for (freeze_ms, offset) in [(8_000, 0), (8_000, 1_000), (8_000, 2_000), (4_000, 500)] {
        let mut w = start_cluster(3, 2, 0.0);
        let leader = w.leader().expect("leader");
        let [first, second] = others(leader);
        assert_eq!(w.submit(first, &array("run-1", 8), runs_for(LONG_MS)), 201);
        assert!(w.until(8_000, |w| w.on_machines("run-1").len() == 8));
        bind_workers(&mut w, leader);
        w.run(2_200 + offset);
        freeze(&mut w, leader, freeze_ms);
        // Long enough for some beats and mostly for the watch to time out, but not for another to be elected.
        w.run(2_000);
        w.silent_peers.insert(leader);
        w.troubles.cut_from_state.insert(leader);
        assert_eq!(w.abort(second, "run-1"), Some(Phase::Aborted));
        w.run(freeze_ms - 2_500);
        // Its machines report as it wakes, while their leases hold.
        bind_workers(&mut w, leader);
        w.run(7_000);
        let at = format!("{freeze_ms} ms, offset {offset}");
        assert_eq!(w.on_machines("run-1").len(), 8, "not ended so far, {at}");
        w.run(40_000);
        assert!(w.on_machines("run-1").is_empty(), "{at}");
        assert_no_violations(&w);
    }
}

/// Its last look at the leader key was answered while it stood still, before another node was elected, and it wakes in an
/// outage, so that no newer answer follows.
#[test]
fn a_woken_follower_sends_no_worker_to_a_former_leader() {
    for offset in 0..8 {
        let mut w = start_cluster(3, 0, 0.0);
        let old = w.leader().expect("leader");
        let [first, _] = others(old);
        // The answer takes some time, so that it is on its way when the freeze begins.
        w.seed(offset);
        w.troubles.slow_state.insert(first, 600);
        w.run(80 * offset);
        freeze(&mut w, first, 20_000);
        w.run(100);
        w.refused.insert(old);
        w.run(17_000);
        assert_ne!(w.leader(), Some(old));
        w.state_down = true;
        w.run(2_700);
        let report = FakeWorker::new("vm-000000", "a", false, 0).report(KIND, 0);
        let sent = w.send(first, "POST", "/v1/report", wire::encode(&report));
        w.run(2_500);
        let (status, body) = w.answer(sent).expect("an answer");
        let named = wire::decode::<Redirect>(&body).ok().and_then(|e| e.leader);
        assert_eq!((status, named), (421, None), "offset {offset}");
        assert_no_violations(&w);
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
            let mut w = start_cluster(3, 2, 0.0);
            let leader = w.leader().expect("leader");
            let [first, second] = others(leader);
            let node = match frozen {
                Frozen::Leader => leader,
                Frozen::Follower | Frozen::Forwarding => first,
            };
            assert_eq!(w.submit(second, &array("run-1", 1), runs_for(LONG_MS)), 201);
            if frozen == Frozen::Forwarding {
                w.refused.insert(node);
            }
            w.run(4_000);
            w.describe(&array("run-2", 1), runs_for(LONG_MS));
            let body = wire::encode(&array("run-2", 1));
            let poll = w.send(node, "GET", "/submissions/run-1", vec![]);
            let creation = w.send(node, "POST", "/submissions", body);
            w.run(10 * offset);
            freeze(&mut w, node, freeze_ms);
            w.run(50);
            let waits = [poll, creation].map(|request| w.answer(request).is_none());
            assert_eq!(w.abort(second, "run-1"), Some(Phase::Aborted));
            w.run(freeze_ms + 100);
            let mut heard = |request| {
                let (status, body) = w.answer(request).expect("an answer");
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
            w.refused.clear();
            w.run(2_000);
            assert_eq!(w.phase(node, "run-1"), Some(Phase::Aborted), "{at}");
            let again = w.submit(node, &array("run-2", 1), runs_for(LONG_MS));
            assert!(matches!(again, 200 | 201), "{at}: {again}");
            assert_no_violations(&w);
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
        let mut w = start_cluster(3, 6, 0.0);
        w.capacity = 6;
        let leader = w.leader().expect("leader");
        assert_eq!(
            w.submit(leader, &array("run-1", 24), runs_for(LONG_MS)),
            201
        );
        assert!(w.until(8_000, |w| w.on_machines("run-1").len() == 24));
        let before = machine_names(&w);
        w.state_down = true;
        freeze(&mut w, leader, freeze_ms);
        if peers_cut {
            w.silent_peers.insert(leader);
        }
        if workers_cut {
            w.unreached.insert(leader);
        }
        w.run(64_500);
        w.state_down = false;
        w.run(3_500);
        w.silent_peers.clear();
        w.unreached.clear();
        w.run(20_000);
        let at = format!("{freeze_ms} ms, {peers_cut} {workers_cut}");
        assert_eq!(machine_names(&w), before, "{at}");
        assert!(w.until(20_000, |w| w.on_machines("run-1").len() == 24));
        // A machine that is gone is told from the others as ever.
        let gone = w.workers.get_mut("vm-000000").expect("worker");
        gone.cut_until = u64::MAX;
        assert!(w.until(60_000, |w| !w.workers.contains_key("vm-000000")));
        assert_no_violations(&w);
    }
}

/// Each leader stands still as soon as it has been elected, the next one a little later, while jobs are submitted,
/// cancelled and completed through whoever is awake.
#[test]
fn freezes_that_straddle_elections_cancellations_and_completions_break_no_rule() {
    for freeze_ms in [2_000, 3_200, 20_000, 61_000] {
        let mut w = start_cluster(3, 12, 0.0);
        assert_eq!(w.submit(0, &array("run-1", 12), runs_for(LONG_MS)), 201);
        assert!(w.until(8_000, |w| w.on_machines("run-1").len() == 12));
        let mut before = w.on_machines("run-1");
        before.sort();
        for round in 0..4 {
            let leader = w.leader().expect("leader");
            let [first, second] = others(leader);
            let (short, called_off) = (format!("run-{round}1"), format!("run-{round}2"));
            assert_eq!(w.submit(first, &array(&short, 6), runs_for(3_000)), 201);
            assert_eq!(
                w.submit(leader, &array(&called_off, 6), runs_for(LONG_MS)),
                201
            );
            w.run(150 + 900 * round);
            freeze(&mut w, leader, freeze_ms);
            w.run(1_000);
            assert!(w.until(5_000, |w| w.abort(second, &called_off)
                == Some(Phase::Aborted)));
            assert!(w.until(25_000, |w| w.phase(first, &short) == Some(Phase::Done)));
            w.run(4_000);
            assert!(w.until(70_000, |w| w.phase(leader, &short) == Some(Phase::Done)));
            assert_eq!(w.phase(leader, &called_off), Some(Phase::Aborted));
        }
        w.run(32_000);
        let mut after = w.on_machines("run-1");
        after.sort();
        assert_eq!(after, before, "healthy tasks went on, {freeze_ms}");
        assert!(w.rules.late_starts.is_empty(), "{:?}", w.rules.late_starts);
        assert_no_violations(&w);
    }
}
