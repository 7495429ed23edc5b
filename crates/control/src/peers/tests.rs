//! What peers vouch for.

use super::*;

const BASE: u64 = 77_000_000;

fn beat(at: u64, boot: u64, aborts: u64) -> PeerState {
    PeerState {
        at,
        echo: BASE + at - 10,
        boot,
        aborts,
        ..PeerState::default()
    }
}

#[test]
fn peers_vouch_only_without_a_missed_notice_or_a_restart() {
    let mut p = Peers::new(["a".to_string()].into_iter(), BASE);
    assert_eq!(p.aborts_known_until(500), 500, "nothing heard yet");
    p.on_heartbeat("a", beat(100, 7, 0));
    p.on_abort("a", 1);
    p.on_heartbeat("a", beat(900, 7, 1));
    assert_eq!(p.aborts_known_until(500), 890);
    // A notice that never came.
    p.on_heartbeat("a", beat(1_000, 7, 2));
    assert_eq!(p.aborts_known_until(500), 500);
    assert_eq!(
        p.aborts_known_until(1_000),
        1_000,
        "the watch told us since"
    );
    p.on_heartbeat("a", beat(1_200, 7, 2));
    assert_eq!(p.aborts_known_until(1_000), 1_190);
    // Another process.
    p.on_heartbeat("a", beat(1_400, 8, 0));
    assert_eq!(p.aborts_known_until(1_000), 1_000);
}

/// The peer has not heard this process yet and echoes the clock of the one before, which ran for longer.
#[test]
fn an_echo_of_an_earlier_process_vouches_for_nothing() {
    let mut p = Peers::new(["a".to_string()].into_iter(), BASE);
    for echo in [300, 300_000, BASE - 1, BASE + 5_000] {
        p.on_heartbeat(
            "a",
            PeerState {
                echo,
                ..beat(1_000, 7, 0)
            },
        );
        assert_eq!(p.aborts_known_until(1_100), 1_100, "{echo}");
    }
    p.on_heartbeat("a", beat(2_000, 7, 0));
    assert_eq!(p.aborts_known_until(1_100), 1_990);
}
