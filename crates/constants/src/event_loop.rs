//! Turns (iterations) of the main loop.

/// Milliseconds until a node whose gateway has requests in flight wakes up at the latest.
pub const GATEWAY_WAKE_INTERVAL_MS: u64 = 200;
/// Milliseconds between checks for calls whose deadline has passed.
pub const DEADLINE_CHECK_INTERVAL_MS: u64 = 200;
/// Milliseconds that an orderly shutdown may take. Less than the load balancer needs to notice the
/// shutdown, so that requests that arrive meanwhile are refused with `Retry-After` instead of
/// being cut off.
pub const SHUTDOWN_TIMEOUT_MS: u64 = 3_000;
/// Events taken from the poller in a turn of the main loop. Bounds the length of a turn.
pub const EVENTS_PER_TURN_MAX: std::num::NonZeroUsize = match std::num::NonZeroUsize::new(256) {
    Some(n) => n,
    None => std::num::NonZeroUsize::MIN,
};
/// Connections accepted in a turn of the main loop.
pub const ACCEPTS_PER_TURN_MAX: usize = 64;
/// Milliseconds of a turn that workers' reports may take. Requests of users and the renewal of the
/// leader lease have priority.
pub const REPORTS_TURN_BUDGET_MS: u64 = 40;
/// Milliseconds from which a turn of the main loop is logged as slow. Users and the load balancer
/// wait for that long.
pub const SLOW_TURN_MS: u64 = 150;
/// Milliseconds for which a turn of the main loop waits for events at least when no work is left.
pub const POLL_WAIT_MIN_MS: u64 = 1;
/// Milliseconds for which a turn of the main loop waits for events at most.
pub const POLL_WAIT_MAX_MS: u64 = 1_000;
