//! Calls to the cloud, scale-out, and machines that fail to boot.

/// Seconds between two listings of the machines.
pub const MACHINE_LIST_INTERVAL_S: f64 = 5.0;
/// Machines on a page of the machine list (the protocol's limit).
pub const MACHINE_LIST_PAGE_SIZE: usize = 500;
/// Share of the cloud's call rate that the machine list may use.
pub const MACHINE_LIST_RATE_SHARE: f64 = 0.2;
/// Seconds between two listings of the machine types once they are known. Spot prices change.
pub const MACHINE_TYPES_INTERVAL_S: f64 = 60.0;
/// Milliseconds after a listing of the machine types during which a submission may be refused
/// because of them. Otherwise they are listed first.
pub const MACHINE_TYPES_RECENT_MS: u64 = 5_000;
/// Milliseconds to wait for an answer of the cloud.
pub const CLOUD_TIMEOUT_MS: u64 = 5_000;
/// Rental requests in flight at a time.
pub const RENTALS_IN_FLIGHT_MAX: usize = 8;
/// Multiple of the shortest boot time. Tasks wait for capacity that becomes free within that time;
/// no machine is rented for them.
pub const RENT_HORIZON_BOOT_FACTOR: f64 = 0.4;
/// Machines per rental request (the protocol's limit).
pub const MACHINES_PER_RENTAL_MAX: u32 = 50;
/// Machines per return request (the protocol's limit).
pub const MACHINES_PER_RETURN_MAX: usize = 100;
/// Milliseconds of backoff for a type, zone and kind without capacity, doubled by each further
/// refusal.
pub const NO_CAPACITY_BACKOFF_MS: u64 = 5_000;
/// Upper bound of [`NO_CAPACITY_BACKOFF_MS`] after doubling, in milliseconds.
pub const NO_CAPACITY_BACKOFF_MAX_MS: u64 = 10_000;
/// Multiple of a type's boot time after which a machine that has not come up is returned.
/// [`BOOT_TIMEOUT_EXTRA_S`] is added.
pub const BOOT_TIMEOUT_FACTOR: f64 = 3.0;
/// Seconds added to the boot time multiplied by [`BOOT_TIMEOUT_FACTOR`].
pub const BOOT_TIMEOUT_EXTRA_S: f64 = 15.0;
