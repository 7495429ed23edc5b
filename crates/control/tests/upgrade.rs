//! Scenarios of the upgrade: the version before the pipelines and this one side by side, the mark that ends it, and the
//! limits that fall some time after it.
//!
//! The old version is a frozen one: it reads with the types it had, leads, writes every place again in its own layout
//! and answers a user, and may die after any step. What it can't read it does not see.

mod common;

use common::*;
use fakes::{array_job, gang_job, World};
use rollout::levels::GENERATION_1 as GENERATION;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use wire::records::*;
use wire::users::{Phase, Submission};

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
#[derive(Clone, Serialize, Deserialize)]
struct OldEntry {
    job: String,
    part: u32,
    seq: u64,
    chunk: OldChunk,
}
#[derive(Default, Serialize, Deserialize)]
struct OldPage {
    parts: Vec<OldEntry>,
}
#[derive(Serialize, Deserialize)]
struct OldJob {
    spec: Submission,
    at: u64,
    #[serde(default)]
    aborted: bool,
}

/// The old version leads for a moment and then dies, after so many of its writes.
fn old_leads(w: &mut World, steps: usize) {
    let term: TermRecord = w.state_service.read(TERM).expect("term");
    let mut left = steps;
    let mut step = |w: &mut World, change: &dyn Fn(&mut World)| {
        if left > 0 {
            left -= 1;
            change(w);
        }
    };
    let lead = LeaderRecord {
        node: "old".into(),
        term: term.term + 1,
        boot: 1,
        level: None,
    };
    step(w, &|w| {
        w.state_service.write(LEADER, &lead, None);
        w.state_service
            .write(TERM, &TermRecord::new(lead.term), None);
    });
    let mut newest: BTreeMap<(String, u32), OldEntry> = BTreeMap::new();
    let pages = w.state_service.keys(PAGES);
    for page in pages
        .iter()
        .filter_map(|k| w.state_service.read::<OldPage>(k))
    {
        for e in page.parts {
            let known = newest.get(&(e.job.clone(), e.part)).map_or(0, |k| k.seq);
            if e.seq > known {
                newest.insert((e.job.clone(), e.part), e);
            }
        }
    }
    let mut page = OldPage::default();
    for (_, mut e) in newest {
        e.seq += 1;
        page.parts.push(e);
    }
    step(w, &|w| w.state_service.write(&page_key(0), &page, None));
    for key in pages.iter().filter(|k| **k != page_key(0)) {
        step(w, &|w| w.state_service.delete(key));
    }
    // A user cancels through it: it writes the record anew as it knows it.
    step(w, &|w| {
        if let Some(mut job) = w.state_service.read::<OldJob>(&job_key("run-5")) {
            job.aborted = true;
            w.state_service.write(&job_key("run-5"), &job, None);
            let now = w.now;
            w.externally_cancelled.insert("run-5".into(), now);
        }
    });
    // Its process ends, and with it its lease.
    w.run_for(1_000);
    w.state_service.delete(LEADER);
}

/// Three nodes of which the last is not yet upgraded.
fn rolling() -> World {
    let mut w = World::new(3, |i| settings_next(i, 3));
    w.crash(2);
    for m in 0..6 {
        w.add_machine(&format!("vm-{m:06}"), if m % 2 == 0 { "a" } else { "b" });
    }
    assert!(w.run_until(6_000, |w| w.leader().is_some()), "a leader");
    w.run_for(4_000);
    w
}

fn mark(w: &World) -> u32 {
    let mark: Option<GenerationRecord> = w.state_service.read(MARK);
    mark.map_or(0, |m| m.generation)
}

fn load(w: &mut World) -> Vec<String> {
    let mut ids = Vec::new();
    for n in 1..=12 {
        let id = format!("run-{n}");
        let job = match n % 4 {
            0 => gang_job(&id, 2),
            _ => array_job(&id, 3 + 40 * (n % 3)),
        };
        let behaviour = fakes::TaskBehaviour {
            gang_size: if n % 4 == 0 { 2 } else { 0 },
            ..runs(4_000)
        };
        let mut status = 0;
        for tries in 0..20 {
            status = w.submit((n as usize + tries) % 3, &job, behaviour);
            if status == 201 {
                break;
            }
            w.run_for(300);
        }
        assert_eq!(status, 201);
        ids.push(id);
    }
    ids
}

