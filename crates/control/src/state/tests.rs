//! Tests of the request budgets of the state service's client.

use super::*;
use crate::effects::Output;
use constants::{LEADER_WRITE_SHARE, USER_WRITE_SHARE};
use wire::state::{Txn, Write};

/// The rate limit was lowered without notice. Without throttling, the leader and users would keep
/// displacing each other's requests.
#[test]
fn leader_writes_are_throttled_when_the_rate_limit_is_hit_and_recover_later() {
    let mut client = StateClient::new(100.0, 50.0, 3);
    let full = client.budget.leader_write_rate();
    let reply_to_txn = |client: &mut StateClient, at: u64, status: u16| {
        let op = StateOp::Txn(Txn {
            compares: vec![],
            writes: vec![Write::delete("k")],
        });
        let tag = StateTag::Types;
        client.in_flight.insert(1, Request { op, tag });
        let now = Now { mono: at, unix: at };
        client.on_reply(now, 1, &Ok((status, vec![])));
    };
    for n in 1..40 {
        reply_to_txn(&mut client, n * 100, 429);
    }
    assert!(client.budget.leader_write_rate() < 0.7 * full);
    assert!(client.budget.leader_write_rate() > 0.45 * full);
    // Does not count as an outage: users' requests are not refused because of it.
    assert_eq!(client.last_failure_at, 0);
    let mut effects = Effects::new(Now {
        mono: 60_000,
        unix: 60_000,
    });
    client.send_due(&mut 1, &mut effects, &mut Vec::new());
    assert!((client.budget.leader_write_rate() - full).abs() < 1e-6);
}

fn read() -> StateOp {
    StateOp::Get("j/run-1".into())
}

/// Returns the number of calls sent within a second for each entry of `waiting`, when far more
/// requests are queued than the budget allows.
fn sent_in_a_second(client: &mut StateClient, waiting: &[(Priority, StateOp)]) -> Vec<usize> {
    let at = |mono| Now { mono, unix: mono };
    for n in 0..500 {
        for (i, (priority, op)) in waiting.iter().enumerate() {
            let tag = StateTag::User(1_000 * i as u64 + n);
            client.enqueue(at(10_000), *priority, op.clone(), tag);
        }
    }
    let mut next_call = 0;
    for mono in (10_000..11_000).step_by(10) {
        client.send_due(&mut next_call, &mut Effects::new(at(mono)), &mut Vec::new());
    }
    let mut sent = vec![0; waiting.len()];
    for request in client.in_flight.values() {
        if let StateTag::User(number) = &request.tag {
            sent[*number as usize / 1_000] += 1;
        }
    }
    sent
}

/// When all priorities shared one rate, status queries and users' changes went ahead of the
/// leader's records, and none of these were sent.
#[test]
fn user_requests_do_not_use_up_the_rate_of_the_leaders_records() {
    let write = StateOp::Txn(Txn {
        compares: vec![],
        writes: vec![Write::delete("k")],
    });
    let waiting = [
        (Priority::Change, write.clone()),
        (Priority::ChangeRead, read()),
        (Priority::LeaderRecords, write),
        (Priority::ReadValidation, read()),
        (Priority::StatusQuery, read()),
    ];
    for (rps, write_rps) in [(150.0, 50.0), (100.0, 25.0)] {
        let mut client = StateClient::new(rps, write_rps, 3);
        let sent = sent_in_a_second(&mut client, &waiting);
        let leader_rate = write_rps * LEADER_WRITE_SHARE;
        assert!(sent[2] as f64 >= leader_rate, "{rps}: {sent:?}");
        assert!(sent[0] as f64 >= write_rps * USER_WRITE_SHARE, "{sent:?}");
        assert!(sent[1] > 0 && sent[3] > 0, "{sent:?}");
        assert!((sent.iter().sum::<usize>() as f64) < rps, "{sent:?}");
    }
}

/// There is always a read validation to send, because each is followed by another. A status query
/// that needs a read must be sent nevertheless.
#[test]
fn status_queries_are_sent_despite_continuous_read_validations() {
    let mut client = StateClient::new(100.0, 25.0, 5);
    let validation = || StateOp::Txn(Txn::default());
    let (mut call, mut expired) = (0, Vec::new());
    let (mut validations, mut reads) = (0, 0);
    for step in 0..400 {
        let now = Now {
            mono: 1_000 + 10 * step,
            unix: 0,
        };
        let waits = |client: &StateClient, p: Priority| !client.queues[p as usize].is_empty();
        if !waits(&client, Priority::ReadValidation) {
            client.enqueue(
                now,
                Priority::ReadValidation,
                validation(),
                StateTag::ReadValidation(step),
            );
        }
        if step.is_multiple_of(10) && !waits(&client, Priority::StatusQuery) {
            let read = StateOp::Get("j/run-1".into());
            client.enqueue(now, Priority::StatusQuery, read, StateTag::User(step));
        }
        let mut effects = Effects::new(now);
        client.send_due(&mut call, &mut effects, &mut expired);
        for output in effects.outputs {
            match output {
                Output::Call { method: "GET", .. } => reads += 1,
                Output::Call { .. } => validations += 1,
                _ => {}
            }
        }
    }
    // Both kinds together are sent 10 times per second, for 4 seconds.
    assert!((15..=25).contains(&reads), "{reads} reads");
    assert!(
        (15..=35).contains(&validations),
        "{validations} validations"
    );
    assert!(expired.is_empty());
}
