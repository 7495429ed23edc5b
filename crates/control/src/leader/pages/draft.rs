//! Drafts of the pages that one transaction is to write.

use super::page::PartId;
use std::collections::BTreeSet;

/// Something does not fit into a transaction any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::leader) struct NoRoom;

/// What a transaction has left for pages.
#[derive(Debug, Clone, Copy)]
pub(in crate::leader) struct PageRoom {
    /// Writes.
    pub writes: usize,
    /// Compares (guards).
    pub compares: usize,
    /// Bytes.
    pub bytes: usize,
}

/// A page as a transaction is to write it.
pub(in crate::leader) struct PageDraft {
    number: u32,
    parts: BTreeSet<PartId>,
    bytes: usize,
    /// Jobs whose version must be compared, since the page records new assignments of them.
    guarded_jobs: BTreeSet<String>,
}

impl PageDraft {
    /// A draft without parts.
    pub fn new(number: u32) -> Self {
        PageDraft {
            number,
            parts: BTreeSet::new(),
            bytes: 0,
            guarded_jobs: BTreeSet::new(),
        }
    }

    /// Adds a part that it does not have yet.
    pub fn add(&mut self, part: PartId, bytes: usize, is_guarded: bool) {
        self.bytes += bytes;
        if is_guarded {
            self.guarded_jobs.insert(part.job.clone());
        }
        self.parts.insert(part);
    }

    /// Number of the page.
    pub fn number(&self) -> u32 {
        self.number
    }

    /// Its parts.
    pub fn parts(&self) -> impl Iterator<Item = &PartId> {
        self.parts.iter()
    }

    /// Whether it has a part.
    pub fn contains(&self, part: &PartId) -> bool {
        self.parts.contains(part)
    }

    /// Whether it has no part.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Estimated bytes of its parts.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Ids of the jobs whose version must be compared.
    pub fn guarded_jobs(&self) -> impl Iterator<Item = &String> {
        self.guarded_jobs.iter()
    }

    /// Number of compares that it needs, its own included.
    pub fn compares(&self) -> usize {
        1 + self.guarded_jobs.len()
    }

    /// Number of jobs that it has parts of. The parts are sorted by job, so each change of the job counts.
    pub fn jobs(&self) -> usize {
        let (mut jobs, mut previous) = (0, "");
        for part in &self.parts {
            jobs += usize::from(part.job != previous);
            previous = &part.job;
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

    /// Whether there is no page.
    pub fn is_empty(&self) -> bool {
        self.drafts.is_empty()
    }

    /// Compares that all pages need.
    pub fn compares(&self) -> usize {
        self.drafts.iter().map(PageDraft::compares).sum()
    }

    /// Estimated bytes of all pages.
    pub fn bytes(&self) -> usize {
        self.drafts.iter().map(PageDraft::bytes).sum()
    }

    /// Whether one of the pages has this part.
    pub fn contains_part(&self, part: &PartId) -> bool {
        self.drafts.iter().any(|draft| draft.contains(part))
    }

    /// Whether this page is among them.
    pub fn contains_page(&self, number: u32) -> bool {
        self.drafts.iter().any(|draft| draft.number == number)
    }

    /// Numbers of the pages.
    pub fn page_numbers(&self) -> impl Iterator<Item = u32> + '_ {
        self.drafts.iter().map(PageDraft::number)
    }

    /// The page that parts are being added to.
    pub fn last(&self) -> Option<&PageDraft> {
        self.drafts.last()
    }

    /// The page that parts are being added to, to change it.
    pub fn last_mut(&mut self) -> Option<&mut PageDraft> {
        self.drafts.last_mut()
    }

    /// Adds a page, which parts are added to from now on.
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
