//! Partial network partitions: a controller has no connection to the state service, its peers, the workers or the
//! users, in one direction or in both, with lost messages or refused connections. There must soon be a leader that can
//! place tasks, and leadership must not alternate between nodes.

mod common;

use common::*;
use fakes::{array_job, ConnectionFault, Party, World};

/// A connection fault of one controller.
#[derive(Debug, Clone, Copy)]
enum Fault {
    /// The connection to this party fails in this way.
    Connection(Party, ConnectionFault),
    /// Frames to peers are lost.
    FramesToPeers,
    /// Frames from peers are lost.
    FramesFromPeers,
    /// Frames to and from peers are lost.
    AllPeerFrames,
}

use Fault::*;

/// Starts a fault of a node that doesn't end by itself.
fn start_fault(w: &mut World, node: usize, fault: Fault) {
    for other in [(node + 1) % 3, (node + 2) % 3] {
        if matches!(fault, FramesToPeers | AllPeerFrames) {
            w.faults.frames_lost_until.insert((node, other), u64::MAX);
        }
        if matches!(fault, FramesFromPeers | AllPeerFrames) {
            w.faults.frames_lost_until.insert((other, node), u64::MAX);
        }
    }
    if let Connection(party, connection_fault) = fault {
        w.faults
            .connection_faults
            .insert((node, party, connection_fault));
    }
}

/// Term of the current leader, or 0 without a leader.
fn leader_term(w: &World) -> u64 {
    (0..3).filter_map(|n| w.term_of(n)).max().unwrap_or(0)
}

/// Submits a job to one node after another until one accepts it, as users do.
fn submit_anywhere(w: &mut World, id: &str, run_ms: u64) {
    let accepted = (0..30).any(|n| {
        let status = w.submit(n % 3, &array_job(id, 2), runs_for(run_ms));
        w.run_for(300);
        matches!(status, 200 | 201)
    });
    assert!(accepted, "{id}");
}

/// Time until tasks are placed when the leader lacks a connection that it needs: it notices the fault and resigns, and
/// the workers find the next leader.
const PLACED_WITH_IMPAIRED_LEADER_MS: u64 = 20_000;
/// Time until tasks are placed when every node lacks a connection.
const PLACED_WITH_FAULTS_EVERYWHERE_MS: u64 = 60_000;
/// Time until tasks are placed when the leader has all its connections, or lacks only those to users or peers, which it
/// doesn't need.
const PLACED_WITH_HEALTHY_LEADER_MS: u64 = 5_000;

#[test]
fn a_leader_can_place_tasks_within_seconds_of_any_connection_fault_of_one_node() {
    // Each fault with the largest permitted number of new terms if it affects the leader.
    let faults = [
        (Connection(Party::State, ConnectionFault::RequestsLost), 1),
        (Connection(Party::State, ConnectionFault::ResponsesLost), 1),
        (Connection(Party::State, ConnectionFault::Refused), 1),
        // Workers' reports reach the leader through its peers.
        (Connection(Party::Workers, ConnectionFault::RequestsLost), 0),
        (
            Connection(Party::Workers, ConnectionFault::ResponsesLost),
            1,
        ),
        (Connection(Party::Workers, ConnectionFault::Refused), 0),
        (Connection(Party::Users, ConnectionFault::RequestsLost), 0),
        (Connection(Party::Users, ConnectionFault::ResponsesLost), 0),
        (Connection(Party::Users, ConnectionFault::Refused), 0),
        (FramesToPeers, 0),
        (FramesFromPeers, 0),
        (AllPeerFrames, 0),
    ];
    for (fault, max_new_terms) in faults {
        for of_leader in [true, false] {
            let mut w = start_cluster(3, 4, 0.0);
            let leader = w.leader().expect("leader");
            assert_eq!(
                w.submit(leader, &array_job("run-1", 4), runs_for(150_000)),
                201
            );
            assert!(w.run_until(8_000, |w| w.placed_tasks("run-1").len() == 4));
            let node = if of_leader { leader } else { (leader + 1) % 3 };
            let first_term = leader_term(&w);
            start_fault(&mut w, node, fault);
            w.run_for(2_000);
            submit_anywhere(&mut w, "run-2", 5_000);
            let is_leader_impaired =
                of_leader && matches!(fault, Connection(Party::State | Party::Workers, _));
            let within_ms = if is_leader_impaired {
                PLACED_WITH_IMPAIRED_LEADER_MS
            } else {
                PLACED_WITH_HEALTHY_LEADER_MS
            };
            let placed = w.run_until(within_ms, |w| !w.placed_tasks("run-2").is_empty());
            let case = format!("{fault:?}, of the leader: {of_leader}");
            assert!(placed, "{case}");
            w.run_for(90_000);
            let max_new_terms = if of_leader { max_new_terms } else { 0 };
            assert!(
                leader_term(&w) - first_term <= max_new_terms,
                "{case}: term {}",
                leader_term(&w)
            );
            w.end_faults();
            assert!(
                completes_within(&mut w, "run-2", 30_000)
                    && completes_within(&mut w, "run-1", 200_000),
                "{case}"
            );
            assert_no_violations(&w);
        }
    }
}

