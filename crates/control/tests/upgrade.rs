//! Scenarios of the upgrade from the version without job pipelines: both versions side by side, the
//! record of the generation that all controllers are known to run, which completes the upgrade, and the
//! lower limits of the state service that take effect some time after it.
//!
//! The old version is simulated with the record types that it had. It leads, writes all assignments
//! again in its own layout, answers a user, and may crash after any of these steps. It ignores records
//! and fields that it can't read.

mod common;

use common::*;
use fakes::{array_job, gang_job, World};
use rollout::levels::GENERATION_1 as GENERATION;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use wire::records::*;
use wire::users::{Phase, Submission};

/// The old version's record of a part of a job.
#[derive(Clone, Serialize, Deserialize)]
struct OldChunk {
    #[serde(default)]
    done: String,
    #[serde(default)]
    at: Vec<(u32, u64, String)>,
    #[serde(default)]
    hi: u64,
    #[serde(default)]
    secs: f64,
    #[serde(default)]
    timed: u32,
}

/// The old version's entry of a page.
#[derive(Clone, Serialize, Deserialize)]
struct OldEntry {
    job: String,
    part: u32,
    seq: u64,
    chunk: OldChunk,
}

/// The old version's record of a page.
#[derive(Default, Serialize, Deserialize)]
struct OldPage {
    parts: Vec<OldEntry>,
}

/// The old version's record of an open job.
#[derive(Serialize, Deserialize)]
struct OldJob {
    spec: Submission,
    at: u64,
    #[serde(default)]
    aborted: bool,
}

/// A controller of the old version leads for a moment and crashes after this number of steps.
fn lead_with_old_version(world: &mut World, steps: usize) {
    let term: TermRecord = world.state_service.read(TERM_KEY).expect("term");
    let mut remaining_steps = steps;
    let mut step = |world: &mut World, change: &dyn Fn(&mut World)| {
        if remaining_steps > 0 {
            remaining_steps -= 1;
            change(world);
        }
    };
    let leader = LeaderRecord {
        node: "old".into(),
        term: term.term + 1,
        boot: 1,
        level: None,
    };
    step(world, &|world| {
        world.state_service.write(LEADER_KEY, &leader, None);
        world
            .state_service
            .write(TERM_KEY, &TermRecord::new(leader.term), None);
    });
    let mut newest: BTreeMap<(String, u32), OldEntry> = BTreeMap::new();
    let pages = world.state_service.keys(PAGE_PREFIX);
    for page in pages
        .iter()
        .filter_map(|k| world.state_service.read::<OldPage>(k))
    {
        for entry in page.parts {
            let key = (entry.job.clone(), entry.part);
            let known = newest.get(&key).map_or(0, |known| known.seq);
            if entry.seq > known {
                newest.insert(key, entry);
            }
        }
    }
    let mut page = OldPage::default();
    for (_, mut entry) in newest {
        entry.seq += 1;
        page.parts.push(entry);
    }
    step(world, &|world| {
        world.state_service.write(&page_key(0), &page, None)
    });
    for key in pages.iter().filter(|k| **k != page_key(0)) {
        step(world, &|world| world.state_service.delete(key));
    }
    // A user cancels a job at this controller, which writes the job's record again with the fields that
    // it knows.
    step(world, &|world| {
        if let Some(mut job) = world.state_service.read::<OldJob>(&job_key("run-5")) {
            job.aborted = true;
            world.state_service.write(&job_key("run-5"), &job, None);
            let now = world.now;
            world.externally_cancelled.insert("run-5".into(), now);
        }
    });
    // The process crashes, and its lease expires.
    world.run_for(1_000);
    world.state_service.delete(LEADER_KEY);
}

/// A cluster of three nodes of which the last one is down and has not been upgraded.
fn partly_upgraded_cluster() -> World {
    let mut world = World::new(3, |i| settings_with_next_limits(i, 3));
    world.crash(2);
    for m in 0..6 {
        world.add_machine(&format!("vm-{m:06}"), if m % 2 == 0 { "a" } else { "b" });
    }
    assert!(
        world.run_until(6_000, |world| world.leader().is_some()),
        "a leader"
    );
    world.run_for(4_000);
    world
}

/// The generation that all controllers are known to run, or 0 if it is not recorded.
fn cluster_generation(world: &World) -> u32 {
    let record: Option<GenerationRecord> = world.state_service.read(COMMON_GENERATION_KEY);
    record.map_or(0, |record| record.generation)
}

