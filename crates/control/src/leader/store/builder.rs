//! Puts a transaction together within the limits of the state service.

use super::record_write::RecordWrite;
use super::transaction::{PendingTransaction, RecordChange};
use crate::leader::pages::{max_compares, NoRoom, PageDrafts, PageRoom, PageWrite};
use crate::settings::Limits;
use constants::TXN_BYTES;
use wire::records::{page_key, LEADER_KEY};
use wire::state::{Compare, Txn, Write};

/// A transaction that is being put together.
pub(super) struct TransactionBuilder {
    max_writes: usize,
    max_compares: usize,
    txn: Txn,
    changes: Vec<RecordChange>,
    /// Estimated bytes of the writes added so far, pages apart.
    bytes: usize,
    /// Pages that it is to write, which are encoded last.
    drafts: PageDrafts,
}

impl TransactionBuilder {
    /// A transaction that fails unless the leader's record has this version.
    pub fn new(leader_version: u64, limits: &Limits) -> Self {
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

    /// Adds the write of a record if it fits. The first one may have any number of bytes.
    pub fn add(&mut self, write: RecordWrite) -> Result<(), NoRoom> {
        let writes = self.txn.writes.len() + self.drafts.len() + write.writes.len();
        let compares = self.txn.compares.len() + self.drafts.compares() + write.compares.len();
        let bytes = self.bytes + self.drafts.bytes();
        let exceeds_bytes = bytes > 0 && bytes + write.bytes > TXN_BYTES;
        if writes > self.max_writes || compares > self.max_compares || exceeds_bytes {
            return Err(NoRoom);
        }
        self.bytes += write.bytes;
        self.txn.compares.extend(write.compares);
        self.txn.writes.extend(write.writes);
        self.changes.push(write.change);
        Ok(())
    }

    /// What is left for pages, those drafted so far included.
    pub fn page_room(&self) -> PageRoom {
        PageRoom {
            writes: self.max_writes - self.txn.writes.len(),
            compares: self.max_compares - self.txn.compares.len(),
            bytes: TXN_BYTES.saturating_sub(self.bytes),
        }
    }

    /// What is left if no page is added to those drafted so far; nothing if there are none.
    pub fn room_on_drafted_pages(&self) -> Option<PageRoom> {
        (!self.drafts.is_empty()).then(|| PageRoom {
            writes: self.drafts.len(),
            compares: self.max_compares - self.txn.compares.len(),
            bytes: TXN_BYTES,
        })
    }

    /// The pages that it is to write, to add parts to them.
    pub fn drafts_mut(&mut self) -> &mut PageDrafts {
        &mut self.drafts
    }

    /// The pages that it is to write, to encode them.
    pub fn take_drafts(&mut self) -> PageDrafts {
        std::mem::take(&mut self.drafts)
    }

    /// Adds the write of a page that was drafted.
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

    /// Whether one more write with one compare fits, all pages having been added.
    pub fn has_room_for_deletion(&self) -> bool {
        self.txn.writes.len() < self.max_writes && self.txn.compares.len() < self.max_compares
    }

    /// Adds the deletion of a page.
    pub fn delete_page(&mut self, number: u32, version: u64) {
        let key = page_key(number);
        self.txn.compares.push(Compare::new(key.clone(), version));
        self.txn.writes.push(Write::delete(key));
        self.changes.push(RecordChange::DeletePage(number));
    }

    /// Whether it changes nothing.
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    /// The transaction, ready to be sent.
    pub fn build(self) -> PendingTransaction {
        PendingTransaction {
            txn: self.txn,
            changes: self.changes,
            is_ambiguous: false,
        }
    }
}
