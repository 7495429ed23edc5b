//! Scenarios of staged upgrades: controllers of different feature levels side by side, rollback,
//! finalization, and controllers that fail meanwhile.

mod common;

use common::*;
use fakes::{array_job, gang_job, World};
use std::collections::BTreeMap;
use vetchmount_control::settings::{Finalization, RolloutSettings};
use vetchmount_control::Operator;
use wire::records::*;
use wire::users::Phase as JobPhase;

const NODE_COUNT: usize = 3;

/// Operator settings with staged upgrades, which restrict a controller to a newest feature level.
fn staged(newest_level: u32, finalize: Finalization) -> Operator {
    let rollout = RolloutSettings {
        newest_level,
        finalize,
        soak_s: 5.0,
        stall_s: 20.0,
        ..RolloutSettings::default()
    };
    Operator {
        rollout: Some(rollout),
        ..Operator::default()
    }
}

/// Operator settings of a build of generation 1, without staged upgrades.
fn generation_1() -> Operator {
    Operator::default()
}

/// Operator settings under which no level becomes final.
fn held(newest_level: u32) -> Operator {
    staged(newest_level, Finalization::Held)
}

/// Operator settings under which a level becomes final after its soak time.
fn automatic(newest_level: u32) -> Operator {
    staged(newest_level, Finalization::Automatic)
}

/// Settings under which idle machines stay rented instead of being returned.
fn settings_keeping_idle_machines(node: usize) -> vetchmount_control::Settings {
    let mut settings = settings(node, NODE_COUNT, 0.0);
    settings.deployment.objectives[0].kind = "guarantee".into();
    settings
}

/// Three controllers with the same operator settings, and six machines.
fn cluster_of(operator: &Operator) -> World {
    let mut world = World::new(NODE_COUNT, settings_keeping_idle_machines);
    for i in 0..NODE_COUNT {
        replace_build(&mut world, i, operator);
    }
    for m in 0..6 {
        world.add_machine(&format!("vm-{m:06}"), if m % 2 == 0 { "a" } else { "b" });
    }
    assert!(
        world.run_until(8_000, |world| world.leader().is_some()),
        "a leader"
    );
    world.run_for(6_000);
    world
}

/// Crashes a controller and immediately starts it with other operator settings, in place of another
/// build.
fn replace_build(world: &mut World, node: usize, operator: &Operator) {
    world.set_operator(node, operator.clone());
    world.crash(node);
    world.start(node);
}

/// The level record.
fn level_record(world: &World) -> LevelRecord {
    world
        .state_service
        .read(CLUSTER_LEVEL_KEY)
        .expect("the level")
}

/// The active level, or 0 if it is not recorded.
fn active_level(world: &World) -> u32 {
    world
        .state_service
        .read::<LevelRecord>(CLUSTER_LEVEL_KEY)
        .map_or(0, |level| level.active)
}

/// The phase of the upgrade.
fn upgrade_phase(world: &World) -> Option<RolloutPhase> {
    world
        .state_service
        .read::<LevelRecord>(CLUSTER_LEVEL_KEY)
        .map(|level| level.phase)
}

/// The level that is final, or 0 if there is none.
fn finalized_level(world: &World) -> u32 {
    let record: Option<GenerationRecord> = world.state_service.read(COMMON_GENERATION_KEY);
    record.map_or(0, |record| record.generation)
}

/// The record of the last term.
fn term_record(world: &World) -> TermRecord {
    world.state_service.read(TERM_KEY).expect("the term")
}

/// Number of pages with entries in the dense form.
fn dense_page_count(world: &World) -> usize {
    let pages = world.state_service.keys(PAGE_PREFIX).into_iter();
    let read = pages.filter_map(|key| world.state_service.read::<PageRecord>(&key));
    read.filter(|page| !page.dense_entries.is_empty()).count()
}

/// The jobs of a scenario with their expected outcomes.
#[derive(Default)]
struct Workload {
    submitted: usize,
    /// Jobs that must complete.
    completing: Vec<String>,
    /// Jobs whose cancellation was confirmed.
    cancelled: Vec<String>,
}

