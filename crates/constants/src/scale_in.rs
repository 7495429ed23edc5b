//! Scale-in: machines that are returned to the cloud, and consolidation.

/// Seconds for which a machine within the idle reserve idles before it is returned where cost
/// counts, unless operators set another time. [`SPOT_IDLE_FACTOR`] or [`ON_DEMAND_IDLE_FACTOR`]
/// applies to it. A machine is charged for 60 s at least.
pub const IDLE_RETURN_S: f64 = 25.0;
/// Silence after which an empty machine that is not listed as failed is returned, as a multiple of
/// the time until its worker's lease has certainly expired (clock drift and margin included).
/// Network partitions and hangs mostly end within two leases, and a machine that recovers still
/// has its images.
pub const SILENT_MACHINE_RETURN_LEASES: f64 = 2.5;
/// Milliseconds after the end of a spot machine's notice, and without a report, at which the
/// machine is returned. It is gone or will be within moments, and only then may its tasks start
/// elsewhere.
pub const SPOT_NOTICE_RETURN_DELAY_MS: u64 = 1_500;
/// Milliseconds beyond its worker's lease after which a silent machine is returned that may still
/// run tasks, as far as this leader can tell. Returning the machine ends them for certain.
pub const SILENT_WITH_TASKS_RETURN_DELAY_MS: u64 = 30_000;
/// Machines in the idle reserve whatever the size of the fleet. Machines in the reserve may idle
/// longer than [`IDLE_SURPLUS_RETURN_MS`]; see [`IDLE_RETURN_S`].
pub const IDLE_RESERVE_MIN: usize = 4;
/// Divisor of the fleet size: one in that many machines is in the idle reserve in addition to
/// [`IDLE_RESERVE_MIN`].
pub const IDLE_RESERVE_FLEET_DIVISOR: usize = 24;
/// Milliseconds for which a machine beyond the idle reserve idles before it is returned. Work that
/// follows its last tasks may not be placed yet.
pub const IDLE_SURPLUS_RETURN_MS: u64 = 4_000;
/// Factor on the idle time before a return ([`IDLE_RETURN_S`] unless operators set another) for spot
/// machines within the idle reserve. At a third of the price, capacity for later work is worth
/// keeping.
pub const SPOT_IDLE_FACTOR: f64 = 2.0;
/// Factor on the idle time before a return ([`IDLE_RETURN_S`] unless operators set another) for
/// on-demand machines within the idle reserve.
pub const ON_DEMAND_IDLE_FACTOR: f64 = 0.6;
/// Seconds between searches for a machine whose tasks fit elsewhere.
pub const CONSOLIDATION_INTERVAL_S: f64 = 4.0;
/// Divisor of the fleet size: one in that many machines, and one more, may be drained for
/// consolidation at a time.
pub const CONSOLIDATION_FLEET_DIVISOR: usize = 64;
/// Seconds for which a machine must still be busy for draining it to pay off. Saving checkpoints,
/// starting tasks and fetching images have a cost.
pub const CONSOLIDATION_REMAINING_MIN_S: f64 = 30.0;
