//! The pages that are recorded, and the layout in which they are written.

use super::copies::Copies;
use super::draft::PageDrafts;
use super::page::{Page, PartId};
use std::collections::{BTreeMap, BTreeSet};
use wire::records::PageRecord;

/// What the leader knows of all pages, by number.
pub(in crate::leader) struct PageTable {
    pages: BTreeMap<u32, Page>,
    /// Chunks are written in the dense layout, which the version before the pipelines can't read.
    is_dense: bool,
    /// Copies of parts found while the pages are being read.
    loaded_copies: Copies,
}

impl PageTable {
    /// A table without pages, before any has been read.
    pub fn new(is_dense: bool) -> Self {
        PageTable {
            pages: BTreeMap::new(),
            is_dense,
            loaded_copies: Copies::default(),
        }
    }

    /// Number of pages.
    pub fn len(&self) -> usize {
        self.pages.len()
    }

    /// Whether parts are written in the dense layout.
    pub fn is_dense(&self) -> bool {
        self.is_dense
    }

    /// Has parts written in the dense layout from now on.
    pub fn use_dense_layout(&mut self) {
        self.is_dense = true;
    }

    /// Takes in a page while the records are being loaded.
    pub fn load(&mut self, number: u32, record: PageRecord, version: u64) {
        self.pages.insert(number, Page::loaded(version));
        self.loaded_copies.add_page(number, record);
    }

    /// Hands over the copies found while the pages were being read.
    pub(super) fn take_loaded_copies(&mut self) -> Copies {
        std::mem::take(&mut self.loaded_copies)
    }

    /// Whether a page is being written or read again.
    pub fn is_in_flight(&self, number: u32) -> bool {
        self.pages.get(&number).is_some_and(|page| page.in_flight)
    }

    /// Notes whether a page is being written or read again.
    pub fn set_in_flight(&mut self, number: u32, in_flight: bool) {
        if let Some(page) = self.pages.get_mut(&number) {
            page.in_flight = in_flight;
        }
    }

    /// Notes that a page is being written, which may be a new one. Returns the version that its record has so far.
    pub(super) fn begin_write(&mut self, number: u32) -> u64 {
        let page = self.pages.entry(number).or_default();
        page.in_flight = true;
        page.version
    }

    /// Notes the version that the record of a page is known to have.
    pub(super) fn end_write(&mut self, number: u32, version: u64) {
        let page = self.pages.entry(number).or_default();
        page.in_flight = false;
        page.version = version;
    }

    /// Removes a page whose record was deleted.
    pub fn remove(&mut self, number: u32) {
        self.pages.remove(&number);
    }

    /// Adds a part to the page that has its newest recorded copy.
    pub(super) fn add_part(&mut self, number: u32, part: PartId, bytes: usize) {
        if let Some(page) = self.pages.get_mut(&number) {
            page.add_part(part, bytes);
        }
    }

    /// Removes a part from a page if it has it.
    pub(super) fn remove_part(&mut self, number: u32, part: &PartId) {
        if let Some(page) = self.pages.get_mut(&number) {
            page.remove_part(part);
        }
    }

    /// Removes all parts from all pages.
    pub(super) fn clear_parts(&mut self) {
        for page in self.pages.values_mut() {
            page.clear_parts();
        }
    }

    /// The page with the fewest bytes of those that may be written and are not drafted yet.
    pub(super) fn smallest_writable(&self, drafts: &PageDrafts) -> Option<(u32, &Page)> {
        self.pages
            .iter()
            .map(|(number, page)| (*number, page))
            .filter(|(number, page)| !page.in_flight && !drafts.contains_page(*number))
            .min_by_key(|(_, page)| page.bytes())
    }

    /// The lowest number that neither a page nor a draft has.
    pub(super) fn unused_number(&self, drafts: &PageDrafts) -> u32 {
        let existing = self.pages.keys().copied();
        let used: BTreeSet<u32> = existing.chain(drafts.page_numbers()).collect();
        (0..)
            .find(|number| !used.contains(number))
            .unwrap_or(u32::MAX)
    }

    /// Number and version of an empty page to delete, so that a new leader need not read it. One empty page is left
    /// for the next write.
    pub fn spare_page(&self) -> Option<(u32, u64)> {
        let mut unused = self.pages.iter().rev().filter(|(_, page)| page.is_unused());
        let (number, page) = unused.next()?;
        let is_recorded = page.version > 0;
        let another_is_left = unused.next().is_some();
        (is_recorded && another_is_left).then_some((*number, page.version))
    }
}