impl Workload {
    /// Submits four jobs: a gang, a job that depends on it if the build supports pipelines and an array
    /// otherwise, an array, and an array that is cancelled.
    fn submit_batch(&mut self, world: &mut World, with_pipelines: bool) {
        let first = self.submitted;
        for kind in 0..4 {
            let id = format!("run-{}", 100 + self.submitted);
            self.submitted += 1;
            let job = match kind {
                0 => gang_job(&id, 2),
                1 if with_pipelines => {
                    with_dependencies(array_job(&id, 2), &[&format!("run-{}", 100 + first)])
                }
                _ => array_job(&id, 5),
            };
            let behaviour = fakes::TaskBehaviour {
                gang_size: if kind == 0 { 2 } else { 0 },
                ..runs_for(3_000)
            };
            let accepted = |world: &mut World| {
                (0..NODE_COUNT).any(|node| {
                    !world.is_down(node)
                        && (200..300).contains(&world.submit(node, &job, behaviour))
                })
            };
            assert!(world.run_until(20_000, accepted), "{id} is accepted");
            if kind != 3 {
                self.completing.push(id);
                continue;
            }
            let confirmed = |world: &mut World| {
                (0..NODE_COUNT).any(|node| {
                    !world.is_down(node)
                        && matches!(world.abort(node, &id), Some(JobPhase::Aborted))
                })
            };
            if world.run_until(20_000, confirmed) {
                self.cancelled.push(id);
            }
        }
    }

    /// Asserts that every job has its expected outcome, that no task was started twice, and that no rule
    /// was broken.
    fn assert_one_outcome_each(&self, world: &mut World) {
        let all: Vec<String> = self
            .completing
            .iter()
            .chain(&self.cancelled)
            .cloned()
            .collect();
        let over = |world: &mut World| {
            let is_over = |id: &String| {
                world
                    .state_service
                    .read::<JobOutcome>(&final_record_key(id))
                    .is_some()
            };
            all.iter().all(is_over)
        };
        assert!(
            world.run_until(600_000, over),
            "{:?}",
            world.state_service.keys(JOB_PREFIX)
        );
        let outcome = |world: &World, id: &String| {
            world
                .state_service
                .read::<JobOutcome>(&final_record_key(id))
        };
        for id in &self.completing {
            assert_eq!(outcome(world, id), Some(JobOutcome::Done), "{id}");
        }
        for id in &self.cancelled {
            assert_eq!(outcome(world, id), Some(JobOutcome::Aborted), "{id}");
        }
        let mut starts: BTreeMap<&String, usize> = BTreeMap::new();
        for (task, _) in world.workers.values().flat_map(|m| &m.started_attempts) {
            *starts.entry(task).or_default() += 1;
        }
        let twice: Vec<_> = starts.iter().filter(|(_, n)| **n > 1).collect();
        assert!(twice.is_empty(), "{twice:?}");
        assert_eq!(world.workers.len(), 6, "a machine was returned");
        assert_no_violations(world);
    }
}

#[test]
fn an_upgrade_goes_through_all_phases_and_fences_the_term_only_when_it_is_final() {
    let mut world = cluster_of(&held(0));
    let mut workload = Workload::default();
    workload.submit_batch(&mut world, false);
    assert_eq!(
        (active_level(&world), upgrade_phase(&world)),
        (0, Some(RolloutPhase::Idle))
    );
    replace_build(&mut world, 0, &automatic(2));
    assert!(world.run_until(10_000, |world| upgrade_phase(world)
        == Some(RolloutPhase::Mixed)));
    workload.submit_batch(&mut world, false);
    replace_build(&mut world, 1, &automatic(2));
    world.run_for(6_000);
    assert_eq!(
        (active_level(&world), upgrade_phase(&world)),
        (0, Some(RolloutPhase::Mixed))
    );
    replace_build(&mut world, 2, &automatic(2));
    assert!(world.run_until(10_000, |world| upgrade_phase(world)
        == Some(RolloutPhase::Soaking)));
    assert_eq!((active_level(&world), finalized_level(&world)), (2, 0));
    workload.submit_batch(&mut world, false);
    assert_eq!(
        dense_page_count(&world),
        0,
        "the previous build must be able to read the pages"
    );
    assert!(!term_record(&world).fenced);
    assert!(
        world.run_until(20_000, |world| finalized_level(world) == 2),
        "{:?}",
        level_record(&world)
    );
    assert_eq!(upgrade_phase(&world), Some(RolloutPhase::Finalized));
    assert!(term_record(&world).fenced);
    world.run_for(2_000);
    workload.submit_batch(&mut world, true);
    // Later leaders read and write the fenced term.
    for _ in 0..2 {
        let before = term_record(&world).term;
        world.crash(world.leader().expect("leader"));
        assert!(world.run_until(8_000, |world| term_record(world).term > before));
        (0..NODE_COUNT).for_each(|i| {
            if world.is_down(i) {
                world.start(i)
            }
        });
        assert!(term_record(&world).fenced);
        world.run_for(4_000);
    }
    workload.submit_batch(&mut world, true);
    workload.assert_one_outcome_each(&mut world);
}

