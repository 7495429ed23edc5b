//! Tests of the transactions that write pages to the state service.

use super::{at, job_record, leader};
use crate::leader::model::{Chunk, Job};
use crate::leader::Leader;
use crate::requests::{RecordId, StateOp, StatePurpose, StateReply, StateTag};
use constants::DEFERRED_WRITE_MS;
use std::collections::{BTreeMap, BTreeSet};
use wire::records::PageRecord;
use wire::state::{Txn, Write};

/// Adds an open job whose first `tasks` tasks are assigned, with no assignment recorded yet.
fn add_assigned_job(leader: &mut Leader, id: &str, tasks: u32) {
    let mut job = Job::new(job_record(), 5);
    job.split_into_dense_chunks();
    for task in 0..tasks {
        job.assign(task, &format!("vm-{task:06}"), 1, false, 0);
    }
    leader.jobs.insert(id.to_string(), job);
    leader.queue_write(RecordId::Job(id.to_string()));
}

/// Flushes and commits all transactions, checking their sizes. Returns the pages that they wrote, with their keys.
fn flush_and_commit(leader: &mut Leader, now: u64) -> Vec<(String, PageRecord)> {
    let mut pages = Vec::new();
    let mut effects = at(now);
    leader.flush(&mut effects);
    while !effects.state_requests.is_empty() {
        let mut next = at(now);
        for sent in std::mem::take(&mut effects.state_requests) {
            let (
                StateOp::Txn(Txn { compares, writes }),
                StateTag::Leader {
                    purpose: StatePurpose::PendingTransaction(number),
                    ..
                },
            ) = (sent.op, sent.tag)
            else {
                panic!("not a transaction of the leader");
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
                        wire::json_size(&value) <= 2048,
                        "{}",
                        wire::json_size(&value)
                    );
                    pages.push((key, value.deserialized().expect("valid page")));
                }
            }
            let version = now;
            leader.on_transaction_reply(number, StateReply::Committed { version }, &mut next);
        }
        effects = next;
    }
    pages
}

/// Jobs whose chunks are on a page.
fn jobs(page: &PageRecord) -> BTreeSet<&str> {
    page.dense_entries
        .iter()
        .map(|entry| entry.job.as_str())
        .collect()
}

/// Guards against pages of which half is rewritten unchanged, which made starts wait ten seconds for their records.
#[test]
fn a_page_with_much_unchanged_content_is_not_written_again_for_something_new() {
    let mut leader = leader();
    add_assigned_job(&mut leader, "run-1", 30);
    let first = flush_and_commit(&mut leader, 10);
    add_assigned_job(&mut leader, "run-2", 2);
    let second = flush_and_commit(&mut leader, 20);
    assert_eq!((first.len(), second.len()), (1, 1));
    assert_ne!(first[0].0, second[0].0);
    assert_eq!(
        jobs(&second[0].1).into_iter().collect::<Vec<_>>(),
        ["run-2"]
    );
    // A page with little unchanged content is rewritten, rather than another page started.
    add_assigned_job(&mut leader, "run-3", 2);
    let third = flush_and_commit(&mut leader, 30);
    assert_eq!(third[0].0, second[0].0);
    assert_eq!(jobs(&third[0].1).len(), 2);
}

/// Guards against writing the end of a task at once, although nothing waits for its record.
#[test]
fn a_deferred_write_joins_an_urgent_one_and_needs_no_transaction_of_its_own() {
    let mut leader = leader();
    add_assigned_job(&mut leader, "run-1", 10);
    add_assigned_job(&mut leader, "run-2", 40);
    flush_and_commit(&mut leader, 10);
    leader
        .jobs
        .get_mut("run-1")
        .expect("job")
        .complete(3, Some(1.0));
    leader.defer_write(RecordId::Job("run-1".into()), at(20).now);
    assert!(
        flush_and_commit(&mut leader, 20).is_empty(),
        "nothing waits for the record"
    );
    add_assigned_job(&mut leader, "run-3", 1);
    let pages = flush_and_commit(&mut leader, 30);
    assert_eq!(pages.len(), 1);
    assert!(jobs(&pages[0].1).contains("run-1"));
    assert!(leader.write_queue.has_no_deferred_writes());
    // Without another write, the deferred one is sent on its own after a delay.
    leader
        .jobs
        .get_mut("run-2")
        .expect("job")
        .complete(3, Some(1.0));
    leader.defer_write(RecordId::Job("run-2".into()), at(40).now);
    assert!(flush_and_commit(&mut leader, 40 + DEFERRED_WRITE_MS - 1_000).is_empty());
    assert_eq!(
        flush_and_commit(&mut leader, 40 + DEFERRED_WRITE_MS + 1_000).len(),
        1
    );
}

/// Guards against transactions that exceed the limit of sixteen compares because of the unchanged jobs of their pages.
#[test]
fn no_transaction_exceeds_the_limits_that_the_state_service_will_have() {
    let mut leader = leader();
    let mut written = BTreeMap::new();
    for n in 0..60 {
        add_assigned_job(&mut leader, &format!("run-{n}"), 1 + n % 50);
        if n % 7 == 0 {
            // `flush_and_commit` checks the limits.
            written.extend(flush_and_commit(&mut leader, 100 + u64::from(n)));
        }
    }
    written.extend(flush_and_commit(&mut leader, 900));
    let is_unsaved = |job: &Job| job.chunks.values().any(Chunk::is_unsaved);
    assert!(
        !leader.jobs.values().any(is_unsaved),
        "all chunks are recorded"
    );
    let assignments: usize = leader
        .jobs
        .values()
        .map(|job| job.assigned_count as usize)
        .sum();
    let mut seen: BTreeMap<(String, u32), (u64, usize)> = BTreeMap::new();
    for entry in written
        .values()
        .flat_map(|page: &PageRecord| &page.dense_entries)
    {
        let chunk = entry.chunk.decode().expect("readable chunk");
        let part = seen
            .entry((entry.job.clone(), entry.chunk_number))
            .or_default();
        *part = (*part).max((entry.seq, chunk.assignments.len()));
    }
    assert_eq!(seen.values().map(|(_, n)| n).sum::<usize>(), assignments);
}
