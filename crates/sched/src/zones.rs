//! Constraints on the zones of a job's tasks.

/// The most tasks of a job that may be in one zone if its tasks must be spread: half of them, rounded up.
pub fn max_tasks_per_zone(tasks: u32) -> u32 {
    tasks.div_ceil(2)
}

/// The least number of zones in which so many tasks can run at the same time. `None` if they can't, in however many
/// zones.
pub fn required_zones(tasks: u32, one_zone: bool, max_per_zone: Option<u32>) -> Option<u32> {
    let zones = match max_per_zone {
        Some(0) => return None,
        Some(max_tasks) => tasks.div_ceil(max_tasks),
        None => 1,
    };
    (zones <= 1 || !one_zone).then_some(zones)
}
