//! Answers about ids of jobs that don't exist, or that didn't exist a moment ago.

mod common;

use common::*;
use fakes::array;
use wire::records::*;

/// The read for a status query completes after the job was submitted at the same node and its user was told so; a 404
/// would deny the job.
#[test]
fn a_404_that_a_submission_at_the_same_node_overtook_is_checked_again() {
    let mut overtaken = 0;
    for seed in 0..24 {
        let mut w = world(3, 1, 0.0);
        w.seed(seed);
        w.troubles.slow_state = (0..3).map(|n| (n, 900)).collect();
        let query = w.send(0, "GET", "/submissions/run-1", vec![]);
        w.run(60);
        let job = array("run-1", 1);
        w.describe(&job, runs(600_000));
        let submission = w.send(0, "POST", "/submissions", wire::encode(&job));
        w.run(2_500);
        let (Some((query_answered_at, status)), Some((submission_answered_at, 201))) =
            (w.answer_at(query), w.answer_at(submission))
        else {
            continue;
        };
        if query_answered_at >= submission_answered_at {
            overtaken += 1;
            assert_eq!(
                status, 200,
                "seed {seed}: 404 at {query_answered_at}, 201 at {submission_answered_at}"
            );
        }
    }
    assert!(overtaken >= 5, "only {overtaken} queries were overtaken");
}

/// A 404 that is based on anything but a read sent after the query would deny a job that another node has accepted.
#[test]
fn a_404_is_never_cached() {
    let mut w = world(3, 1, 0.0);
    for n in 0..3 {
        let (open_id, final_id) = (format!("run-{n}0"), format!("run-{n}1"));
        for id in [&open_id, &final_id] {
            let counts_before = w.state.counts;
            assert_eq!(
                w.ask(n, "GET", &format!("/submissions/{id}"), vec![]).0,
                404
            );
            let requests = w.state.counts.since(&counts_before);
            assert!(requests.questions() >= 1, "{requests:?}");
            w.describe(&array(id, 1), runs(1_000));
        }
        // Written by a process that sends no messages to this node.
        w.silent_peers.insert(n);
        record_open_job(&mut w, array(&open_id, 1));
        w.state
            .write(&final_record_key(&final_id), &JobOutcome::Aborted, None);
        for id in [&open_id, &final_id] {
            assert_eq!(
                w.ask(n, "GET", &format!("/submissions/{id}"), vec![]).0,
                200
            );
        }
        w.silent_peers.clear();
    }
}
