//! Staged upgrades: mixed levels side by side, rollback, finalization, and controllers that fail during all of it.

mod common;

use common::*;
use fakes::{array, gang, World};
use std::collections::BTreeMap;
use vetchmount_control::settings::{Finalization, RolloutSettings};
use vetchmount_control::Operator;
use wire::records::*;
use wire::users::Phase as JobPhase;

const NODES: usize = 3;

/// A controller with staged upgrades, held to a level.
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

/// A build of generation 1, without staged upgrades.
fn generation_1() -> Operator {
    Operator::default()
}

fn held(level: u32) -> Operator {
    staged(level, Finalization::Held)
}

fn automatic(level: u32) -> Operator {
    staged(level, Finalization::Automatic)
}

/// Settings under which idle machines stand ready instead of going back.
fn ready_machines(node: usize) -> vetchmount_control::Settings {
    let mut settings = settings(node, NODES, 0.0);
    settings.deployment.objectives[0].kind = "guarantee".into();
    settings
}

/// Three controllers of one build with six machines.
fn cluster_of(operator: &Operator) -> World {
    let mut w = World::new(NODES, ready_machines);
    for i in 0..NODES {
        replace(&mut w, i, operator);
    }
    for m in 0..6 {
        w.add_machine(&format!("vm-{m:06}"), if m % 2 == 0 { "a" } else { "b" });
    }
    assert!(w.until(8_000, |w| w.leader().is_some()), "a leader");
    w.run(6_000);
    w
}

/// A controller's process ends, and one of another build takes its place at once.
fn replace(w: &mut World, node: usize, operator: &Operator) {
    w.set_operator(node, operator.clone());
    w.crash(node);
    w.start(node);
}

fn level(w: &World) -> LevelRecord {
    w.state.read(LEVEL).expect("the level")
}

fn active(w: &World) -> u32 {
    w.state.read::<LevelRecord>(LEVEL).map_or(0, |l| l.active)
}

fn phase(w: &World) -> Option<Phase> {
    w.state.read::<LevelRecord>(LEVEL).map(|l| l.phase)
}

fn finalized(w: &World) -> u32 {
    let mark: Option<GenerationRecord> = w.state.read(MARK);
    mark.map_or(0, |m| m.generation)
}

fn term(w: &World) -> TermRecord {
    w.state.read(TERM).expect("the term")
}

fn small_pages(w: &World) -> usize {
    let pages = w.state.keys(PAGES).into_iter();
    let read = pages.filter_map(|key| w.state.read::<PageRecord>(&key));
    read.filter(|page| !page.small.is_empty()).count()
}

/// Jobs with what became of them, so that each has one outcome in the end.
#[derive(Default)]
struct Load {
    next: usize,
    run: Vec<String>,
    cancelled: Vec<String>,
}

impl Load {
    /// Some more jobs: arrays, a gang, a pipeline of two where the build knows them, and one that is cancelled.
    fn add(&mut self, w: &mut World, pipelines: bool) {
        let first = self.next;
        for kind in 0..4 {
            let id = format!("run-{}", 100 + self.next);
            self.next += 1;
            let job = match kind {
                0 => gang(&id, 2),
                1 if pipelines => {
                    with_dependencies(array(&id, 2), &[&format!("run-{}", 100 + first)])
                }
                _ => array(&id, 5),
            };
            let behaviour = fakes::Behaviour {
                gang: if kind == 0 { 2 } else { 0 },
                ..runs_for(3_000)
            };
            let accepted = |w: &mut World| {
                (0..NODES).any(|node| {
                    !w.is_down(node) && (200..300).contains(&w.submit(node, &job, behaviour))
                })
            };
            assert!(w.until(20_000, accepted), "{id} is accepted");
            if kind != 3 {
                self.run.push(id);
                continue;
            }
            let confirmed = |w: &mut World| {
                (0..NODES).any(|node| {
                    !w.is_down(node) && matches!(w.abort(node, &id), Some(JobPhase::Aborted))
                })
            };
            if w.until(20_000, confirmed) {
                self.cancelled.push(id);
            }
        }
    }

