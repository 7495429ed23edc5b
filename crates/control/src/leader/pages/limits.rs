//! Limits of the state service, and what follows from them for pages and transactions.

use crate::leader::Leader;
use crate::settings::Limits;
use constants::{DENSE_PAGE_FILL, PAGE_BYTES, REWRITTEN_PART};
use wire::state::{Txn, Write};

/// Compares that the state service allows for each write that a transaction may have.
const COMPARES_PER_WRITE: usize = 4;
/// Compares of a transaction that the jobs of one page can't use: the leader's and the page's own, and one to spare.
const RESERVED_COMPARES: usize = 3;
/// In the wide layout, share (one in that many) of a value that a page may take, and of a page that may be rewritten
/// along with new parts.
const WIDE_LAYOUT_SHARE: usize = 2;

/// Compares that a transaction may have.
pub(in crate::leader) fn max_compares(limits: &Limits) -> usize {
    COMPARES_PER_WRITE * limits.txn_ops
}

/// Whether a transaction stays within limits.
fn fits(txn: &Txn, limits: &Limits) -> bool {
    let value_fits = |write: &Write| match write {
        Write::Put { value, .. } => wire::json_size(value) <= limits.value_bytes,
        Write::Delete { .. } => true,
    };
    txn.writes.len() <= limits.txn_ops
        && txn.compares.len() <= max_compares(limits)
        && txn.writes.iter().all(value_fits)
}

impl Leader {
    /// Limits that transactions must stay within.
    pub(in crate::leader) fn limits(&self) -> Limits {
        let state = &self.settings.deployment.state;
        if self.pages.is_dense() {
            state.least()
        } else {
            state.now()
        }
    }

    /// Whether today's limits allow a transaction that the coming ones do not.
    pub(in crate::leader) fn fits_only_today(&self, txn: &Txn) -> bool {
        let state = &self.settings.deployment.state;
        fits(txn, &state.now()) && !fits(txn, &state.least())
    }

    /// Bytes that a page may have.
    pub(super) fn page_bytes(&self) -> usize {
        let value_bytes = self.limits().value_bytes;
        if self.pages.is_dense() {
            ((value_bytes as f64 * DENSE_PAGE_FILL) as usize).min(PAGE_BYTES)
        } else {
            value_bytes / WIDE_LAYOUT_SHARE
        }
    }

    /// Bytes that a page may already have for new parts to be added to it.
    pub(super) fn max_rewritten_bytes(&self) -> usize {
        if self.pages.is_dense() {
            self.page_bytes() / REWRITTEN_PART
        } else {
            self.page_bytes() / WIDE_LAYOUT_SHARE
        }
    }

    /// Jobs that a page may have parts of: all of them may need a compare in one transaction.
    pub(super) fn page_jobs(&self) -> usize {
        max_compares(&self.limits()) - RESERVED_COMPARES
    }
}
