//! Answers about ids of jobs that don't exist, or that didn't exist a moment ago.

mod common;

use common::*;
use fakes::array_job;
use wire::records::*;

/// The read for a status query completes after the job was submitted at the same node and its user was told so; a 404
/// would deny the job.
#[test]
fn a_404_that_a_submission_at_the_same_node_overtook_is_checked_again() {
    let mut overtaken = 0;
    for seed in 0..24 {
        let mut w = start_cluster(3, 1, 0.0);
        w.seed(seed);
        w.faults.max_state_response_delay_ms = (0..3).map(|n| (n, 900)).collect();
        let query = w.send_user_request(0, "GET", "/submissions/run-1", vec![]);
        w.run_for(60);
        let job = array_job("run-1", 1);
        w.upload_job(&job, runs_for(600_000));
        let submission = w.send_user_request(0, "POST", "/submissions", wire::encode(&job));
        w.run_for(2_500);
        let (Some((query_answered_at, status)), Some((submission_answered_at, 201))) = (
            w.take_response_time(query),
            w.take_response_time(submission),
        ) else {
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
    let mut w = start_cluster(3, 1, 0.0);
    for n in 0..3 {
        let (open_id, final_id) = (format!("run-{n}0"), format!("run-{n}1"));
        for id in [&open_id, &final_id] {
            let counts_before = w.state_service.request_counts;
            assert_eq!(
                w.send_and_wait(n, "GET", &format!("/submissions/{id}"), vec![])
                    .0,
                404
            );
            let requests = w.state_service.request_counts.since(&counts_before);
            assert!(requests.reads_and_comparisons() >= 1, "{requests:?}");
            w.upload_job(&array_job(id, 1), runs_for(1_000));
        }
        // Written by a process that sends no messages to this node.
        w.isolated_from_peers.insert(n);
        record_open_job(&mut w, array_job(&open_id, 1));
        w.state_service
            .write(&final_record_key(&final_id), &JobOutcome::Aborted, None);
        for id in [&open_id, &final_id] {
            assert_eq!(
                w.send_and_wait(n, "GET", &format!("/submissions/{id}"), vec![])
                    .0,
                200
            );
        }
        w.isolated_from_peers.clear();
    }
}
