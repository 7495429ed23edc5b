//! How many requests and writes a node may send to the state service, whose rate limits all nodes share.

use crate::requests::Priority;
use crate::token_bucket::TokenBucket;
use constants::{
    CHANGE_READ_BURST_S, CHANGE_READ_SHARE, LEADER_THROTTLE_FACTOR, LEADER_THROTTLE_MIN,
    LEADER_THROTTLE_RECOVERY_PER_S, QUESTION_BURST_S, QUESTION_SHARE, RATE_RETRY_MS,
    STATE_RPS_SHARE, STATE_WRITE_SHARE, USER_WRITE_BURST, USER_WRITE_SHARE,
};

/// Seconds' worth of their rate that all requests, and the leader's writes, may take at once.
const DEFAULT_BURST_S: f64 = 0.5;
/// Tokens that a request takes of a bucket that counts requests.
const ONE_REQUEST: f64 = 1.0;

/// A rate a second and a burst.
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

/// What one node may send.
struct NodeLimits {
    requests: RateLimit,
    change_reads: RateLimit,
    questions: RateLimit,
    user_writes: RateLimit,
    leader_writes: RateLimit,
}

impl NodeLimits {
    /// The limits of one of `nodes` that share these rates of requests and writes a second.
    fn new(rps: f64, write_rps: f64, nodes: usize) -> Self {
        let requests = rps * STATE_RPS_SHARE;
        let change_reads = rps * CHANGE_READ_SHARE / nodes as f64;
        let questions = rps * QUESTION_SHARE / nodes as f64;
        let leader_writes = write_rps * STATE_WRITE_SHARE;
        NodeLimits {
            requests: RateLimit {
                rate: requests,
                burst: requests * DEFAULT_BURST_S,
            },
            change_reads: RateLimit {
                rate: change_reads,
                burst: change_reads * CHANGE_READ_BURST_S,
            },
            questions: RateLimit {
                rate: questions,
                burst: questions * QUESTION_BURST_S,
            },
            user_writes: RateLimit {
                rate: write_rps * USER_WRITE_SHARE,
                burst: write_rps * USER_WRITE_BURST,
            },
            leader_writes: RateLimit {
                rate: leader_writes,
                burst: leader_writes * DEFAULT_BURST_S,
            },
        }
    }
}

/// The share of its rate that the leader's writes take at present.
struct Throttle {
    share: f64,
    /// When the share was computed.
    at: u64,
}

impl Throttle {
    /// The share after some of what was taken away has come back.
    fn recovered(&self, now: u64) -> f64 {
        let passed_s = now.saturating_sub(self.at) as f64 / 1000.0;
        (self.share + passed_s * LEADER_THROTTLE_RECOVERY_PER_S).min(1.0)
    }
}

/// The budget of one node, with a bucket for all requests and one for each kind of them.
pub(super) struct RequestBudget {
    /// Controllers that share the state service's rates.
    nodes: usize,
    requests: TokenBucket,
    change_reads: TokenBucket,
    questions: TokenBucket,
    user_writes: TokenBucket,
    leader_writes: TokenBucket,
    /// Limit of the leader's writes as long as they are not throttled.
    leader_limit: RateLimit,
    throttle: Throttle,
}

impl RequestBudget {
    /// The full budget of one of `nodes` that share these rates of requests and writes a second.
    pub fn new(rps: f64, write_rps: f64, nodes: usize) -> Self {
        let limits = NodeLimits::new(rps, write_rps, nodes);
        RequestBudget {
            nodes,
            requests: limits.requests.bucket(),
            change_reads: limits.change_reads.bucket(),
            questions: limits.questions.bucket(),
            user_writes: limits.user_writes.bucket(),
            leader_writes: limits.leader_writes.bucket(),
            leader_limit: limits.leader_writes,
            throttle: Throttle { share: 1.0, at: 0 },
        }
    }

    /// Goes on with other rates of requests and writes a second.
    pub fn set_rates(&mut self, rps: f64, write_rps: f64) {
        let limits = NodeLimits::new(rps, write_rps, self.nodes);
        let buckets = [
            (&mut self.requests, limits.requests),
            (&mut self.change_reads, limits.change_reads),
            (&mut self.questions, limits.questions),
            (&mut self.user_writes, limits.user_writes),
        ];
        for (bucket, limit) in buckets {
            bucket.set_limits(limit.rate, limit.burst);
        }
        self.leader_limit = limits.leader_writes;
        self.apply_throttle();
    }

    /// Gives the leader's writes back some of what they lost to [`RequestBudget::throttle_leader_writes`].
    pub fn recover_leader_writes(&mut self, now: u64) {
        let share = self.throttle.recovered(now);
        if share != self.throttle.share {
            self.throttle = Throttle { share, at: now };
            self.apply_throttle();
        }
    }

    /// The rate limit was hit, which nodes share and which may have fallen without notice: the leader's writes take
    /// less for a while.
    pub fn throttle_leader_writes(&mut self, now: u64) {
        if now < self.throttle.at + RATE_RETRY_MS {
            return;
        }
        let share =
            (self.throttle.recovered(now) * LEADER_THROTTLE_FACTOR).max(LEADER_THROTTLE_MIN);
        self.throttle = Throttle { share, at: now };
        self.apply_throttle();
    }

    fn apply_throttle(&mut self) {
        let RateLimit { rate, burst } = self.leader_limit;
        self.leader_writes
            .set_limits(rate * self.throttle.share, burst);
    }

    /// Milliseconds until a request with that many writes may be sent.
    pub fn wait_ms(&mut self, priority: Priority, writes: f64, now: u64) -> u64 {
        self.requests.refill(now);
        let for_all = self.requests.wait_ms(ONE_REQUEST);
        let (own, tokens) = self.own_bucket(priority, writes);
        own.refill(now);
        match priority {
            // Elections and renewals are never delayed by what others have used up.
            Priority::Leadership => 0,
            _ => own.wait_ms(tokens).max(for_all),
        }
    }

    /// Takes a request with that many writes from the budget.
    pub fn spend(&mut self, priority: Priority, writes: f64) {
        self.requests.force_take(ONE_REQUEST);
        let (own, tokens) = self.own_bucket(priority, writes);
        own.force_take(tokens);
    }

    /// The bucket that a priority has to itself, and the tokens that a request takes from it.
    ///
    /// With one rate for all, users' questions, which go before the leader's records, left those nothing during a
    /// flood, and submissions waited behind questions until they were refused.
    fn own_bucket(&mut self, priority: Priority, writes: f64) -> (&mut TokenBucket, f64) {
        match priority {
            Priority::Leadership | Priority::LeaderRecords => (&mut self.leader_writes, writes),
            Priority::Change => (&mut self.user_writes, writes),
            Priority::ChangeRead => (&mut self.change_reads, ONE_REQUEST),
            Priority::ReadValidation | Priority::StatusQuery => (&mut self.questions, ONE_REQUEST),
        }
    }

    /// Writes a second that the leader may send at present.
    #[cfg(test)]
    pub fn leader_write_rate(&self) -> f64 {
        self.leader_writes.rate()
    }
}
