//! Redirects of workers to the owners of their partitions.

/// Workers per second that a leader redirects to their owners. Each of them has to reconnect.
pub const REDIRECTS_PER_S: f64 = 50.0;
/// Milliseconds until a worker that came back is redirected to its owner again, doubled by each
/// further return. Also how long an owner counts as unreachable after the last such return.
pub const REDIRECT_BACKOFF_MS: u64 = 30_000;
/// Times that [`REDIRECT_BACKOFF_MS`] is doubled at most.
pub const REDIRECT_BACKOFF_DOUBLINGS_MAX: u32 = 4;
/// Milliseconds until a controller that is neither owner nor leader redirects the same worker to
/// the owner again. A worker that comes back sooner did not reach the owner.
pub const REDIRECT_REPEAT_INTERVAL_MS: u64 = 30_000;
/// Redirected workers that a controller remembers. Forgetting one costs one more redirect.
pub const REDIRECTED_WORKERS_MAX: usize = 8_192;
/// Workers in a row that came back from an owner that received no report meanwhile, from which the
/// owner counts as unreachable.
pub const UNREACHABLE_OWNER_FAILED_REDIRECTS: u32 = 8;
/// Milliseconds for which a grant must still be valid for workers to be redirected to its owner.
pub const REDIRECT_GRANT_REMAINING_MIN_MS: u64 = 1_000;
/// Divisor of the lease duration: a worker may be redirected within that part of a lease after an
/// answer.
pub const REDIRECT_LEASE_DIVISOR: u64 = 3;