/// Submits twelve jobs, arrays and gangs. Returns their ids.
fn submit_jobs(world: &mut World) -> Vec<String> {
    let mut ids = Vec::new();
    for number in 1..=12 {
        let id = format!("run-{number}");
        let job = match number % 4 {
            0 => gang_job(&id, 2),
            _ => array_job(&id, 3 + 40 * (number % 3)),
        };
        let behaviour = fakes::TaskBehaviour {
            gang_size: if number % 4 == 0 { 2 } else { 0 },
            ..runs_for(4_000)
        };
        let mut status = 0;
        for tries in 0..20 {
            status = world.submit((number as usize + tries) % 3, &job, behaviour);
            if status == 201 {
                break;
            }
            world.run_for(300);
        }
        assert_eq!(status, 201);
        ids.push(id);
    }
    ids
}

/// Waits until all jobs have ended. Returns false if they do not end in time.
fn wait_until_ended(world: &mut World, ids: &[String]) -> bool {
    world.run_until(600_000, |world| {
        ids.iter().all(|id| {
            world
                .state_service
                .read::<JobOutcome>(&final_record_key(id))
                .is_some()
        })
    })
}

/// Number of starts of each task: one, unless the task was stopped in between.
fn start_counts(world: &World) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for (task, _) in world.workers.values().flat_map(|m| &m.started_attempts) {
        *counts.entry(task.clone()).or_default() += 1;
    }
    counts
}

#[test]
fn an_old_leader_during_the_upgrade_loses_no_assignment_wherever_it_crashes() {
    for steps in 0..6 {
        let mut world = partly_upgraded_cluster();
        let ids = submit_jobs(&mut world);
        world.run_for(4_000);
        assert_eq!(cluster_generation(&world), 0, "one node is not upgraded");
        lead_with_old_version(&mut world, steps);
        world.run_for(3_000);
        lead_with_old_version(&mut world, steps);
        // The last node starts again with the new version.
        world.start(2);
        assert!(
            world.run_until(20_000, |world| cluster_generation(world) == GENERATION),
            "{steps}"
        );
        world.apply_next_limits();
        assert!(wait_until_ended(&mut world, &ids), "{steps}");
        let twice: Vec<_> = start_counts(&world)
            .into_iter()
            .filter(|(_, n)| *n > 1)
            .collect();
        assert!(twice.is_empty(), "{steps}: {twice:?}");
        for id in ids.iter().filter(|id| *id != "run-5") {
            assert_eq!(world.phase(2, id), Some(Phase::Done), "{id} {steps}");
        }
        assert_no_violations(&world);
    }
}

#[test]
fn nothing_that_the_old_version_cannot_read_is_written_before_the_upgrade_is_complete() {
    let mut world = partly_upgraded_cluster();
    let ids = submit_jobs(&mut world);
    world.run_for(5_000);
    world.crash(world.leader().expect("leader"));
    world.run_for(8_000);
    assert_eq!(cluster_generation(&world), 0);
    for key in world.state_service.keys(PAGE_PREFIX) {
        let page: PageRecord = world.state_service.read(&key).expect("page");
        assert!(page.dense_entries.is_empty(), "{key}");
    }
    assert!(world.state_service.keys(JOB_OVERFLOW_PREFIX).is_empty());
    for i in 0..3 {
        world.start(i);
    }
    assert!(world.run_until(20_000, |world| cluster_generation(world) == GENERATION));
    assert!(wait_until_ended(&mut world, &ids));
    assert_no_violations(&world);
}

#[test]
fn the_cluster_generation_never_decreases_and_a_node_that_is_down_does_not_block_a_proven_upgrade()
{
    let mut world = partly_upgraded_cluster();
    assert_eq!(
        world.submit(0, &array_job("run-1", 2), runs_for(1_000)),
        201
    );
    world.run_for(5_000);
    assert_eq!(
        cluster_generation(&world),
        0,
        "the third node has not recorded its generation"
    );
    assert_eq!(
        world.submit(
            1,
            &with_dependencies(array_job("run-2", 2), &["run-1"]),
            runs_for(1_000)
        ),
        201
    );
    assert!(
        world.run_until(5_000, |world| cluster_generation(world) == GENERATION),
        "a request that only the new version accepts proves the upgrade"
    );
    // The generation of a later version is not lowered.
    world
        .state_service
        .write(COMMON_GENERATION_KEY, &GenerationRecord::new(7), None);
    for i in 0..2 {
        world.crash(i);
        world.start(i);
    }
    world.run_for(10_000);
    assert_eq!(cluster_generation(&world), 7);
    assert!(completes_within(&mut world, "run-2", 20_000));
    assert_no_violations(&world);
}

