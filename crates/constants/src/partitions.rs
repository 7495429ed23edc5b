//! Partitions of the fleet: grants and permits.

/// Milliseconds for which an owner may answer for its partitions under one grant: several times
/// [`GRANT_RENEW_INTERVAL_MS`].
pub const GRANT_DURATION_MS: u64 = 4_000;
/// Milliseconds between an owner's requests for a grant.
pub const GRANT_RENEW_INTERVAL_MS: u64 = 1_000;
/// Milliseconds for which an owner whose grant has expired forwards reports to the leader: an
/// election and the first grant of the next leader. Without it, a failover would redirect every
/// worker.
pub const EXPIRED_GRANT_FORWARD_MS: u64 = 4_000;
/// Forwarded reports that an owner remembers for the permits that may follow: two for each of
/// 4,000 machines. A report beyond that is forwarded once more.
pub const FORWARDED_REPORTS_MAX: usize = 8_192;
/// Permits that an owner relinquishes in one request. The next request continues.
pub const RELINQUISHED_PER_REQUEST_MAX: usize = 500;
/// Halves of a report interval without a report after which an owner considers a steady machine
/// silent, as the leader does.
pub const SILENCE_HALF_REPORT_INTERVALS: u64 = 5;
/// Milliseconds added to the time after which a machine counts as silent, for reports in transit.
pub const SILENCE_MARGIN_MS: u64 = 500;
/// Reports of a steady machine of which at least one is forwarded, so that the leader sees each
/// machine regularly.
pub const STEADY_REPORTS_PER_FORWARD: u64 = 8;
/// Milliseconds for which the times of owners' answers are remembered: many times any lease.
pub const ANSWER_RETENTION_MS: u64 = 600_000;
/// Recalls that fit into a grant's frame, with machine names of 64 characters.
pub const RECALLS_PER_GRANT_MAX: usize = 800;
/// Permits in a frame.
pub const PERMITS_PER_FRAME_MAX: usize = 400;
/// Milliseconds for which permits are collected before they are sent. The reports to which they
/// apply arrive seconds later.
pub const PERMIT_BATCH_DELAY_MS: u64 = 100;
/// Milliseconds between reviews of all permits. A change that matters for safety withdraws the
/// permits that it affects at once.
pub const PERMIT_REVIEW_INTERVAL_MS: u64 = 5_000;
/// Milliseconds between attempts to read or write the ownership table.
pub const OWNERSHIP_TABLE_RETRY_MS: u64 = 500;
/// Milliseconds between log lines about partitions.
pub const PARTITIONS_LOG_INTERVAL_MS: u64 = 60_000;