#[test]
fn controllers_roll_back_one_at_a_time_during_an_upgrade_and_after_all_have_upgraded() {
    for orders in [[0, 1, 2], [2, 0, 1], [1, 2, 0]] {
        let mut world = cluster_of(&held(0));
        let mut workload = Workload::default();
        // Two of three controllers are upgraded and return to the old build.
        replace_build(&mut world, orders[0], &held(2));
        world.run_for(4_000);
        replace_build(&mut world, orders[1], &held(2));
        world.run_for(4_000);
        workload.submit_batch(&mut world, false);
        assert_eq!(active_level(&world), 0);
        replace_build(&mut world, orders[0], &held(0));
        replace_build(&mut world, orders[1], &held(0));
        assert!(
            world.run_until(20_000, |world| upgrade_phase(world)
                == Some(RolloutPhase::Idle)),
            "{:?}",
            level_record(&world)
        );
        // All controllers are upgraded, so an upgraded one leads. Then they return in the reverse order.
        for node in orders {
            replace_build(&mut world, node, &held(2));
            world.run_for(4_000);
        }
        let soaks = |world: &mut World| {
            upgrade_phase(world) == Some(RolloutPhase::Soaking) && active_level(world) == 2
        };
        assert!(world.run_until(60_000, soaks), "{:?}", level_record(&world));
        workload.submit_batch(&mut world, false);
        for (returned, node) in orders.into_iter().rev().enumerate() {
            replace_build(&mut world, node, &held(0));
            assert!(
                world.run_until(10_000, |world| active_level(world) == 0),
                "{returned} {:?}",
                level_record(&world)
            );
            workload.submit_batch(&mut world, false);
        }
        assert_eq!(dense_page_count(&world), 0);
        assert!(!term_record(&world).fenced);
        assert!(
            world.run_until(20_000, |world| upgrade_phase(world)
                == Some(RolloutPhase::Idle)),
            "{:?}",
            level_record(&world)
        );
        // The upgrade is repeated.
        for node in orders {
            replace_build(&mut world, node, &held(2));
            world.run_for(4_000);
        }
        assert!(world.run_until(60_000, soaks), "{:?}", level_record(&world));
        workload.assert_one_outcome_each(&mut world);
    }
}

#[test]
fn builds_that_announce_nothing_lower_the_active_level_and_may_lead() {
    let mut world = cluster_of(&generation_1());
    assert!(
        world.run_until(10_000, |world| finalized_level(world) == 1),
        "generation 1 is final"
    );
    let mut workload = Workload::default();
    workload.submit_batch(&mut world, true);
    for node in 0..NODE_COUNT {
        replace_build(&mut world, node, &held(2));
        world.run_for(4_000);
        workload.submit_batch(&mut world, true);
    }
    assert!(
        world.run_until(60_000, |world| active_level(world) == 2),
        "{:?}",
        level_record(&world)
    );
    assert_eq!(
        finalized_level(&world),
        1,
        "the finalized level does not change"
    );
    for node in 0..NODE_COUNT {
        replace_build(&mut world, node, &generation_1());
        world.run_for(2_000);
        workload.submit_batch(&mut world, true);
        if node + 1 < NODE_COUNT {
            assert!(
                world.run_until(20_000, |world| active_level(world) == 1),
                "{:?}",
                level_record(&world)
            );
        }
    }
    world.run_for(10_000);
    assert_eq!(finalized_level(&world), 1);
    assert!(!term_record(&world).fenced);
    workload.submit_batch(&mut world, true);
    workload.assert_one_outcome_each(&mut world);
}

