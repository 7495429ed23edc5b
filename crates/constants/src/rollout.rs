//! Staged upgrades of the controllers.

/// Milliseconds between reads of the version that the other nodes run, until all are known to run
/// this one, and between reads of the cluster's feature level while an upgrade is under way.
pub const GENERATION_POLL_INTERVAL_MS: u64 = 1_500;
/// Milliseconds between reads of the cluster's feature level while no upgrade is under way.
pub const LEVEL_POLL_INTERVAL_MS: u64 = 5_000;
/// Milliseconds of heartbeats from a new process without an announcement after which it counts as
/// a build that announces no feature levels. A process that announces them does so within its
/// first second, unless the state service refuses it.
pub const ANNOUNCE_GRACE_MS: u64 = 10_000;
/// Milliseconds of the window in which restarts of a controller are counted.
pub const RESTART_WINDOW_MS: u64 = 120_000;
/// Restarts of a controller within [`RESTART_WINDOW_MS`] beyond which an upgrade is paused. An
/// upgrade, its rollback and the next upgrade are three.
pub const RESTARTS_PER_WINDOW_MAX: usize = 3;
/// Milliseconds without a restart after which an upgrade that was paused by a regression may go on.
/// Also how long the restart of a controller that is not configured pauses an upgrade.
pub const RESTART_FREE_RESUME_MS: u64 = 30_000;
/// Milliseconds between two log lines about an upgrade that waits.
pub const ROLLOUT_LOG_INTERVAL_MS: u64 = 60_000;
/// Seconds for which a level must be active, without a pause and with no controller restarting or
/// falling silent, until it is finalized, unless operators set another time.
pub const ROLLOUT_SOAK_S: f64 = 3_600.0;
/// Seconds without progress after which an upgrade is paused, unless operators set another time.
pub const ROLLOUT_STALL_S: f64 = 3_600.0;
