//! Limits of the state service: the current ones, and those that apply from some time after an upgrade.

use serde::Deserialize;

/// Bytes in a KiB.
const BYTES_PER_KIB: f64 = 1024.0;

/// Limits of the state service as the platform's file states them.
#[derive(Debug, Clone, Deserialize)]
pub struct StateLimits {
    /// Requests per second.
    pub rps: f64,
    /// Writes per second.
    pub write_rps: f64,
    /// Maximum size of a value in KiB.
    pub value_kb: f64,
    /// Maximum number of writes in a transaction.
    pub txn_ops: usize,
    /// Limits that apply from some time after an upgrade, without notice.
    #[serde(default)]
    pub next: Option<NextLimits>,
}

/// Future limits of the state service. A limit that is absent does not change.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct NextLimits {
    /// Requests per second.
    #[serde(default)]
    pub rps: Option<f64>,
    /// Writes per second.
    #[serde(default)]
    pub write_rps: Option<f64>,
    /// Maximum size of a value in KiB.
    #[serde(default)]
    pub value_kb: Option<f64>,
    /// Maximum number of writes in a transaction.
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

/// Limits that requests to the state service must respect.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EffectiveLimits {
    /// Requests per second.
    pub rps: f64,
    /// Writes per second.
    pub write_rps: f64,
    /// Maximum size of a value in bytes.
    pub value_bytes: usize,
    /// Maximum number of writes in a transaction. The maximum number of compares is four times as high.
    pub txn_ops: usize,
}

impl StateLimits {
    /// The limits that apply today.
    pub fn current(&self) -> EffectiveLimits {
        EffectiveLimits {
            rps: self.rps,
            write_rps: self.write_rps,
            value_bytes: kib_to_bytes(self.value_kb),
            txn_ops: self.txn_ops,
        }
    }

    /// The smaller of the current and the future limits. Requests within them are valid before and after the change.
    pub fn strictest(&self) -> EffectiveLimits {
        let current = self.current();
        let next = self.next.clone().unwrap_or_default();
        let next_value_kib = next.value_kb.unwrap_or(self.value_kb);
        EffectiveLimits {
            rps: current.rps.min(next.rps.unwrap_or(current.rps)),
            write_rps: current
                .write_rps
                .min(next.write_rps.unwrap_or(current.write_rps)),
            value_bytes: current.value_bytes.min(kib_to_bytes(next_value_kib)),
            txn_ops: current.txn_ops.min(next.txn_ops.unwrap_or(current.txn_ops)),
        }
    }
}

fn kib_to_bytes(kib: f64) -> usize {
    (kib * BYTES_PER_KIB) as usize
}
