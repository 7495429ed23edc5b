//! One-sided cuts: a controller lacks the state service, its peers, the workers or the users, in one direction or both,
//! silently or refused. A leader that can place stands before long, and leadership does not go back and forth.

mod common;

use common::*;
use fakes::{array, Cut, Party, World};

/// A connection of one controller that fails.
#[derive(Debug, Clone, Copy)]
enum Fault {
    Lacks(Party, Cut),
    /// Frames to its peers are lost.
    PeersOut,
    /// Frames of its peers are lost.
    PeersIn,
    /// Both.
    Peers,
}

use Fault::*;

/// Brings a fault about for good.
fn cut(w: &mut World, node: usize, fault: Fault) {
    for other in [(node + 1) % 3, (node + 2) % 3] {
        if matches!(fault, PeersOut | Peers) {
            w.troubles.lost_frames.insert((node, other), u64::MAX);
        }
        if matches!(fault, PeersIn | Peers) {
            w.troubles.lost_frames.insert((other, node), u64::MAX);
        }
    }
    if let Lacks(party, cut) = fault {
        w.troubles.cuts.insert((node, party, cut));
    }
}

/// Term of the present leader, or of the last one known.
fn term(w: &World) -> u64 {
    (0..3).filter_map(|n| w.term_of(n)).max().unwrap_or(0)
}

/// Submits a job wherever it is taken, as users do.
fn submit_anywhere(w: &mut World, id: &str, run_ms: u64) {
    let accepted = (0..30).any(|n| {
        let status = w.submit(n % 3, &array(id, 2), runs_for(run_ms));
        w.run(300);
        matches!(status, 200 | 201)
    });
    assert!(accepted, "{id}");
}

/// Milliseconds until work is placed while the leader lacks what it needs: it notices, makes room, and workers find the
/// next one.
const PLACED_MS: u64 = 20_000;
/// The same if every node lacks something.
const PLACED_LAST_MS: u64 = 60_000;
/// Milliseconds until work is placed while the leader is whole, or lacks only users or peers, which it can do without.
const PLACED_AT_ONCE_MS: u64 = 5_000;

#[test]
fn a_leader_that_can_place_stands_within_seconds_of_any_cut_of_one_node() {
    // With the most terms that it may take if the leader is cut.
    let faults = [
        (Lacks(Party::State, Cut::Requests), 1),
        (Lacks(Party::State, Cut::Answers), 1),
        (Lacks(Party::State, Cut::Refused), 1),
        // Its reports come through its peers.
        (Lacks(Party::Workers, Cut::Requests), 0),
        (Lacks(Party::Workers, Cut::Answers), 1),
        (Lacks(Party::Workers, Cut::Refused), 0),
        (Lacks(Party::Users, Cut::Requests), 0),
        (Lacks(Party::Users, Cut::Answers), 0),
        (Lacks(Party::Users, Cut::Refused), 0),
        (PeersOut, 0),
        (PeersIn, 0),
        (Peers, 0),
    ];
    for (fault, terms) in faults {
        for of_leader in [true, false] {
            let mut w = start_cluster(3, 4, 0.0);
            let leader = w.leader().expect("leader");
            assert_eq!(w.submit(leader, &array("run-1", 4), runs_for(150_000)), 201);
            assert!(w.until(8_000, |w| w.on_machines("run-1").len() == 4));
            let node = if of_leader { leader } else { (leader + 1) % 3 };
            let first_term = term(&w);
            cut(&mut w, node, fault);
            w.run(2_000);
            submit_anywhere(&mut w, "run-2", 5_000);
            let lacking = of_leader && matches!(fault, Lacks(Party::State | Party::Workers, _));
            let within = if lacking {
                PLACED_MS
            } else {
                PLACED_AT_ONCE_MS
            };
            let placed = w.until(within, |w| !w.on_machines("run-2").is_empty());
            let at = format!("{fault:?}, of the leader: {of_leader}");
            assert!(placed, "{at}");
            w.run(90_000);
            let most = if of_leader { terms } else { 0 };
            assert!(term(&w) - first_term <= most, "{at}: term {}", term(&w));
            w.heal();
            assert!(
                completes_within(&mut w, "run-2", 30_000)
                    && completes_within(&mut w, "run-1", 200_000),
                "{at}"
            );
            assert_no_violations(&w);
        }
    }
}

#[test]
fn leadership_settles_when_every_node_lacks_something_else() {
    let (state, workers) = (Party::State, Party::Workers);
    let sets = [
        [
            Lacks(state, Cut::Requests),
            Lacks(workers, Cut::Requests),
            Peers,
        ],
        [
            Lacks(state, Cut::Refused),
            Lacks(workers, Cut::Refused),
            PeersOut,
        ],
        [
            Lacks(state, Cut::Answers),
            Lacks(workers, Cut::Answers),
            PeersIn,
        ],
    ];
    for faults in sets {
        for turn in 0..3 {
            let mut w = start_cluster(3, 4, 0.0);
            let leader = w.leader().expect("leader");
            let first_term = term(&w);
            for (n, fault) in faults.into_iter().enumerate() {
                cut(&mut w, (leader + turn + n) % 3, fault);
            }
            w.run(2_000);
            submit_anywhere(&mut w, "run-1", 5_000);
            let placed = w.until(PLACED_LAST_MS, |w| !w.on_machines("run-1").is_empty());
            let at = format!("{faults:?}, turn {turn}");
            assert!(placed, "{at}: {} terms", term(&w) - first_term);
            let settled = term(&w);
            assert!(
                settled - first_term <= 2,
                "{at}: {} terms",
                settled - first_term
            );
            w.run(240_000);
            assert_eq!(term(&w), settled, "{at}: back and forth");
            w.heal();
            assert!(completes_within(&mut w, "run-1", 30_000), "{at}");
            assert_no_violations(&w);
        }
    }
}

/// When no worker reaches any node, each of them makes room once in a long time, and not at all while there are no
/// machines.
#[test]
fn leaders_do_not_take_turns_while_no_worker_reaches_any_node() {
    for lost in [Cut::Requests, Cut::Answers, Cut::Refused] {
        let mut w = start_cluster(3, 4, 0.0);
        let first_term = term(&w);
        for node in 0..3 {
            cut(&mut w, node, Lacks(Party::Workers, lost));
        }
        // Machines are rented for it again and again.
        w.capacity = 60;
        submit_anywhere(&mut w, "run-0", 5_000);
        w.run(300_000);
        let terms = term(&w) - first_term;
        assert!(terms <= 3, "{lost:?}: {terms} terms");
        w.heal();
        submit_anywhere(&mut w, "run-1", 5_000);
        assert!(completes_within(&mut w, "run-1", 30_000), "{lost:?}");
        assert_no_violations(&w);
    }
    let mut w = start_cluster(3, 0, 0.0);
    let first_term = term(&w);
    w.run(300_000);
    assert_eq!(term(&w), first_term, "without machines");
}
