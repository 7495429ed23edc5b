//! The watch of the open jobs.

use super::{at, job_record, leader};
use crate::effects::Effects;
use crate::requests::{LeaderRequest, StateOp, StateReply, StateTag};
use wire::records::job_key;
use wire::state::{Item, Page};

/// While all jobs were read again page by page, one on the first page was cancelled before the last page came. A watch
/// from the last page's revision would never have reported it.
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
                (StateOp::List { .. }, StateTag::Leader { request, .. }) => Some(request.clone()),
                _ => None,
            })
    };
    let mut effects = at(5_000);
    leader.on_state(
        LeaderRequest::Watch(4_000),
        StateReply::TooOld,
        &mut effects,
    );
    let first = requested(&effects).expect("the first page");
    let mut effects = at(5_100);
    leader.on_state(first, page(20, true), &mut effects);
    let second = requested(&effects).expect("the second page");
    let mut effects = at(5_200);
    leader.on_state(second, page(30, false), &mut effects);
    let from = effects
        .state_requests
        .iter()
        .find_map(|sent| match &sent.op {
            StateOp::Watch { from, .. } => Some(*from),
            _ => None,
        });
    assert_eq!(from, Some(20));
    // Dated by when the reading began.
    assert_eq!(leader.informed_until(), Some(5_000));
}
