//! The cloud: calls, scale-out, and machines that do not boot.

/// Seconds between two listings of the machines.
pub const CLOUD_LIST_S: f64 = 5.0;
/// Machines on a page of the machine list (the protocol's limit).
pub const LIST_MAX: usize = 500;
/// Share of the cloud's call rate that the machine list may use.
pub const CLOUD_LIST_SHARE: f64 = 0.2;
/// Seconds between two listings of the machine types once they are known (spot prices change).
pub const CLOUD_TYPES_S: f64 = 60.0;
/// Milliseconds to wait for an answer of the cloud.
pub const CLOUD_TIMEOUT_MS: u64 = 5_000;
/// Rental requests in flight at a time.
pub const RENTALS_OPEN: usize = 8;
/// Factor of the shortest boot time. Room that becomes free within that time is waited for, and no
/// machine is rented instead.
pub const RENT_HORIZON: f64 = 0.4;
/// Machines per rental request (the protocol's limit).
pub const RENT_MAX: u32 = 50;
/// Machines per return request (the protocol's limit).
pub const RETURN_MAX: usize = 100;
/// Milliseconds of backoff for a type, zone and kind without capacity, doubled by each further
/// refusal.
pub const NO_CAPACITY_MS: u64 = 5_000;
/// Milliseconds of that backoff at most.
pub const NO_CAPACITY_MAX_MS: u64 = 10_000;
/// Factor of a type's boot time after which a machine that has not come up is returned.
pub const BOOT_PATIENCE: f64 = 3.0;
/// Seconds added to that product.
pub const BOOT_PATIENCE_S: f64 = 15.0;
