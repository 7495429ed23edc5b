//! Answers about ids that no job has, or had none a moment ago.

mod common;

use common::*;
use fakes::array;
use wire::records::*;

/// A question whose reading comes back after the job was submitted at the same node and its user was told so.
#[test]
fn a_404_that_was_overtaken_by_a_submission_at_the_same_node_is_read_again() {
    let mut overtaken = 0;
    for seed in 0..24 {
        let mut w = start_cluster(3, 1, 0.0);
        w.seed(seed);
        w.troubles.slow_state = (0..3).map(|n| (n, 900)).collect();
        let question = w.send(0, "GET", "/submissions/run-1", vec![]);
        w.run(60);
        let job = array("run-1", 1);
        w.describe(&job, runs_for(600_000));
        let submission = w.send(0, "POST", "/submissions", wire::encode(&job));
        w.run(2_500);
        let (Some((asked, status)), Some((answered, 201))) =
            (w.answer_at(question), w.answer_at(submission))
        else {
            continue;
        };
        if asked >= answered {
            overtaken += 1;
            assert_eq!(
                status, 200,
                "seed {seed}: 404 at {asked}, 201 at {answered}"
            );
        }
    }
    assert!(overtaken >= 5, "only {overtaken} questions were overtaken");
}

/// A 404 that rests on anything but a reading sent after the question would deny a job that another node has accepted.
#[test]
fn a_404_is_never_remembered() {
    let mut w = start_cluster(3, 1, 0.0);
    for n in 0..3 {
        let (open, over) = (format!("run-{n}0"), format!("run-{n}1"));
        for id in [&open, &over] {
            let before = w.state.counts;
            assert_eq!(
                w.ask(n, "GET", &format!("/submissions/{id}"), vec![]).0,
                404
            );
            let spent = w.state.counts.since(&before);
            assert!(spent.questions() >= 1, "{spent:?}");
            w.describe(&array(id, 1), runs_for(1_000));
        }
        // Written by a process that this node hears nothing of.
        w.silent_peers.insert(n);
        record_open_job(&mut w, array(&open, 1));
        w.state.write(&final_key(&over), &Final::Aborted, None);
        for id in [&open, &over] {
            assert_eq!(
                w.ask(n, "GET", &format!("/submissions/{id}"), vec![]).0,
                200
            );
        }
        w.silent_peers.clear();
    }
}