#[test]
fn a_cluster_partway_to_generation_1_completes_a_staged_upgrade() {
    let mut world = World::new(NODE_COUNT, settings_keeping_idle_machines);
    world.crash(2);
    for m in 0..6 {
        world.add_machine(&format!("vm-{m:06}"), "a");
    }
    assert!(world.run_until(8_000, |world| world.leader().is_some()));
    world.run_for(4_000);
    assert_eq!(
        world.state_service.keys(NODE_GENERATION_PREFIX).len(),
        2,
        "two controllers have recorded their generation"
    );
    let mut workload = Workload::default();
    workload.submit_batch(&mut world, false);
    for node in [2, 0, 1] {
        replace_build(&mut world, node, &automatic(2));
        world.run_for(4_000);
    }
    assert!(
        world.run_until(60_000, |world| finalized_level(world) == 2),
        "{:?}",
        level_record(&world)
    );
    assert_eq!(
        world.state_service.keys(NODE_GENERATION_PREFIX).len(),
        2,
        "builds that can be rolled back must not record a generation"
    );
    workload.submit_batch(&mut world, true);
    workload.assert_one_outcome_each(&mut world);
}

/// Covers every write of the level record during an upgrade, a rollback and the next upgrade. The
/// process that sends the write crashes before the write is executed, or after it without the reply.
#[test]
fn a_process_may_crash_at_every_write_of_the_level() {
    let run_scenario = |crash: Option<(u64, bool)>| -> (World, u64) {
        let mut world = cluster_of(&held(0));
        let before = world.counted_txns;
        world.crash_at_counted_txn = crash.map(|(number, executed)| (before + number, executed));
        let mut workload = Workload::default();
        workload.submit_batch(&mut world, false);
        let replace_and_restart = |world: &mut World, node: usize, operator: &Operator| {
            replace_build(world, node, operator);
            world.run_for(4_000);
            for other in 0..NODE_COUNT {
                if world.is_down(other) {
                    world.start(other);
                }
            }
        };
        replace_and_restart(&mut world, 1, &automatic(2));
        replace_and_restart(&mut world, 1, &held(0));
        for node in 0..NODE_COUNT {
            replace_and_restart(&mut world, node, &automatic(2));
        }
        let until = world.now + 180_000;
        while world.now < until && finalized_level(&world) < 2 {
            world.run_for(1_000);
            (0..NODE_COUNT).for_each(|i| {
                if world.is_down(i) {
                    world.start(i)
                }
            });
            let announced = |i: usize| {
                world
                    .state_service
                    .read::<MemberRecord>(&member_key(&format!("n{i}")))
            };
            let supported = (0..NODE_COUNT)
                .filter_map(announced)
                .map(|m| m.newest_level)
                .min();
            assert!(
                active_level(&world) <= supported.unwrap_or(0),
                "{crash:?} {:?}",
                level_record(&world)
            );
        }
        assert_eq!(
            finalized_level(&world),
            2,
            "{crash:?} {:?}",
            level_record(&world)
        );
        workload.submit_batch(&mut world, true);
        workload.assert_one_outcome_each(&mut world);
        let writes = world.counted_txns - before;
        (world, writes)
    };
    let (_, writes) = run_scenario(None);
    assert!(writes >= 10, "{writes} writes");
    for number in 1..=writes {
        for executed in [false, true] {
            let (world, _) = run_scenario(Some((number, executed)));
            assert_eq!(
                world.crash_at_counted_txn, None,
                "write {number} was not reached"
            );
        }
    }
}

#[test]
fn two_upgrades_in_a_row_become_final_one_after_the_other() {
    let mut world = cluster_of(&held(0));
    let mut workload = Workload::default();
    for newest in [1, 2] {
        for node in 0..NODE_COUNT {
            replace_build(&mut world, node, &automatic(newest));
            world.run_for(4_000);
            workload.submit_batch(&mut world, newest == 2);
        }
        assert!(
            world.run_until(90_000, |world| finalized_level(world) == newest),
            "{:?}",
            level_record(&world)
        );
        assert_eq!(term_record(&world).fenced, newest == 2);
    }
    workload.assert_one_outcome_each(&mut world);
}

#[test]
fn a_restart_of_a_controller_restarts_the_soak_time() {
    let mut patient = automatic(2);
    if let Some(rollout) = &mut patient.rollout {
        rollout.soak_s = 20.0;
    }
    let mut world = cluster_of(&patient);
    assert!(world.run_until(10_000, |world| upgrade_phase(world)
        == Some(RolloutPhase::Soaking)));
    world.run_for(15_000);
    let leader = world.leader().expect("leader");
    let other = (0..NODE_COUNT).find(|n| *n != leader).expect("another");
    replace_build(&mut world, other, &patient);
    world.run_for(19_000);
    assert_eq!(finalized_level(&world), 0, "the restart was 19 s ago");
    assert!(
        world.run_until(20_000, |world| finalized_level(world) == 2),
        "{:?}",
        level_record(&world)
    );
    assert_no_violations(&world);
}

