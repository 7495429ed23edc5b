//! A token bucket, for rate limits.

/// Tolerance for rounding when the level is compared with what is to be taken.
const ROUNDING: f64 = 1e-9;

/// Tokens that are added at a steady rate, up to a burst. The level may fall below zero.
pub(crate) struct TokenBucket {
    /// Tokens a second.
    rate: f64,
    /// Tokens at most.
    burst: f64,
    /// Tokens at present.
    level: f64,
    /// When tokens were last added, in milliseconds.
    refilled_at: u64,
}

impl TokenBucket {
    /// A full bucket: `rate` tokens a second, `burst` at most. The burst is at least one token, so that every request
    /// can be sent some time.
    pub fn new(rate: f64, burst: f64) -> Self {
        let burst = burst.max(1.0);
        TokenBucket {
            rate,
            burst,
            level: burst,
            refilled_at: 0,
        }
    }

    /// Adds the tokens that are due since the last call.
    pub fn refill(&mut self, now: u64) {
        let passed_s = now.saturating_sub(self.refilled_at) as f64 / 1000.0;
        self.level = (self.level + passed_s * self.rate).min(self.burst);
        self.refilled_at = now;
    }

    /// Tokens a second.
    #[cfg(test)]
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Goes on with another rate and burst. Tokens beyond the new burst are lost.
    pub fn set_limits(&mut self, rate: f64, burst: f64) {
        self.rate = rate;
        self.burst = burst.max(1.0);
        self.level = self.level.min(self.burst);
    }

    /// Takes tokens whether or not there are as many.
    pub fn spend(&mut self, tokens: f64) {
        self.level -= tokens;
    }

    /// Takes tokens if there are as many. A request larger than the burst may go when the bucket is full.
    pub fn take(&mut self, now: u64, tokens: f64) -> bool {
        self.refill(now);
        let is_enough = self.level + ROUNDING >= tokens.min(self.burst);
        if is_enough {
            self.level -= tokens;
        }
        is_enough
    }

    /// Milliseconds until as many tokens can be taken.
    pub fn wait(&self, tokens: f64) -> u64 {
        let missing = tokens.min(self.burst) - self.level;
        if missing <= 0.0 {
            return 0;
        }
        (missing / self.rate * 1000.0).ceil() as u64 + 1
    }
}
