//! Failing jobs, and faulty or slow machines.

/// Milliseconds of backoff of a failing job before doubling. Each failed task in a row doubles it,
/// the first one included.
pub const JOB_FAILURE_BACKOFF_MS: u64 = 2_000;
/// Upper bound of [`JOB_FAILURE_BACKOFF_MS`] after doubling, in milliseconds.
pub const JOB_FAILURE_BACKOFF_MAX_MS: u64 = 60_000;
/// Jobs that must have failed on a machine, with no task completing there since, before the
/// machine is replaced. If a job has failed on more machines than that, with none of its tasks
/// completing since, its failures count against no machine.
pub const FAULTY_MACHINE_FAILED_JOBS: usize = 2;
/// Attempts of a job that ended under earlier leaders without a completed task, from which the job
/// counts as failing.
pub const FAILING_JOB_ATTEMPTS_MIN: u64 = 3;
/// Milliseconds for which a task of a job must have been running to prove that the job does not
/// fail everywhere.
pub const HEALTHY_TASK_RUN_MS: u64 = 10_000;
/// Ratio of the running time of a machine's tasks to that of tasks elsewhere above which the
/// machine counts as slow.
pub const SLOW_MACHINE_FACTOR: f64 = 1.6;
