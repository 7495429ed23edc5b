//! Tests up to when heartbeats prove that all cancellations of a peer are known.

use super::*;

const BASE: u64 = 77_000_000;

fn heartbeat(at: u64, boot: u64, aborts: u64) -> PeerHeartbeat {
    PeerHeartbeat {
        received_at: at,
        echoed_clock: BASE + at - 10,
        boot,
        cancellation_count: aborts,
        ..PeerHeartbeat::default()
    }
}

#[test]
fn heartbeats_prove_nothing_after_a_missed_notice_or_a_restart() {
    let mut peers = Peers::new(["a".to_string()].into_iter(), BASE);
    assert_eq!(
        peers.cancellations_known_until(500),
        500,
        "no heartbeat yet"
    );
    peers.on_heartbeat("a", heartbeat(100, 7, 0));
    peers.on_cancellation_notice("a", 1);
    peers.on_heartbeat("a", heartbeat(900, 7, 1));
    assert_eq!(peers.cancellations_known_until(500), 890);
    // A notice was lost.
    peers.on_heartbeat("a", heartbeat(1_000, 7, 2));
    assert_eq!(peers.cancellations_known_until(500), 500);
    assert_eq!(
        peers.cancellations_known_until(1_000),
        1_000,
        "known from a later read of the records"
    );
    peers.on_heartbeat("a", heartbeat(1_200, 7, 2));
    assert_eq!(peers.cancellations_known_until(1_000), 1_190);
    // The peer runs another process.
    peers.on_heartbeat("a", heartbeat(1_400, 8, 0));
    assert_eq!(peers.cancellations_known_until(1_000), 1_000);
}

/// The peer has received nothing from this process yet and echoes the clock of the previous
/// process, which ran for longer.
#[test]
fn an_echo_of_an_earlier_process_proves_nothing() {
    let mut peers = Peers::new(["a".to_string()].into_iter(), BASE);
    for echo in [300, 300_000, BASE - 1, BASE + 5_000] {
        peers.on_heartbeat(
            "a",
            PeerHeartbeat {
                echoed_clock: echo,
                ..heartbeat(1_000, 7, 0)
            },
        );
        assert_eq!(peers.cancellations_known_until(1_100), 1_100, "{echo}");
    }
    peers.on_heartbeat("a", heartbeat(2_000, 7, 0));
    assert_eq!(peers.cancellations_known_until(1_100), 1_990);
}
