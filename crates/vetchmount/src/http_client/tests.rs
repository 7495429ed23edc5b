//! Expiry of calls that wait for a connection, against a listener that never answers.

use super::{Call, CallError, CallOutcome, HttpClient};
use crate::net::KeyAllocator;
use constants::{CONNECTIONS_PER_ADDRESS_MAX, CONNECT_TIMEOUT_MS};
use polling::{Events, Poller};
use std::net::{SocketAddr, SocketAddrV4, TcpListener};
use std::time::Duration;

const NOW: u64 = 1_000;
const LONG_DEADLINE: u64 = NOW + 60_000;
const SHORT_DEADLINE: u64 = NOW + 1_200;

/// A listener that accepts connections and never answers, like a service behind a network partition.
fn silent_listener() -> (TcpListener, SocketAddrV4) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    match listener.local_addr().expect("the bound address") {
        SocketAddr::V4(address) => (listener, address),
        SocketAddr::V6(address) => panic!("bound to {address}"),
    }
}

fn get_call(id: u64, addr: SocketAddrV4, deadline: u64) -> Call {
    Call {
        id,
        addr,
        method: "GET",
        path: "/kv/a".into(),
        body: Vec::new(),
        deadline,
    }
}

/// An HTTP client and one silent listener that it calls.
struct Fixture {
    addr: SocketAddrV4,
    _listener: TcpListener,
    poller: Poller,
    client: HttpClient,
    keys: KeyAllocator,
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
            client: HttpClient::default(),
            keys: KeyAllocator::starting_at(0),
            outcomes: Vec::new(),
        }
    }

    fn start_call(&mut self, id: u64, deadline: u64) {
        let call = get_call(id, self.addr, deadline);
        self.client
            .start_call(&self.poller, call, &mut self.keys, NOW, &mut self.outcomes);
    }

    fn expire(&mut self, now: u64) {
        self.client
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
                self.client.on_event(
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

/// All connections are busy with calls that get no response, and of two calls waiting behind them the second has the
/// earlier deadline. It must fail at that deadline. When it stayed in the queue until the first was over, `next_wake`
/// lay in the past and the main loop woke at once again and again. A controller that was cut off from the state service
/// used up its processor share in this way, and was ended when its main loop did not wait at all.
#[test]
fn a_waiting_call_fails_at_its_own_deadline() {
    let mut fixture = Fixture::new();
    for id in 0..CONNECTIONS_PER_ADDRESS_MAX as u64 {
        fixture.start_call(id, LONG_DEADLINE);
    }
    fixture.connect_all();
    fixture.start_call(100, LONG_DEADLINE);
    fixture.start_call(101, SHORT_DEADLINE);
    assert_eq!(fixture.client.next_wake(), SHORT_DEADLINE);
    assert!(fixture.outcomes.is_empty(), "{:?}", fixture.outcomes);

    fixture.expire(SHORT_DEADLINE);

    let not_sent = CallOutcome::failed(101, CallError::NotSent);
    assert_eq!(fixture.outcomes, vec![not_sent]);
    assert_eq!(fixture.client.next_wake(), LONG_DEADLINE);
}

/// After each expiry the next wake must be in the future. A wake in the past means that something due was not handled,
/// and would make the main loop spin.
#[test]
fn the_next_wake_is_in_the_future_after_calls_have_expired() {
    let mut fixture = Fixture::new();
    let mut random = fastrand::Rng::with_seed(7);
    let calls = 4 * CONNECTIONS_PER_ADDRESS_MAX as u64;
    for id in 0..calls {
        let deadline = NOW + random.u64(1..3 * CONNECT_TIMEOUT_MS);
        fixture.start_call(id, deadline);
    }
    fixture.connect_all();
    while fixture.outcomes.len() < calls as usize {
        let now = fixture.client.next_wake();
        let ended = fixture.outcomes.len();
        assert!(now < u64::MAX, "{ended} of {calls} calls have ended");
        fixture.expire(now);
        assert!(
            fixture.client.next_wake() > now,
            "the wake at {now} is still due"
        );
    }
    let mut ids: Vec<u64> = fixture
        .outcomes
        .iter()
        .map(|outcome| outcome.call)
        .collect();
    ids.sort_unstable();
    assert_eq!(ids, (0..calls).collect::<Vec<_>>(), "each call ends once");
}
