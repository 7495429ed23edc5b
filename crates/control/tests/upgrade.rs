//! Scenarios of the upgrade: the version before the pipelines and this one side by side, the mark that ends it, and the
//! limits that fall some time after it.
//!
//! The old version is a frozen one: it reads with the types it had, leads, writes every place again in its own layout
//! and answers a user, and may die after any step. What it can't read it does not see.

mod common;

use common::*;
use fakes::{array, gang, World};
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
    let term: TermRecord = w.state.read(TERM).expect("term");
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
        w.state.write(LEADER, &lead, None);
        w.state.write(TERM, &TermRecord::new(lead.term), None);
    });
    let mut newest: BTreeMap<(String, u32), OldEntry> = BTreeMap::new();
    let pages = w.state.keys(PAGES);
    for page in pages.iter().filter_map(|k| w.state.read::<OldPage>(k)) {
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
    step(w, &|w| w.state.write(&page_key(0), &page, None));
    for key in pages.iter().filter(|k| **k != page_key(0)) {
        step(w, &|w| w.state.erase(key));
    }
    // A user cancels through it: it writes the record anew as it knows it.
    step(w, &|w| {
        if let Some(mut job) = w.state.read::<OldJob>(&job_key("run-5")) {
            job.aborted = true;
            w.state.write(&job_key("run-5"), &job, None);
            let now = w.now;
            w.cancelled.insert("run-5".into(), now);
        }
    });
    // Its process ends, and with it its lease.
    w.run(1_000);
    w.state.erase(LEADER);
}

/// Three nodes of which the last is not yet upgraded.
fn rolling() -> World {
    let mut w = World::new(3, |i| settings_with_next_limits(i, 3));
    w.crash(2);
    for m in 0..6 {
        w.add_machine(&format!("vm-{m:06}"), if m % 2 == 0 { "a" } else { "b" });
    }
    assert!(w.until(6_000, |w| w.leader().is_some()), "a leader");
    w.run(4_000);
    w
}

fn mark(w: &World) -> u32 {
    let mark: Option<GenerationRecord> = w.state.read(MARK);
    mark.map_or(0, |m| m.generation)
}

fn load(w: &mut World) -> Vec<String> {
    let mut ids = Vec::new();
    for n in 1..=12 {
        let id = format!("run-{n}");
        let job = match n % 4 {
            0 => gang(&id, 2),
            _ => array(&id, 3 + 40 * (n % 3)),
        };
        let behaviour = fakes::Behaviour {
            gang: if n % 4 == 0 { 2 } else { 0 },
            ..runs_for(4_000)
        };
        let mut status = 0;
        for tries in 0..20 {
            status = w.submit((n as usize + tries) % 3, &job, behaviour);
            if status == 201 {
                break;
            }
            w.run(300);
        }
        assert_eq!(status, 201);
        ids.push(id);
    }
    ids
}

fn all_over(w: &mut World, ids: &[String]) -> bool {
    w.until(600_000, |w| {
        ids.iter()
            .all(|id| w.state.read::<Final>(&final_key(id)).is_some())
    })
}

/// How often each task of a job was started: once, unless it was stopped in between.
fn starts(w: &World) -> BTreeMap<String, usize> {
    let mut all = BTreeMap::new();
    for (task, _) in w.workers.values().flat_map(|m| &m.started) {
        *all.entry(task.clone()).or_default() += 1;
    }
    all
}

#[test]
fn an_old_leader_in_between_sees_every_place_and_loses_none_wherever_it_dies() {
    for steps in 0..6 {
        let mut w = rolling();
        let ids = load(&mut w);
        w.run(4_000);
        assert_eq!(mark(&w), 0, "one node is not upgraded");
        old_leads(&mut w, steps);
        w.run(3_000);
        old_leads(&mut w, steps);
        // The last node comes back with the new version.
        w.start(2);
        assert!(w.until(20_000, |w| mark(w) == GENERATION), "{steps}");
        w.lower_limits();
        assert!(all_over(&mut w, &ids), "{steps}");
        let twice: Vec<_> = starts(&w).into_iter().filter(|(_, n)| *n > 1).collect();
        assert!(twice.is_empty(), "{steps}: {twice:?}");
        for id in ids.iter().filter(|id| *id != "run-5") {
            assert_eq!(w.phase(2, id), Some(Phase::Done), "{id} {steps}");
        }
        assert_no_violations(&w);
    }
}