#[test]
fn an_upgrade_whose_finalization_is_held_stays_reversible() {
    let mut world = cluster_of(&held(2));
    world.run_for(60_000);
    assert_eq!((active_level(&world), finalized_level(&world)), (2, 0));
    assert!(!term_record(&world).fenced);
    assert_no_violations(&world);
}

#[test]
fn a_build_below_the_finalized_level_serves_no_users_and_writes_nothing() {
    let mut world = cluster_of(&automatic(2));
    assert!(world.run_until(60_000, |world| finalized_level(world) == 2));
    let mut workload = Workload::default();
    workload.submit_batch(&mut world, true);
    let member = world.state_service.version(&member_key("n1"));
    let version = world.state_service.version(CLUSTER_LEVEL_KEY);
    replace_build(&mut world, 1, &held(1));
    world.run_for(20_000);
    assert_eq!(
        world.state_service.version(&member_key("n1")),
        member,
        "the old build announced itself"
    );
    assert_eq!(world.state_service.version(CLUSTER_LEVEL_KEY), version);
    assert_eq!(world.send_and_wait(1, "GET", "/ready", vec![]).0, 503);
    assert_eq!(world.submit(1, &array_job("run-1", 1), runs_for(100)), 503);
    // The old build does not lead even if it is the only controller that is left.
    world.crash(0);
    world.crash(2);
    world.run_for(20_000);
    assert_eq!(world.leader(), None);
    world.start(0);
    world.start(2);
    assert!(world.run_until(10_000, |world| world.leader().is_some()));
    world.run_for(4_000);
    workload.submit_batch(&mut world, true);
    workload.assert_one_outcome_each(&mut world);
}

#[test]
fn a_build_whose_oldest_level_is_above_the_active_level_does_not_take_part() {
    let mut world = cluster_of(&held(0));
    let mut too_new = held(2);
    if let Some(rollout) = &mut too_new.rollout {
        rollout.oldest_level = 1;
    }
    let (member, version) = (
        world.state_service.version(&member_key("n1")),
        world.state_service.version(CLUSTER_LEVEL_KEY),
    );
    replace_build(&mut world, 1, &too_new);
    world.run_for(8_000);
    assert_eq!(world.send_and_wait(1, "GET", "/ready", vec![]).0, 503);
    assert_eq!(world.state_service.version(&member_key("n1")), member);
    assert_eq!(world.state_service.version(CLUSTER_LEVEL_KEY), version);
    let mut workload = Workload::default();
    workload.submit_batch(&mut world, false);
    workload.assert_one_outcome_each(&mut world);
}

#[test]
fn a_controller_frozen_in_one_phase_and_resumed_in_a_later_one_breaks_no_rule() {
    for (is_final_on_resume, is_leader_frozen) in
        [(false, true), (false, false), (true, true), (true, false)]
    {
        let mut world = cluster_of(&held(0));
        let mut workload = Workload::default();
        for node in 0..NODE_COUNT {
            replace_build(&mut world, node, &automatic(2));
            world.run_for(if node == 2 { 1_000 } else { 4_000 });
        }
        workload.submit_batch(&mut world, false);
        let leader = world.leader().expect("leader");
        let frozen = (0..NODE_COUNT)
            .find(|n| (*n == leader) == is_leader_frozen)
            .expect("one of them");
        let until = world.now + 40_000;
        world.faults.frozen_until.insert(frozen, until);
        world.run_for(5_000);
        workload.submit_batch(&mut world, false);
        if is_final_on_resume {
            world.run_for(36_000);
            assert!(
                world.run_until(90_000, |world| finalized_level(world) == 2),
                "{:?}",
                level_record(&world)
            );
        } else {
            let other = (0..NODE_COUNT).find(|n| *n != frozen).expect("another");
            replace_build(&mut world, other, &held(0));
            assert!(
                world.run_until(20_000, |world| active_level(world) == 0),
                "{:?}",
                level_record(&world)
            );
            world.run_for(40_000);
            assert_eq!(active_level(&world), 0);
            assert!(!term_record(&world).fenced);
        }
        workload.submit_batch(&mut world, false);
        workload.assert_one_outcome_each(&mut world);
    }
}

