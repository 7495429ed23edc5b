//! Scale-in: machines that are returned to the cloud, and consolidation.

/// Seconds for which a machine idles before it is returned where cost counts. A machine is charged
/// for 60 s at least.
pub const IDLE_RETURN_S: f64 = 25.0;
/// Leases after which an empty machine that is silent, yet not listed as failed, is returned. Cuts
/// and hangs mostly end within two leases, and a machine that recovers still has its images.
pub const SILENT_LEASES: f64 = 2.5;
/// Milliseconds after the end of a spot machine's notice, and without a report, at which the
/// machine is returned. It is gone or will be within moments, and only then may its tasks start
/// elsewhere.
pub const NOTICE_OVER_MS: u64 = 1_500;
/// Milliseconds beyond its worker's lease after which a silent machine is returned that may still
/// run tasks, as far as this leader can tell. Returning the machine ends them for certain.
pub const SILENT_UNSURE_MS: u64 = 30_000;
/// Machines that may idle for [`IDLE_RETURN_S`] in any case.
pub const IDLE_LEAST: usize = 4;
/// Part of the fleet (one in that many machines) that may idle for [`IDLE_RETURN_S`] besides
/// [`IDLE_LEAST`].
pub const IDLE_PART: usize = 24;
/// Milliseconds for which a machine beyond those idles. Work that follows its last tasks may not
/// be placed yet.
pub const IDLE_SURPLUS_MS: u64 = 4_000;
/// Factor on that idle time for spot machines. At a third of the price, room for later work is
/// worth keeping.
pub const IDLE_SPOT: f64 = 2.0;
/// Factor on that idle time for ordinary machines.
pub const IDLE_ORDINARY: f64 = 0.6;
/// Seconds between searches for a machine whose tasks fit elsewhere.
pub const CONSOLIDATE_S: f64 = 4.0;
/// Part of the fleet (one in that many machines) that may be drained for consolidation at a time.
pub const CONSOLIDATE_PART: usize = 64;
/// Seconds for which a machine must still be busy for draining it to pay off: saving checkpoints,
/// starting and fetching images have a cost.
pub const CONSOLIDATE_LEFT_S: f64 = 30.0;
