//! Scheduling rounds, and the weights by which jobs and machines are ordered.

/// Milliseconds of real time that one scheduling round may take, its view included. The next round
/// continues where it stopped. A worker waits 4 s for an answer and a load balancer 1 s, so a
/// round may take a fraction of that.
pub const ROUND_BUDGET_MS: u64 = 150;
/// Milliseconds that the decisions of a round may take in any case, even if building the view used
/// up the budget.
pub const ROUND_LEAST_MS: u64 = 40;
/// Milliseconds after which a round runs although nothing has happened: a job may be waiting for a
/// point in time.
pub const ROUND_AT_LEAST_MS: u64 = 1_500;
/// Milliseconds between two scheduling rounds.
pub const ROUND_EVERY_MS: u64 = 60;
/// Pause between rounds as a multiple of the last round's duration, if that is longer than
/// [`ROUND_EVERY_MS`].
pub const ROUND_REST: u64 = 2;
/// Milliseconds between two updates of the cost accounts of machines.
pub const ACCOUNT_MS: u64 = 5_000;
/// Milliseconds between housekeeping steps (silent machines, fleet size).
pub const HOUSEKEEPING_MS: u64 = 500;
/// Tasks up to which an array is thin and skips sampling (the paper's bypass; value from the
/// design).
pub const THIN_TASKS: u32 = 7;
/// Share of an array's tasks that are pilots (the paper's 5%).
pub const PILOT_SHARE: f64 = 0.05;
/// Number of queues (the paper's 10).
pub const QUEUES: usize = 10;
/// Task-seconds up to which a job is in the first queue (the paper's 10 MB; value from the
/// design).
pub const FIRST_BOUND: f64 = 600.0;
/// Growth of the queues' bounds and fall of their weights (the paper's 10).
pub const QUEUE_GROWTH: f64 = 10.0;
/// Factor from a job's mean task time to the time its longest task takes, for ordering by
/// deadline.
pub const LONGEST_TASK: f64 = 1.4;
/// Seconds between the placing of a task and its first second of work, for ordering by deadline.
pub const START_LAG_S: f64 = 5.0;
/// Seconds after its last deadline at which a job that can no longer meet any counts as due: later
/// than any job that still can, but bounded, so that it does not starve.
pub const MISSED_OBJECTIVE_DELAY_S: f64 = 200.0;
/// Penalty of a machine for each second until its next report, which is when a start can first be
/// sent. See `misfit` in `sched` for what it is weighed against.
pub const DISPATCH_DELAY_COST: f64 = 2.0;
/// Penalty of a spot machine for a task that takes no checkpoints and no GPU: more than that of
/// fetching its image again, since one lost task of many makes its job late.
pub const UNCHECKPOINTED_COST: f64 = 150.0;
/// Seconds before the latest start that still meets a deadline at which a job takes precedence
/// over the weighted sharing.
pub const URGENT_S: f64 = 12.0;
/// Seconds that a job waits without a single start until it takes precedence over the queues'
/// weighted sharing, so that the largest jobs start within minutes however much smaller work
/// arrives.
pub const AGED_S: f64 = 75.0;
/// Seconds added to the cost of room on a machine without the image, when tasks are preempted for
/// it.
pub const FETCH_COST_S: f64 = 40.0;