    /// Every job has one outcome, no task was started twice, and no rule was broken.
    fn has_one_outcome_each(&self, w: &mut World) {
        let all: Vec<String> = self.run.iter().chain(&self.cancelled).cloned().collect();
        let over = |w: &mut World| {
            let is_over = |id: &String| w.state.read::<Final>(&final_key(id)).is_some();
            all.iter().all(is_over)
        };
        assert!(w.until(600_000, over), "{:?}", w.state.keys(JOBS));
        let outcome = |w: &World, id: &String| w.state.read::<Final>(&final_key(id));
        for id in &self.run {
            assert_eq!(outcome(w, id), Some(Final::Done), "{id}");
        }
        for id in &self.cancelled {
            assert_eq!(outcome(w, id), Some(Final::Aborted), "{id}");
        }
        let mut starts: BTreeMap<&String, usize> = BTreeMap::new();
        for (task, _) in w.workers.values().flat_map(|m| &m.started) {
            *starts.entry(task).or_default() += 1;
        }
        let twice: Vec<_> = starts.iter().filter(|(_, n)| **n > 1).collect();
        assert!(twice.is_empty(), "{twice:?}");
        assert_eq!(w.workers.len(), 6, "no machine was given back");
        assert_no_violations(w);
    }
}

#[test]
fn an_upgrade_goes_through_all_phases_and_fences_the_term_only_when_it_is_final() {
    let mut w = cluster_of(&held(0));
    let mut load = Load::default();
    load.add(&mut w, false);
    assert_eq!((active(&w), phase(&w)), (0, Some(Phase::Idle)));
    replace(&mut w, 0, &automatic(2));
    assert!(w.until(10_000, |w| phase(w) == Some(Phase::Mixed)));
    load.add(&mut w, false);
    replace(&mut w, 1, &automatic(2));
    w.run(6_000);
    assert_eq!((active(&w), phase(&w)), (0, Some(Phase::Mixed)));
    replace(&mut w, 2, &automatic(2));
    assert!(w.until(10_000, |w| phase(w) == Some(Phase::Soaking)));
    assert_eq!((active(&w), finalized(&w)), (2, 0));
    load.add(&mut w, false);
    assert_eq!(small_pages(&w), 0, "still readable by the build before");
    assert!(!term(&w).fenced);
    assert!(w.until(20_000, |w| finalized(w) == 2), "{:?}", level(&w));
    assert_eq!(phase(&w), Some(Phase::Finalized));
    assert!(term(&w).fenced);
    w.run(2_000);
    load.add(&mut w, true);
    // The next leaders read and write the fenced term.
    for _ in 0..2 {
        let before = term(&w).term;
        w.crash(w.leader().expect("leader"));
        assert!(w.until(8_000, |w| term(w).term > before));
        (0..NODES).for_each(|i| {
            if w.is_down(i) {
                w.start(i)
            }
        });
        assert!(term(&w).fenced);
        w.run(4_000);
    }
    load.add(&mut w, true);
    load.has_one_outcome_each(&mut w);
}

#[test]
fn controllers_return_to_the_build_before_one_at_a_time_halfway_and_after_all_have_upgraded() {
    for orders in [[0, 1, 2], [2, 0, 1], [1, 2, 0]] {
        let mut w = cluster_of(&held(0));
        let mut load = Load::default();
        // Halfway, and back.
        replace(&mut w, orders[0], &held(2));
        w.run(4_000);
        replace(&mut w, orders[1], &held(2));
        w.run(4_000);
        load.add(&mut w, false);
        assert_eq!(active(&w), 0);
        replace(&mut w, orders[0], &held(0));
        replace(&mut w, orders[1], &held(0));
        assert!(
            w.until(20_000, |w| phase(w) == Some(Phase::Idle)),
            "{:?}",
            level(&w)
        );
        // All of them, and back in another order while a new one leads.
        for node in orders {
            replace(&mut w, node, &held(2));
            w.run(4_000);
        }
        let soaks = |w: &mut World| phase(w) == Some(Phase::Soaking) && active(w) == 2;
        assert!(w.until(60_000, soaks), "{:?}", level(&w));
        load.add(&mut w, false);
        for (returned, node) in orders.into_iter().rev().enumerate() {
            replace(&mut w, node, &held(0));
            assert!(
                w.until(10_000, |w| active(w) == 0),
                "{returned} {:?}",
                level(&w)
            );
            load.add(&mut w, false);
        }
        assert_eq!(small_pages(&w), 0);
        assert!(!term(&w).fenced);
        assert!(
            w.until(20_000, |w| phase(w) == Some(Phase::Idle)),
            "{:?}",
            level(&w)
        );
        // And once more.
        for node in orders {
            replace(&mut w, node, &held(2));
            w.run(4_000);
        }
        assert!(w.until(60_000, soaks), "{:?}", level(&w));
        load.has_one_outcome_each(&mut w);
    }
}

