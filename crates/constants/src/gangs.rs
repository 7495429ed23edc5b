//! Gangs: which room is reserved for them, and for how long.

/// Seconds within which a machine must be expected up for a gang to wait for it rather than
/// preempt other tasks: saving checkpoints and freeing room takes about as long.
pub const READY_SOON_S: f64 = 10.0;
/// Factor of a type's boot time after which gangs no longer count on a machine that is not up.
pub const BOOT_OVERDUE: f64 = 1.5;
/// Seconds for which the rest of a team's quota is reserved for its gangs. Bounded, since other
/// work of the team must not wait for a minute and a half beside free machines.
pub const QUOTA_RESERVATION_S: u64 = 55;
/// Seconds without such a reservation after each one.
pub const QUOTA_RESERVATION_PAUSE_S: u64 = 20;
/// Seconds beyond which a running task keeps a gang of its team from fitting into the team's
/// quota, whatever is reserved for the gang.
pub const LONG_RUNNING_S: f64 = 55.0;
/// Boots of a type that must have been observed until they decide what counts as late.
pub const BOOTS_SEEN: f64 = 10.0;
/// Seconds for which room is collected for a gang before the attempt is abandoned. The largest
/// gangs are to start within four minutes, and one that does not may need more room than there
/// will ever be.
pub const GANG_TRY_S: u64 = 300;
/// Part of the fleet (one in that many machines) that may be reserved for gangs.
pub const RESERVED_PART: usize = 3;
