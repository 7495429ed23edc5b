//! The load of this process, for the rebalancing of partitions.

use constants::GRANT_RENEW_INTERVAL_MS;
use wire::partitions::ControllerLoad;

/// Share of the last measurement that the next one replaces.
const NEW_SHARE: f64 = 0.3;
/// Load in thousandths of a process that is short of sockets.
const CROWDED_PERMILLE: u16 = 950;

/// Measures the time that turns take.
pub(crate) struct LoadMeter {
    since: u64,
    turns_us: u64,
    processor: f64,
    is_crowded: bool,
    reports: u64,
}

impl LoadMeter {
    /// Begins to measure.
    pub fn new(now: u64) -> Self {
        LoadMeter {
            since: now,
            turns_us: 0,
            processor: 0.0,
            is_crowded: false,
            reports: 0,
        }
    }

    /// A turn took so many microseconds.
    pub fn add_turn(&mut self, us: u64) {
        self.turns_us += us;
    }

    /// A worker reported here.
    pub fn add_report(&mut self) {
        self.reports += 1;
    }

    /// Notes whether sockets are short.
    pub fn set_crowded(&mut self, is_crowded: bool) {
        self.is_crowded = is_crowded;
    }

    /// The load, smoothed over some seconds.
    pub fn measure(&mut self, now: u64) -> ControllerLoad {
        let passed_ms = now.saturating_sub(self.since);
        if passed_ms >= GRANT_RENEW_INTERVAL_MS {
            let share = self.turns_us as f64 / (passed_ms as f64 * 1000.0);
            self.processor += NEW_SHARE * (share.min(1.0) - self.processor);
            (self.since, self.turns_us) = (now, 0);
        }
        ControllerLoad {
            processor_permille: (self.processor * 1000.0) as u16,
            sockets_permille: if self.is_crowded { CROWDED_PERMILLE } else { 0 },
            reports: self.reports,
        }
    }
}