#[test]
fn nothing_that_old_ones_cannot_read_is_written_before_the_mark() {
    let mut w = rolling();
    let ids = load(&mut w);
    w.run(5_000);
    w.crash(w.leader().expect("leader"));
    w.run(8_000);
    assert_eq!(mark(&w), 0);
    for key in w.state.keys(PAGES) {
        let page: PageRecord = w.state.read(&key).expect("page");
        assert!(page.small.is_empty(), "{key}");
    }
    assert!(w.state.keys(MORE).is_empty());
    for i in 0..3 {
        w.start(i);
    }
    assert!(w.until(20_000, |w| mark(w) == GENERATION));
    assert!(all_over(&mut w, &ids));
    assert_no_violations(&w);
}

#[test]
fn the_mark_stays_and_a_node_that_is_down_for_good_does_not_hold_up_what_is_proven() {
    let mut w = rolling();
    assert_eq!(w.submit(0, &array("run-1", 2), runs_for(1_000)), 201);
    w.run(5_000);
    assert_eq!(mark(&w), 0, "the third node has never told");
    assert_eq!(
        w.submit(
            1,
            &with_dependencies(array("run-2", 2), &["run-1"]),
            runs_for(1_000)
        ),
        201
    );
    assert!(
        w.until(5_000, |w| mark(w) == GENERATION),
        "asked for something new"
    );
    // A later version's mark is not taken back.
    w.state.write(MARK, &GenerationRecord::new(7), None);
    for i in 0..2 {
        w.crash(i);
        w.start(i);
    }
    w.run(10_000);
    assert_eq!(mark(&w), 7);
    assert!(completes_within(&mut w, "run-2", 20_000));
    assert_no_violations(&w);
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
        w.run(3_000);
        let wide: Vec<String> = (20..24).map(|n| format!("run-{n}")).collect();
        for id in &wide {
            assert_eq!(w.submit(0, &array(id, 60), runs_for(40_000)), 201);
        }
        w.run(4_000);
        assert!(w.state.largest(PAGES) > 2048, "large pages are stored");
        w.start(2);
        w.run(moment);
        w.lower_limits();
        if crash {
            w.crash(w.leader().expect("leader"));
        }
        let ids = load(&mut w);
        let refused = w.state.too_large;
        assert!(all_over(&mut w, &ids), "{moment}: {:?}", w.state.keys(JOBS));
        assert!(all_over(&mut w, &wide), "{moment}");
        assert!(refused < 12, "{refused} refused at {moment}");
        assert_eq!(w.state.too_large, refused, "none is tried over and over");
        assert!(mark(&w) == GENERATION);
        assert!(w.state.largest(PAGES) <= 2048 || w.state.keys(JOBS).is_empty());
        assert_no_violations(&w);
    }
}

/// A large page stays as long as something on it has not changed, with old copies of what has.
#[test]
fn of_copies_in_both_layouts_the_newest_counts_for_the_next_leader() {
    let mut w = rolling();
    for m in 6..25 {
        w.add_machine(&format!("vm-{m:06}"), "a");
    }
    w.run(3_000);
    // On the same page: tasks that stay, too many for it to be written anew in a small value, and tasks of which most
    // are placed only after the switch.
    assert_eq!(w.submit(0, &array("run-1", 70), runs_for(120_000)), 201);
    assert_eq!(w.submit(0, &array("run-2", 120), runs_for(9_000)), 201);
    w.run(6_000);
    assert_eq!(w.on_machines("run-2").len(), 30);
    w.start(2);
    assert!(w.until(5_000, |w| mark(w) == GENERATION));
    let wide = |w: &World| {
        let pages = w.state.keys(PAGES).into_iter();
        let read = pages.filter_map(|k| w.state.read::<PageRecord>(&k));
        let has = |p: &PageRecord| {
            p.parts
                .iter()
                .any(|e| e.job == "run-2" && !e.chunk.at.is_empty())
        };
        read.filter(has).count()
    };
    for _ in 0..5 {
        w.run(6_000);
        assert_eq!(wide(&w), 1, "its old copy is still there");
        let leader = w.leader().expect("leader");
        w.crash(leader);
        w.run(3_000);
        w.start(leader);
    }
    assert!(w.until(120_000, |w| w.phase(0, "run-2") == Some(Phase::Done)));
    let twice: Vec<_> = starts(&w).into_iter().filter(|(_, n)| *n > 1).collect();
    assert!(twice.is_empty(), "{twice:?}");
    assert_no_violations(&w);
}

