//! Measures the load of this process, which is an input for rebalancing partitions.

use constants::GRANT_RENEW_INTERVAL_MS;
use wire::partitions::ControllerLoad;

/// Weight of a new measurement in the exponential moving average.
const SMOOTHING_FACTOR: f64 = 0.3;
/// Socket load, in thousandths, that is reported by a process that is short of sockets.
const SOCKET_SHORTAGE_PERMILLE: u16 = 950;

/// Measures the time that turns take and counts worker heartbeats.
pub(crate) struct LoadMeter {
    measured_since: u64,
    turn_time_us: u64,
    processor_share: f64,
    has_socket_shortage: bool,
    worker_heartbeats: u64,
}

impl LoadMeter {
    /// Starts to measure.
    pub fn new(now: u64) -> Self {
        LoadMeter {
            measured_since: now,
            turn_time_us: 0,
            processor_share: 0.0,
            has_socket_shortage: false,
            worker_heartbeats: 0,
        }
    }

    /// Adds a turn that took `us` microseconds.
    pub fn add_turn(&mut self, us: u64) {
        self.turn_time_us += us;
    }

    /// Counts a worker heartbeat.
    pub fn add_worker_heartbeat(&mut self) {
        self.worker_heartbeats += 1;
    }

    /// Sets whether the process is short of sockets.
    pub fn set_socket_shortage(&mut self, has_socket_shortage: bool) {
        self.has_socket_shortage = has_socket_shortage;
    }

    /// Returns the load. The processor load is smoothed over several seconds.
    pub fn measure(&mut self, now: u64) -> ControllerLoad {
        let passed_ms = now.saturating_sub(self.measured_since);
        if passed_ms >= GRANT_RENEW_INTERVAL_MS {
            let share = self.turn_time_us as f64 / (passed_ms as f64 * 1000.0);
            self.processor_share += SMOOTHING_FACTOR * (share.min(1.0) - self.processor_share);
            (self.measured_since, self.turn_time_us) = (now, 0);
        }
        ControllerLoad {
            processor_permille: (self.processor_share * 1000.0) as u16,
            sockets_permille: if self.has_socket_shortage {
                SOCKET_SHORTAGE_PERMILLE
            } else {
                0
            },
            reports: self.worker_heartbeats,
        }
    }
}
