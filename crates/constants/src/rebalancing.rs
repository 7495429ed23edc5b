//! Moves of partitions between controllers.

/// Milliseconds after which a partition move that could not be committed is abandoned.
pub const MOVE_TIMEOUT_MS: u64 = 10_000;
/// Partition moves under way at a time.
pub const MOVES_AT_ONCE: usize = 4;
/// Moves under way at a time for partitions whose owner is lost.
pub const LOST_MOVES_AT_ONCE: usize = 16;
/// Milliseconds between moves, so that the effect of one shows before the next.
pub const MOVE_PAUSE_MS: u64 = 2_000;
/// Milliseconds without a request after which an owner counts as lost. Its grant has expired by
/// then.
pub const OWNER_LOST_MS: u64 = 6_000;
/// Milliseconds for which a lost owner receives no partitions, doubled by each further loss.
pub const OWNER_PAUSE_MS: u64 = 30_000;
/// Milliseconds of that pause at most.
pub const OWNER_PAUSE_MAX_MS: u64 = 600_000;
/// Weight of the leader's share. The leader also schedules, and answers every worker that reports
/// to it.
pub const LEADER_WEIGHT: f64 = 0.1;
/// Busyness in thousandths from which a controller is overloaded.
pub const OVERLOADED_PERMILLE: u16 = 800;
/// Difference in busyness, in thousandths, below which controllers count as balanced and no
/// partition moves.
pub const UNEVEN_PERMILLE: u16 = 250;
/// Weight by which an overloaded controller is reduced.
pub const WEIGHT_CUT: f64 = 0.15;
/// Milliseconds between two reductions: time for the moves and their effect.
pub const WEIGHT_CUT_EVERY_MS: u64 = 10_000;
/// Weight that a controller that is no longer overloaded regains per step.
pub const WEIGHT_EASE: f64 = 0.05;
/// Milliseconds between two such steps, and after a reduction. Slow, since shares would oscillate
/// otherwise.
pub const WEIGHT_EASE_EVERY_MS: u64 = 60_000;
/// Weight of a controller at least.
pub const WEIGHT_LEAST: f64 = 0.2;
