//! The clocks that the process gives to its node.

use control::Now;
use std::sync::OnceLock;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Steady clock's value at the start of the process, in milliseconds. It is not 0 because 0 stands for never.
const FIRST_MOMENT_MS: u64 = 1_000;

/// The steady clock, which counts from the start of the process, together with the time of day.
#[derive(Clone, Copy)]
pub(super) struct ProcessClock {
    start: Instant,
}

impl ProcessClock {
    /// A clock that starts now.
    pub(super) fn start() -> Self {
        ProcessClock {
            start: Instant::now(),
        }
    }

    /// The present moment.
    pub(super) fn now(&self) -> Now {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |elapsed| elapsed.as_millis() as u64);
        let mono = FIRST_MOMENT_MS + self.start.elapsed().as_millis() as u64;
        Now { mono, unix }
    }
}

/// Microseconds since its first call, for measuring the node's scheduling rounds.
pub(super) fn stopwatch_us() -> u64 {
    static START: OnceLock<Instant> = OnceLock::new();
    START.get_or_init(Instant::now).elapsed().as_micros() as u64
}
