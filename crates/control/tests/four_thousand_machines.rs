//! A cluster of 4,000 machines, 12,000 running tasks and 2,000 open jobs, through a change of leader.

mod common;

use common::*;
use fakes::{array, World};
use std::collections::BTreeSet;
use wire::records::*;
use wire::users::Phase;

const MACHINES: usize = 4_000;
/// Jobs whose tasks all run.
const RUNNING_JOBS: usize = 1_000;
const TASKS_A_JOB: u64 = 12;
/// Jobs that wait, since no zone is theirs.
const WAITING_JOBS: usize = 1_000;
const NODES: usize = 3;

fn running_id(number: usize) -> String {
    format!("run-{:06}", 1_000 + number)
}

fn waiting_id(number: usize) -> String {
    format!("run-{:06}", 50_000 + number)
}

/// Machines that stand ready, all with tasks that run for minutes, and as many jobs that wait.
fn full_cluster() -> World {
    let mut w = World::new(NODES, |i| {
        let mut settings = settings(i, NODES, 0.0);
        let d = &mut settings.deployment;
        d.objectives[0].kind = "guarantee".into();
        (d.workers.report_s, d.workers.lease_s, d.workers.cancel_s) = (8.0, 36.0, 66.0);
        (d.state.rps, d.state.write_rps, d.state.txn_ops) = (100.0, 25.0, 20);
        d.quota.max_connections = MACHINES + 300;
        settings
    });
    for machine in 0..MACHINES {
        let zone = if machine % 2 == 0 { "a" } else { "b" };
        w.add_machine(&format!("vm-{machine:06}"), zone);
    }
    w.run(12_000);
    for number in 0..RUNNING_JOBS {
        let job = array(&running_id(number), TASKS_A_JOB);
        w.describe(&job, runs_for(600_000));
        record_open_job(&mut w, job);
    }
    for number in 0..WAITING_JOBS {
        let mut job = array(&waiting_id(number), 1);
        job.zone = Some("c".into());
        w.describe(&job, runs_for(1_000));
        record_open_job(&mut w, job);
    }
    let all = RUNNING_JOBS * TASKS_A_JOB as usize;
    assert!(
        w.until(120_000, |w| tasks_on(w) == all),
        "{} tasks run",
        tasks_on(&w)
    );
    w
}

fn tasks_on(w: &World) -> usize {
    w.workers.values().map(|m| m.tasks.len()).sum()
}

fn starts(w: &World) -> usize {
    w.workers.values().map(|m| m.started.len()).sum()
}

#[test]
fn a_change_of_leader_at_4_000_machines_ends_no_lease_and_starts_no_task_again() {
    let mut w = full_cluster();
    let pages_of_records = w.state.keys(PAGES).len();
    assert!(
        pages_of_records < 120,
        "{pages_of_records} pages of records"
    );
    let incarnations: u64 = w.workers.values().map(|m| m.incarnation).sum();
    let started = starts(&w);
    // All workers find their connection broken at once, and report to whoever is there.
    for m in w.workers.values_mut() {
        m.report_at = w.now;
    }
    let old_leader = w.leader().expect("leader");
    w.crash(old_leader);
    let (requests, crashed_at) = (w.state.requests, w.now);
    let new_leader = |w: &World| w.leader().is_some_and(|l| l != old_leader);
    assert!(w.until(6_000, |w| new_leader(w)), "a new leader");
    let term = w.leader().and_then(|l| w.term_of(l)).expect("term");
    let answered = |w: &World| w.workers.values().filter(|m| m.term == term).count();
    assert!(
        w.until(30_000, |w| answered(w) == MACHINES),
        "{} workers have seen the new term {} ms after the crash",
        answered(&w),
        w.now - crashed_at
    );
    let after: u64 = w.workers.values().map(|m| m.incarnation).sum();
    assert_eq!(after, incarnations, "no lease has ended");
    assert_eq!(starts(&w), started, "no task was started again");
    assert_eq!(tasks_on(&w), RUNNING_JOBS * TASKS_A_JOB as usize);
    let requests = w.state.requests - requests;
    assert!(requests < 400, "{requests} requests to the state service");
    // The list is read in pages, all of them.
    let pages = w.listed_pages;
    let enough = (MACHINES / 500) as u64;
    assert!(w.until(60_000, |w| w.listed_pages >= pages + enough));
    assert_eq!(w.workers.len(), MACHINES, "none was given back");
    assert_no_violations(&w);
}

#[test]
fn counts_of_2_000_open_jobs_reach_every_node_and_questions_need_no_reading_each() {
    let mut w = full_cluster();
    // Two messages tell of all.
    w.run(4_000);
    let ids: BTreeSet<String> = (0..RUNNING_JOBS)
        .map(running_id)
        .chain((0..WAITING_JOBS).map(waiting_id))
        .collect();
    let ids: Vec<String> = ids.into_iter().collect();
    let before = w.state.counts;
    for node in 0..NODES {
        // As many as one node takes at a time, from all over the range.
        let some: Vec<String> = ids.iter().skip(node).step_by(20).cloned().collect();
        let phases = w.phases(node, &some);
        for (id, phase) in some.iter().zip(phases) {
            let expected = match id.as_str() < "run-050000" {
                true => Phase::Running,
                false => Phase::Queued,
            };
            assert_eq!(phase, Some(expected), "{id} at node {node}");
        }
    }
    let cost = w.state.counts.since(&before);
    assert!(cost.questions() < 60, "{cost:?}");
    assert_no_violations(&w);
}
