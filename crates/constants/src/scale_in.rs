//! Scale-in: machines that are returned to the cloud, and consolidation.

/// Seconds for which a machine idles before it is returned where cost counts. A machine is charged
/// for 60 s at least.
pub const IDLE_RETURN_S: f64 = 25.0;
/// Leases after which an empty machine that is silent, but not listed as failed, is returned.
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
/// Machines that may idle for [`IDLE_RETURN_S`] whatever the size of the fleet.
pub const IDLE_RESERVE_MIN: usize = 4;
/// Divisor of the fleet size: one in that many machines may idle for [`IDLE_RETURN_S`] in addition
/// to [`IDLE_RESERVE_MIN`].
pub const IDLE_RESERVE_FLEET_DIVISOR: usize = 24;
/// Milliseconds for which a machine beyond the idle reserve idles before it is returned. Work that
/// follows its last tasks may not be placed yet.
pub const IDLE_SURPLUS_RETURN_MS: u64 = 4_000;
/// Factor on [`IDLE_SURPLUS_RETURN_MS`] for spot machines. At a third of the price, capacity for
/// later work is worth keeping.
pub const SPOT_IDLE_SURPLUS_FACTOR: f64 = 2.0;
/// Factor on [`IDLE_SURPLUS_RETURN_MS`] for on-demand machines.
pub const ON_DEMAND_IDLE_SURPLUS_FACTOR: f64 = 0.6;
/// Seconds between searches for a machine whose tasks fit elsewhere.
pub const CONSOLIDATION_INTERVAL_S: f64 = 4.0;
/// Divisor of the fleet size: one in that many machines may be drained for consolidation at a time.
pub const CONSOLIDATION_FLEET_DIVISOR: usize = 64;
/// Seconds for which a machine must still be busy for draining it to pay off. Saving checkpoints,
/// starting tasks and fetching images have a cost.
pub const CONSOLIDATION_REMAINING_MIN_S: f64 = 30.0;
