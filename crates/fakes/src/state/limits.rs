//! Limits of the state service, and counts of its requests.

use wire::state::Txn;

/// Tokens by which sums of parts may fall short of a whole.
const ROUNDING: f64 = 1e-9;

/// Limits of the state service.
#[derive(Debug, Clone, Copy)]
pub struct FakeLimits {
    /// Bytes of a value, as JSON.
    pub value_bytes: usize,
    /// Writes of a transaction at most, and a quarter of its conditions.
    pub txn_ops: usize,
    /// Requests a second.
    pub rps: f64,
    /// Changes a second.
    pub write_rps: f64,
}

/// A token bucket that holds up to one second's worth of its rate.
#[derive(Default)]
pub(super) struct TokenBucket {
    tokens: f64,
    at: u64,
}

impl TokenBucket {
    /// Takes that many tokens if they are there, and none otherwise.
    pub(super) fn take(&mut self, now: u64, rate: f64, wanted: f64) -> bool {
        let passed = now.saturating_sub(self.at) as f64 / 1000.0;
        self.tokens = (self.tokens + passed * rate).min(rate);
        self.at = now;
        let granted = self.tokens + ROUNDING >= wanted;
        self.tokens -= if granted { wanted } else { 0.0 };
        granted
    }
}

/// How many requests of each kind have arrived, those refused for their rate included.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RequestCounts {
    /// Readings of one key.
    pub reads: u64,
    /// Readings of many keys.
    pub lists: u64,
    /// Transactions that only compare.
    pub comparisons: u64,
    /// Transactions that write.
    pub commits: u64,
    /// Leases granted, renewed or ended.
    pub leases: u64,
    /// Watches.
    pub watches: u64,
}

impl RequestCounts {
    /// The difference to an earlier count.
    pub fn since(&self, earlier: &RequestCounts) -> RequestCounts {
        RequestCounts {
            reads: self.reads - earlier.reads,
            lists: self.lists - earlier.lists,
            comparisons: self.comparisons - earlier.comparisons,
            commits: self.commits - earlier.commits,
            leases: self.leases - earlier.leases,
            watches: self.watches - earlier.watches,
        }
    }

    /// Requests that answers to users can have cost: single readings and comparisons. Single readings of the leader
    /// are included.
    pub fn questions(&self) -> u64 {
        self.reads + self.comparisons
    }

    /// Counts a request by its kind.
    pub(super) fn count(&mut self, method: &str, target: &str, body: &[u8]) {
        let path = target.split('?').next().unwrap_or_default();
        let compares = || wire::decode::<Txn>(body).is_ok_and(|txn| txn.writes.is_empty());
        let counter = match path {
            "/multi" if method == "POST" && compares() => &mut self.comparisons,
            "/multi" if method == "POST" => &mut self.commits,
            "/changes" => &mut self.watches,
            "/kv" => &mut self.lists,
            _ if path.starts_with("/leases") => &mut self.leases,
            _ => &mut self.reads,
        };
        *counter += 1;
    }
}
