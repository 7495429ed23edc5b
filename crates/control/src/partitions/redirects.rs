//! Workers that the leader sends to the owners of their partitions: a few at a time, and no worker to and fro.

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
    /// Whether it has come back from this one.
    is_back: bool,
}

/// Redirects of one term.
pub(super) struct Redirects {
    rate: TokenBucket,
    workers: HashMap<String, Redirected>,
    /// Workers in a row that came back from an owner, with the time of the last.
    failed: HashMap<String, (u32, u64)>,
}

impl Redirects {
    pub fn new() -> Self {
        Redirects {
            rate: TokenBucket::new(REDIRECTS_A_SECOND, REDIRECTS_A_SECOND),
            workers: HashMap::new(),
            failed: HashMap::new(),
        }
    }

    /// Whether a worker that reports to the leader may be sent to its owner now; if so, that is noted.
    pub fn take(&mut self, machine: &str, owner: &str, now: u64) -> bool {
        let mut returns = 0;
        if let Some(last) = self.workers.get_mut(machine) {
            if !last.is_back {
                last.is_back = true;
                last.returns += 1;
                let (count, at) = self.failed.entry(last.owner.clone()).or_default();
                (*count, *at) = (*count + 1, now);
            }
            let pause_ms = REDIRECT_PAUSE_MS << (last.returns - 1).min(REDIRECT_DOUBLINGS);
            if now < last.at + pause_ms {
                return false;
            }
            returns = last.returns;
        }
        if !self.rate.take(now, 1.0) {
            return false;
        }
        if self.workers.len() >= REDIRECTED_MAX {
            self.workers.clear();
        }
        let redirected = Redirected {
            owner: owner.to_string(),
            at: now,
            returns,
            is_back: false,
        };
        self.workers.insert(machine.to_string(), redirected);
        true
    }

    /// An owner passed on a worker's report: it was reached.
    pub fn reached(&mut self, machine: &str, owner: &str) {
        self.workers.remove(machine);
        self.failed.remove(owner);
    }

    /// An owner has heard workers.
    pub fn owner_hears(&mut self, owner: &str) {
        self.failed.remove(owner);
    }

    /// Whether workers that were sent to an owner lately came back.
    pub fn is_unreachable(&self, owner: &str, now: u64) -> bool {
        let failed = self.failed.get(owner);
        failed.is_some_and(|(count, at)| *count >= REDIRECTS_FAILED && now < at + REDIRECT_PAUSE_MS)
    }
}

#[cfg(test)]
mod tests;
