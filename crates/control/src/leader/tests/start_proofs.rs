//! Tests of the proofs that a job is not cancelled, without which none of its tasks is started.

use super::{at, job_record, leader, reported_record};
use crate::effects::Effects;
use crate::leader::model::Job;
use crate::leader::{Authority, Leader};
use crate::requests::{RecordId, StateOp, StatePurpose, StateReply, StateTag};
use constants::{START_PROOF_MAX_AGE_MS, STATE_RETRY_MS};
use wire::records::JobRecord;
use wire::state::Changes;

/// Authority, at a time, of a leader that knows every cancellation up to `known_until` by the watch or its peers.
fn authority_at(determined_at: u64, known_until: u64) -> Authority {
    Authority {
        determined_at,
        is_active: true,
        cancellations_known_until: known_until,
    }
}

/// Revision up to which the leader has read the open jobs.
const KNOWN_REVISION: u64 = 10;

fn leader_with_job() -> Leader {
    let mut leader = leader();
    leader.job_watch.revision = KNOWN_REVISION;
    leader.job_watch.in_flight = true;
    let mut job = Job::new(job_record(), 5);
    job.split_into_dense_chunks();
    leader.jobs.insert("run-1".into(), job);
    leader
}

/// Revisions after which the reads of changed jobs among the requests begin.
fn change_reads(effects: &Effects) -> Vec<u64> {
    let reads = effects
        .state_requests
        .iter()
        .filter_map(|sent| match sent.op {
            StateOp::Watch {
                from, hold_ms: 0, ..
            } => Some(from),
            _ => None,
        });
    reads.collect()
}

/// Number of the only transaction among the requests.
fn transaction_number(effects: &Effects) -> u64 {
    let numbers: Vec<u64> = effects
        .state_requests
        .iter()
        .filter_map(|sent| match sent.tag {
            StateTag::Leader {
                purpose: StatePurpose::PendingTransaction(number),
                ..
            } => Some(number),
            _ => None,
        })
        .collect();
    assert_eq!(numbers.len(), 1);
    numbers[0]
}

fn cancellation(version: u64) -> StateReply {
    let record = JobRecord {
        aborted: true,
        ..job_record()
    };
    reported_record(&record, version)
}

/// Guards against one read for each waiting start, which would use up the request rate of the state service.
#[test]
fn one_read_at_a_time_serves_all_waiting_starts() {
    let mut leader = leader_with_job();
    let mut effects = at(1_000);
    leader.tick(true, &mut effects);
    assert!(change_reads(&effects).is_empty(), "no start waits");
    leader.change_read.request();
    leader.change_read.request();
    assert!(leader.next_wake(true) <= 1_000);
    leader.tick(true, &mut effects);
    leader.change_read.request();
    leader.tick(true, &mut effects);
    assert_eq!(change_reads(&effects), [KNOWN_REVISION]);
    let mut effects = at(1_020);
    let purpose = StatePurpose::ReadChanges(1_000);
    leader.handle_state_reply(purpose.clone(), StateReply::Refused, &mut effects);
    leader.tick(true, &mut effects);
    assert!(
        change_reads(&effects).is_empty(),
        "a refused read is not repeated at once"
    );
    let mut effects = at(1_020 + STATE_RETRY_MS);
    leader.tick(true, &mut effects);
    assert_eq!(change_reads(&effects), [KNOWN_REVISION]);
}

/// Guards against a proof that is dated by the arrival of the reply: a cancellation may be confirmed while it is on its
/// way.
#[test]
fn a_read_proves_what_was_confirmed_before_it_was_sent() {
    let mut leader = leader_with_job();
    let purpose = StatePurpose::ReadChanges(1_000);
    let unchanged = StateReply::Changes(Changes {
        revision: 12,
        changes: Vec::new(),
    });
    leader.handle_state_reply(purpose, unchanged, &mut at(1_300));
    assert!(leader.has_new_decisions);
    assert_eq!(leader.cancellations_known_until(), Some(1_000));
    let expires_at = 1_000 + START_PROOF_MAX_AGE_MS;
    assert!(leader.is_start_proven("run-1", authority_at(expires_at - 1, 1_000)));
    assert!(!leader.is_start_proven("run-1", authority_at(expires_at, 1_000)));
}

/// The read and the watch both report a change. The second report changes nothing, also once the job is archived.
#[test]
fn a_cancellation_that_the_read_reports_is_applied_once() {
    let mut leader = leader_with_job();
    let read = StatePurpose::ReadChanges(1_000);
    leader.handle_state_reply(read, cancellation(12), &mut at(1_020));
    assert!(leader.jobs["run-1"].aborted);
    leader.jobs.remove("run-1");
    leader
        .archived_jobs
        .insert("run-1".into(), wire::records::JobOutcome::Aborted);
    let watch = StatePurpose::Watch(900);
    leader.handle_state_reply(watch, cancellation(12), &mut at(1_030));
    assert!(leader.jobs.is_empty());
    assert_eq!(leader.job_watch.revision, 12);
    assert_eq!(leader.cancellations_known_until(), Some(1_000));
}

/// Guards against a proof that is dated by a repetition of the transaction: the state service may have executed the
/// first request, before the cancellation.
#[test]
fn a_repeated_transaction_proves_from_its_first_sending() {
    let mut leader = leader_with_job();
    let job = leader.jobs.get_mut("run-1").expect("job");
    job.assign(0, "vm-000000", 1, false, 0);
    leader.queue_write(RecordId::Job("run-1".into()));
    let mut effects = at(1_000);
    leader.flush(&mut effects);
    let number = transaction_number(&effects);
    leader.on_transaction_reply(number, StateReply::Unknown, &mut at(1_200));
    let repeated_at = 1_200 + STATE_RETRY_MS;
    let mut effects = at(repeated_at);
    leader.flush(&mut effects);
    assert_eq!(transaction_number(&effects), number);
    assert!(!leader.is_start_proven("run-1", authority_at(repeated_at, 0)));
    let committed = StateReply::Committed { version: 12 };
    leader.on_transaction_reply(number, committed, &mut at(repeated_at + 10));
    assert!(leader.jobs["run-1"].is_startable(0));
    let authority = authority_at(repeated_at + 10, 0);
    assert_eq!(leader.uncancelled_until("run-1", authority), 1_000);
    assert!(!leader.is_start_proven("run-1", authority));
}
