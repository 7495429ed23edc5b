//! Chooses the pages that a transaction writes, and adds the unsaved chunks of jobs to them.

use super::draft::{PageDraft, PageDrafts, RemainingCapacity, TransactionFull};
use super::page::{ChunkId, Page};
use crate::leader::model::Chunk;
use crate::leader::Leader;

impl Leader {
    /// Adds the unsaved chunks of a job to the pages of a transaction, as far as they fit.
    pub(in crate::leader) fn add_chunks(
        &self,
        id: &str,
        drafts: &mut PageDrafts,
        capacity: RemainingCapacity,
    ) -> Result<(), TransactionFull> {
        let Some(job) = self.jobs.get(id) else {
            return Ok(());
        };
        job.chunks
            .iter()
            .filter(|(_, chunk)| chunk.is_unsaved())
            .try_for_each(|(number, chunk)| {
                self.add_chunk(ChunkId::new(id, *number), chunk, drafts, capacity)
            })
    }

    fn add_chunk(
        &self,
        id: ChunkId,
        chunk: &Chunk,
        drafts: &mut PageDrafts,
        capacity: RemainingCapacity,
    ) -> Result<(), TransactionFull> {
        if drafts.contains_chunk(&id) {
            return Ok(());
        }
        let bytes = chunk.estimated_bytes(self.pages.is_dense());
        let needs_page = |draft: &PageDraft| self.is_full(draft, bytes);
        if drafts.last().is_none_or(needs_page) {
            self.add_draft(drafts, capacity)?;
        }
        // A newly drafted page needs a compare of its own record, so the compares are counted after it was added.
        let compares = drafts.compares();
        let draft = drafts.last_mut().ok_or(TransactionFull)?;
        if draft.contains(&id) {
            return Ok(());
        }
        if compares >= capacity.compares {
            return Err(TransactionFull);
        }
        draft.add(id, bytes, chunk.has_new_assignments());
        Ok(())
    }

    /// Whether a chunk of this size no longer fits on a page. An empty page accepts a chunk of any size.
    fn is_full(&self, draft: &PageDraft, bytes: usize) -> bool {
        let exceeds_limits =
            draft.bytes() + bytes > self.max_page_bytes() || draft.jobs() >= self.max_page_jobs();
        exceeds_limits && !draft.is_empty()
    }

    /// Adds a page to the drafts of a transaction.
    fn add_draft(
        &self,
        drafts: &mut PageDrafts,
        capacity: RemainingCapacity,
    ) -> Result<(), TransactionFull> {
        if drafts.len() >= capacity.writes {
            return Err(TransactionFull);
        }
        let total_bytes = (drafts.len() + 1) * self.max_page_bytes();
        if !drafts.is_empty() && total_bytes > capacity.bytes {
            return Err(TransactionFull);
        }
        let draft = self.open_page(drafts);
        // The chunks that the page already has may need compares too.
        if drafts.compares() + draft.compares() > capacity.compares {
            return Err(TransactionFull);
        }
        drafts.push(draft);
        Ok(())
    }

    /// A draft of the page to write next: the one with the fewest bytes, or a new one if all have too many.
    ///
    /// Chunks that are rewritten unchanged take space from new ones: with small pages and few writes per second, starts
    /// waited for that space.
    fn open_page(&self, drafts: &PageDrafts) -> PageDraft {
        let smallest = self.pages.smallest_writable(drafts);
        let max_bytes = self.max_rewritten_bytes();
        match smallest.filter(|(_, page)| page.bytes() <= max_bytes) {
            Some((number, page)) => self.rewrite_page(number, page),
            None => PageDraft::new(self.pages.unused_number(drafts)),
        }
    }

    /// A draft of an existing page with the current content of its chunks.
    fn rewrite_page(&self, number: u32, page: &Page) -> PageDraft {
        let mut draft = PageDraft::new(number);
        for id in page.chunks() {
            let chunk = self.chunk_by_id(id);
            let bytes = chunk.map_or(0, |chunk| chunk.estimated_bytes(self.pages.is_dense()));
            let is_guarded = chunk.is_some_and(Chunk::has_new_assignments);
            draft.add(id.clone(), bytes, is_guarded);
        }
        draft
    }
}
