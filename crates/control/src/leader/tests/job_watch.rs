//! Tests of the watch of open jobs.

use super::{at, job_record, leader, reported_record};
use crate::effects::Effects;
use crate::requests::{StateOp, StatePurpose, StateReply, StateTag};
use wire::records::{job_key, JobOverflowRecord, JobRecord};
use wire::state::{to_value, Item, Page};

/// Guards against a missed cancellation: while all jobs are read again page by page, a job on the first page may be
/// cancelled before the last page arrives. A watch from the last page's revision would never report it.
#[test]
fn after_reading_all_jobs_again_the_watch_continues_from_the_first_pages_revision() {
    let mut leader = leader();
    let page = |revision: u64, more: bool| {
        let item = Item {
            key: job_key("run-1"),
            value: wire::state::to_value(&job_record()),
            version: 3,
            lease: None,
        };
        let items = vec![item];
        StateReply::Page(Page {
            items,
            has_more: more,
            revision,
        })
    };
    let requested = |effects: &Effects| {
        effects
            .state_requests
            .iter()
            .find_map(|sent| match (&sent.op, &sent.tag) {
                (
                    StateOp::List { .. },
                    StateTag::Leader {
                        purpose: request, ..
                    },
                ) => Some(request.clone()),
                _ => None,
            })
    };
    let mut effects = at(5_000);
    leader.handle_state_reply(StatePurpose::Watch(4_000), StateReply::TooOld, &mut effects);
    let first = requested(&effects).expect("request for the first page");
    let mut effects = at(5_100);
    leader.handle_state_reply(first, page(20, true), &mut effects);
    let second = requested(&effects).expect("request for the second page");
    let mut effects = at(5_200);
    leader.handle_state_reply(second, page(30, false), &mut effects);
    let from = effects
        .state_requests
        .iter()
        .find_map(|sent| match &sent.op {
            StateOp::Watch { from, .. } => Some(*from),
            _ => None,
        });
    assert_eq!(from, Some(20));
    // The information is as old as the start of the reading.
    assert_eq!(leader.cancellations_known_until(), Some(5_000));
}

/// Guards against a job that loses machine types: its record was reported again, by the watch after a read of changed
/// jobs, while the records with the rest of its types were being read.
#[test]
fn a_record_that_is_reported_twice_does_not_restart_the_reading_of_its_overflow_records() {
    let mut leader = leader();
    leader.job_watch.in_flight = true;
    let record = JobRecord {
        overflow_record_count: 2,
        ..job_record()
    };
    let overflow = |name: &str| {
        StateReply::Item(Item {
            key: String::new(),
            value: to_value(&JobOverflowRecord {
                machine_types: vec![name.to_string()],
            }),
            version: 9,
            lease: None,
        })
    };
    let read = |number| StatePurpose::OverflowRecord("run-1".into(), number);
    let purpose = StatePurpose::ReadChanges(1_000);
    leader.handle_state_reply(purpose, reported_record(&record, 9), &mut at(1_010));
    leader.handle_state_reply(read(1), overflow("g1"), &mut at(1_020));
    leader.handle_state_reply(
        StatePurpose::Watch(900),
        reported_record(&record, 9),
        &mut at(1_030),
    );
    leader.handle_state_reply(read(2), overflow("g2"), &mut at(1_040));
    let types = leader.jobs["run-1"].spec.machine_types.clone();
    assert_eq!(types, Some(vec!["g1".to_string(), "g2".to_string()]));
}
