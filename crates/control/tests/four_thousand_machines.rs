//! A cluster of 4,000 machines, 12,000 running tasks and 2,000 open jobs, through a change of leader.

mod common;

use common::*;
use fakes::{array_job, World};
use std::collections::BTreeSet;
use wire::records::*;
use wire::users::Phase;

/// Number of machines of the cluster.
const MACHINES: usize = 4_000;
/// Number of jobs whose tasks all run.
const RUNNING_JOBS: usize = 1_000;
/// Number of tasks of each running job.
const TASKS_PER_JOB: u64 = 12;
/// Number of jobs that wait, since there is no machine in the zone that they require.
const WAITING_JOBS: usize = 1_000;
/// Number of controllers.
const NODES: usize = 3;

fn running_id(number: usize) -> String {
    format!("run-{:06}", 1_000 + number)
}

fn waiting_id(number: usize) -> String {
    format!("run-{:06}", 50_000 + number)
}

/// A cluster that keeps idle machines, with `RUNNING_JOBS` jobs whose tasks run for minutes and `WAITING_JOBS` jobs
/// that wait.
fn loaded_cluster() -> World {
    let mut w = World::new(NODES, |i| {
        let mut settings = settings(i, NODES, 0.0);
        let deployment = &mut settings.deployment;
        deployment.objectives[0].kind = "guarantee".into();
        (
            deployment.workers.report_s,
            deployment.workers.lease_s,
            deployment.workers.cancel_s,
        ) = (8.0, 36.0, 66.0);
        (
            deployment.state.rps,
            deployment.state.write_rps,
            deployment.state.txn_ops,
        ) = (100.0, 25.0, 20);
        deployment.quota.max_connections = MACHINES + 300;
        settings
    });
    for machine in 0..MACHINES {
        let zone = if machine % 2 == 0 { "a" } else { "b" };
        w.add_machine(&format!("vm-{machine:06}"), zone);
    }
    w.run_for(12_000);
    for number in 0..RUNNING_JOBS {
        let job = array_job(&running_id(number), TASKS_PER_JOB);
        w.upload_job(&job, runs_for(600_000));
        record_open_job(&mut w, job);
    }
    for number in 0..WAITING_JOBS {
        let mut job = array_job(&waiting_id(number), 1);
        job.zone = Some("c".into());
        w.upload_job(&job, runs_for(1_000));
        record_open_job(&mut w, job);
    }
    let running_tasks = RUNNING_JOBS * TASKS_PER_JOB as usize;
    assert!(
        w.run_until(120_000, |w| tasks_on_machines(w) == running_tasks),
        "{} tasks run",
        tasks_on_machines(&w)
    );
    w
}

fn tasks_on_machines(w: &World) -> usize {
    w.workers.values().map(|m| m.tasks.len()).sum()
}

fn start_count(w: &World) -> usize {
    w.workers.values().map(|m| m.started_attempts.len()).sum()
}

#[test]
fn a_change_of_leader_at_4_000_machines_ends_no_lease_and_restarts_no_task() {
    let mut w = loaded_cluster();
    let record_pages = w.state_service.keys(PAGE_PREFIX).len();
    assert!(record_pages < 120, "{record_pages} pages of records");
    let incarnations_before: u64 = w.workers.values().map(|worker| worker.incarnation).sum();
    let starts_before = start_count(&w);
    // All workers detect the broken connection at once and report to any node that runs.
    for worker in w.workers.values_mut() {
        worker.next_report_at = w.now;
    }
    let old_leader = w.leader().expect("leader");
    w.crash(old_leader);
    let (requests, crashed_at) = (w.state_service.request_count, w.now);
    let has_new_leader = |w: &World| w.leader().is_some_and(|l| l != old_leader);
    assert!(w.run_until(6_000, |w| has_new_leader(w)), "a new leader");
    let term = w.leader().and_then(|l| w.term_of(l)).expect("term");
    let answered = |w: &World| {
        w.workers
            .values()
            .filter(|worker| worker.term == term)
            .count()
    };
    assert!(
        w.run_until(30_000, |w| answered(w) == MACHINES),
        "{} workers have seen the new term {} ms after the crash",
        answered(&w),
        w.now - crashed_at
    );
    let incarnations_after: u64 = w.workers.values().map(|worker| worker.incarnation).sum();
    assert_eq!(
        incarnations_after, incarnations_before,
        "no lease has expired"
    );
    assert_eq!(start_count(&w), starts_before, "no task was started again");
    assert_eq!(tasks_on_machines(&w), RUNNING_JOBS * TASKS_PER_JOB as usize);
    let requests = w.state_service.request_count - requests;
    assert!(requests < 400, "{requests} requests to the state service");
    // The machine list is read completely, page by page.
    let pages_before = w.served_list_pages;
    let pages_per_list = (MACHINES / 500) as u64;
    assert!(w.run_until(60_000, |w| w.served_list_pages
        >= pages_before + pages_per_list));
    assert_eq!(w.workers.len(), MACHINES, "no machine was returned");
    assert_no_violations(&w);
}

#[test]
fn counts_of_2_000_open_jobs_reach_every_node_so_that_status_queries_need_few_reads() {
    let mut w = loaded_cluster();
    // Two messages carry the counts of all jobs.
    w.run_for(4_000);
    let ids: BTreeSet<String> = (0..RUNNING_JOBS)
        .map(running_id)
        .chain((0..WAITING_JOBS).map(waiting_id))
        .collect();
    let ids: Vec<String> = ids.into_iter().collect();
    let counts_before = w.state_service.request_counts;
    for node in 0..NODES {
        // As many queries as one node accepts at a time, spread over the whole range of ids.
        let queried_ids: Vec<String> = ids.iter().skip(node).step_by(20).cloned().collect();
        let phases = w.phases(node, &queried_ids);
        for (id, phase) in queried_ids.iter().zip(phases) {
            let expected = match id.as_str() < "run-050000" {
                true => Phase::Running,
                false => Phase::Queued,
            };
            assert_eq!(phase, Some(expected), "{id} at node {node}");
        }
    }
    let requests = w.state_service.request_counts.since(&counts_before);
    assert!(requests.reads_and_comparisons() < 60, "{requests:?}");
    assert_no_violations(&w);
}