fn all_over(w: &mut World, ids: &[String]) -> bool {
    w.run_until(600_000, |w| {
        ids.iter()
            .all(|id| w.state_service.read::<Final>(&final_key(id)).is_some())
    })
}

/// How often each task of a job was started: once, unless it was stopped in between.
fn starts(w: &World) -> BTreeMap<String, usize> {
    let mut all = BTreeMap::new();
    for (task, _) in w.workers.values().flat_map(|m| &m.started_attempts) {
        *all.entry(task.clone()).or_default() += 1;
    }
    all
}

#[test]
fn an_old_leader_in_between_sees_every_place_and_loses_none_wherever_it_dies() {
    for steps in 0..6 {
        let mut w = rolling();
        let ids = load(&mut w);
        w.run_for(4_000);
        assert_eq!(mark(&w), 0, "one node is not upgraded");
        old_leads(&mut w, steps);
        w.run_for(3_000);
        old_leads(&mut w, steps);
        // The last node comes back with the new version.
        w.start(2);
        assert!(w.run_until(20_000, |w| mark(w) == GENERATION), "{steps}");
        w.apply_next_limits();
        assert!(all_over(&mut w, &ids), "{steps}");
        let twice: Vec<_> = starts(&w).into_iter().filter(|(_, n)| *n > 1).collect();
        assert!(twice.is_empty(), "{steps}: {twice:?}");
        for id in ids.iter().filter(|id| *id != "run-5") {
            assert_eq!(w.phase(2, id), Some(Phase::Done), "{id} {steps}");
        }
        clean(&w);
    }
}

#[test]
fn nothing_that_old_ones_cannot_read_is_written_before_the_mark() {
    let mut w = rolling();
    let ids = load(&mut w);
    w.run_for(5_000);
    w.crash(w.leader().expect("leader"));
    w.run_for(8_000);
    assert_eq!(mark(&w), 0);
    for key in w.state_service.keys(PAGES) {
        let page: PageRecord = w.state_service.read(&key).expect("page");
        assert!(page.small.is_empty(), "{key}");
    }
    assert!(w.state_service.keys(MORE).is_empty());
    for i in 0..3 {
        w.start(i);
    }
    assert!(w.run_until(20_000, |w| mark(w) == GENERATION));
    assert!(all_over(&mut w, &ids));
    clean(&w);
}

#[test]
fn the_mark_stays_and_a_node_that_is_down_for_good_does_not_hold_up_what_is_proven() {
    let mut w = rolling();
    assert_eq!(w.submit(0, &array_job("run-1", 2), runs(1_000)), 201);
    w.run_for(5_000);
    assert_eq!(mark(&w), 0, "the third node has never told");
    assert_eq!(
        w.submit(1, &after(array_job("run-2", 2), &["run-1"]), runs(1_000)),
        201
    );
    assert!(
        w.run_until(5_000, |w| mark(w) == GENERATION),
        "asked for something new"
    );
    // A later version's mark is not taken back.
    w.state_service.write(MARK, &GenerationRecord::new(7), None);
    for i in 0..2 {
        w.crash(i);
        w.start(i);
    }
    w.run_for(10_000);
    assert_eq!(mark(&w), 7);
    assert!(done(&mut w, "run-2", 20_000));
    clean(&w);
}

