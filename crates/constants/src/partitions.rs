//! Partitions of the fleet: grants and permits.

/// Milliseconds for which an owner may answer for its partitions under one grant: several times
/// [`GRANT_RENEW_MS`].
pub const GRANT_MS: u64 = 4_000;
/// Milliseconds between an owner's requests for a grant.
pub const GRANT_RENEW_MS: u64 = 1_000;
/// Milliseconds for which an owner whose grant has expired forwards reports, so that a failover
/// does not move every worker: an election and the first grant of the next leader.
pub const OWNER_RELAY_MS: u64 = 4_000;
/// Forwarded reports that an owner remembers for the permits that may follow: two for each of
/// 4,000 machines. A report beyond that is forwarded once more.
pub const FORWARDED_MAX: usize = 8_192;
/// Permits that an owner relinquishes in one request. The next request continues.
pub const RELINQUISHED_A_REQUEST: usize = 500;
/// Half report intervals that a steady machine may miss until its owner considers it silent, as
/// the leader counts it.
pub const SILENT_HALF_REPORTS: u64 = 5;
/// Milliseconds added to that time, for reports on their way.
pub const SILENT_EXTRA_MS: u64 = 500;
/// Reports of a steady machine of which at least one is forwarded, so that the leader sees each
/// machine regularly.
pub const STEADY_REPORTS: u64 = 8;
/// Milliseconds for which the times of owners' answers are remembered: many times any lease.
pub const ANSWER_RETENTION_MS: u64 = 600_000;
/// Recalls that fit into a grant's frame, with names of 64 characters.
pub const RECALLS_A_GRANT: usize = 800;
/// Permits in a frame.
pub const PERMITS_A_FRAME: usize = 400;
/// Milliseconds for which permits are collected before they are sent. The reports that they are
/// for arrive seconds later.
pub const PERMITS_WAIT_MS: u64 = 100;
/// Milliseconds between reviews of all permits. A change that matters for safety withdraws them at
/// once.
pub const PERMITS_REVIEW_MS: u64 = 5_000;
/// Milliseconds between attempts to read or write the ownership table.
pub const TABLE_RETRY_MS: u64 = 500;
/// Milliseconds between log lines about partitions.
pub const PARTITIONS_LOG_MS: u64 = 60_000;
