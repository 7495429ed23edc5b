//! Tests of records that are read again after a conflict.

use super::{at, job_record, leader};
use crate::effects::{Effects, NodeEvent};
use crate::leader::model::Job;
use crate::leader::Leader;
use crate::requests::{RecordId, StateOp, StatePurpose, StateReply, StateTag};
use wire::records::{job_key, JobOutcome, LEADER_KEY};
use wire::state::{Compare, Txn};

/// Version of the leader key in the term of [`leader`].
const LEADER_KEY_VERSION: u64 = 7;

/// The only request of the leader among the effects.
fn only_request(effects: &Effects) -> (StateOp, StatePurpose) {
    assert_eq!(effects.state_requests.len(), 1);
    let sent = &effects.state_requests[0];
    match &sent.tag {
        StateTag::Leader { purpose, .. } => (sent.op.clone(), purpose.clone()),
        other => panic!("not a request of the leader: {other:?}"),
    }
}

/// A leader that finds the record of a job gone which it is about to archive as done, and the request that follows.
fn leader_without_job_record() -> (Leader, Effects) {
    let mut leader = leader();
    leader.job_watch.in_flight = true;
    let mut spec = job_record();
    spec.spec.tasks = 1;
    let mut job = Job::new(spec, 5);
    job.complete(0, Some(1.0));
    leader.jobs.insert("run-1".into(), job);
    leader.queue_write(RecordId::Job("run-1".into()));
    let mut effects = at(1_000);
    leader.flush(&mut effects);
    let (_, transaction) = only_request(&effects);
    let conflict = StateReply::Conflict {
        failed: vec![job_key("run-1")],
    };
    let mut effects = at(1_020);
    leader.handle_state_reply(transaction, conflict, &mut effects);
    let (op, read) = only_request(&effects);
    assert_eq!(op, StateOp::Get(job_key("run-1")));
    let mut effects = at(1_040);
    leader.handle_state_reply(read, StateReply::Missing, &mut effects);
    (leader, effects)
}

/// Guards against a replaced leader that takes the work of the next leader for its own: it announced a job as done that
/// had been cancelled and archived as cancelled.
#[test]
fn a_missing_record_counts_as_archived_only_under_the_leader_key() {
    let (mut leader, effects) = leader_without_job_record();
    assert!(effects.events.is_empty(), "{:?}", effects.events);
    let (op, confirmation) = only_request(&effects);
    let compares = vec![
        Compare::new(LEADER_KEY, LEADER_KEY_VERSION),
        Compare::new(job_key("run-1"), 0),
    ];
    let writes = Vec::new();
    assert_eq!(op, StateOp::Txn(Txn { compares, writes }));
    let fenced = StateReply::Conflict {
        failed: vec![LEADER_KEY.into()],
    };
    let mut effects = at(1_060);
    leader.handle_state_reply(confirmation, fenced, &mut effects);
    let is_step_down = |event: &NodeEvent| matches!(event, NodeEvent::SteppedDown { .. });
    assert!(effects.events.iter().all(is_step_down) && !effects.events.is_empty());
    assert!(leader.jobs.contains_key("run-1"));
}

/// The same leader, not replaced: its own transaction was applied without its knowledge.
#[test]
fn a_missing_record_under_the_leader_key_was_archived_by_this_leader() {
    let (mut leader, effects) = leader_without_job_record();
    let (_, confirmation) = only_request(&effects);
    let committed = StateReply::Committed { version: 12 };
    let mut effects = at(1_060);
    leader.handle_state_reply(confirmation, committed, &mut effects);
    let ended = NodeEvent::JobEnded {
        job: "run-1".into(),
        outcome: JobOutcome::Done,
    };
    assert_eq!(effects.events, [ended]);
    assert!(leader.jobs.is_empty());
}

/// A record that changes between the read and its confirmation is read again.
#[test]
fn a_record_that_changed_since_it_was_read_is_read_again() {
    for reply in [
        StateReply::Conflict {
            failed: vec![job_key("run-1")],
        },
        StateReply::Unknown,
        StateReply::Refused,
    ] {
        let (mut leader, effects) = leader_without_job_record();
        let (_, confirmation) = only_request(&effects);
        let mut effects = at(1_060);
        leader.handle_state_reply(confirmation, reply, &mut effects);
        let (op, _) = only_request(&effects);
        assert_eq!(op, StateOp::Get(job_key("run-1")));
        assert!(effects.events.is_empty());
    }
}
