//! Builds a transaction within the limits of the state service.

use super::record_write::RecordWrite;
use super::transaction::{PendingTransaction, RecordChange};
use crate::leader::pages::{
    max_compares, PageDrafts, PageWrite, RemainingCapacity, TransactionFull,
};
use crate::settings::EffectiveLimits;
use constants::TXN_MAX_BYTES;
use wire::records::{page_key, LEADER_KEY};
use wire::state::{Compare, Txn, Write};

/// Collects the compares and writes of a transaction.
pub(super) struct TransactionBuilder {
    max_writes: usize,
    max_compares: usize,
    txn: Txn,
    changes: Vec<RecordChange>,
    /// Estimated bytes of the writes added so far, without pages.
    bytes: usize,
    /// Pages to write. They are encoded after all other writes have been added.
    drafts: PageDrafts,
}

impl TransactionBuilder {
    /// An empty transaction, which fails unless the leader's record has this version.
    pub fn new(leader_version: u64, limits: &EffectiveLimits) -> Self {
        let fence = Compare::new(LEADER_KEY, leader_version);
        TransactionBuilder {
            max_writes: limits.txn_ops,
            max_compares: max_compares(limits),
            txn: Txn {
                compares: vec![fence],
                writes: Vec::new(),
            },
            changes: Vec::new(),
            bytes: 0,
            drafts: PageDrafts::default(),
        }
    }

    /// Adds the write of a record if it fits. The first write may have any size.
    pub fn add(&mut self, write: RecordWrite) -> Result<(), TransactionFull> {
        let writes = self.txn.writes.len() + self.drafts.len() + write.writes.len();
        let compares = self.txn.compares.len() + self.drafts.compares() + write.compares.len();
        let bytes = self.bytes + self.drafts.bytes();
        let exceeds_bytes = bytes > 0 && bytes + write.bytes > TXN_MAX_BYTES;
        if writes > self.max_writes || compares > self.max_compares || exceeds_bytes {
            return Err(TransactionFull);
        }
        self.bytes += write.bytes;
        self.txn.compares.extend(write.compares);
        self.txn.writes.extend(write.writes);
        self.changes.push(write.change);
        Ok(())
    }

    /// Capacity for pages, including those drafted so far.
    pub fn remaining_capacity(&self) -> RemainingCapacity {
        RemainingCapacity {
            writes: self.max_writes - self.txn.writes.len(),
            compares: self.max_compares - self.txn.compares.len(),
            bytes: TXN_MAX_BYTES.saturating_sub(self.bytes),
        }
    }

    /// Capacity of the pages drafted so far, if no further page is added. `None` if there are none.
    pub fn remaining_capacity_of_drafts(&self) -> Option<RemainingCapacity> {
        (!self.drafts.is_empty()).then(|| RemainingCapacity {
            writes: self.drafts.len(),
            compares: self.max_compares - self.txn.compares.len(),
            bytes: TXN_MAX_BYTES,
        })
    }

    /// The drafted pages, to add chunks to them.
    pub fn drafts_mut(&mut self) -> &mut PageDrafts {
        &mut self.drafts
    }

    /// Takes the drafted pages, to encode them.
    pub fn take_drafts(&mut self) -> PageDrafts {
        std::mem::take(&mut self.drafts)
    }

    /// Adds the write of a drafted page.
    pub fn add_page(&mut self, page: PageWrite) {
        for compare in page.job_compares {
            if !self.txn.compares.contains(&compare) {
                self.txn.compares.push(compare);
            }
        }
        self.txn.compares.push(page.compare);
        self.txn.writes.push(page.write);
        self.changes.push(RecordChange::WritePage {
            number: page.number,
            copies: page.copies,
        });
    }

    /// Whether a deletion (one write and one compare) still fits, after all pages have been added.
    pub fn fits_deletion(&self) -> bool {
        self.txn.writes.len() < self.max_writes && self.txn.compares.len() < self.max_compares
    }

    /// Adds the deletion of a page.
    pub fn delete_page(&mut self, number: u32, version: u64) {
        let key = page_key(number);
        self.txn.compares.push(Compare::new(key.clone(), version));
        self.txn.writes.push(Write::delete(key));
        self.changes.push(RecordChange::DeletePage(number));
    }

    /// Whether the transaction changes nothing.
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    /// The transaction, ready to be sent.
    pub fn build(self) -> PendingTransaction {
        PendingTransaction {
            txn: self.txn,
            first_sent_at: 0,
            changes: self.changes,
            is_ambiguous: false,
        }
    }
}
