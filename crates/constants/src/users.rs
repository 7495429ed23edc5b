//! Users' requests: deadlines, status queries and caches.

/// Milliseconds after which an undecided user request is answered with 503. Users wait 2 s to 5 s.
pub const USER_REQUEST_TIMEOUT_MS: u64 = 1_800;
/// Milliseconds for which a status query waits for others, so that one transaction validates many
/// answers.
pub const VALIDATION_BATCH_DELAY_MS: u64 = 40;
/// Milliseconds between two transactions of one node that validate answers to status queries.
pub const VALIDATION_INTERVAL_MS: u64 = 100;
/// Milliseconds between two transactions of one node that check many unknown job ids at once.
pub const UNKNOWN_ID_CHECK_INTERVAL_MS: u64 = 200;
/// Checks of unknown job ids that requests may queue behind. Further requests are refused at once,
/// since their answers would be late.
pub const UNKNOWN_ID_CHECK_BACKLOG_MAX: usize = 4;
/// Milliseconds up to which a user's request that hit the state service's rate limit is retried.
pub const USER_RETRY_WINDOW_MS: u64 = 900;
/// Versions of open jobs' records kept in memory (some 40 bytes each).
pub const VERSION_CACHE_ENTRIES: usize = 8_000;
/// Open jobs in one message between controllers. At 30 bytes each they fit into a frame.
pub const JOB_UPDATES_PER_MESSAGE_MAX: usize = 1_500;
/// Seconds after which a refused user is asked to retry.
pub const RETRY_AFTER_S: u32 = 1;
/// Status queries of users in flight at a time, and as many submissions and cancellations. More
/// are refused at once.
pub const USER_REQUESTS_IN_FLIGHT_MAX: usize = 256;
/// Outcomes of ended jobs kept in memory (an id and a letter each).
pub const OUTCOME_CACHE_ENTRIES: usize = 20_000;
