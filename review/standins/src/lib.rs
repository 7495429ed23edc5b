//! Stand-ins for the surroundings of a small deployment on loopback, and helpers for the cases of the review.
//!
//! Everything here follows the operators' protocol page. Nothing of the project's own code is used, so that an error in
//! one does not hide an error in the other.

pub mod cbor;
pub mod cloud;
pub mod controllers;
pub mod http;
pub mod proxy;
pub mod record;
pub mod site;
pub mod state;
pub mod user;
pub mod worker;

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Locks a mutex even if a thread has panicked while holding it.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Sleeps for a number of seconds.
pub fn sleep(seconds: f64) {
    if seconds > 0.0 {
        std::thread::sleep(Duration::from_secs_f64(seconds));
    }
}

/// Whether the disruption is on: it is, unless `TROUBLE=0` is set.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// A token bucket that holds `burst_s` seconds' worth of `rate`.
pub struct Bucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    at: std::time::Instant,
}

impl Bucket {
    pub fn new(rate: f64, burst_s: f64) -> Self {
        let burst = (rate * burst_s).max(1.0);
        Bucket {
            rate,
            burst,
            tokens: burst,
            at: std::time::Instant::now(),
        }
    }

    pub fn take(&mut self, amount: f64) -> bool {
        let now = std::time::Instant::now();
        self.tokens += now.duration_since(self.at).as_secs_f64() * self.rate;
        self.tokens = self.tokens.min(self.burst);
        self.at = now;
        let enough = self.tokens >= amount;
        if enough {
            self.tokens -= amount;
        }
        enough
    }
}