#[test]
fn builds_that_announce_nothing_take_the_level_back_and_lead_meanwhile() {
    let mut w = cluster_of(&generation_1());
    assert!(
        w.until(10_000, |w| finalized(w) == 1),
        "generation 1 is final"
    );
    let mut load = Load::default();
    load.add(&mut w, true);
    for node in 0..NODES {
        replace(&mut w, node, &held(2));
        w.run(4_000);
        load.add(&mut w, true);
    }
    assert!(w.until(60_000, |w| active(w) == 2), "{:?}", level(&w));
    assert_eq!(finalized(&w), 1, "the mark keeps its meaning");
    for node in 0..NODES {
        replace(&mut w, node, &generation_1());
        w.run(2_000);
        load.add(&mut w, true);
        if node + 1 < NODES {
            assert!(w.until(20_000, |w| active(w) == 1), "{:?}", level(&w));
        }
    }
    w.run(10_000);
    assert_eq!(finalized(&w), 1);
    assert!(!term(&w).fenced);
    load.add(&mut w, true);
    load.has_one_outcome_each(&mut w);
}

#[test]
fn a_cluster_midway_to_generation_1_is_taken_over() {
    let mut w = World::new(NODES, ready_machines);
    w.crash(2);
    for m in 0..6 {
        w.add_machine(&format!("vm-{m:06}"), "a");
    }
    assert!(w.until(8_000, |w| w.leader().is_some()));
    w.run(4_000);
    assert_eq!(
        w.state.keys(NODES_PREFIX).len(),
        2,
        "two have told their generation"
    );
    let mut load = Load::default();
    load.add(&mut w, false);
    for node in [2, 0, 1] {
        replace(&mut w, node, &automatic(2));
        w.run(4_000);
    }
    assert!(w.until(60_000, |w| finalized(w) == 2), "{:?}", level(&w));
    assert_eq!(
        w.state.keys(NODES_PREFIX).len(),
        2,
        "nobody told for a build that can return"
    );
    load.add(&mut w, true);
    load.has_one_outcome_each(&mut w);
}

const NODES_PREFIX: &str = wire::records::NODES;

/// Every write of the level on the way of an upgrade, a rollback and the next upgrade: the process that sends it ends
/// before it is executed, or after it with the answer lost.
#[test]
fn a_process_may_end_at_every_write_of_the_level() {
    let play = |crash: Option<(u64, bool)>| -> (World, u64) {
        let mut w = cluster_of(&held(0));
        let before = w.counted_writes;
        w.crash_at_counted_write = crash.map(|(number, executed)| (before + number, executed));
        let mut load = Load::default();
        load.add(&mut w, false);
        let turn = |w: &mut World, node: usize, operator: &Operator| {
            replace(w, node, operator);
            w.run(4_000);
            for other in 0..NODES {
                if w.is_down(other) {
                    w.start(other);
                }
            }
        };
        turn(&mut w, 1, &automatic(2));
        turn(&mut w, 1, &held(0));
        for node in 0..NODES {
            turn(&mut w, node, &automatic(2));
        }
        let until = w.now + 180_000;
        while w.now < until && finalized(&w) < 2 {
            w.run(1_000);
            (0..NODES).for_each(|i| {
                if w.is_down(i) {
                    w.start(i)
                }
            });
            let announced = |i: usize| w.state.read::<MemberRecord>(&member_key(&format!("n{i}")));
            let highest = (0..NODES).filter_map(announced).map(|m| m.newest).min();
            assert!(
                active(&w) <= highest.unwrap_or(0),
                "{crash:?} {:?}",
                level(&w)
            );
        }
        assert_eq!(finalized(&w), 2, "{crash:?} {:?}", level(&w));
        load.add(&mut w, true);
        load.has_one_outcome_each(&mut w);
        let writes = w.counted_writes - before;
        (w, writes)
    };
    let (_, writes) = play(None);
    assert!(writes >= 10, "{writes} writes");
    for number in 1..=writes {
        for executed in [false, true] {
            let (w, _) = play(Some((number, executed)));
            assert_eq!(w.crash_at_counted_write, None, "{number} has come");
        }
    }
}

