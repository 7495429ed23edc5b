//! Limits of the state service, and the limits of pages and transactions that are derived from them.

use crate::leader::Leader;
use crate::settings::EffectiveLimits;
use constants::{DENSE_PAGE_MAX_BYTES, DENSE_PAGE_UNCHANGED_DIVISOR, DENSE_PAGE_VALUE_SHARE};
use wire::state::{Txn, Write};

/// Compares that the state service allows for each write that a transaction may have.
const COMPARES_PER_WRITE: usize = 4;
/// Compares of a transaction that are not available to the jobs of one page: the leader's record, the page's own
/// record, and one in reserve.
const RESERVED_COMPARES: usize = 3;
/// In the wide layout, a page may take the maximum size of a value divided by this. New chunks are added only to pages
/// that have at most their maximum size divided by this.
const WIDE_LAYOUT_DIVISOR: usize = 2;

/// Compares that a transaction may have.
pub(in crate::leader) fn max_compares(limits: &EffectiveLimits) -> usize {
    COMPARES_PER_WRITE * limits.txn_ops
}

/// Whether a transaction stays within limits.
fn fits(txn: &Txn, limits: &EffectiveLimits) -> bool {
    let value_fits = |write: &Write| match write {
        Write::Put { value, .. } => wire::json_size(value) <= limits.value_bytes,
        Write::Delete { .. } => true,
    };
    txn.writes.len() <= limits.txn_ops
        && txn.compares.len() <= max_compares(limits)
        && txn.writes.iter().all(value_fits)
}

impl Leader {
    /// Limits that transactions must stay within. In the dense layout these include the future limits.
    pub(in crate::leader) fn limits(&self) -> EffectiveLimits {
        let state = &self.settings.deployment.state;
        if self.pages.is_dense() {
            state.strictest()
        } else {
            state.current()
        }
    }

    /// Whether a transaction fits the current limits but not the future ones.
    pub(in crate::leader) fn fits_only_current_limits(&self, txn: &Txn) -> bool {
        let state = &self.settings.deployment.state;
        fits(txn, &state.current()) && !fits(txn, &state.strictest())
    }

    /// Maximum bytes of a page.
    pub(super) fn max_page_bytes(&self) -> usize {
        let value_bytes = self.limits().value_bytes;
        if self.pages.is_dense() {
            ((value_bytes as f64 * DENSE_PAGE_VALUE_SHARE) as usize).min(DENSE_PAGE_MAX_BYTES)
        } else {
            value_bytes / WIDE_LAYOUT_DIVISOR
        }
    }

    /// Maximum bytes that a page may already have if new chunks are to be added to it.
    pub(super) fn max_rewritten_bytes(&self) -> usize {
        if self.pages.is_dense() {
            self.max_page_bytes() / DENSE_PAGE_UNCHANGED_DIVISOR
        } else {
            self.max_page_bytes() / WIDE_LAYOUT_DIVISOR
        }
    }

    /// Maximum number of jobs with chunks on one page: each of them may need a compare in the same transaction.
    pub(super) fn max_page_jobs(&self) -> usize {
        max_compares(&self.limits()) - RESERVED_COMPARES
    }
}
