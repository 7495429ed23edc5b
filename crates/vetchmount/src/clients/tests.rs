//! Calls that wait for a connection, against a listener that never answers.

use super::{Call, CallError, CallOutcome, Clients};
use crate::net::KeySequence;
use constants::{CONNECTIONS_PER_ADDRESS_MAX, CONNECT_TIMEOUT_MS};
use polling::{Events, Poller};
use std::net::{SocketAddr, SocketAddrV4, TcpListener};
use std::time::Duration;

const NOW: u64 = 1_000;
const LONG_DEADLINE: u64 = NOW + 60_000;
const SHORT_DEADLINE: u64 = NOW + 1_200;

/// A listener that accepts connections and never answers, as a peer behind a cut.
fn silent_listener() -> (TcpListener, SocketAddrV4) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    match listener.local_addr().expect("the bound address") {
        SocketAddr::V4(address) => (listener, address),
        SocketAddr::V6(address) => panic!("bound to {address}"),
    }
}

fn call(id: u64, addr: SocketAddrV4, deadline: u64) -> Call {
    Call {
        id,
        addr,
        method: "GET",
        path: "/kv/a".into(),
        body: Vec::new(),
        deadline,
    }
}

/// Clients of one silent listener, with all that their calls need.
struct Fixture {
    addr: SocketAddrV4,
    _listener: TcpListener,
    poller: Poller,
    clients: Clients,
    keys: KeySequence,
    /// Outcomes of calls so far.
    outcomes: Vec<CallOutcome>,
}

impl Fixture {
    fn new() -> Self {
        let (_listener, addr) = silent_listener();
        Fixture {
            addr,
            _listener,
            poller: Poller::new().expect("a poller"),
            clients: Clients::default(),
            keys: KeySequence::starting_at(0),
            outcomes: Vec::new(),
        }
    }

    fn call(&mut self, id: u64, deadline: u64) {
        let call = call(id, self.addr, deadline);
        self.clients
            .call(&self.poller, call, &mut self.keys, NOW, &mut self.outcomes);
    }

    fn expire(&mut self, now: u64) {
        self.clients
            .expire(&self.poller, &mut self.keys, now, &mut self.outcomes);
    }

    /// Handles the poller's events until all connections are established.
    fn connect_all(&mut self) {
        let mut buffer = [0; 1024];
        let mut events = Events::new();
        loop {
            events.clear();
            let wait = Some(Duration::from_millis(50));
            let count = self.poller.wait(&mut events, wait).expect("poll");
            if count == 0 {
                break;
            }
            for event in events.iter() {
                self.clients.on_event(
                    &self.poller,
                    event.key,
                    &mut buffer,
                    &mut self.keys,
                    NOW,
                    &mut self.outcomes,
                );
            }
        }
        assert!(self.outcomes.is_empty(), "{:?}", self.outcomes);
    }
}

/// All connections are taken up by calls that are not answered. Of two calls that wait behind them the second has the
/// earlier deadline: it was not given up before the first, while the main loop was asked to wake for it at once, again
/// and again. A controller cut off from the state service used up its processor share with that, and was ended when it
/// never waited at all.
#[test]
fn a_call_that_waits_is_given_up_at_its_own_deadline() {
    let mut fixture = Fixture::new();
    for id in 0..CONNECTIONS_PER_ADDRESS_MAX as u64 {
        fixture.call(id, LONG_DEADLINE);
    }
    fixture.connect_all();
    fixture.call(100, LONG_DEADLINE);
    fixture.call(101, SHORT_DEADLINE);
    assert_eq!(fixture.clients.next_wake(), SHORT_DEADLINE);
    assert!(fixture.outcomes.is_empty(), "{:?}", fixture.outcomes);

    fixture.expire(SHORT_DEADLINE);

    let not_sent = CallOutcome::failed(101, CallError::NotSent);
    assert_eq!(fixture.outcomes, vec![not_sent]);
    assert_eq!(fixture.clients.next_wake(), LONG_DEADLINE);
}

/// After each expiry of calls the next wake lies in the future: whatever was due has been acted upon.
#[test]
fn the_next_wake_lies_in_the_future_once_calls_have_expired() {
    let mut fixture = Fixture::new();
    let mut random = fastrand::Rng::with_seed(7);
    let calls = 4 * CONNECTIONS_PER_ADDRESS_MAX as u64;
    for id in 0..calls {
        let deadline = NOW + random.u64(1..3 * CONNECT_TIMEOUT_MS);
        fixture.call(id, deadline);
    }
    fixture.connect_all();
    while fixture.outcomes.len() < calls as usize {
        let now = fixture.clients.next_wake();
        let over = fixture.outcomes.len();
        assert!(now < u64::MAX, "{over} of {calls} calls are over");
        fixture.expire(now);
        assert!(fixture.clients.next_wake() > now, "a wake at {now} remains");
    }
    let mut ids: Vec<u64> = fixture
        .outcomes
        .iter()
        .map(|outcome| outcome.call)
        .collect();
    ids.sort_unstable();
    assert_eq!(
        ids,
        (0..calls).collect::<Vec<_>>(),
        "each call is over once"
    );
}
