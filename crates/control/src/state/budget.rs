//! Limits the requests and writes that a node sends to the state service, whose rate limits all
//! nodes share.

use crate::requests::Priority;
use crate::token_bucket::TokenBucket;
use constants::{
    CHANGE_READ_BURST_S, CHANGE_READ_RPS_SHARE, LEADER_THROTTLE_FACTOR, LEADER_THROTTLE_MIN,
    LEADER_THROTTLE_RECOVERY_PER_S, LEADER_WRITE_SHARE, NODE_RPS_SHARE_MAX, RATE_LIMIT_RETRY_MS,
    STATUS_QUERY_BURST_S, STATUS_QUERY_RPS_SHARE, USER_WRITE_BURST_S, USER_WRITE_SHARE,
};

/// Burst, in seconds at the full rate, of all requests together and of the leader's writes.
const DEFAULT_BURST_S: f64 = 0.5;
/// Tokens that a request takes from a bucket that counts requests.
const ONE_REQUEST: f64 = 1.0;

/// A rate per second and a burst.
#[derive(Clone, Copy)]
struct RateLimit {
    rate: f64,
    burst: f64,
}

impl RateLimit {
    fn bucket(self) -> TokenBucket {
        TokenBucket::new(self.rate, self.burst)
    }
}

/// The limits of one node.
struct NodeLimits {
    requests: RateLimit,
    change_reads: RateLimit,
    status_queries: RateLimit,
    user_writes: RateLimit,
    leader_writes: RateLimit,
}

impl NodeLimits {
    /// Computes the limits of one of `controller_count` nodes that share these rates of requests
    /// and writes per second.
    fn new(rps: f64, write_rps: f64, controller_count: usize) -> Self {
        let requests = rps * NODE_RPS_SHARE_MAX;
        let change_reads = rps * CHANGE_READ_RPS_SHARE / controller_count as f64;
        let status_queries = rps * STATUS_QUERY_RPS_SHARE / controller_count as f64;
        let leader_writes = write_rps * LEADER_WRITE_SHARE;
        NodeLimits {
            requests: RateLimit {
                rate: requests,
                burst: requests * DEFAULT_BURST_S,
            },
            change_reads: RateLimit {
                rate: change_reads,
                burst: change_reads * CHANGE_READ_BURST_S,
            },
            status_queries: RateLimit {
                rate: status_queries,
                burst: status_queries * STATUS_QUERY_BURST_S,
            },
            user_writes: RateLimit {
                rate: write_rps * USER_WRITE_SHARE,
                burst: write_rps * USER_WRITE_BURST_S,
            },
            leader_writes: RateLimit {
                rate: leader_writes,
                burst: leader_writes * DEFAULT_BURST_S,
            },
        }
    }
}

/// The share of its rate that the leader's writes currently use.
struct Throttle {
    share: f64,
    /// When the share was computed.
    updated_at: u64,
}

impl Throttle {
    /// Returns the share after the recovery since it was computed.
    fn recovered(&self, now: u64) -> f64 {
        let passed_s = now.saturating_sub(self.updated_at) as f64 / 1000.0;
        (self.share + passed_s * LEADER_THROTTLE_RECOVERY_PER_S).min(1.0)
    }
}

/// The budget of one node: a token bucket for all requests and one for each kind of request.
pub(super) struct RequestBudget {
    /// Number of controllers that share the rates of the state service.
    controller_count: usize,
    requests: TokenBucket,
    change_reads: TokenBucket,
    status_queries: TokenBucket,
    user_writes: TokenBucket,
    leader_writes: TokenBucket,
    /// Limit of the leader's writes while they are not throttled.
    leader_limit: RateLimit,
    throttle: Throttle,
}

