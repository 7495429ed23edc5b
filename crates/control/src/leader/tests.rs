//! What a round's changes cost the state service, transaction by transaction.

use super::*;
use wire::state::{Txn, Write};

const SETTINGS: &str = r#"
label = "n0"
area = "a"
public_addr = "10.0.0.1:1"
back = "10.0.0.1:2"
[outside]
cloud = "10.0.1.1:1"
state = "10.0.1.2:1"
[deployment.workers]
report_s = 2.0
lease_s = 12.0
gang_wait_s = 35.0
gang_peer_s = 8.0
cancel_s = 30.0
[deployment.state]
rps = 150.0
write_rps = 50.0
value_kb = 16.0
txn_ops = 12
next = { value_kb = 2.0, txn_ops = 4 }
[deployment.cloud]
rps = 5.0
list_lag_s = 3.0
[deployment.quota]
cpu = 0.1
mem_mb = 72.0
max_connections = 1200
"#;

const SUBMISSION: &str = r#"{"id":"run-1","cohort":"c","tenant":"t","shape":"array","rank":"low","shards":300,"cpus":1,
"gpus":0,"mem_gb":1,"bundle":"i","pull_gb":1,"same_place":false,"apart":false,"loaners":true,"guess_s":1,
"stow_every_s":0,"stow_s":0}"#;

fn at(mono: u64) -> Effects {
    Effects::new(Now { mono, unix: mono })
}

fn leader() -> Leader {
    let settings: Settings = toml::from_str(SETTINGS).expect("settings");
    let mut leader = Leader::new(&settings, &Operator::default(), || 0, 1, 7, true, at(1).now);
    leader.loading = Loading::Ready;
    leader
}

/// An open job with places for the first so many tasks, none of them recorded yet.
fn assignment(leader: &mut Leader, id: &str, tasks: u32) {
    let record = JobRecord::new(serde_json::from_str(SUBMISSION).expect("submission"), 0);
    let mut job = Job::new(record, 5);
    job.split();
    (0..tasks).for_each(|t| job.put(t, &format!("vm-{t:06}"), 1, false, 0));
    leader.jobs.insert(id.to_string(), job);
    leader.queue_write(RecordId::Job(id.to_string()));
}

/// Flushes, and answers every transaction well: their pages, by key.
fn flush(leader: &mut Leader, now: u64) -> Vec<(String, PageRecord)> {
    let mut pages = Vec::new();
    let mut effects = at(now);
    leader.flush(&mut effects);
    while !effects.state.is_empty() {
        let mut next = at(now);
        for (_, op, tag) in std::mem::take(&mut effects.state) {
            let (
                StateOp::Txn(Txn { compares, writes }),
                StateTag::Leader(_, LeaderRequest::PendingTransaction(n)),
            ) = (op, tag)
            else {
                panic!("only transactions");
            };
            assert!(
                writes.len() <= 4 && compares.len() <= 16,
                "{} {}",
                writes.len(),
                compares.len()
            );
            for write in writes {
                if let Write::Put { key, value, .. } = write {
                    assert!(
                        wire::json_bytes(&value) <= 2048,
                        "{}",
                        wire::json_bytes(&value)
                    );
                    pages.push((key, value.deserialized().expect("a page")));
                }
            }
            let version = now;
            leader.on_transaction_reply(n, StateReply::Committed { version }, &mut next);
        }
        effects = next;
    }
    pages
}

fn jobs(page: &PageRecord) -> BTreeSet<&str> {
    page.small.iter().map(|e| e.job.as_str()).collect()
}

/// Half of each page was carried along, and starts waited ten seconds for their records.
#[test]
fn a_page_that_keeps_much_is_not_written_again_for_something_new() {
    let mut leader = leader();
    assignment(&mut leader, "run-1", 30);
    let first = flush(&mut leader, 10);
    assignment(&mut leader, "run-2", 2);
    let second = flush(&mut leader, 20);
    assert_eq!((first.len(), second.len()), (1, 1));
    assert_ne!(first[0].0, second[0].0);
    assert_eq!(
        jobs(&second[0].1).into_iter().collect::<Vec<_>>(),
        ["run-2"]
    );
    // Little is carried along rather than a page left for it.
    assignment(&mut leader, "run-3", 2);
    let third = flush(&mut leader, 30);
    assert_eq!(third[0].0, second[0].0);
    assert_eq!(jobs(&third[0].1).len(), 2);
}