#[test]
fn two_upgrades_in_a_row_become_final_one_after_the_other() {
    let mut w = cluster_of(&held(0));
    let mut load = Load::default();
    for newest in [1, 2] {
        for node in 0..NODES {
            replace(&mut w, node, &automatic(newest));
            w.run(4_000);
            load.add(&mut w, newest == 2);
        }
        assert!(
            w.until(90_000, |w| finalized(w) == newest),
            "{:?}",
            level(&w)
        );
        assert_eq!(term(&w).fenced, newest == 2);
    }
    load.has_one_outcome_each(&mut w);
}

#[test]
fn a_restart_makes_the_soak_time_begin_anew() {
    let mut patient = automatic(2);
    if let Some(rollout) = &mut patient.rollout {
        rollout.soak_s = 20.0;
    }
    let mut w = cluster_of(&patient);
    assert!(w.until(10_000, |w| phase(w) == Some(Phase::Soaking)));
    w.run(15_000);
    let leader = w.leader().expect("leader");
    let other = (0..NODES).find(|n| *n != leader).expect("another");
    replace(&mut w, other, &patient);
    w.run(19_000);
    assert_eq!(finalized(&w), 0, "the restart was 19 s ago");
    assert!(w.until(20_000, |w| finalized(w) == 2), "{:?}", level(&w));
    assert_no_violations(&w);
}

#[test]
fn what_is_held_back_stays_reversible() {
    let mut w = cluster_of(&held(2));
    w.run(60_000);
    assert_eq!((active(&w), finalized(&w)), (2, 0));
    assert!(!term(&w).fenced);
    assert_no_violations(&w);
}

#[test]
fn a_build_below_what_is_final_is_told_so_serves_nobody_and_writes_nothing() {
    let mut w = cluster_of(&automatic(2));
    assert!(w.until(60_000, |w| finalized(w) == 2));
    let mut load = Load::default();
    load.add(&mut w, true);
    let member = w.state.version(&member_key("n1"));
    let version = w.state.version(LEVEL);
    replace(&mut w, 1, &held(1));
    w.run(20_000);
    assert_eq!(
        w.state.version(&member_key("n1")),
        member,
        "it announced nothing"
    );
    assert_eq!(w.state.version(LEVEL), version);
    assert_eq!(w.ask(1, "GET", "/ready", vec![]).0, 503);
    assert_eq!(w.submit(1, &array("run-1", 1), runs_for(100)), 503);
    // It alone is left: it does not lead either.
    w.crash(0);
    w.crash(2);
    w.run(20_000);
    assert_eq!(w.leader(), None);
    w.start(0);
    w.start(2);
    assert!(w.until(10_000, |w| w.leader().is_some()));
    w.run(4_000);
    load.add(&mut w, true);
    load.has_one_outcome_each(&mut w);
}

#[test]
fn a_build_whose_range_lies_above_what_is_active_does_not_take_part() {
    let mut w = cluster_of(&held(0));
    let mut too_new = held(2);
    if let Some(rollout) = &mut too_new.rollout {
        rollout.oldest_level = 1;
    }
    let (member, version) = (w.state.version(&member_key("n1")), w.state.version(LEVEL));
    replace(&mut w, 1, &too_new);
    w.run(8_000);
    assert_eq!(w.ask(1, "GET", "/ready", vec![]).0, 503);
    assert_eq!(w.state.version(&member_key("n1")), member);
    assert_eq!(w.state.version(LEVEL), version);
    let mut load = Load::default();
    load.add(&mut w, false);
    load.has_one_outcome_each(&mut w);
}

