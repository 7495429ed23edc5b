//! A token bucket for rate limits.

/// Tolerance, in tokens, for rounding errors when available tokens are compared with requested ones.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// A token bucket: tokens are added at a constant rate, up to the burst size. The number of available tokens may be
/// negative.
pub(crate) struct TokenBucket {
    /// Tokens per second.
    rate: f64,
    /// Maximum number of tokens.
    burst: f64,
    /// Current number of tokens.
    available: f64,
    /// When tokens were last added, in milliseconds.
    refilled_at: u64,
}

impl TokenBucket {
    /// Creates a full bucket of at most `burst` tokens, refilled with `rate` tokens per second. The burst is raised to
    /// at least one token so that every request can be sent eventually.
    pub fn new(rate: f64, burst: f64) -> Self {
        let burst = burst.max(1.0);
        TokenBucket {
            rate,
            burst,
            available: burst,
            refilled_at: 0,
        }
    }

    /// Adds the tokens that have accrued since the last call.
    pub fn refill(&mut self, now: u64) {
        let elapsed_s = now.saturating_sub(self.refilled_at) as f64 / 1000.0;
        self.available = (self.available + elapsed_s * self.rate).min(self.burst);
        self.refilled_at = now;
    }

    /// Tokens per second.
    #[cfg(test)]
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Changes the rate and the burst. Tokens in excess of the new burst are discarded.
    pub fn set_limits(&mut self, rate: f64, burst: f64) {
        self.rate = rate;
        self.burst = burst.max(1.0);
        self.available = self.available.min(self.burst);
    }

    /// Takes tokens even if fewer are available.
    pub fn force_take(&mut self, tokens: f64) {
        self.available -= tokens;
    }

    /// Takes tokens if enough are available, and returns whether it did. A request for more tokens than the burst
    /// succeeds when the bucket is full.
    pub fn try_take(&mut self, now: u64, tokens: f64) -> bool {
        self.refill(now);
        let has_enough = self.available + ROUNDING_TOLERANCE >= tokens.min(self.burst);
        if has_enough {
            self.available -= tokens;
        }
        has_enough
    }

    /// Milliseconds until this number of tokens can be taken.
    pub fn wait_ms(&self, tokens: f64) -> u64 {
        let missing = tokens.min(self.burst) - self.available;
        if missing <= 0.0 {
            return 0;
        }
        (missing / self.rate * 1000.0).ceil() as u64 + 1
    }
}
