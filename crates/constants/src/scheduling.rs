//! Scheduling rounds, and the weights by which jobs and machines are ordered.

/// Milliseconds of real time that one scheduling round may take, its snapshot included. The next
/// round continues where it stopped. A worker waits 4 s for an answer and a load balancer 1 s, so
/// a round may take a fraction of that.
pub const ROUND_BUDGET_MS: u64 = 150;
/// Milliseconds that the decisions of a round may take in any case, even if building the snapshot
/// used up [`ROUND_BUDGET_MS`].
pub const ROUND_DECISIONS_MIN_MS: u64 = 40;
/// Milliseconds after which a round runs although nothing has happened: a job may be waiting for a
/// point in time.
pub const ROUND_INTERVAL_MAX_MS: u64 = 1_500;
/// Milliseconds between two scheduling rounds at least.
pub const ROUND_INTERVAL_MIN_MS: u64 = 60;
/// Pause between rounds as a multiple of the last round's duration, if that is longer than
/// [`ROUND_INTERVAL_MIN_MS`].
pub const ROUND_PAUSE_FACTOR: u64 = 2;
/// Milliseconds between two updates of the accumulated costs of machines.
pub const COST_UPDATE_INTERVAL_MS: u64 = 5_000;
/// Milliseconds between housekeeping steps (silent machines, fleet size).
pub const HOUSEKEEPING_INTERVAL_MS: u64 = 500;
/// Tasks up to which an array is thin and skips sampling (the paper's bypass).
pub const THIN_ARRAY_TASKS_MAX: u32 = 7;
/// Share of an array's tasks that are pilots (the paper's 5%).
pub const PILOT_SHARE: f64 = 0.05;
/// Number of queues (the paper's 10).
pub const QUEUE_COUNT: usize = 10;
/// Task-seconds up to which a job is in the first queue (the paper's 10 MB).
pub const FIRST_QUEUE_BOUND_TASK_S: f64 = 600.0;
/// Factor by which the bound of each queue grows and its weight falls from one queue to the next
/// (the paper's 10).
pub const QUEUE_GROWTH_FACTOR: f64 = 10.0;
/// Factor from a job's mean task time to the time that its longest task takes, for ordering by
/// deadline.
pub const LONGEST_TASK_FACTOR: f64 = 1.4;
/// Seconds between the placing of a task and its first second of work, for ordering by deadline.
pub const TASK_START_DELAY_S: f64 = 5.0;
/// Seconds after its last deadline at which a job that can no longer meet any counts as due: later
/// than any job that still can, but bounded, so that it does not starve.
pub const MISSED_OBJECTIVE_DELAY_S: f64 = 200.0;
/// Placement cost of a machine for each second until its next report, which is when a start can
/// first be sent. Comparable to the other costs that `sched` adds up for a placement.
pub const DISPATCH_DELAY_COST_PER_S: f64 = 2.0;
/// Placement cost of a spot machine for a task that takes no checkpoints and needs no GPU: more
/// than that of fetching its image again, since one lost task of many makes its job late. Twice as
/// much for an on-demand machine whose GPUs are all free, which the task would keep from being
/// returned.
pub const UNCHECKPOINTED_TASK_COST: f64 = 150.0;
/// Seconds before the latest start that still meets a deadline at which a job takes precedence
/// over the weighted sharing.
pub const DEADLINE_URGENT_SLACK_S: f64 = 12.0;
/// Seconds that a job waits without a single start until it takes precedence over the queues'
/// weighted sharing, so that the largest jobs start within minutes however much smaller work
/// arrives.
pub const AGING_THRESHOLD_S: f64 = 75.0;
/// Seconds added to the cost of freeing capacity by preemption on a machine that lacks the image.
pub const IMAGE_FETCH_COST_S: f64 = 40.0;
