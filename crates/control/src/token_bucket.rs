//! A token bucket.

/// Tokens that refill steadily.
pub(crate) struct TokenBucket {
    rate: f64,
    burst: f64,
    level: f64,
    at: u64,
}

impl TokenBucket {
    /// A full bucket: `rate` tokens a second, `burst` at most.
    pub fn new(rate: f64, burst: f64) -> Self {
        TokenBucket {
            rate,
            burst: burst.max(1.0),
            level: burst.max(1.0),
            at: 0,
        }
    }

    /// Adds what has come since the last look.
    pub fn refill(&mut self, now: u64) {
        let passed = now.saturating_sub(self.at) as f64 / 1000.0;
        self.level = (self.level + passed * self.rate).min(self.burst);
        self.at = now;
    }

    /// Tokens a second.
    #[cfg(test)]
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Goes on at another rate.
    pub fn set(&mut self, rate: f64, burst: f64) {
        self.rate = rate;
        self.burst = burst.max(1.0);
        self.level = self.level.min(self.burst);
    }

    /// Takes `n` whether or not there is as much.
    pub fn spend(&mut self, n: f64) {
        self.level -= n;
    }

    /// Takes `n` if there is as much; a request larger than the burst is let through when the bucket is full.
    pub fn take(&mut self, now: u64, n: f64) -> bool {
        self.refill(now);
        let enough = self.level + 1e-9 >= n.min(self.burst);
        if enough {
            self.level -= n;
        }
        enough
    }

    /// Milliseconds until `n` can be taken.
    pub fn wait(&self, n: f64) -> u64 {
        let lack = n.min(self.burst) - self.level;
        if lack <= 0.0 {
            0
        } else {
            (lack / self.rate * 1000.0).ceil() as u64 + 1
        }
    }
}