/// Every page of the version before was refused from the moment the limits fell, and nothing started any more.
#[test]
fn limits_that_fall_at_any_moment_with_large_pages_stored_stop_nothing() {
    for (moment, crash) in [
        (0, false),
        (400, false),
        (1_500, true),
        (3_000, false),
        (9_000, true),
    ] {
        let mut w = rolling();
        for m in 6..60 {
            w.add_machine(&format!("vm-{m:06}"), if m % 2 == 0 { "a" } else { "b" });
        }
        w.run_for(3_000);
        let wide: Vec<String> = (20..24).map(|n| format!("run-{n}")).collect();
        for id in &wide {
            assert_eq!(w.submit(0, &array_job(id, 60), runs(40_000)), 201);
        }
        w.run_for(4_000);
        assert!(
            w.state_service.largest_value_bytes(PAGES) > 2048,
            "large pages are stored"
        );
        w.start(2);
        w.run_for(moment);
        w.apply_next_limits();
        if crash {
            w.crash(w.leader().expect("leader"));
        }
        let ids = load(&mut w);
        let refused = w.state_service.oversized_txns;
        assert!(
            all_over(&mut w, &ids),
            "{moment}: {:?}",
            w.state_service.keys(JOBS)
        );
        assert!(all_over(&mut w, &wide), "{moment}");
        assert!(refused < 12, "{refused} refused at {moment}");
        assert_eq!(
            w.state_service.oversized_txns, refused,
            "none is tried over and over"
        );
        assert!(mark(&w) == GENERATION);
        assert!(
            w.state_service.largest_value_bytes(PAGES) <= 2048
                || w.state_service.keys(JOBS).is_empty()
        );
        clean(&w);
    }
}

/// A large page stays as long as something on it has not changed, with old copies of what has.
#[test]
fn of_copies_in_both_layouts_the_newest_counts_for_the_next_leader() {
    let mut w = rolling();
    for m in 6..25 {
        w.add_machine(&format!("vm-{m:06}"), "a");
    }
    w.run_for(3_000);
    // On the same page: tasks that stay, too many for it to be written anew in a small value, and tasks of which most
    // are placed only after the switch.
    assert_eq!(w.submit(0, &array_job("run-1", 70), runs(120_000)), 201);
    assert_eq!(w.submit(0, &array_job("run-2", 120), runs(9_000)), 201);
    w.run_for(6_000);
    assert_eq!(w.placed_tasks("run-2").len(), 30);
    w.start(2);
    assert!(w.run_until(5_000, |w| mark(w) == GENERATION));
    let wide = |w: &World| {
        let pages = w.state_service.keys(PAGES).into_iter();
        let read = pages.filter_map(|k| w.state_service.read::<PageRecord>(&k));
        let has = |p: &PageRecord| {
            p.parts
                .iter()
                .any(|e| e.job == "run-2" && !e.chunk.at.is_empty())
        };
        read.filter(has).count()
    };
    for _ in 0..5 {
        w.run_for(6_000);
        assert_eq!(wide(&w), 1, "its old copy is still there");
        let leader = w.leader().expect("leader");
        w.crash(leader);
        w.run_for(3_000);
        w.start(leader);
    }
    assert!(w.run_until(120_000, |w| w.phase(0, "run-2") == Some(Phase::Done)));
    let twice: Vec<_> = starts(&w).into_iter().filter(|(_, n)| *n > 1).collect();
    assert!(twice.is_empty(), "{twice:?}");
    clean(&w);
}

/// If the limits fall though a node has never told, the refusal is the proof.
#[test]
fn limits_that_fall_without_the_mark_cost_a_retry() {
    let mut w = rolling();
    for m in 6..60 {
        w.add_machine(&format!("vm-{m:06}"), if m % 2 == 0 { "a" } else { "b" });
    }
    w.run_for(3_000);
    assert_eq!(w.submit(0, &array_job("run-1", 100), runs(20_000)), 201);
    w.run_for(4_000);
    w.apply_next_limits();
    assert_eq!(w.submit(0, &array_job("run-2", 100), runs(5_000)), 201);
    assert!(
        w.run_until(8_000, |w| w.placed_tasks("run-2").len() >= 100),
        "starts go on"
    );
    assert!(w.run_until(5_000, |w| mark(w) == GENERATION));
    assert!(all_over(
        &mut w,
        &["run-1".to_string(), "run-2".to_string()]
    ));
    assert!(
        w.state_service.oversized_txns < 6,
        "{}",
        w.state_service.oversized_txns
    );
    clean(&w);
}

