//! Turns of the main loop.

/// Milliseconds until a node whose gateway has requests in flight wakes up at the latest.
pub const GATEWAY_WAKE_MS: u64 = 200;
/// Milliseconds between checks for calls whose deadline has passed.
pub const DEADLINE_CHECK_MS: u64 = 200;
/// Milliseconds that an orderly stop may take. Less than the load balancer needs to notice, so
/// that requests which arrive meanwhile are refused with `Retry-After` and not cut off.
pub const STOP_MS: u64 = 3_000;
/// Events taken from the poller in a turn of the main loop. Bounds the length of a turn.
pub const EVENTS_A_TURN: std::num::NonZeroUsize = match std::num::NonZeroUsize::new(256) {
    Some(n) => n,
    None => std::num::NonZeroUsize::MIN,
};
/// Connections accepted in a turn of the main loop.
pub const ACCEPTS_A_TURN: usize = 64;
/// Milliseconds of a turn that workers' reports may take. Users and the renewal of the leader
/// lease come first.
pub const REPORTS_A_TURN_MS: u64 = 40;
/// Milliseconds from which a turn of the main loop is logged as slow. Users and the load balancer
/// waited as long.
pub const SLOW_TURN_MS: u64 = 150;
/// Milliseconds that a turn of the main loop waits for events at least while nothing is left to do.
pub const LOOP_MIN_MS: u64 = 1;
/// Milliseconds for which a turn of the main loop sleeps at most.
pub const LOOP_MAX_MS: u64 = 1_000;