#[test]
fn a_controller_that_stays_down_stalls_the_upgrade_until_it_returns() {
    let mut world = cluster_of(&held(0));
    world.crash(2);
    replace_build(&mut world, 0, &held(2));
    replace_build(&mut world, 1, &held(2));
    let paused =
        |world: &mut World| matches!(level_record(world).pause, Some(PauseReason::Stalled { .. }));
    assert!(
        world.run_until(60_000, paused),
        "{:?}",
        level_record(&world)
    );
    assert_eq!(
        level_record(&world).pause,
        Some(PauseReason::Stalled { label: "n2".into() })
    );
    assert_eq!(active_level(&world), 0);
    let status = world.rollout_status(0).expect("a status");
    assert!(status.waits_for.contains("n2"), "{status:?}");
    assert_eq!(status.controllers.len(), NODE_COUNT);
    world.set_operator(2, held(2));
    world.start(2);
    assert!(
        world.run_until(60_000, |world| active_level(world) == 2),
        "{:?}",
        level_record(&world)
    );
    assert_eq!(level_record(&world).pause, None);
    assert_no_violations(&world);
}

/// Guards against an upgrade that is paused for good: a controller went back and returned, and the pause that followed
/// lasted longer than the time after which an upgrade without progress counts as stalled.
#[test]
fn an_upgrade_goes_on_after_a_controller_went_back_and_returned() {
    let mut world = cluster_of(&held(0));
    for node in 0..NODE_COUNT {
        replace_build(&mut world, node, &held(2));
    }
    assert!(world.run_until(30_000, |world| active_level(world) == 2));
    replace_build(&mut world, 2, &held(0));
    assert!(world.run_until(10_000, |world| active_level(world) == 0));
    replace_build(&mut world, 2, &held(2));
    assert!(
        world.run_until(60_000, |world| active_level(world) == 2),
        "{:?}",
        level_record(&world)
    );
    assert_eq!(level_record(&world).pause, None);
    assert_no_violations(&world);
}

#[test]
fn a_controller_that_restarts_repeatedly_pauses_the_upgrade() {
    let mut world = cluster_of(&automatic(1));
    assert!(world.run_until(60_000, |world| finalized_level(world) == 1));
    replace_build(&mut world, 0, &automatic(2));
    replace_build(&mut world, 1, &automatic(2));
    world.run_for(5_000);
    for _ in 0..6 {
        replace_build(&mut world, 2, &automatic(2));
        world.run_for(2_000);
    }
    let paused = |world: &mut World| {
        matches!(
            level_record(world).pause,
            Some(PauseReason::Restarting { .. })
        )
    };
    assert!(
        world.run_until(10_000, paused),
        "{:?}",
        level_record(&world)
    );
    assert_eq!(finalized_level(&world), 1);
    // The upgrade continues once the restarts have ceased.
    assert!(
        world.run_until(240_000, |world| finalized_level(world) == 2),
        "{:?}",
        level_record(&world)
    );
    assert_no_violations(&world);
}

#[test]
fn the_state_service_refuses_one_controller_or_all_during_an_upgrade() {
    for all in [false, true] {
        let mut world = cluster_of(&held(0));
        let mut workload = Workload::default();
        replace_build(&mut world, 0, &automatic(2));
        replace_build(&mut world, 1, &automatic(2));
        world.run_for(3_000);
        if all {
            world.state_service_down = true;
        } else {
            world.refused_by_state_service.insert(2);
        }
        replace_build(&mut world, 2, &automatic(2));
        world.run_for(25_000);
        assert_eq!(finalized_level(&world), 0);
        assert_eq!(
            active_level(&world),
            0,
            "one controller has not announced the level"
        );
        world.state_service_down = false;
        world.refused_by_state_service.clear();
        workload.submit_batch(&mut world, false);
        assert!(
            world.run_until(120_000, |world| finalized_level(world) == 2),
            "{:?}",
            level_record(&world)
        );
        workload.submit_batch(&mut world, true);
        workload.assert_one_outcome_each(&mut world);
    }
}