/// Guards against a standstill: once the limits were lowered, the state service refused every page in
/// the old version's layout, and no task was started any more.
#[test]
fn limits_lowered_at_any_moment_while_large_pages_are_stored_stop_no_job() {
    for (moment, crash) in [
        (0, false),
        (400, false),
        (1_500, true),
        (3_000, false),
        (9_000, true),
    ] {
        let mut world = partly_upgraded_cluster();
        for m in 6..60 {
            world.add_machine(&format!("vm-{m:06}"), if m % 2 == 0 { "a" } else { "b" });
        }
        world.run_for(3_000);
        let large: Vec<String> = (20..24).map(|n| format!("run-{n}")).collect();
        for id in &large {
            assert_eq!(world.submit(0, &array_job(id, 60), runs_for(40_000)), 201);
        }
        world.run_for(4_000);
        assert!(
            world.state_service.largest_value_bytes(PAGE_PREFIX) > 2048,
            "large pages are stored"
        );
        world.start(2);
        world.run_for(moment);
        world.apply_next_limits();
        if crash {
            world.crash(world.leader().expect("leader"));
        }
        let ids = submit_jobs(&mut world);
        let refused = world.state_service.oversized_txns;
        assert!(
            wait_until_ended(&mut world, &ids),
            "{moment}: {:?}",
            world.state_service.keys(JOB_PREFIX)
        );
        assert!(wait_until_ended(&mut world, &large), "{moment}");
        assert!(refused < 12, "{refused} refused at {moment}");
        assert_eq!(
            world.state_service.oversized_txns, refused,
            "no refused transaction is repeated"
        );
        assert!(cluster_generation(&world) == GENERATION);
        assert!(
            world.state_service.largest_value_bytes(PAGE_PREFIX) <= 2048
                || world.state_service.keys(JOB_PREFIX).is_empty()
        );
        assert_no_violations(&world);
    }
}

/// A large page stays stored until all of its parts have changed, and contains outdated copies of those
/// that have.
#[test]
fn the_next_leader_uses_the_newest_of_the_copies_in_both_layouts() {
    let mut world = partly_upgraded_cluster();
    for m in 6..25 {
        world.add_machine(&format!("vm-{m:06}"), "a");
    }
    world.run_for(3_000);
    // Both jobs are on the same page. The tasks of run-1 keep running and are too many for the page to
    // be rewritten as a small value. Most tasks of run-2 are placed only after the switch of the layout.
    assert_eq!(
        world.submit(0, &array_job("run-1", 70), runs_for(120_000)),
        201
    );
    assert_eq!(
        world.submit(0, &array_job("run-2", 120), runs_for(9_000)),
        201
    );
    world.run_for(6_000);
    assert_eq!(world.placed_tasks("run-2").len(), 30);
    world.start(2);
    assert!(world.run_until(5_000, |world| cluster_generation(world) == GENERATION));
    let wide_copy_count = |world: &World| {
        let pages = world.state_service.keys(PAGE_PREFIX).into_iter();
        let read = pages.filter_map(|k| world.state_service.read::<PageRecord>(&k));
        let has = |p: &PageRecord| {
            p.entries
                .iter()
                .any(|e| e.job == "run-2" && !e.chunk.assignments.is_empty())
        };
        read.filter(has).count()
    };
    for _ in 0..5 {
        world.run_for(6_000);
        assert_eq!(
            wide_copy_count(&world),
            1,
            "the outdated copy is still stored"
        );
        let leader = world.leader().expect("leader");
        world.crash(leader);
        world.run_for(3_000);
        world.start(leader);
    }
    assert!(world.run_until(120_000, |world| world.phase(0, "run-2")
        == Some(Phase::Done)));
    let twice: Vec<_> = start_counts(&world)
        .into_iter()
        .filter(|(_, n)| *n > 1)
        .collect();
    assert!(twice.is_empty(), "{twice:?}");
    assert_no_violations(&world);
}

/// If the limits are lowered although a node has not recorded its generation, the refusal proves that the
/// upgrade is complete.
#[test]
fn limits_lowered_before_the_upgrade_is_complete_cost_only_retries() {
    let mut world = partly_upgraded_cluster();
    for m in 6..60 {
        world.add_machine(&format!("vm-{m:06}"), if m % 2 == 0 { "a" } else { "b" });
    }
    world.run_for(3_000);
    assert_eq!(
        world.submit(0, &array_job("run-1", 100), runs_for(20_000)),
        201
    );
    world.run_for(4_000);
    world.apply_next_limits();
    assert_eq!(
        world.submit(0, &array_job("run-2", 100), runs_for(5_000)),
        201
    );
    assert!(
        world.run_until(8_000, |world| world.placed_tasks("run-2").len() >= 100),
        "tasks are still started"
    );
    assert!(world.run_until(5_000, |world| cluster_generation(world) == GENERATION));
    assert!(wait_until_ended(
        &mut world,
        &["run-1".to_string(), "run-2".to_string()]
    ));
    assert!(
        world.state_service.oversized_txns < 6,
        "{}",
        world.state_service.oversized_txns
    );
    assert_no_violations(&world);
}

