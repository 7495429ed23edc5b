//! Limits of the state service: those of today, and those that hold from some moment after an upgrade.

use serde::Deserialize;

/// Bytes in a KiB.
const BYTES_PER_KIB: f64 = 1024.0;

/// Limits of the state service as the platform's file states them.
#[derive(Debug, Clone, Deserialize)]
pub struct StateLimits {
    /// Requests a second.
    pub rps: f64,
    /// Writes a second.
    pub write_rps: f64,
    /// Size of a value in KiB.
    pub value_kb: f64,
    /// Writes of a transaction.
    pub txn_ops: usize,
    /// Limits that hold from some moment after an upgrade, without notice.
    #[serde(default)]
    pub next: Option<NextLimits>,
}

/// Future limits of the state service; a limit that is not named stays as it is.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct NextLimits {
    /// Requests a second.
    #[serde(default)]
    pub rps: Option<f64>,
    /// Writes a second.
    #[serde(default)]
    pub write_rps: Option<f64>,
    /// Size of a value in KiB.
    #[serde(default)]
    pub value_kb: Option<f64>,
    /// Writes of a transaction.
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

/// Limits that requests have to keep.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Requests a second.
    pub rps: f64,
    /// Writes a second.
    pub write_rps: f64,
    /// Bytes of a value.
    pub value_bytes: usize,
    /// Writes of a transaction; conditions may be four times as many.
    pub txn_ops: usize,
}

impl StateLimits {
    /// Today's limits.
    pub fn now(&self) -> Limits {
        Limits {
            rps: self.rps,
            write_rps: self.write_rps,
            value_bytes: kib_to_bytes(self.value_kb),
            txn_ops: self.txn_ops,
        }
    }

    /// The smaller of today's and the future limits: what holds at any time.
    pub fn least(&self) -> Limits {
        let now = self.now();
        let next = self.next.clone().unwrap_or_default();
        let next_value_kib = next.value_kb.unwrap_or(self.value_kb);
        Limits {
            rps: now.rps.min(next.rps.unwrap_or(now.rps)),
            write_rps: now.write_rps.min(next.write_rps.unwrap_or(now.write_rps)),
            value_bytes: now.value_bytes.min(kib_to_bytes(next_value_kib)),
            txn_ops: now.txn_ops.min(next.txn_ops.unwrap_or(now.txn_ops)),
        }
    }
}

fn kib_to_bytes(kib: f64) -> usize {
    (kib * BYTES_PER_KIB) as usize
}