impl RequestBudget {
    /// Creates the full budget of one of `controller_count` nodes that share these rates of
    /// requests and writes per second.
    pub fn new(rps: f64, write_rps: f64, controller_count: usize) -> Self {
        let limits = NodeLimits::new(rps, write_rps, controller_count);
        RequestBudget {
            controller_count,
            requests: limits.requests.bucket(),
            change_reads: limits.change_reads.bucket(),
            status_queries: limits.status_queries.bucket(),
            user_writes: limits.user_writes.bucket(),
            leader_writes: limits.leader_writes.bucket(),
            leader_limit: limits.leader_writes,
            throttle: Throttle {
                share: 1.0,
                updated_at: 0,
            },
        }
    }

    /// Changes the rates of requests and writes per second.
    pub fn set_rates(&mut self, rps: f64, write_rps: f64) {
        let limits = NodeLimits::new(rps, write_rps, self.controller_count);
        let buckets = [
            (&mut self.requests, limits.requests),
            (&mut self.change_reads, limits.change_reads),
            (&mut self.status_queries, limits.status_queries),
            (&mut self.user_writes, limits.user_writes),
        ];
        for (bucket, limit) in buckets {
            bucket.set_limits(limit.rate, limit.burst);
        }
        self.leader_limit = limits.leader_writes;
        self.apply_throttle();
    }

    /// Restores part of the rate that [`RequestBudget::throttle_leader_writes`] took from the
    /// leader's writes.
    pub fn recover_leader_writes(&mut self, now: u64) {
        let share = self.throttle.recovered(now);
        if share != self.throttle.share {
            self.throttle = Throttle {
                share,
                updated_at: now,
            };
            self.apply_throttle();
        }
    }

    /// Reduces the rate of the leader's writes for a while, because the rate limit was hit. The
    /// nodes share this limit, and it may have been lowered without notice.
    pub fn throttle_leader_writes(&mut self, now: u64) {
        if now < self.throttle.updated_at + RATE_LIMIT_RETRY_MS {
            return;
        }
        let share =
            (self.throttle.recovered(now) * LEADER_THROTTLE_FACTOR).max(LEADER_THROTTLE_MIN);
        self.throttle = Throttle {
            share,
            updated_at: now,
        };
        self.apply_throttle();
    }

    fn apply_throttle(&mut self) {
        let RateLimit { rate, burst } = self.leader_limit;
        self.leader_writes
            .set_limits(rate * self.throttle.share, burst);
    }

    /// Returns the milliseconds until a request with this number of writes may be sent.
    pub fn wait_ms(&mut self, priority: Priority, writes: f64, now: u64) -> u64 {
        self.requests.refill(now);
        let shared_wait_ms = self.requests.wait_ms(ONE_REQUEST);
        let (bucket, tokens) = self.priority_bucket(priority, writes);
        bucket.refill(now);
        match priority {
            // Elections and lease renewals are never delayed by the usage of other requests.
            Priority::Leadership => 0,
            _ => bucket.wait_ms(tokens).max(shared_wait_ms),
        }
    }

    /// Takes a request with this number of writes from the budget.
    pub fn spend(&mut self, priority: Priority, writes: f64) {
        self.requests.force_take(ONE_REQUEST);
        let (bucket, tokens) = self.priority_bucket(priority, writes);
        bucket.force_take(tokens);
    }

    /// Returns the bucket of a priority, and the tokens that a request takes from it.
    ///
    /// When all priorities shared one rate, status queries, which go ahead of the leader's records,
    /// left no rate for those records during a flood, and submissions waited behind status queries
    /// until they were refused.
    fn priority_bucket(&mut self, priority: Priority, writes: f64) -> (&mut TokenBucket, f64) {
        match priority {
            Priority::Leadership | Priority::LeaderRecords => (&mut self.leader_writes, writes),
            Priority::Change => (&mut self.user_writes, writes),
            Priority::ChangeRead => (&mut self.change_reads, ONE_REQUEST),
            Priority::ReadValidation | Priority::StatusQuery => {
                (&mut self.status_queries, ONE_REQUEST)
            }
        }
    }

    /// Returns the writes per second that the leader may currently send.
    #[cfg(test)]
    pub fn leader_write_rate(&self) -> f64 {
        self.leader_writes.rate()
    }
}