#[test]
fn lost_answers_and_late_writes_during_an_upgrade_break_no_rule() {
    for seed in 0..6 {
        let mut world = cluster_of(&held(0));
        world.seed(seed);
        world.faults.late_txn_share = 0.1;
        world.faults.lost_response_share = 0.1;
        let mut workload = Workload::default();
        for newest in [2, 0, 2] {
            for node in 0..NODE_COUNT {
                replace_build(
                    &mut world,
                    (node + seed as usize) % NODE_COUNT,
                    &automatic(newest),
                );
                world.run_for(3_000);
                let members = (0..NODE_COUNT).filter_map(|i| {
                    let member: Option<MemberRecord> =
                        world.state_service.read(&member_key(&format!("n{i}")));
                    member.map(|m| m.newest_level)
                });
                let least = members.min().unwrap_or(0);
                assert!(
                    active_level(&world).max(finalized_level(&world)) <= least,
                    "{seed} {:?}",
                    level_record(&world)
                );
            }
            workload.submit_batch(&mut world, false);
            if finalized_level(&world) == 2 {
                break;
            }
        }
        world.faults.late_txn_share = 0.0;
        world.faults.lost_response_share = 0.0;
        for node in 0..NODE_COUNT {
            if world
                .state_service
                .read::<MemberRecord>(&member_key(&format!("n{node}")))
                .map(|m| m.newest_level)
                != Some(2)
            {
                replace_build(&mut world, node, &automatic(2));
            }
        }
        assert!(
            world.run_until(180_000, |world| finalized_level(world) == 2),
            "{seed} {:?}",
            level_record(&world)
        );
        workload.assert_one_outcome_each(&mut world);
    }
}

#[test]
fn unreadable_records_and_records_of_later_builds_are_tolerated() {
    // An unreadable level record: the level does not change, the record is not overwritten, and jobs
    // run.
    let mut world = cluster_of(&held(2));
    world
        .state_service
        .write(CLUSTER_LEVEL_KEY, &"nonsense", None);
    let version = world.state_service.version(CLUSTER_LEVEL_KEY);
    world.run_for(20_000);
    assert_eq!(world.state_service.version(CLUSTER_LEVEL_KEY), version);
    let mut workload = Workload::default();
    workload.submit_batch(&mut world, false);
    workload.assert_one_outcome_each(&mut world);
    // An unreadable announcement: its controller writes it again.
    let mut world = cluster_of(&held(2));
    world.state_service.write(&member_key("n1"), &7, None);
    world.run_for(10_000);
    assert!(world.run_until(30_000, |world| world
        .state_service
        .read::<MemberRecord>(&member_key("n1"))
        .is_some()));
    // A finalized generation of a later build: this build does not take part.
    world
        .state_service
        .write(COMMON_GENERATION_KEY, &GenerationRecord::new(7), None);
    world.run_for(12_000);
    assert_eq!(world.leader(), None);
    assert_eq!(world.send_and_wait(0, "GET", "/ready", vec![]).0, 503);
    assert_no_violations(&world);
}

#[test]
fn an_announcement_of_an_unconfigured_controller_pauses_the_upgrade_only_if_it_is_new() {
    let mut world = cluster_of(&held(0));
    let unconfigured = |boot| MemberRecord {
        oldest_level: 0,
        newest_level: 2,
        build: "elsewhere".into(),
        boot,
        unknown: UnknownFields::new(),
    };
    world
        .state_service
        .write(&member_key("n9"), &unconfigured(1), None);
    world.run_for(6_000);
    assert_eq!(
        upgrade_phase(&world),
        Some(RolloutPhase::Idle),
        "an unconfigured controller does not count"
    );
    replace_build(&mut world, 0, &held(2));
    assert!(world.run_until(10_000, |world| upgrade_phase(world)
        == Some(RolloutPhase::Mixed)));
    assert_eq!(level_record(&world).pause, None);
    world
        .state_service
        .write(&member_key("n9"), &unconfigured(2), None);
    let paused =
        |world: &mut World| matches!(level_record(world).pause, Some(PauseReason::Unknown { .. }));
    assert!(
        world.run_until(10_000, paused),
        "{:?}",
        level_record(&world)
    );
    let resumed =
        |world: &mut World| !matches!(level_record(world).pause, Some(PauseReason::Unknown { .. }));
    assert!(
        world.run_until(60_000, resumed),
        "{:?}",
        level_record(&world)
    );
    assert_no_violations(&world);
}

/// A cluster of five controllers whose level 1 is final.
fn cluster_of_five() -> World {
    let settings = |i| {
        let mut settings = settings(i, 5, 0.0);
        settings.deployment.objectives[0].kind = "guarantee".into();
        settings
    };
    let mut world = World::new(5, settings);
    for node in 0..5 {
        replace_build(&mut world, node, &automatic(1));
    }
    assert!(world.run_until(60_000, |world| finalized_level(world) == 1));
    world
}

