//! Workers: reports, leases and direct orders.

/// Milliseconds for which a node that knows of no leader defers its answer to a worker's report.
/// Less than the second that the worker would lose by trying the next node, which knows of no
/// leader either.
pub const NO_LEADER_DEFERRAL_MS: u64 = 900;
/// Milliseconds for which a leader that is still loading its records defers its answer to a
/// worker's report. The worker would only be sent back to the same node.
pub const LEADER_LOADING_DEFERRAL_MS: u64 = 3_500;
/// Milliseconds that a report forwarded to the leader may take. Less than the worker's own
/// timeout.
pub const REPORT_FORWARD_TIMEOUT_MS: u64 = 3_500;
/// Milliseconds between checks of deferred reports while there is still no leader.
pub const PENDING_HEARTBEATS_CHECK_INTERVAL_MS: u64 = 100;
/// Milliseconds until a node with deferred reports wakes up at the latest.
pub const PENDING_HEARTBEATS_WAKE_INTERVAL_MS: u64 = 200;
/// Milliseconds for which a worker waits for the answer to a report. It drops a `launch` that was
/// sent longer ago.
pub const WORKER_REPORT_TIMEOUT_MS: u64 = 4_000;
/// Factor for the drift between two monotonic clocks (0.05% each way, doubled as a safety margin).
pub const CLOCK_DRIFT_FACTOR: f64 = 1.002;
/// Milliseconds added to every wait for the expiry of another machine's lease.
pub const LEASE_EXPIRY_MARGIN_MS: u64 = 1_000;
/// Starts in a row that did not reach a worker, after which answers are assumed not to reach it.
pub const UNDELIVERED_STARTS_MAX: u32 = 3;
/// Sessions in a row that ended sooner than a lease after an answer, after which answers are
/// assumed not to reach the worker.
pub const EARLY_EXPIRIES_MAX: u32 = 2;
/// Time after which an empty machine that answers do not reach is returned to the cloud, as a
/// multiple of the time until its worker's lease has certainly expired (clock drift and margin
/// included). Most network partitions are shorter.
pub const UNREACHABLE_RETURN_LEASES: u64 = 4;
/// Milliseconds for which a removed machine is remembered, so that late copies of its reports
/// change nothing.
pub const REMOVED_MACHINE_RETENTION_MS: u64 = 600_000;
/// Orders in one answer to a worker, or in one message of direct orders. 400 of at most 120 bytes stay below the body limit.
pub const ORDERS_PER_ANSWER_MAX: usize = 400;
/// Milliseconds subtracted when a leader computes how long it may renew leases that may cover
/// tasks of a job cancelled without its knowledge. Clock drift is accounted for separately, and
/// the leader's knowledge is dated by when it asked, so this margin covers timers alone.
pub const KEEPALIVE_MARGIN_MS: u64 = 1_000;
/// Deferred reports answered per turn once the leader has loaded its records. Answering all
/// reports of a large fleet in one turn would delay users and the renewal of the leader lease by
/// seconds.
pub const PENDING_HEARTBEATS_PER_TURN_MAX: usize = 16;
/// Milliseconds to wait for a worker's answer to a direct order.
pub const DIRECT_ORDERS_TIMEOUT_MS: u64 = 2_000;
/// Milliseconds between direct orders to the same machine. Also how long after its request
/// a stop is sent directly; that of a cancelled job's task also later, while its worker's report is
/// overdue.
pub const DIRECT_STOP_REPEAT_INTERVAL_MS: u64 = 1_000;
/// Tasks on one machine at most. A report of that many tasks, 100 bytes each, stays below the body
/// limit.
pub const TASKS_PER_MACHINE_MAX: u32 = 400;
/// Milliseconds between checks whether deferred answers to workers may be sent, while nothing has
/// been decided.
pub const DEFERRED_ANSWERS_CHECK_INTERVAL_MS: u64 = 50;
/// Milliseconds for which the answer to a worker whose tasks have just ended waits for the next
/// start there: a round and a transaction. Otherwise the freed capacity idles until the worker's
/// next report.
pub const DECISION_WAIT_MS: u64 = 1_000;
/// Milliseconds for which the answer to a worker with free capacity waits for a task, well within
/// the worker's timeout of 4 s. Meanwhile a start reaches the worker at once instead of at its next
/// report.
pub const WORK_LONG_POLL_MS: u64 = 3_000;
/// Share of a lease for which such a long poll may last where tasks run. The answer renews the
/// lease, and a leader that is cut off at that moment costs the worker several seconds more.
pub const WORK_LONG_POLL_LEASE_SHARE: f64 = 1.0 / 12.0;
