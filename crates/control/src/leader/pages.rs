//! Pages: records that hold the assignments and progress of many jobs together.
//!
//! With one record per job, every job that a scheduling round changes would cost the state service a write, and on a
//! large fleet starts would wait half a minute for their records. A page stores the changes of a whole round in one
//! write. These invariants hold:
//!
//! - Every copy of a chunk carries the number of the chunk's last change. The copy with the highest number is valid,
//!   whichever page stores it.
//! - A rewrite of a page includes all chunks whose newest recorded copy is on it, so no chunk is lost before a newer
//!   copy is known to be recorded elsewhere. The page with the fewest bytes is rewritten, and the chunks written to it
//!   belong to it from then on.
//! - The write of a copy with assignments that are not recorded yet compares the version of the job, so that the write
//!   fails once the job is cancelled.
//!
//! Pages are read in two layouts and written in one of them. The wide layout has chunks of 128 tasks; the version
//! before job dependencies reads and writes only this one. Once no node of that version can come back, the dense layout
//! is written. Its chunks are smaller, so that pages fit the future limits of the state service. The chunks of a split
//! chunk keep its change number, so the highest number is valid across both layouts. Pages too large for the future
//! limits are never rewritten: their chunks move to other pages as they change, and empty pages are deleted.

mod copies;
mod draft;
mod encoding;
mod limits;
mod packing;
mod page;
mod table;

pub(super) use copies::{copies_in, ChunkCopy};
pub(super) use draft::{PageDrafts, RemainingCapacity, TransactionFull};
pub(super) use encoding::PageWrite;
pub(super) use limits::max_compares;
pub(super) use page::ChunkId;
pub(super) use table::PageTable;

use super::model::{Chunk, Job};
use super::Leader;
use crate::requests::RecordId;
use copies::{LoadedCopy, NewestCopies};
use std::collections::HashMap;

/// Whether a job has chunks whose last change is not recorded yet.
pub(super) fn has_unsaved_chunks(job: &Job) -> bool {
    job.chunks.values().any(Chunk::is_unsaved)
}

impl Leader {
    /// Starts to write chunks in the dense layout.
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
            self.max_page_bytes()
        );
        let unsaved_jobs: Vec<String> = self
            .jobs
            .iter()
            .filter(|(_, job)| has_unsaved_chunks(job))
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

    /// Recomputes from the chunks of all jobs which chunks belong to which page.
    fn rebuild_page_contents(&mut self) {
        self.pages.clear_chunks();
        for (id, job) in &self.jobs {
            for (number, chunk) in &job.chunks {
                if let Some(page) = chunk.page {
                    let bytes = chunk.estimated_bytes(job.is_dense());
                    self.pages.add_chunk(page, ChunkId::new(id, *number), bytes);
                }
            }
        }
    }

    fn chunk_by_id(&self, id: &ChunkId) -> Option<&Chunk> {
        self.jobs.get(&id.job)?.chunks.get(&id.number)
    }

    /// Loads the newest copies of their chunks into the open jobs, once all pages have been read.
    pub(super) fn apply_page_copies(&mut self) {
        let copies = self.pages.take_loaded_copies();
        if copies.has_dense_copies() {
            // The dense layout is written only once no node is left that can't read it.
            self.pages.use_dense_layout();
        }
        let NewestCopies { wide, dense } = copies;
        self.apply_wide_copies(wide);
        if self.pages.is_dense() {
            self.split_all_jobs();
        }
        self.apply_dense_copies(dense);
        for job in self.jobs.values_mut() {
            job.recount_tasks();
            job.failed_under_earlier_leaders = job.has_failed_under_earlier_leaders();
        }
        self.rebuild_page_contents();
    }

    fn apply_wide_copies(&mut self, copies: HashMap<ChunkId, LoadedCopy>) {
        for (id, copy) in copies {
            if let Some(job) = self.jobs.get_mut(&id.job) {
                job.load_chunk(id.number, copy.seq, copy.chunk, copy.page);
            }
        }
    }

    /// Applies the copies in the dense layout. Wide chunks must have been split before, so that both have the same
    /// numbering.
    fn apply_dense_copies(&mut self, copies: HashMap<ChunkId, LoadedCopy>) {
        for (id, copy) in copies {
            let Some(job) = self.jobs.get_mut(&id.job) else {
                continue;
            };
            let known = job.chunks.get(&id.number);
            if known.is_none_or(|chunk| copy.seq >= chunk.seq) {
                job.load_chunk(id.number, copy.seq, copy.chunk, copy.page);
            }
        }
    }

    /// Updates a page with its recorded version and content. Chunks whose newest copy it holds belong to it from now
    /// on.
    pub(super) fn on_page_saved(&mut self, number: u32, version: u64, copies: &[ChunkCopy]) {
        self.pages.end_write(number, version);
        for copy in copies {
            self.move_chunks_to_page(number, copy);
        }
    }

    /// Assigns the chunks that a recorded copy covers to its page, unless a newer copy of them is recorded.
    fn move_chunks_to_page(&mut self, page: u32, copy: &ChunkCopy) {
        let Some(job) = self.jobs.get_mut(&copy.id.job) else {
            return;
        };
        let is_dense = job.is_dense();
        // A wide copy may have been written before the job's chunks were split.
        for number in job.covered_chunks(copy.id.number, copy.is_wide) {
            let Some(chunk) = job.chunks.get_mut(&number) else {
                continue;
            };
            if copy.seq < chunk.saved_seq {
                continue;
            }
            chunk.saved_seq = copy.seq;
            let bytes = chunk.estimated_bytes(is_dense);
            let previous_page = chunk.page.replace(page);
            let id = ChunkId::new(&copy.id.job, number);
            if let Some(previous_page) = previous_page.filter(|previous| *previous != page) {
                self.pages.remove_chunk(previous_page, &id);
            }
            self.pages.add_chunk(page, id, bytes);
        }
    }

    /// Removes the chunks of a finished job from their pages. Copies that are still recorded there are ignored.
    pub(super) fn remove_from_pages(&mut self, id: &str, job: &Job) {
        for (number, chunk) in &job.chunks {
            if let Some(page) = chunk.page {
                self.pages.remove_chunk(page, &ChunkId::new(id, *number));
            }
        }
    }
}
