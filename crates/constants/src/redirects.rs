//! Redirects of workers to the owners of their partitions.

/// Workers per second that a leader redirects to their owners. Each of them has to reconnect.
pub const REDIRECTS_A_SECOND: f64 = 50.0;
/// Milliseconds until a worker that came back is redirected to its owner again, doubled by each
/// further return.
pub const REDIRECT_PAUSE_MS: u64 = 30_000;
/// Times that [`REDIRECT_PAUSE_MS`] is doubled at most.
pub const REDIRECT_DOUBLINGS: u32 = 4;
/// Milliseconds until a controller that is neither owner nor leader names the owner to the same
/// worker again. A worker that comes back sooner did not reach the owner.
pub const REDIRECT_REPEAT_MS: u64 = 30_000;
/// Redirected workers that such a controller remembers. A worker beyond that is forgotten, which
/// costs one more redirect.
pub const REDIRECTED_MAX: usize = 8_192;
/// Workers in a row that came back from an owner that received no report meanwhile, from which the
/// owner counts as unreachable.
pub const REDIRECTS_FAILED: u32 = 8;
/// Milliseconds for which a grant must still be valid for workers to be redirected to its owner.
pub const REDIRECT_GRANT_MS: u64 = 1_000;
/// Part of a lease (one in that many) after an answer within which a worker may be redirected.
pub const REDIRECT_LEASE_PART: u64 = 3;
