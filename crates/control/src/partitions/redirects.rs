//! Redirects of workers from the leader to the owners of their partitions: rate-limited, and with a growing pause for
//! workers that come back.

use crate::token_bucket::TokenBucket;
use constants::{
    REDIRECTED_MAX, REDIRECTS_A_SECOND, REDIRECTS_FAILED, REDIRECT_DOUBLINGS, REDIRECT_PAUSE_MS,
};
use std::collections::HashMap;

/// The last redirect of a worker.
#[derive(Debug)]
struct Redirected {
    owner: String,
    at: u64,
    /// How often it has come back.
    returns: u32,
    /// Whether it has come back after this redirect.
    has_returned: bool,
}

/// Workers in a row that came back from an owner.
#[derive(Debug, Default)]
struct Failures {
    count: u32,
    last_at: u64,
}

/// Redirects of one term.
pub(super) struct Redirects {
    rate: TokenBucket,
    workers: HashMap<String, Redirected>,
    /// Failed redirects in a row, by owner.
    failures: HashMap<String, Failures>,
}

impl Redirects {
    /// Nothing has been redirected in this term.
    pub fn new() -> Self {
        Redirects {
            rate: TokenBucket::new(REDIRECTS_A_SECOND, REDIRECTS_A_SECOND),
            workers: HashMap::new(),
            failures: HashMap::new(),
        }
    }

    /// Notes a redirect of a worker that reports to the leader, if it may be redirected to its owner now. Returns
    /// whether it may.
    pub fn try_redirect(&mut self, machine: &str, owner: &str, now: u64) -> bool {
        let mut returns = 0;
        if let Some(last) = self.workers.get_mut(machine) {
            if !last.has_returned {
                last.has_returned = true;
                last.returns += 1;
                let failures = self.failures.entry(last.owner.clone()).or_default();
                failures.count += 1;
                failures.last_at = now;
            }
            let pause_ms = REDIRECT_PAUSE_MS << (last.returns - 1).min(REDIRECT_DOUBLINGS);
            if now < last.at + pause_ms {
                return false;
            }
            returns = last.returns;
        }
        if !self.rate.try_take(now, 1.0) {
            return false;
        }
        if self.workers.len() >= REDIRECTED_MAX {
            self.workers.clear();
        }
        let redirected = Redirected {
            owner: owner.to_string(),
            at: now,
            returns,
            has_returned: false,
        };
        self.workers.insert(machine.to_string(), redirected);
        true
    }

    /// An owner forwarded a worker's report: the worker reached it.
    pub fn reached(&mut self, machine: &str, owner: &str) {
        self.workers.remove(machine);
        self.failures.remove(owner);
    }

    /// An owner has received workers' reports.
    pub fn owner_received_reports(&mut self, owner: &str) {
        self.failures.remove(owner);
    }

    /// Whether workers that were recently redirected to an owner came back.
    pub fn is_unreachable(&self, owner: &str, now: u64) -> bool {
        self.failures.get(owner).is_some_and(|failures| {
            failures.count >= REDIRECTS_FAILED && now < failures.last_at + REDIRECT_PAUSE_MS
        })
    }
}

#[cfg(test)]
mod tests;