#[test]
fn leadership_settles_when_every_node_lacks_a_different_connection() {
    let (state, workers) = (Party::State, Party::Workers);
    let fault_sets = [
        [
            Connection(state, ConnectionFault::RequestsLost),
            Connection(workers, ConnectionFault::RequestsLost),
            AllPeerFrames,
        ],
        [
            Connection(state, ConnectionFault::Refused),
            Connection(workers, ConnectionFault::Refused),
            FramesToPeers,
        ],
        [
            Connection(state, ConnectionFault::ResponsesLost),
            Connection(workers, ConnectionFault::ResponsesLost),
            FramesFromPeers,
        ],
    ];
    for faults in fault_sets {
        for rotation in 0..3 {
            let mut w = start_cluster(3, 4, 0.0);
            let leader = w.leader().expect("leader");
            let first_term = leader_term(&w);
            for (n, fault) in faults.into_iter().enumerate() {
                start_fault(&mut w, (leader + rotation + n) % 3, fault);
            }
            w.run_for(2_000);
            submit_anywhere(&mut w, "run-1", 5_000);
            let placed = w.run_until(PLACED_WITH_FAULTS_EVERYWHERE_MS, |w| {
                !w.placed_tasks("run-1").is_empty()
            });
            let case = format!("{faults:?}, rotation {rotation}");
            assert!(placed, "{case}: {} terms", leader_term(&w) - first_term);
            let settled_term = leader_term(&w);
            assert!(
                settled_term - first_term <= 2,
                "{case}: {} terms",
                settled_term - first_term
            );
            w.run_for(240_000);
            assert_eq!(
                leader_term(&w),
                settled_term,
                "{case}: leadership changed again"
            );
            w.end_faults();
            assert!(completes_within(&mut w, "run-1", 30_000), "{case}");
            assert_no_violations(&w);
        }
    }
}

/// While no worker reaches any node, each node resigns as leader only once in a long time, and not at all while there
/// are no machines.
#[test]
fn leaders_do_not_alternate_while_no_worker_reaches_any_node() {
    for fault in [
        ConnectionFault::RequestsLost,
        ConnectionFault::ResponsesLost,
        ConnectionFault::Refused,
    ] {
        let mut w = start_cluster(3, 4, 0.0);
        let first_term = leader_term(&w);
        for node in 0..3 {
            start_fault(&mut w, node, Connection(Party::Workers, fault));
        }
        // Machines are rented for the job again and again.
        w.cloud_capacity = 60;
        submit_anywhere(&mut w, "run-0", 5_000);
        w.run_for(300_000);
        let new_terms = leader_term(&w) - first_term;
        assert!(new_terms <= 3, "{fault:?}: {new_terms} terms");
        w.end_faults();
        submit_anywhere(&mut w, "run-1", 5_000);
        assert!(completes_within(&mut w, "run-1", 30_000), "{fault:?}");
        assert_no_violations(&w);
    }
    let mut w = start_cluster(3, 0, 0.0);
    let first_term = leader_term(&w);
    w.run_for(300_000);
    assert_eq!(leader_term(&w), first_term, "without machines");
}
