//! The clocks that the process provides to its node.

use control::Now;
use std::sync::OnceLock;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Value of the monotonic clock at the start of the process, in milliseconds. It is not 0 because 0 means "never".
const CLOCK_START_MS: u64 = 1_000;

/// A monotonic clock, which counts from the start of the process, together with the wall clock.
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

    /// The current time of both clocks.
    pub(super) fn now(&self) -> Now {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |elapsed| elapsed.as_millis() as u64);
        let mono = CLOCK_START_MS + self.start.elapsed().as_millis() as u64;
        Now { mono, unix }
    }
}

/// Microseconds since the first call of this function, to measure the duration of the node's scheduling rounds.
pub(super) fn monotonic_us() -> u64 {
    static START: OnceLock<Instant> = OnceLock::new();
    START.get_or_init(Instant::now).elapsed().as_micros() as u64
}