/// What had ended was written as if somebody waited for it.
#[test]
fn what_may_wait_rides_along_with_what_may_not_and_costs_no_change_of_its_own() {
    let mut leader = leader();
    assignment(&mut leader, "run-1", 10);
    assignment(&mut leader, "run-2", 40);
    flush(&mut leader, 10);
    leader
        .jobs
        .get_mut("run-1")
        .expect("job")
        .complete(3, Some(1.0));
    leader.defer_write(RecordId::Job("run-1".into()), at(20).now);
    assert!(flush(&mut leader, 20).is_empty(), "nobody waits for it");
    assignment(&mut leader, "run-3", 1);
    let pages = flush(&mut leader, 30);
    assert_eq!(pages.len(), 1);
    assert!(jobs(&pages[0].1).contains("run-1"));
    assert!(leader.deferred_writes.is_empty());
    // Left alone it is written after a while.
    leader
        .jobs
        .get_mut("run-2")
        .expect("job")
        .complete(3, Some(1.0));
    leader.defer_write(RecordId::Job("run-2".into()), at(40).now);
    assert!(flush(&mut leader, 40 + DEFERRED_WRITE_MS - 1_000).is_empty());
    assert_eq!(flush(&mut leader, 40 + DEFERRED_WRITE_MS + 1_000).len(), 1);
}

/// With sixteen conditions the jobs carried along on a page used to ask for more.
#[test]
fn no_transaction_goes_beyond_the_limits_to_come() {
    let mut leader = leader();
    let mut written = BTreeMap::new();
    for n in 0..60 {
        assignment(&mut leader, &format!("run-{n}"), 1 + n % 50);
        if n % 7 == 0 {
            // The limits are checked in there.
            written.extend(flush(&mut leader, 100 + u64::from(n)));
        }
    }
    written.extend(flush(&mut leader, 900));
    let open = |j: &Job| j.chunks.values().any(Chunk::is_unsaved);
    assert!(!leader.jobs.values().any(open), "all is recorded");
    let assignments: usize = leader.jobs.values().map(|j| j.assigned as usize).sum();
    let mut seen: BTreeMap<(String, u32), (u64, usize)> = BTreeMap::new();
    for entry in written.values().flat_map(|p: &PageRecord| &p.small) {
        let chunk = entry.chunk.read().expect("readable");
        let part = seen.entry((entry.job.clone(), entry.part)).or_default();
        *part = (*part).max((entry.seq, chunk.at.len()));
    }
    assert_eq!(seen.values().map(|(_, n)| n).sum::<usize>(), assignments);
}

/// Of jobs read again page by page, one on the first page was cancelled before the last page came: going on from the
/// last page's revision nobody would ever have told of it.
#[test]
fn after_reading_all_jobs_again_the_watch_goes_on_from_the_first_page() {
    let mut leader = leader();
    let page = |revision: u64, more: bool| {
        let record = JobRecord::new(serde_json::from_str(SUBMISSION).expect("submission"), 0);
        let item = Item {
            key: job_key("run-1"),
            value: wire::state::to_value(&record),
            version: 3,
            lease: None,
        };
        let items = vec![item];
        StateReply::Page(wire::state::Page {
            items,
            more,
            revision,
        })
    };
    let asked = |effects: &Effects| {
        effects
            .state
            .iter()
            .find_map(|(_, op, tag)| match (op, tag) {
                (StateOp::List { .. }, StateTag::Leader(_, ask)) => Some(ask.clone()),
                _ => None,
            })
    };
    let mut effects = at(5_000);
    leader.on_state(
        LeaderRequest::Watch(4_000),
        StateReply::TooOld,
        &mut effects,
    );
    let first = asked(&effects).expect("the first page");
    let mut effects = at(5_100);
    leader.on_state(first, page(20, true), &mut effects);
    let second = asked(&effects).expect("the second page");
    let mut effects = at(5_200);
    leader.on_state(second, page(30, false), &mut effects);
    let from = effects.state.iter().find_map(|(_, op, _)| match op {
        StateOp::Watch { from, .. } => Some(*from),
        _ => None,
    });
    assert_eq!(from, Some(20));
    // Dated by when the reading began.
    assert_eq!(leader.informed_until(), Some(5_000));
}
