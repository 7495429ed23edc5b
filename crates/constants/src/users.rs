//! Users' requests: deadlines, status queries and caches.

/// Milliseconds after which an undecided user request is answered 503. Users wait 2 s to 5 s.
pub const USER_DEADLINE_MS: u64 = 1_800;
/// Milliseconds for which a status query waits for others, so that one transaction proves many
/// answers.
pub const VALIDATION_GATHER_MS: u64 = 40;
/// Milliseconds between two transactions of one node that prove answers to status queries.
pub const VALIDATION_INTERVAL_MS: u64 = 100;
/// Milliseconds between two transactions of one node that check many unknown job ids at once.
pub const ID_SEARCH_INTERVAL_MS: u64 = 200;
/// Checks of unknown job ids that requests may queue behind. Further requests are refused at once,
/// since their answers would be late.
pub const ID_SEARCH_BACKLOG: usize = 4;
/// Milliseconds up to which a user's request that hit the state service's rate limit is retried.
pub const USER_RETRY_MS: u64 = 900;
/// Versions of open jobs' records kept in memory (some 40 bytes each).
pub const VERSION_CACHE: usize = 8_000;
/// Open jobs in one message between controllers: 30 bytes each stay below a frame.
pub const JOB_UPDATES_MAX: usize = 1_500;
/// Seconds after which a refused user is asked to retry.
pub const RETRY_AFTER_S: u32 = 1;
/// Status queries of users in flight at a time, and as many submissions and cancellations. More
/// are refused at once.
pub const USER_REQUESTS_MAX: usize = 256;
/// Final phases of jobs kept in memory (an id and a letter each).
pub const FINAL_CACHE: usize = 20_000;