#[test]
fn an_upgrade_costs_at_most_two_elections_in_any_order_of_stops_or_crashes() {
    let orders = [
        [0, 1, 2, 3, 4],
        [4, 3, 2, 1, 0],
        [2, 0, 4, 1, 3],
        [1, 3, 0, 2, 4],
        [3, 1, 4, 0, 2],
    ];
    for (number, order) in orders.into_iter().enumerate() {
        for orderly in [true, false] {
            let mut world = cluster_of_five();
            world.run_for(700 * number as u64);
            let before = term_record(&world).term;
            // The worst case: each step replaces the leader as long as it runs the old build, and
            // otherwise the next controller in the order.
            let mut not_upgraded = order.to_vec();
            while !not_upgraded.is_empty() {
                let leader = world.leader().filter(|l| not_upgraded.contains(l));
                let node = leader.unwrap_or(not_upgraded[0]);
                not_upgraded.retain(|n| *n != node);
                world.set_operator(node, held(2));
                if orderly {
                    world.stop(node);
                    assert!(world.run_until(4_000, |world| world.is_down(node)));
                } else {
                    world.crash(node);
                }
                world.run_for(3_000);
                world.start(node);
                // The upgraded controllers notice a vacancy last. They become leaders only because the
                // others defer to them.
                world.faults.max_state_request_delay_ms.insert(node, 250);
                world.run_for(4_000);
            }
            assert!(
                world.run_until(60_000, |world| active_level(world) == 2),
                "{:?}",
                level_record(&world)
            );
            let elections = term_record(&world).term - before;
            assert!(elections <= 2, "{order:?} {orderly}: {elections} elections");
            assert_no_violations(&world);
        }
    }
}

#[test]
fn a_leader_that_stops_names_its_successor_which_leads_within_a_third_of_a_second() {
    let mut world = cluster_of(&held(2));
    assert!(world.run_until(60_000, |world| active_level(world) == 2));
    world.run_for(4_000);
    let mut workload = Workload::default();
    workload.submit_batch(&mut world, false);
    for _ in 0..4 {
        let (old, before) = (world.leader().expect("leader"), term_record(&world).term);
        let stopped_at = world.now;
        world.stop(old);
        while term_record(&world).term == before && world.now < stopped_at + 2_000 {
            world.run_for(10);
        }
        let took_ms = world.now - stopped_at;
        assert!(took_ms <= 330, "{took_ms} ms");
        assert_eq!(term_record(&world).term, before + 1, "one election");
        assert!(world.run_until(4_000, |world| world.is_down(old)));
        world.run_for(500);
        // Among equally suitable controllers the last one is named.
        let named = (0..NODE_COUNT).rev().find(|n| *n != old);
        assert_eq!(world.leader(), named, "the named successor leads");
        world.start(old);
        world.run_for(5_000);
        workload.submit_batch(&mut world, false);
    }
    let leader: LeaderRecord = world.state_service.read(LEADER_KEY).expect("the leader");
    assert_eq!(leader.level, Some(2));
    workload.assert_one_outcome_each(&mut world);
}

#[test]
fn fields_that_a_newer_build_added_survive_a_cancellation_by_this_one() {
    #[derive(serde::Serialize)]
    struct NewerJob {
        spec: wire::users::Submission,
        at: u64,
        aborted: bool,
        lineage: String,
    }
    let mut world = cluster_of(&held(2));
    let job = array_job("run-1", 1);
    let job = wire::users::Submission {
        zone: Some("c".into()),
        ..job
    };
    world.upload_job(&job, runs_for(100));
    let newer = NewerJob {
        spec: job,
        at: 1_700_000_000_000,
        aborted: false,
        lineage: "from a newer build".into(),
    };
    world.state_service.write(&job_key("run-1"), &newer, None);
    world.run_for(2_000);
    let record: JobRecord = world
        .state_service
        .read(&job_key("run-1"))
        .expect("the job");
    assert_eq!(record.unknown.len(), 1);
    let leader = world.leader().expect("leader");
    world.crash(leader);
    // Without a leader the cancelled job is not finalized, so the record that the cancellation wrote
    // can be read.
    let other = (leader + 1) % NODE_COUNT;
    assert_eq!(world.abort(other, "run-1"), Some(JobPhase::Aborted));
    if let Some(record) = world.state_service.read::<JobRecord>(&job_key("run-1")) {
        assert!(record.aborted);
        assert_eq!(record.unknown.len(), 1);
    }
}
