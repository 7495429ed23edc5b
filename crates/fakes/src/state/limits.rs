//! Limits of the state service, and counters of its requests.

use wire::state::Txn;

/// Tolerance for rounding errors in sums of fractional tokens.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// Limits of the state service.
#[derive(Debug, Clone, Copy)]
pub struct StateServiceLimits {
    /// Maximum size of a value, in bytes of JSON.
    pub value_bytes: usize,
    /// Maximum number of writes of a transaction. The maximum number of its conditions is four times as high.
    pub txn_ops: usize,
    /// Requests per second.
    pub rps: f64,
    /// Writes per second.
    pub write_rps: f64,
}

/// A token bucket with a capacity of one second of its rate.
#[derive(Default)]
pub(super) struct TokenBucket {
    tokens: f64,
    refilled_at: u64,
}

impl TokenBucket {
    /// Takes `wanted` tokens if that many are available, and none otherwise.
    pub(super) fn take(&mut self, now: u64, rate: f64, wanted: f64) -> bool {
        let passed = now.saturating_sub(self.refilled_at) as f64 / 1000.0;
        self.tokens = (self.tokens + passed * rate).min(rate);
        self.refilled_at = now;
        let granted = self.tokens + ROUNDING_TOLERANCE >= wanted;
        self.tokens -= if granted { wanted } else { 0.0 };
        granted
    }
}

/// Number of requests of each kind, including those refused for exceeding a rate.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RequestCounts {
    /// Reads of a single key.
    pub reads: u64,
    /// Lists of keys.
    pub lists: u64,
    /// Transactions without writes.
    pub comparisons: u64,
    /// Transactions with writes.
    pub commits: u64,
    /// Leases granted, renewed or ended.
    pub leases: u64,
    /// Watches.
    pub watches: u64,
}

impl RequestCounts {
    /// Difference to an earlier count.
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

    /// Number of requests that responses to users may require: reads of a single key and transactions without writes.
    /// The single reads of the leader are included.
    pub fn reads_and_comparisons(&self) -> u64 {
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
