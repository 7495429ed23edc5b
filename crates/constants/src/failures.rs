//! Failing jobs, and faulty or slow machines.

/// Milliseconds of backoff after a job's first failed task, doubled by each further one.
pub const ERROR_PAUSE_MS: u64 = 2_000;
/// Milliseconds of backoff at most for a job that continues to fail.
pub const ERROR_PAUSE_MAX_MS: u64 = 60_000;
/// Jobs that must have failed on a machine, with none completing there since, before the machine
/// is replaced. Failures of a job that has failed on more machines than that, with none of its
/// tasks completing since, count against no machine.
pub const FAULTY_JOBS: usize = 2;
/// Attempts of a job that ended under earlier leaders without a completed task, from which the job
/// counts as failing.
pub const FAILED_ATTEMPTS_SUSPECT: u64 = 3;
/// Milliseconds for which a task of a job must have been running to prove that the job does not
/// fail everywhere.
pub const SOUND_RUN_MS: u64 = 10_000;
/// Factor by which a machine's tasks must run over those elsewhere to be called slow.
pub const SLOW_FACTOR: f64 = 1.6;
