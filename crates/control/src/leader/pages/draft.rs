//! Drafts of the pages that one transaction is to write.

use super::page::ChunkId;
use std::collections::BTreeSet;

/// Error: the transaction has no capacity left for a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::leader) struct TransactionFull;

/// What the limits of a transaction leave for pages.
#[derive(Debug, Clone, Copy)]
pub(in crate::leader) struct RemainingCapacity {
    /// Maximum number of pages.
    pub writes: usize,
    /// Maximum number of compares.
    pub compares: usize,
    /// Maximum estimated bytes of all pages.
    pub bytes: usize,
}

/// The content of a page that a transaction is to write.
pub(in crate::leader) struct PageDraft {
    number: u32,
    chunks: BTreeSet<ChunkId>,
    bytes: usize,
    /// Jobs with new assignments on the page. The transaction compares their versions.
    guarded_jobs: BTreeSet<String>,
}

impl PageDraft {
    /// An empty draft of the page with this number.
    pub fn new(number: u32) -> Self {
        PageDraft {
            number,
            chunks: BTreeSet::new(),
            bytes: 0,
            guarded_jobs: BTreeSet::new(),
        }
    }

    /// Adds a chunk that the draft does not have yet. `is_guarded` makes the transaction compare the job's version.
    pub fn add(&mut self, id: ChunkId, bytes: usize, is_guarded: bool) {
        self.bytes += bytes;
        if is_guarded {
            self.guarded_jobs.insert(id.job.clone());
        }
        self.chunks.insert(id);
    }

    /// Number of the page.
    pub fn number(&self) -> u32 {
        self.number
    }

    /// Ids of its chunks.
    pub fn chunks(&self) -> impl Iterator<Item = &ChunkId> {
        self.chunks.iter()
    }

    /// Whether it has a chunk.
    pub fn contains(&self, id: &ChunkId) -> bool {
        self.chunks.contains(id)
    }

    /// Whether it has no chunks.
    pub fn is_empty(&self) -> bool {
        self.chunks.is_empty()
    }

    /// Estimated bytes of its chunks.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Ids of the jobs whose version must be compared.
    pub fn guarded_jobs(&self) -> impl Iterator<Item = &String> {
        self.guarded_jobs.iter()
    }

    /// Number of compares that the page needs: one for its own record and one per guarded job.
    pub fn compares(&self) -> usize {
        1 + self.guarded_jobs.len()
    }

    /// Number of jobs that it has chunks of. The chunks are sorted by job, so this counts the changes of the job id.
    pub fn jobs(&self) -> usize {
        let (mut jobs, mut previous) = (0, "");
        for id in &self.chunks {
            jobs += usize::from(id.job != previous);
            previous = &id.job;
        }
        jobs
    }
}

/// The pages that one transaction is to write.
#[derive(Default)]
pub(in crate::leader) struct PageDrafts {
    drafts: Vec<PageDraft>,
}

impl PageDrafts {
    /// Number of pages.
    pub fn len(&self) -> usize {
        self.drafts.len()
    }

    /// Whether there are no pages.
    pub fn is_empty(&self) -> bool {
        self.drafts.is_empty()
    }

    /// Number of compares that all pages need.
    pub fn compares(&self) -> usize {
        self.drafts.iter().map(PageDraft::compares).sum()
    }

    /// Estimated bytes of all pages.
    pub fn bytes(&self) -> usize {
        self.drafts.iter().map(PageDraft::bytes).sum()
    }

    /// Whether one of the pages has this chunk.
    pub fn contains_chunk(&self, id: &ChunkId) -> bool {
        self.drafts.iter().any(|draft| draft.contains(id))
    }

    /// Whether the page with this number is among them.
    pub fn contains_page(&self, number: u32) -> bool {
        self.drafts.iter().any(|draft| draft.number == number)
    }

    /// Numbers of the pages.
    pub fn page_numbers(&self) -> impl Iterator<Item = u32> + '_ {
        self.drafts.iter().map(PageDraft::number)
    }

    /// The page that chunks are being added to.
    pub fn last(&self) -> Option<&PageDraft> {
        self.drafts.last()
    }

    /// The page that chunks are being added to, for changes.
    pub fn last_mut(&mut self) -> Option<&mut PageDraft> {
        self.drafts.last_mut()
    }

    /// Adds a page, to which further chunks are added.
    pub fn push(&mut self, draft: PageDraft) {
        self.drafts.push(draft);
    }
}

impl IntoIterator for PageDrafts {
    type Item = PageDraft;
    type IntoIter = std::vec::IntoIter<PageDraft>;

    fn into_iter(self) -> Self::IntoIter {
        self.drafts.into_iter()
    }
}
