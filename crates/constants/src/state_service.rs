//! The state service: timeouts, watches, rate limits and retries.

/// Milliseconds to wait for the state service before the outcome counts as unknown. It answers
/// within a few hundred at worst, and users wait 2 s for a poll.
pub const STATE_TIMEOUT_MS: u64 = 1_200;
/// Milliseconds for which the state service holds a watch open. Short, because only the answer of a
/// watch proves that all cancellations up to its sending are known, and a watch whose connection
/// was lost silently hides them until it times out.
pub const WATCH_HOLD_MS: u64 = 3_000;
/// Milliseconds for which a leader makes decisions without new proof that it knows all
/// cancellations: one watch that times out and the next one's answer, with some slack. A decision
/// is recorded on condition that its job is not cancelled, so this bounds wasted work alone.
pub const CANCELLATION_KNOWLEDGE_MAX_AGE_MS: u64 = 9_000;
/// Milliseconds after which the proof that a job is not cancelled no longer allows its tasks to be
/// started. A start may cross the confirmation of a cancellation for half a second; a fifth of that
/// is left for its way to the worker.
pub const START_PROOF_MAX_AGE_MS: u64 = 400;
/// Milliseconds between two watches. Each change ends a watch, and at many changes a second the
/// watches would use up the request rate that users need.
pub const WATCH_INTERVAL_MIN_MS: u64 = 50;
/// Failed watches in a row after which everything is read again, page by page.
pub const WATCH_FAILURES_MAX: u32 = 4;
/// Milliseconds to wait after a failed call, or a refused check for users, before the state service
/// is asked again. After an answer of 429, calls wait for [`RATE_LIMIT_RETRY_MS`].
pub const STATE_RETRY_MS: u64 = 250;
/// Milliseconds without any successful answer, the last answer being a failure, after which users
/// are refused at once.
pub const STATE_UNAVAILABLE_MS: u64 = 1_500;
/// Share of the state service's request rate that one node may use at most. The nodes share the
/// limit.
pub const NODE_RPS_SHARE_MAX: f64 = 0.6;
/// Share of the state service's request rate that all nodes together may use for users' status
/// queries. The rest is for changes, the leader's records, elections and watches.
pub const STATUS_QUERY_RPS_SHARE: f64 = 0.5;
/// Burst of a node's status queries, in seconds of its part of [`STATUS_QUERY_RPS_SHARE`].
pub const STATUS_QUERY_BURST_S: f64 = 1.0;
/// Share of the state service's request rate that all nodes together may use for the reads that
/// submissions and cancellations need.
pub const CHANGE_READ_RPS_SHARE: f64 = 0.2;
/// Burst of a node's reads for changes, in seconds of its part of [`CHANGE_READ_RPS_SHARE`]. Covers
/// the backlog of an outage, as for writes.
pub const CHANGE_READ_BURST_S: f64 = 2.0;
/// Share of the state service's write rate that the leader's records may use. The rest is for
/// users. The share is reduced when the rate limit is hit.
pub const LEADER_WRITE_SHARE: f64 = 0.75;
/// Share of the state service's write rate that one node may use for its users.
pub const USER_WRITE_SHARE: f64 = 0.3;
/// Burst of one node's writes for its users, in seconds of the write rate. After an outage the
/// first node that is back receives what all nodes had to refuse.
pub const USER_WRITE_BURST_S: f64 = 0.6;
/// Milliseconds to wait after the state service's rate limit was hit. It accepts the next request
/// within less time.
pub const RATE_LIMIT_RETRY_MS: u64 = 80;
/// Factor applied to the write rate of the leader's records each time the rate limit is hit. Users'
/// writes have priority.
pub const LEADER_THROTTLE_FACTOR: f64 = 0.9;
/// Share of the write rate of the leader's records below which [`LEADER_THROTTLE_FACTOR`] does not
/// reduce it.
pub const LEADER_THROTTLE_MIN: f64 = 0.5;
/// Share of the write rate of the leader's records that is restored each second.
pub const LEADER_THROTTLE_RECOVERY_PER_S: f64 = 0.05;
/// Records requested per page of a listing. Each page has to be decoded in one go.
pub const RECORD_LIST_PAGE_SIZE: u32 = 200;
/// Milliseconds until a transaction that the state service rejected as invalid is retried.
pub const INVALID_TXN_RETRY_MS: u64 = 5_000;