#[test]
fn a_controller_paused_in_one_phase_and_waking_in_the_next_does_no_harm() {
    for (wakes_final, who_leads) in [(false, true), (false, false), (true, true), (true, false)] {
        let mut w = cluster_of(&held(0));
        let mut load = Load::default();
        for node in 0..NODES {
            replace(&mut w, node, &automatic(2));
            w.run(if node == 2 { 1_000 } else { 4_000 });
        }
        load.add(&mut w, false);
        let leader = w.leader().expect("leader");
        let paused = (0..NODES)
            .find(|n| (*n == leader) == who_leads)
            .expect("one of them");
        let until = w.now + 40_000;
        w.troubles.frozen.insert(paused, until);
        w.run(5_000);
        load.add(&mut w, false);
        if wakes_final {
            w.run(36_000);
            assert!(w.until(90_000, |w| finalized(w) == 2), "{:?}", level(&w));
        } else {
            let other = (0..NODES).find(|n| *n != paused).expect("another");
            replace(&mut w, other, &held(0));
            assert!(w.until(20_000, |w| active(w) == 0), "{:?}", level(&w));
            w.run(40_000);
            assert_eq!(active(&w), 0);
            assert!(!term(&w).fenced);
        }
        load.add(&mut w, false);
        load.has_one_outcome_each(&mut w);
    }
}

#[test]
fn a_label_that_never_returns_stalls_the_upgrade_which_goes_on_when_it_does() {
    let mut w = cluster_of(&held(0));
    w.crash(2);
    replace(&mut w, 0, &held(2));
    replace(&mut w, 1, &held(2));
    let paused = |w: &mut World| matches!(level(w).pause, Some(PauseReason::Stalled { .. }));
    assert!(w.until(60_000, paused), "{:?}", level(&w));
    assert_eq!(
        level(&w).pause,
        Some(PauseReason::Stalled { label: "n2".into() })
    );
    assert_eq!(active(&w), 0);
    let status = w.rollout_status(0).expect("a status");
    assert!(status.waits_for.contains("n2"), "{status:?}");
    assert_eq!(status.controllers.len(), NODES);
    w.set_operator(2, held(2));
    w.start(2);
    assert!(w.until(60_000, |w| active(w) == 2), "{:?}", level(&w));
    assert_eq!(level(&w).pause, None);
    assert_no_violations(&w);
}

#[test]
fn a_controller_that_restarts_again_and_again_pauses_the_upgrade() {
    let mut w = cluster_of(&automatic(1));
    assert!(w.until(60_000, |w| finalized(w) == 1));
    replace(&mut w, 0, &automatic(2));
    replace(&mut w, 1, &automatic(2));
    w.run(5_000);
    for _ in 0..6 {
        replace(&mut w, 2, &automatic(2));
        w.run(2_000);
    }
    let paused = |w: &mut World| matches!(level(w).pause, Some(PauseReason::Restarting { .. }));
    assert!(w.until(10_000, paused), "{:?}", level(&w));
    assert_eq!(finalized(&w), 1);
    // It goes on once that is over.
    assert!(w.until(240_000, |w| finalized(w) == 2), "{:?}", level(&w));
    assert_no_violations(&w);
}

#[test]
fn the_state_service_refuses_one_controller_or_all_during_an_upgrade() {
    for all in [false, true] {
        let mut w = cluster_of(&held(0));
        let mut load = Load::default();
        replace(&mut w, 0, &automatic(2));
        replace(&mut w, 1, &automatic(2));
        w.run(3_000);
        if all {
            w.state_down = true;
        } else {
            w.refused.insert(2);
        }
        replace(&mut w, 2, &automatic(2));
        w.run(25_000);
        assert_eq!(finalized(&w), 0);
        assert_eq!(active(&w), 0, "one has not announced");
        w.state_down = false;
        w.refused.clear();
        load.add(&mut w, false);
        assert!(w.until(120_000, |w| finalized(w) == 2), "{:?}", level(&w));
        load.add(&mut w, true);
        load.has_one_outcome_each(&mut w);
    }
}

