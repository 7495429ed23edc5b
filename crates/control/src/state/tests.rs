//! Budgets of the state service's client.

use super::*;

/// At a limit that has fallen unannounced, bookkeeping and users would go on turning each other away.
#[test]
fn bookkeeping_takes_less_when_the_rate_limit_is_hit_and_more_again_later() {
    let mut client = StateClient::new(100.0, 50.0);
    let full = client.book_writes.rate;
    let txn = |client: &mut StateClient, at: u64, status: u16| {
        let op = StateOp::Txn(Txn {
            guards: vec![],
            writes: vec![Write::delete("k")],
        });
        client.inflight.insert(1, (op, StateTag::Types));
        let now = Now { mono: at, unix: at };
        client.on_reply(now, 1, &Ok((status, vec![])));
    };
    for n in 1..40 {
        txn(&mut client, n * 100, 429);
    }
    assert!(client.book_writes.rate < 0.7 * full);
    assert!(client.book_writes.rate > 0.45 * full);
    // Seen as an outage it is not: users are not turned away for it.
    assert_eq!(client.last_bad, 0);
    let mut mail = Mail::new(Now {
        mono: 60_000,
        unix: 60_000,
    });
    client.pump(&mut 1, &mut mail, &mut Vec::new());
    assert!((client.book_writes.rate - full).abs() < 1e-6);
}
