//! Chooses the pages that a transaction writes, and adds the unsaved parts of jobs to them.

use super::draft::{NoRoom, PageDraft, PageDrafts, PageRoom};
use super::page::{Page, PartId};
use crate::leader::model::Chunk;
use crate::leader::Leader;

impl Leader {
    /// Adds the unsaved parts of a job to the pages of a transaction, as far as they fit.
    pub(in crate::leader) fn add_parts(
        &self,
        id: &str,
        drafts: &mut PageDrafts,
        room: PageRoom,
    ) -> Result<(), NoRoom> {
        let Some(job) = self.jobs.get(id) else {
            return Ok(());
        };
        job.chunks
            .iter()
            .filter(|(_, chunk)| chunk.is_unsaved())
            .try_for_each(|(part, chunk)| {
                self.add_part(PartId::new(id, *part), chunk, drafts, room)
            })
    }

    fn add_part(
        &self,
        part: PartId,
        chunk: &Chunk,
        drafts: &mut PageDrafts,
        room: PageRoom,
    ) -> Result<(), NoRoom> {
        if drafts.contains_part(&part) {
            return Ok(());
        }
        let bytes = chunk.estimated_bytes(self.pages.is_dense());
        let needs_page = |draft: &PageDraft| self.is_full(draft, bytes);
        if drafts.last().is_none_or(needs_page) {
            self.add_draft(drafts, room)?;
        }
        // Each page has a guard of its own, which is counted here.
        let compares = drafts.compares();
        let draft = drafts.last_mut().ok_or(NoRoom)?;
        if draft.contains(&part) {
            return Ok(());
        }
        if compares >= room.compares {
            return Err(NoRoom);
        }
        draft.add(part, bytes, chunk.has_new_assignments());
        Ok(())
    }

    /// Whether a part of that size does not fit on a page any more. An empty page takes a part of any size.
    fn is_full(&self, draft: &PageDraft, bytes: usize) -> bool {
        let exceeds_limits =
            draft.bytes() + bytes > self.page_bytes() || draft.jobs() >= self.page_jobs();
        exceeds_limits && !draft.is_empty()
    }

    /// Adds a page to those that a transaction is to write.
    fn add_draft(&self, drafts: &mut PageDrafts, room: PageRoom) -> Result<(), NoRoom> {
        if drafts.len() >= room.writes {
            return Err(NoRoom);
        }
        let bytes_of_all = (drafts.len() + 1) * self.page_bytes();
        if !drafts.is_empty() && bytes_of_all > room.bytes {
            return Err(NoRoom);
        }
        let draft = self.open_page(drafts);
        // The parts that the page already has may need guards too.
        if drafts.compares() + draft.compares() > room.compares {
            return Err(NoRoom);
        }
        drafts.push(draft);
        Ok(())
    }

    /// Starts to write a page: the one with the fewest bytes, or a new one if all have too many. Parts that are
    /// rewritten take room from new ones: with small pages and few writes a second, starts waited for that room.
    fn open_page(&self, drafts: &PageDrafts) -> PageDraft {
        let smallest = self.pages.smallest_writable(drafts);
        let max_bytes = self.max_rewritten_bytes();
        match smallest.filter(|(_, page)| page.bytes() <= max_bytes) {
            Some((number, page)) => self.rewrite_page(number, page),
            None => PageDraft::new(self.pages.unused_number(drafts)),
        }
    }

    /// A draft of an existing page with its parts as they are now.
    fn rewrite_page(&self, number: u32, page: &Page) -> PageDraft {
        let mut draft = PageDraft::new(number);
        for part in page.parts() {
            let chunk = self.part_chunk(part);
            let bytes = chunk.map_or(0, |chunk| chunk.estimated_bytes(self.pages.is_dense()));
            let is_guarded = chunk.is_some_and(Chunk::has_new_assignments);
            draft.add(part.clone(), bytes, is_guarded);
        }
        draft
    }
}