#[test]
fn lost_answers_and_late_writes_during_an_upgrade_change_nothing() {
    for seed in 0..6 {
        let mut w = cluster_of(&held(0));
        w.seed(seed);
        w.troubles.late_txns = 0.1;
        w.troubles.lost_answers = 0.1;
        let mut load = Load::default();
        for newest in [2, 0, 2] {
            for node in 0..NODES {
                replace(&mut w, (node + seed as usize) % NODES, &automatic(newest));
                w.run(3_000);
                let members = (0..NODES).filter_map(|i| {
                    let member: Option<MemberRecord> = w.state.read(&member_key(&format!("n{i}")));
                    member.map(|m| m.newest)
                });
                let least = members.min().unwrap_or(0);
                assert!(
                    active(&w).max(finalized(&w)) <= least,
                    "{seed} {:?}",
                    level(&w)
                );
            }
            load.add(&mut w, false);
            if finalized(&w) == 2 {
                break;
            }
        }
        w.troubles.late_txns = 0.0;
        w.troubles.lost_answers = 0.0;
        for node in 0..NODES {
            if w.state
                .read::<MemberRecord>(&member_key(&format!("n{node}")))
                .map(|m| m.newest)
                != Some(2)
            {
                replace(&mut w, node, &automatic(2));
            }
        }
        assert!(
            w.until(180_000, |w| finalized(w) == 2),
            "{seed} {:?}",
            level(&w)
        );
        load.has_one_outcome_each(&mut w);
    }
}

#[test]
fn records_that_can_not_be_read_or_come_from_the_future_are_survived_and_left_alone() {
    // The level: nothing moves, nothing is overwritten, and jobs run.
    let mut w = cluster_of(&held(2));
    w.state.write(LEVEL, &"nonsense", None);
    let version = w.state.version(LEVEL);
    w.run(20_000);
    assert_eq!(w.state.version(LEVEL), version);
    let mut load = Load::default();
    load.add(&mut w, false);
    load.has_one_outcome_each(&mut w);
    // An announcement: its controller writes it anew when it starts.
    let mut w = cluster_of(&held(2));
    w.state.write(&member_key("n1"), &7, None);
    w.run(10_000);
    assert!(w.until(30_000, |w| w
        .state
        .read::<MemberRecord>(&member_key("n1"))
        .is_some()));
    // The mark of a later build: this one does not take part.
    w.state.write(MARK, &GenerationRecord::new(7), None);
    w.run(12_000);
    assert_eq!(w.leader(), None);
    assert_eq!(w.ask(0, "GET", "/ready", vec![]).0, 503);
    assert_no_violations(&w);
}

#[test]
fn an_announcement_of_a_controller_that_is_not_configured_pauses_the_upgrade_only_if_it_is_new() {
    let mut w = cluster_of(&held(0));
    let stranger = |boot| MemberRecord {
        oldest: 0,
        newest: 2,
        build: "elsewhere".into(),
        boot,
        unknown: UnknownFields::new(),
    };
    w.state.write(&member_key("n9"), &stranger(1), None);
    w.run(6_000);
    assert_eq!(phase(&w), Some(Phase::Idle), "it does not count");
    replace(&mut w, 0, &held(2));
    assert!(w.until(10_000, |w| phase(w) == Some(Phase::Mixed)));
    assert_eq!(level(&w).pause, None);
    w.state.write(&member_key("n9"), &stranger(2), None);
    let paused = |w: &mut World| matches!(level(w).pause, Some(PauseReason::Unknown { .. }));
    assert!(w.until(10_000, paused), "{:?}", level(&w));
    let forgotten = |w: &mut World| !matches!(level(w).pause, Some(PauseReason::Unknown { .. }));
    assert!(w.until(60_000, forgotten), "{:?}", level(&w));
    assert_no_violations(&w);
}

