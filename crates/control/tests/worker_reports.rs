//! Reports of workers that list several attempts of one task.

mod common;

use common::*;
use fakes::{array_job, World, MACHINE_TYPE};
use wire::workers::{EndCause, TaskPhase, TaskStatus};

/// Sends a report of a machine that lists, besides its tasks, an earlier attempt of each, before or behind it.
fn report_earlier_attempts(world: &mut World, machine: &str, earlier_first: bool) {
    let now = world.now;
    let worker = world.workers.get_mut(machine).expect("machine");
    let mut report = worker.report(MACHINE_TYPE, now);
    let mut tasks = Vec::new();
    for current in report.tasks {
        let earlier = TaskStatus {
            attempt: current.attempt - 1,
            phase: TaskPhase::Ended,
            cause: Some(EndCause::Stopped),
            ..current.clone()
        };
        match earlier_first {
            true => tasks.extend([earlier, current]),
            false => tasks.extend([current, earlier]),
        }
    }
    report.tasks = tasks;
    let leader = world.leader().expect("leader");
    let body = wire::encode(&report);
    let (status, _) = world.send_and_wait(leader, "POST", "/v1/report", body);
    assert_eq!(status, 200);
}

/// Guards against a task that was started on a second machine while it ran: its report listed an ended attempt behind
/// the running one, which hid the running one.
#[test]
fn an_ended_attempt_in_a_report_does_not_hide_the_running_one() {
    for earlier_first in [true, false] {
        let mut world = start_cluster(1, 2, 0.0);
        assert_eq!(
            world.submit(0, &array_job("run-1", 1), runs_for(15_000)),
            201
        );
        assert!(world.run_until(10_000, |world| !world.placed_tasks("run-1").is_empty()));
        world.run_for(3_000);
        let (machine, _, _) = world.placed_tasks("run-1").swap_remove(0);
        report_earlier_attempts(&mut world, &machine, earlier_first);
        assert!(completes_within(&mut world, "run-1", 60_000));
        let starts = world.workers.values().map(|w| w.started_attempts.len());
        assert_eq!(starts.sum::<usize>(), 1, "earlier first: {earlier_first}");
        assert_no_violations(&world);
    }
}