#[test]
fn a_long_submission_is_kept_in_several_records_or_refused_by_its_size() {
    let types = |n: usize| -> Option<Vec<String>> {
        let more = (0..n).map(|i| format!("type-{i:03}-{}", "x".repeat(80)));
        Some(more.chain([fakes::MACHINE_TYPE.to_string()]).collect())
    };
    let long = |id: &str, n: usize| Submission {
        types: types(n),
        ..array_job(id, 2)
    };
    let mut w = rolling();
    // Written while old ones are about, and too large for what is to come.
    assert_eq!(w.submit(0, &long("run-1", 30), runs(60_000)), 201);
    assert_eq!(w.submit(0, &long("run-2", 30), runs(6_000)), 201);
    w.start(2);
    assert!(w.run_until(10_000, |w| mark(w) == GENERATION));
    w.apply_next_limits();
    assert_eq!(w.abort(1, "run-1"), Some(Phase::Aborted));
    assert!(done(&mut w, "run-2", 20_000));
    assert!(w.run_until(10_000, |w| w.state_service.keys(JOBS).is_empty()));
    assert_eq!(w.phase(2, "run-1"), Some(Phase::Aborted));
    // Now in parts: seen by the leader of today and by the next one.
    assert_eq!(w.submit(0, &long("run-3", 30), runs(3_000)), 201);
    assert_eq!(w.submit(0, &long("run-4", 30), runs(300_000)), 201);
    assert_eq!(w.state_service.keys(MORE).len(), 4);
    w.run_for(3_000);
    assert_eq!(w.placed_tasks("run-4").len(), 2);
    let old = w.leader().expect("leader");
    w.crash(old);
    w.start(old);
    assert!(done(&mut w, "run-3", 20_000));
    assert_eq!(w.submit(1, &long("run-4", 30), runs(0)), 200);
    assert_eq!(w.abort(2, "run-4"), Some(Phase::Aborted));
    assert!(w.run_until(10_000, |w| w.state_service.keys(JOBS).is_empty()));
    assert!(
        w.state_service.keys(MORE).is_empty(),
        "they go with their job"
    );
    // Beyond the bound, at once, and nothing is kept.
    let (status, body) =
        w.send_and_wait(0, "POST", "/submissions", wire::encode(&long("run-5", 60)));
    let why: wire::users::Refusal = wire::decode(&body).expect("why");
    assert_eq!(status, 400);
    assert!(why.error.contains("2048"), "{}", why.error);
    assert_eq!(w.phase(0, "run-5"), None);
    // A hundred names fit into one record.
    let names: Vec<String> = (100..200).map(|n| format!("run-{n:06}")).collect();
    for name in &names {
        w.state_service.write(&final_key(name), &Final::Done, None);
    }
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    assert!(w.run_until(20_000, |w| w.submit(
        0,
        &after(array_job("run-6", 1), &names),
        runs(500)
    ) < 300));
    assert!(done(&mut w, "run-6", 20_000));
    clean(&w);
}

/// What can't be read costs what it said, and nothing else: no process ends, and other work goes on.
#[test]
fn unreadable_records_end_no_process_and_stop_no_other_work() {
    let mut w = rolling();
    for key in [
        "v/n0",
        MARK,
        "b/00000",
        "b/junk",
        "x/run-8/1",
        "j/run-9",
        "f/run-7",
        "r/t0-1",
    ] {
        w.state_service.write(key, &"nonsense", None);
    }
    for i in 0..3 {
        w.crash(i);
        w.start(i);
    }
    assert!(w.run_until(10_000, |w| w.leader().is_some()));
    let ids: Vec<String> = (1..4).map(|n| format!("run-{n}")).collect();
    for id in &ids {
        let accepted =
            |w: &mut World| (200..300).contains(&w.submit(1, &array_job(id, 2), runs(1_000)));
        assert!(w.run_until(10_000, accepted), "{id}");
    }
    // Behind a job whose end can't be read nothing is known, so nothing is promised.
    assert_eq!(
        w.submit(0, &after(array_job("run-4", 1), &["run-7"]), runs(100)),
        503
    );
    assert_eq!(
        w.submit(0, &after(array_job("run-4", 1), &["run-9"]), runs(100)),
        503
    );
    assert!(all_over(&mut w, &ids));
    clean(&w);
}
