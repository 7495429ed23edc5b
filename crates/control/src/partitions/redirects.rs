//! Redirects workers from the leader to the owners of their partitions, at a limited rate and with
//! increasing pauses for workers that return.

use crate::token_bucket::TokenBucket;
use constants::{
    REDIRECTED_WORKERS_MAX, REDIRECTS_PER_S, REDIRECT_BACKOFF_DOUBLINGS_MAX, REDIRECT_BACKOFF_MS,
    UNREACHABLE_OWNER_FAILED_REDIRECTS,
};
use std::collections::HashMap;

/// The last redirect of a worker.
#[derive(Debug)]
struct LastRedirect {
    owner: String,
    redirected_at: u64,
    /// Number of times that the worker has returned.
    return_count: u32,
    /// Whether the worker has returned after this redirect.
    has_returned: bool,
}

/// Consecutive workers that returned from an owner.
#[derive(Debug, Default)]
struct FailedRedirects {
    count: u32,
    last_failure_at: u64,
}

/// The redirects of one term.
pub(super) struct Redirects {
    rate: TokenBucket,
    last_redirects: HashMap<String, LastRedirect>,
    /// Consecutive failed redirects, by owner.
    failed_redirects: HashMap<String, FailedRedirects>,
}

impl Redirects {
    /// Creates the state for a term in which nothing has been redirected yet.
    pub fn new() -> Self {
        Redirects {
            rate: TokenBucket::new(REDIRECTS_PER_S, REDIRECTS_PER_S),
            last_redirects: HashMap::new(),
            failed_redirects: HashMap::new(),
        }
    }

    /// Decides whether a worker that reports to the leader may be redirected to its owner now. If
    /// so, records the redirect and returns true.
    pub fn try_redirect(&mut self, machine: &str, owner: &str, now: u64) -> bool {
        let mut return_count = 0;
        if let Some(last) = self.last_redirects.get_mut(machine) {
            if !last.has_returned {
                last.has_returned = true;
                last.return_count += 1;
                let failures = self.failed_redirects.entry(last.owner.clone()).or_default();
                failures.count += 1;
                failures.last_failure_at = now;
            }
            let pause_ms =
                REDIRECT_BACKOFF_MS << (last.return_count - 1).min(REDIRECT_BACKOFF_DOUBLINGS_MAX);
            if now < last.redirected_at + pause_ms {
                return false;
            }
            return_count = last.return_count;
        }
        if !self.rate.try_take(now, 1.0) {
            return false;
        }
        if self.last_redirects.len() >= REDIRECTED_WORKERS_MAX {
            self.last_redirects.clear();
        }
        let redirected = LastRedirect {
            owner: owner.to_string(),
            redirected_at: now,
            return_count,
            has_returned: false,
        };
        self.last_redirects.insert(machine.to_string(), redirected);
        true
    }

    /// Handles a worker's heartbeat that an owner forwarded: the worker has reached the owner.
    pub fn on_owner_reached(&mut self, machine: &str, owner: &str) {
        self.last_redirects.remove(machine);
        self.failed_redirects.remove(owner);
    }

    /// Records that an owner has received worker heartbeats, so it is reachable.
    pub fn on_owner_received_heartbeats(&mut self, owner: &str) {
        self.failed_redirects.remove(owner);
    }

    /// Returns whether workers that were recently redirected to an owner returned.
    pub fn is_unreachable(&self, owner: &str, now: u64) -> bool {
        self.failed_redirects.get(owner).is_some_and(|failures| {
            failures.count >= UNREACHABLE_OWNER_FAILED_REDIRECTS
                && now < failures.last_failure_at + REDIRECT_BACKOFF_MS
        })
    }
}

#[cfg(test)]
mod tests;
