//! After a stall a leader trusts its lease only once a renewal that was sent after the stall has
//! succeeded.

use super::Election;
use crate::effects::{Effects, Now};
use crate::requests::{ElectionStep, StateReply};

fn effects(mono: u64) -> Effects {
    Effects::new(Now { mono, unix: mono })
}

/// Creates an election that was just won and has sent its first renewal.
fn elected(at: u64) -> Election {
    let mut election = Election::new("n0", 7);
    let mut effects = effects(at);
    election.tick(&mut effects);
    let attempt = election.attempt;
    election.on_reply(
        ElectionStep::Poll(attempt),
        StateReply::Missing,
        &mut effects,
    );
    election.on_reply(
        ElectionStep::ReadTerm(attempt),
        StateReply::Missing,
        &mut effects,
    );
    election.on_reply(
        ElectionStep::GrantLease(attempt),
        StateReply::Granted(1),
        &mut effects,
    );
    let committed = StateReply::Committed { version: 1 };
    election.on_reply(ElectionStep::Commit(attempt), committed, &mut effects);
    assert_eq!(election.leading_term(), Some(1));
    election
}

/// The reply to a renewal waits while the process is stalled. If it counted, the leader would start
/// a task whose job may have been cancelled by now.
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
    assert!(
        !election.is_lease_valid(resumed),
        "renewal sent before the stall"
    );
    renewed(&mut election, resumed);
    assert!(
        election.is_lease_valid(resumed),
        "renewal sent after the stall"
    );
}
