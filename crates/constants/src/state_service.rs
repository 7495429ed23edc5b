//! The state service: timeouts, watches, rate limits and retries.

/// Milliseconds to wait for the state service before the outcome counts as unknown; it answers
/// within a few hundred at worst, and users wait 2 s for a poll.
pub const STATE_TIMEOUT_MS: u64 = 1_200;
/// Milliseconds for which the state service holds a watch open. Short, because only its answer
/// proves that all cancellations up to its sending are known, and a watch whose connection was
/// lost silently hides them until it times out.
pub const WATCH_HOLD_MS: u64 = 3_000;
/// Milliseconds for which a leader decides and starts tasks without new proof that it knows all
/// cancellations: one watch that times out and the next one's answer, with some slack.
pub const CANCELLATIONS_KNOWN_MS: u64 = 9_000;
/// Milliseconds between two watches. Each change ends a watch, and at many changes a second the
/// watches would use up the request rate that users need.
pub const WATCH_EVERY_MS: u64 = 50;
/// Failed watches in a row after which everything is read again, page by page.
pub const WATCH_TRIES: u32 = 4;
/// Milliseconds to wait after an answer of 429 or 503 before the state service is asked again.
pub const STATE_RETRY_MS: u64 = 250;
/// Milliseconds without any successful answer, the last answer being a failure, after which users
/// are refused at once.
pub const STATE_DOWN_MS: u64 = 1_500;
/// Share of the state service's request rate that one node may use at most. The nodes share the
/// limit.
pub const STATE_RPS_SHARE: f64 = 0.6;
/// Share of the state service's request rate that all nodes together may spend on users' status
/// queries. The rest is for changes, the leader's records, elections and watches.
pub const QUESTION_SHARE: f64 = 0.5;
/// Seconds' worth of a node's part of [`QUESTION_SHARE`] that it may spend at once.
pub const QUESTION_BURST_S: f64 = 1.0;
/// Share of the state service's request rate that all nodes together may spend on the reads that
/// submissions and cancellations need.
pub const CHANGE_READ_SHARE: f64 = 0.2;
/// Seconds' worth of a node's part of [`CHANGE_READ_SHARE`] that it may spend at once. Covers the
/// backlog of an outage, as for writes.
pub const CHANGE_READ_BURST_S: f64 = 2.0;
/// Share of the state service's write rate that the leader's records may use. The rest is for
/// users. The share shrinks when the rate limit is hit.
pub const STATE_WRITE_SHARE: f64 = 0.75;
/// Share of the state service's write rate one node may spend on its users.
pub const USER_WRITE_SHARE: f64 = 0.3;
/// Seconds' worth of the write rate that one node may spend on its users at once. After an outage
/// the first node that is back receives what all nodes had to refuse.
pub const USER_WRITE_BURST: f64 = 0.6;
/// Milliseconds to wait after the state service's rate limit was hit. It accepts the next request
/// within less time.
pub const RATE_RETRY_MS: u64 = 80;
/// Factor applied to the write rate of the leader's records each time the rate limit is hit:
/// users' writes come first.
pub const LEADER_THROTTLE_FACTOR: f64 = 0.9;
/// Share of that write rate below which [`LEADER_THROTTLE_FACTOR`] does not reduce it.
pub const LEADER_THROTTLE_MIN: f64 = 0.5;
/// Share of that write rate that is restored each second.
pub const LEADER_THROTTLE_RECOVERY_PER_S: f64 = 0.05;
/// Records requested per page of a listing. Each page has to be decoded in one go.
pub const LIST_PAGE: u32 = 200;
/// Milliseconds until a transaction that the state service rejected as invalid is retried.
pub const INVALID_RETRY_MS: u64 = 5_000;
