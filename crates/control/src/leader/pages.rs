//! Pages: records that hold the assignments and progress of many jobs together.
//!
//! One record per job would cost the state service one write for each job that a scheduling round touches. On a large
//! fleet, starts then wait half a minute for their records. A page takes the changes of a whole round in one write.
//! These rules hold:
//!
//! - Every copy of a part carries the number of the part's last change. The highest number wins, whichever page it
//!   is on.
//! - A page is rewritten with all parts whose newest recorded copy it has, so no part is lost before a newer copy is
//!   known to be recorded elsewhere. The page with the fewest bytes is rewritten, and the parts written to it belong
//!   to it from then on.
//! - A copy with assignments that no record has yet is guarded by its job's version, so that the write fails once the
//!   job is cancelled.
//!
//! Two layouts are read and one is written. Wide parts of 128 tasks are what the version before job dependencies
//! writes. Once no node of that version can come back, small parts in the dense layout are written, which fit the
//! coming limits of the state service. A part that was split keeps its change number, so the highest number wins across
//! both layouts. Pages too large for the coming limits are never written again: their parts move to other pages as they
//! change, and empty pages are deleted.

mod copies;
mod draft;
mod encoding;
mod limits;
mod packing;
mod page;
mod table;

pub(super) use copies::{copies_in, PartCopy};
pub(super) use draft::{NoRoom, PageDrafts, PageRoom};
pub(super) use encoding::PageWrite;
pub(super) use limits::max_compares;
pub(super) use page::PartId;
pub(super) use table::PageTable;

use super::model::{Chunk, Job};
use super::Leader;
use crate::requests::RecordId;
use copies::{Copies, LoadedCopy};
use std::collections::HashMap;

/// Whether a job has parts whose last change is not recorded yet.
pub(super) fn has_unsaved_parts(job: &Job) -> bool {
    job.chunks.values().any(Chunk::is_unsaved)
}

impl Leader {
    /// Writes parts in the dense layout from now on.
    pub(super) fn switch_to_dense_layout(&mut self) {
        if self.pages.is_dense() {
            return;
        }
        self.pages.use_dense_layout();
        self.split_all_jobs();
        self.rebuild_page_contents();
        log::info!(
            "event=dense_pages term={} pages={} page_bytes={}",
            self.term,
            self.pages.len(),
            self.page_bytes()
        );
        let unsaved_jobs: Vec<String> = self
            .jobs
            .iter()
            .filter(|(_, job)| has_unsaved_parts(job))
            .map(|(id, _)| id.clone())
            .collect();
        for id in unsaved_jobs {
            self.queue_write(RecordId::Job(id));
        }
    }

    fn split_all_jobs(&mut self) {
        for job in self.jobs.values_mut() {
            job.split_into_dense_chunks();
        }
    }

    /// Determines anew which parts belong to which page.
    fn rebuild_page_contents(&mut self) {
        self.pages.clear_parts();
        for (id, job) in &self.jobs {
            for (part, chunk) in &job.chunks {
                if let Some(home) = chunk.page {
                    let bytes = chunk.estimated_bytes(job.is_dense());
                    self.pages.add_part(home, PartId::new(id, *part), bytes);
                }
            }
        }
    }

    fn part_chunk(&self, part: &PartId) -> Option<&Chunk> {
        self.jobs.get(&part.job)?.chunks.get(&part.number)
    }

    /// Gives the open jobs the newest copies of their parts once all pages have been read.
    pub(super) fn apply_page_copies(&mut self) {
        let copies = self.pages.take_loaded_copies();
        if copies.has_small_parts() {
            // Small parts are written only once no node is left that can't read them.
            self.pages.use_dense_layout();
        }
        let Copies { wide, small } = copies;
        self.apply_wide_copies(wide);
        if self.pages.is_dense() {
            self.split_all_jobs();
        }
        self.apply_small_copies(small);
        for job in self.jobs.values_mut() {
            job.recount_tasks();
            job.failed_under_earlier_leaders = job.has_failed_under_earlier_leaders();
        }
        self.rebuild_page_contents();
    }

    fn apply_wide_copies(&mut self, copies: HashMap<PartId, LoadedCopy>) {
        for (part, copy) in copies {
            if let Some(job) = self.jobs.get_mut(&part.job) {
                job.load_chunk(part.number, copy.seq, copy.chunk, copy.page);
            }
        }
    }

    /// Applies the copies in the dense layout, after wide parts have been split to the same numbering.
    fn apply_small_copies(&mut self, copies: HashMap<PartId, LoadedCopy>) {
        for (part, copy) in copies {
            let Some(job) = self.jobs.get_mut(&part.job) else {
                continue;
            };
            let known = job.chunks.get(&part.number);
            if known.is_none_or(|chunk| copy.seq >= chunk.seq) {
                job.load_chunk(part.number, copy.seq, copy.chunk, copy.page);
            }
        }
    }

    /// Notes what a page is known to hold. The copies that are newest belong to it from now on.
    pub(super) fn on_page_saved(&mut self, number: u32, version: u64, copies: &[PartCopy]) {
        self.pages.end_write(number, version);
        for copy in copies {
            self.move_parts_to_page(number, copy);
        }
    }

    /// Notes that the newest recorded copy of a part is on this page.
    fn move_parts_to_page(&mut self, number: u32, copy: &PartCopy) {
        let Some(job) = self.jobs.get_mut(&copy.part.job) else {
            return;
        };
        let is_dense = job.is_dense();
        // The copy may have been written before the job's parts were split.
        for part in job.covered_chunks(copy.part.number, copy.is_wide) {
            let Some(chunk) = job.chunks.get_mut(&part) else {
                continue;
            };
            if copy.seq < chunk.saved_seq {
                continue;
            }
            chunk.saved_seq = copy.seq;
            let bytes = chunk.estimated_bytes(is_dense);
            let previous = chunk.page.replace(number);
            let part = PartId::new(&copy.part.job, part);
            if let Some(previous) = previous.filter(|previous| *previous != number) {
                self.pages.remove_part(previous, &part);
            }
            self.pages.add_part(number, part, bytes);
        }
    }

    /// Removes the parts of a finished job from their pages. Copies that are still recorded there are ignored.
    pub(super) fn remove_from_pages(&mut self, id: &str, job: &Job) {
        for (part, chunk) in &job.chunks {
            if let Some(home) = chunk.page {
                self.pages.remove_part(home, &PartId::new(id, *part));
            }
        }
    }
}
