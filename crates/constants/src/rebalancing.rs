//! Moves of partitions between controllers.

/// Milliseconds after which a partition move that could not be committed is abandoned.
pub const PARTITION_MOVE_TIMEOUT_MS: u64 = 10_000;
/// Partition moves under way at a time.
pub const CONCURRENT_MOVES_MAX: usize = 4;
/// Moves under way at a time for partitions whose owner is lost.
pub const CONCURRENT_LOST_OWNER_MOVES_MAX: usize = 16;
/// Milliseconds between moves, so that the effect of one shows before the next.
pub const MOVE_INTERVAL_MS: u64 = 2_000;
/// Milliseconds without a request after which an owner counts as lost. Its grant has expired by
/// then.
pub const OWNER_LOST_TIMEOUT_MS: u64 = 6_000;
/// Milliseconds for which a lost owner receives no partitions, doubled by each further loss.
pub const LOST_OWNER_EXCLUSION_MS: u64 = 30_000;
/// Upper bound of [`LOST_OWNER_EXCLUSION_MS`] after doubling, in milliseconds.
pub const LOST_OWNER_EXCLUSION_MAX_MS: u64 = 600_000;
/// Factor on the weight of the controller that leads. The leader also schedules, and answers every
/// worker that reports to it.
pub const LEADER_WEIGHT: f64 = 0.1;
/// Utilization in thousandths from which a controller is overloaded.
pub const OVERLOADED_PERMILLE: u16 = 800;
/// Difference in utilization, in thousandths, below which controllers count as balanced and no
/// weight is reduced.
pub const IMBALANCE_PERMILLE: u16 = 250;
/// Amount by which the weight of an overloaded controller is reduced per step.
pub const WEIGHT_REDUCTION_STEP: f64 = 0.15;
/// Milliseconds between two reductions: time for the moves and their effect.
pub const WEIGHT_REDUCTION_INTERVAL_MS: u64 = 10_000;
/// Weight that a controller that is no longer overloaded regains per step.
pub const WEIGHT_RECOVERY_STEP: f64 = 0.05;
/// Milliseconds between two recovery steps, and between a reduction and the first one. Long, since
/// the shares would oscillate otherwise.
pub const WEIGHT_RECOVERY_INTERVAL_MS: u64 = 60_000;
/// Lower bound of a controller's weight.
pub const WEIGHT_MIN: f64 = 0.2;