#[test]
fn a_long_submission_is_stored_in_several_records_or_refused_because_of_its_size() {
    let types = |n: usize| -> Option<Vec<String>> {
        let more = (0..n).map(|i| format!("type-{i:03}-{}", "x".repeat(80)));
        Some(more.chain([fakes::MACHINE_TYPE.to_string()]).collect())
    };
    let long = |id: &str, n: usize| Submission {
        machine_types: types(n),
        ..array_job(id, 2)
    };
    let mut world = partly_upgraded_cluster();
    // Written while old nodes may be running, and too large for the lower limits to come.
    assert_eq!(world.submit(0, &long("run-1", 30), runs_for(60_000)), 201);
    assert_eq!(world.submit(0, &long("run-2", 30), runs_for(6_000)), 201);
    world.start(2);
    assert!(world.run_until(10_000, |world| cluster_generation(world) == GENERATION));
    world.apply_next_limits();
    assert_eq!(world.abort(1, "run-1"), Some(Phase::Aborted));
    assert!(completes_within(&mut world, "run-2", 20_000));
    assert!(world.run_until(10_000, |world| world
        .state_service
        .keys(JOB_PREFIX)
        .is_empty()));
    assert_eq!(world.phase(2, "run-1"), Some(Phase::Aborted));
    // Submissions are now stored in several records, which the current leader and the next one read.
    assert_eq!(world.submit(0, &long("run-3", 30), runs_for(3_000)), 201);
    assert_eq!(world.submit(0, &long("run-4", 30), runs_for(300_000)), 201);
    assert_eq!(world.state_service.keys(JOB_OVERFLOW_PREFIX).len(), 4);
    world.run_for(3_000);
    assert_eq!(world.placed_tasks("run-4").len(), 2);
    let old = world.leader().expect("leader");
    world.crash(old);
    world.start(old);
    assert!(completes_within(&mut world, "run-3", 20_000));
    assert_eq!(world.submit(1, &long("run-4", 30), runs_for(0)), 200);
    assert_eq!(world.abort(2, "run-4"), Some(Phase::Aborted));
    assert!(world.run_until(10_000, |world| world
        .state_service
        .keys(JOB_PREFIX)
        .is_empty()));
    assert!(
        world.state_service.keys(JOB_OVERFLOW_PREFIX).is_empty(),
        "the overflow records are deleted with their job"
    );
    // A submission above the bound is refused at once, and nothing of it is stored.
    let (status, body) =
        world.send_and_wait(0, "POST", "/submissions", wire::encode(&long("run-5", 60)));
    let refusal: wire::users::ErrorResponse = wire::decode(&body).expect("a refusal");
    assert_eq!(status, 400);
    assert!(refusal.error.contains("2048"), "{}", refusal.error);
    assert_eq!(world.phase(0, "run-5"), None);
    // The ids of a hundred dependencies fit into one record.
    let ids: Vec<String> = (100..200).map(|n| format!("run-{n:06}")).collect();
    for id in &ids {
        world
            .state_service
            .write(&final_record_key(id), &JobOutcome::Done, None);
    }
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    assert!(world.run_until(20_000, |world| world.submit(
        0,
        &with_dependencies(array_job("run-6", 1), &ids),
        runs_for(500)
    ) < 300));
    assert!(completes_within(&mut world, "run-6", 20_000));
    assert_no_violations(&world);
}

/// An unreadable record costs only its own content: no process ends, and other work continues.
#[test]
fn unreadable_records_end_no_process_and_stop_no_other_work() {
    let mut world = partly_upgraded_cluster();
    for key in [
        "v/n0",
        COMMON_GENERATION_KEY,
        "b/00000",
        "b/junk",
        "x/run-8/1",
        "j/run-9",
        "f/run-7",
        "r/t0-1",
    ] {
        world.state_service.write(key, &"nonsense", None);
    }
    for i in 0..3 {
        world.crash(i);
        world.start(i);
    }
    assert!(world.run_until(10_000, |world| world.leader().is_some()));
    let ids: Vec<String> = (1..4).map(|n| format!("run-{n}")).collect();
    for id in &ids {
        let accepted = |world: &mut World| {
            (200..300).contains(&world.submit(1, &array_job(id, 2), runs_for(1_000)))
        };
        assert!(world.run_until(10_000, accepted), "{id}");
    }
    // The state of a dependency whose record is unreadable is unknown, so a job that depends on it is
    // not accepted.
    assert_eq!(
        world.submit(
            0,
            &with_dependencies(array_job("run-4", 1), &["run-7"]),
            runs_for(100)
        ),
        503
    );
    assert_eq!(
        world.submit(
            0,
            &with_dependencies(array_job("run-4", 1), &["run-9"]),
            runs_for(100)
        ),
        503
    );
    assert!(wait_until_ended(&mut world, &ids));
    assert_no_violations(&world);
}
