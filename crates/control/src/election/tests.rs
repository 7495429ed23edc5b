//! A leader that was stalled trusts its lease only after a renewal that was sent since.

use super::Election;
use crate::effects::{Effects, Now};
use crate::requests::{ElectionStep, StateReply};

fn effects(mono: u64) -> Effects {
    Effects::new(Now { mono, unix: mono })
}

/// A node that has just been elected and has sent its first renewal.
fn elected(at: u64) -> Election {
    let mut election = Election::new("n0", 7);
    let mut effects = effects(at);
    election.tick(&mut effects);
    let round = election.round;
    election.on_reply(ElectionStep::Poll(round), StateReply::Missing, &mut effects);
    election.on_reply(
        ElectionStep::ReadTerm(round),
        StateReply::Missing,
        &mut effects,
    );
    election.on_reply(
        ElectionStep::GrantLease(round),
        StateReply::Granted(1),
        &mut effects,
    );
    let committed = StateReply::Committed { version: 1 };
    election.on_reply(ElectionStep::Commit(round), committed, &mut effects);
    assert_eq!(election.leads(), Some(1));
    election
}

/// The reply waited while the process was stalled. It would release the start of a task whose job may be
/// cancelled by now.
#[test]
fn a_renewal_sent_before_a_stall_does_not_make_the_lease_valid_after_it() {
    let (sent, resumed) = (10_000, 12_000);
    let mut election = elected(sent);
    let renewed = |election: &mut Election, sent_at: u64| {
        election.on_reply(
            ElectionStep::Renew { term: 1, sent_at },
            StateReply::Renewed,
            &mut effects(resumed),
        );
    };
    renewed(&mut election, sent);
    assert!(election.is_lease_valid(resumed));
    election.on_stall(resumed);
    assert!(!election.is_lease_valid(resumed));
    renewed(&mut election, sent);
    assert!(!election.is_lease_valid(resumed), "sent before it");
    renewed(&mut election, resumed);
    assert!(election.is_lease_valid(resumed), "sent after it");
}
