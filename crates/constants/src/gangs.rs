//! Gangs: which capacity is reserved for them, and for how long.

/// Seconds within which a machine must be expected up for a gang to wait for it rather than
/// preempt other tasks. Saving checkpoints and freeing capacity takes about as long.
pub const GANG_BOOT_WAIT_MAX_S: f64 = 10.0;
/// Multiple of a type's boot time after which a boot counts as late while fewer than
/// [`BOOT_SAMPLES_MIN`] were observed: gangs no longer count on the machine. A boot that took
/// longer is left out of the observations.
pub const BOOT_OVERDUE_FACTOR: f64 = 1.5;
/// Seconds for which the rest of a team's quota is reserved for its gangs. Bounded, since other
/// work of the team must not wait for a minute and a half while machines are free.
pub const QUOTA_RESERVATION_S: u64 = 55;
/// Seconds without a quota reservation after each one.
pub const QUOTA_RESERVATION_PAUSE_S: u64 = 20;
/// Remaining seconds beyond which a running task keeps a gang of its team from fitting into the
/// team's quota, whatever is reserved for the gang.
pub const LONG_RUNNING_TASK_S: f64 = 55.0;
/// Boots of a type that must have been observed before they decide which boots count as late.
pub const BOOT_SAMPLES_MIN: f64 = 10.0;
/// Seconds for which capacity is collected for a gang before the attempt is abandoned, and then until
/// the next attempt. The largest
/// gangs are to start within four minutes, and one that does not may need more capacity than there
/// will ever be.
pub const GANG_ATTEMPT_TIMEOUT_S: u64 = 300;
/// Divisor of the fleet size: one in that many machines may be reserved for gangs. A gang that is the
/// only one with reservations may reserve more.
pub const GANG_RESERVED_FLEET_DIVISOR: usize = 3;