/// If the limits fall though a node has never told, the refusal is the proof.
#[test]
fn limits_that_fall_without_the_mark_cost_a_retry() {
    let mut w = rolling();
    for m in 6..60 {
        w.add_machine(&format!("vm-{m:06}"), if m % 2 == 0 { "a" } else { "b" });
    }
    w.run(3_000);
    assert_eq!(w.submit(0, &array("run-1", 100), runs_for(20_000)), 201);
    w.run(4_000);
    w.lower_limits();
    assert_eq!(w.submit(0, &array("run-2", 100), runs_for(5_000)), 201);
    assert!(
        w.until(8_000, |w| w.on_machines("run-2").len() >= 100),
        "starts go on"
    );
    assert!(w.until(5_000, |w| mark(w) == GENERATION));
    assert!(all_over(
        &mut w,
        &["run-1".to_string(), "run-2".to_string()]
    ));
    assert!(w.state.too_large < 6, "{}", w.state.too_large);
    assert_no_violations(&w);
}

#[test]
fn a_long_submission_is_kept_in_several_records_or_refused_by_its_size() {
    let types = |n: usize| -> Option<Vec<String>> {
        let more = (0..n).map(|i| format!("type-{i:03}-{}", "x".repeat(80)));
        Some(more.chain([fakes::KIND.to_string()]).collect())
    };
    let long = |id: &str, n: usize| Submission {
        types: types(n),
        ..array(id, 2)
    };
    let mut w = rolling();
    // Written while old ones are about, and too large for what is to come.
    assert_eq!(w.submit(0, &long("run-1", 30), runs_for(60_000)), 201);
    assert_eq!(w.submit(0, &long("run-2", 30), runs_for(6_000)), 201);
    w.start(2);
    assert!(w.until(10_000, |w| mark(w) == GENERATION));
    w.lower_limits();
    assert_eq!(w.abort(1, "run-1"), Some(Phase::Aborted));
    assert!(completes_within(&mut w, "run-2", 20_000));
    assert!(w.until(10_000, |w| w.state.keys(JOBS).is_empty()));
    assert_eq!(w.phase(2, "run-1"), Some(Phase::Aborted));
    // Now in parts: seen by the leader of today and by the next one.
    assert_eq!(w.submit(0, &long("run-3", 30), runs_for(3_000)), 201);
    assert_eq!(w.submit(0, &long("run-4", 30), runs_for(300_000)), 201);
    assert_eq!(w.state.keys(MORE).len(), 4);
    w.run(3_000);
    assert_eq!(w.on_machines("run-4").len(), 2);
    let old = w.leader().expect("leader");
    w.crash(old);
    w.start(old);
    assert!(completes_within(&mut w, "run-3", 20_000));
    assert_eq!(w.submit(1, &long("run-4", 30), runs_for(0)), 200);
    assert_eq!(w.abort(2, "run-4"), Some(Phase::Aborted));
    assert!(w.until(10_000, |w| w.state.keys(JOBS).is_empty()));
    assert!(w.state.keys(MORE).is_empty(), "they go with their job");
    // Beyond the bound, at once, and nothing is kept.
    let (status, body) = w.ask(0, "POST", "/submissions", wire::encode(&long("run-5", 60)));
    let why: wire::users::Refusal = wire::decode(&body).expect("why");
    assert_eq!(status, 400);
    assert!(why.error.contains("2048"), "{}", why.error);
    assert_eq!(w.phase(0, "run-5"), None);
    // A hundred names fit into one record.
    let names: Vec<String> = (100..200).map(|n| format!("run-{n:06}")).collect();
    for name in &names {
        w.state.write(&final_key(name), &Final::Done, None);
    }
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    assert!(w.until(20_000, |w| w.submit(
        0,
        &with_dependencies(array("run-6", 1), &names),
        runs_for(500)
    ) < 300));
    assert!(completes_within(&mut w, "run-6", 20_000));
    assert_no_violations(&w);
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
        w.state.write(key, &"nonsense", None);
    }
    for i in 0..3 {
        w.crash(i);
        w.start(i);
    }
    assert!(w.until(10_000, |w| w.leader().is_some()));
    let ids: Vec<String> = (1..4).map(|n| format!("run-{n}")).collect();
    for id in &ids {
        let accepted =
            |w: &mut World| (200..300).contains(&w.submit(1, &array(id, 2), runs_for(1_000)));
        assert!(w.until(10_000, accepted), "{id}");
    }
    // Behind a job whose end can't be read nothing is known, so nothing is promised.
    assert_eq!(
        w.submit(
            0,
            &with_dependencies(array("run-4", 1), &["run-7"]),
            runs_for(100)
        ),
        503
    );
    assert_eq!(
        w.submit(
            0,
            &with_dependencies(array("run-4", 1), &["run-9"]),
            runs_for(100)
        ),
        503
    );
    assert!(all_over(&mut w, &ids));
    assert_no_violations(&w);
}