/// Five controllers of level 1, which is final.
fn five_controllers() -> World {
    let settings = |i| {
        let mut settings = settings(i, 5, 0.0);
        settings.deployment.objectives[0].kind = "guarantee".into();
        settings
    };
    let mut w = World::new(5, settings);
    for node in 0..5 {
        replace(&mut w, node, &automatic(1));
    }
    assert!(w.until(60_000, |w| finalized(w) == 1));
    w
}

#[test]
fn an_upgrade_costs_two_elections_at_most_in_any_order_by_orderly_stops_and_by_crashes() {
    let orders = [
        [0, 1, 2, 3, 4],
        [4, 3, 2, 1, 0],
        [2, 0, 4, 1, 3],
        [1, 3, 0, 2, 4],
        [3, 1, 4, 0, 2],
    ];
    for (number, order) in orders.into_iter().enumerate() {
        for orderly in [true, false] {
            let mut w = five_controllers();
            w.run(700 * number as u64);
            let before = term(&w).term;
            // The present leader first, and then whoever leads while any old one does: the worst there is.
            let mut left = order.to_vec();
            while !left.is_empty() {
                let leader = w.leader().filter(|l| left.contains(l));
                let node = leader.unwrap_or(left[0]);
                left.retain(|n| *n != node);
                w.set_operator(node, held(2));
                if orderly {
                    w.stop(node);
                    assert!(w.until(4_000, |w| w.is_down(node)));
                } else {
                    w.crash(node);
                }
                w.run(3_000);
                w.start(node);
                // The new ones are the last to see a vacancy: they lead because the others leave it to them.
                w.troubles.slow_to_state.insert(node, 250);
                w.run(4_000);
            }
            assert!(w.until(60_000, |w| active(w) == 2), "{:?}", level(&w));
            let elections = term(&w).term - before;
            assert!(elections <= 2, "{order:?} {orderly}: {elections} elections");
            assert_no_violations(&w);
        }
    }
}

#[test]
fn a_leader_that_stops_names_its_successor_which_leads_within_a_third_of_a_second() {
    let mut w = cluster_of(&held(2));
    assert!(w.until(60_000, |w| active(w) == 2));
    w.run(4_000);
    let mut load = Load::default();
    load.add(&mut w, false);
    for _ in 0..4 {
        let (old, before) = (w.leader().expect("leader"), term(&w).term);
        let stopped_at = w.now;
        w.stop(old);
        while term(&w).term == before && w.now < stopped_at + 2_000 {
            w.run(10);
        }
        let took_ms = w.now - stopped_at;
        assert!(took_ms <= 330, "{took_ms} ms");
        assert_eq!(term(&w).term, before + 1, "one election");
        assert!(w.until(4_000, |w| w.is_down(old)));
        w.run(500);
        // Of several that are as good the last is named.
        let named = (0..NODES).rev().find(|n| *n != old);
        assert_eq!(w.leader(), named, "the one that was named");
        w.start(old);
        w.run(5_000);
        load.add(&mut w, false);
    }
    let leader: LeaderRecord = w.state.read(LEADER).expect("the leader");
    assert_eq!(leader.level, Some(2));
    load.has_one_outcome_each(&mut w);
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
    let mut w = cluster_of(&held(2));
    let job = array("run-1", 1);
    let job = wire::users::Submission {
        zone: Some("c".into()),
        ..job
    };
    w.describe(&job, runs_for(100));
    let newer = NewerJob {
        spec: job,
        at: 1_700_000_000_000,
        aborted: false,
        lineage: "from a newer build".into(),
    };
    w.state.write(&job_key("run-1"), &newer, None);
    w.run(2_000);
    let record: JobRecord = w.state.read(&job_key("run-1")).expect("the job");
    assert_eq!(record.unknown.len(), 1);
    let leader = w.leader().expect("leader");
    w.crash(leader);
    // Without a leader it is not filed away, so what the cancellation wrote can be looked at.
    let other = (leader + 1) % NODES;
    assert_eq!(w.abort(other, "run-1"), Some(JobPhase::Aborted));
    if let Some(record) = w.state.read::<JobRecord>(&job_key("run-1")) {
        assert!(record.aborted);
        assert_eq!(record.unknown.len(), 1);
    }
}
