//! All recorded pages, and the layout in which pages are written.

use super::copies::NewestCopies;
use super::draft::PageDrafts;
use super::page::{ChunkId, Page};
use std::collections::{BTreeMap, BTreeSet};
use wire::records::PageRecord;

/// State of all pages, by number.
pub(in crate::leader) struct PageTable {
    pages: BTreeMap<u32, Page>,
    /// Whether chunks are written in the dense layout, which the version before job dependencies can't read.
    is_dense: bool,
    /// Newest copies of chunks found so far, while the pages are being read.
    loaded_copies: NewestCopies,
}

impl PageTable {
    /// An empty table, before any page has been read.
    pub fn new(is_dense: bool) -> Self {
        PageTable {
            pages: BTreeMap::new(),
            is_dense,
            loaded_copies: NewestCopies::default(),
        }
    }

    /// Number of pages.
    pub fn len(&self) -> usize {
        self.pages.len()
    }

    /// Whether chunks are written in the dense layout.
    pub fn is_dense(&self) -> bool {
        self.is_dense
    }

    /// Switches to writing chunks in the dense layout.
    pub fn use_dense_layout(&mut self) {
        self.is_dense = true;
    }

    /// Adds a page that was read while the records are being loaded.
    pub fn load(&mut self, number: u32, record: PageRecord, version: u64) {
        self.pages.insert(number, Page::loaded(version));
        self.loaded_copies.add_page(number, record);
    }

    /// Takes the copies that were found while the pages were being read.
    pub(super) fn take_loaded_copies(&mut self) -> NewestCopies {
        std::mem::take(&mut self.loaded_copies)
    }

    /// Whether a page is being written or read again.
    pub fn is_in_flight(&self, number: u32) -> bool {
        self.pages.get(&number).is_some_and(|page| page.in_flight)
    }

    /// Marks whether a page is being written or read again. Unknown pages are ignored.
    pub fn set_in_flight(&mut self, number: u32, in_flight: bool) {
        if let Some(page) = self.pages.get_mut(&number) {
            page.in_flight = in_flight;
        }
    }

    /// Marks a page as being written, and adds it if it is new. Returns the version of its record before the write.
    pub(super) fn begin_write(&mut self, number: u32) -> u64 {
        let page = self.pages.entry(number).or_default();
        page.in_flight = true;
        page.version
    }

    /// Sets the version that the record of a page is known to have, and marks the page as no longer in flight.
    pub(super) fn end_write(&mut self, number: u32, version: u64) {
        let page = self.pages.entry(number).or_default();
        page.in_flight = false;
        page.version = version;
    }

    /// Removes a page whose record was deleted.
    pub fn remove(&mut self, number: u32) {
        self.pages.remove(&number);
    }

    /// Adds a chunk to the page that has its newest recorded copy.
    pub(super) fn add_chunk(&mut self, number: u32, id: ChunkId, bytes: usize) {
        if let Some(page) = self.pages.get_mut(&number) {
            page.add_chunk(id, bytes);
        }
    }

    /// Removes a chunk from a page if the page has it.
    pub(super) fn remove_chunk(&mut self, number: u32, id: &ChunkId) {
        if let Some(page) = self.pages.get_mut(&number) {
            page.remove_chunk(id);
        }
    }

    /// Removes all chunks from all pages.
    pub(super) fn clear_chunks(&mut self) {
        for page in self.pages.values_mut() {
            page.clear_chunks();
        }
    }

    /// The page with the fewest bytes among those that are neither in flight nor drafted yet.
    pub(super) fn smallest_writable(&self, drafts: &PageDrafts) -> Option<(u32, &Page)> {
        self.pages
            .iter()
            .map(|(number, page)| (*number, page))
            .filter(|(number, page)| !page.in_flight && !drafts.contains_page(*number))
            .min_by_key(|(_, page)| page.bytes())
    }

    /// The lowest number that no page and no draft uses.
    pub(super) fn unused_number(&self, drafts: &PageDrafts) -> u32 {
        let existing = self.pages.keys().copied();
        let used: BTreeSet<u32> = existing.chain(drafts.page_numbers()).collect();
        (0..)
            .find(|number| !used.contains(number))
            .unwrap_or(u32::MAX)
    }

    /// Number and version of an empty page to delete, so that the next leader need not read it. One empty page is kept
    /// for the next write.
    pub fn deletable_page(&self) -> Option<(u32, u64)> {
        let mut deletable = self
            .pages
            .iter()
            .rev()
            .filter(|(_, page)| page.is_deletable());
        let (number, page) = deletable.next()?;
        let is_recorded = page.version > 0;
        let another_is_left = deletable.next().is_some();
        (is_recorded && another_is_left).then_some((*number, page.version))
    }
}
