//! Encodes drafts of pages as writes of a transaction.

use super::copies::{copies_in, ChunkCopy};
use super::draft::{PageDraft, PageDrafts};
use crate::leader::Leader;
use wire::records::{job_key, page_key, DenseChunk, DensePageEntry, PageEntry, PageRecord};
use wire::state::{Compare, Write};

/// The write of one page, ready to be added to a transaction.
pub(in crate::leader) struct PageWrite {
    /// Number of the page.
    pub number: u32,
    /// Compares of the versions of jobs with new assignments on the page. They fail if the job was cancelled.
    pub job_compares: Vec<Compare>,
    /// Compare of the version of the page's own record.
    pub compare: Compare,
    /// The write itself.
    pub write: Write,
    /// Copies of chunks that the page holds once it is written.
    pub copies: Vec<ChunkCopy>,
}

impl Leader {
    /// Encodes drafts as writes and marks their pages as in flight.
    pub(in crate::leader) fn write_pages(&mut self, drafts: PageDrafts) -> Vec<PageWrite> {
        drafts
            .into_iter()
            .map(|draft| self.write_page(&draft))
            .collect()
    }

    fn write_page(&mut self, draft: &PageDraft) -> PageWrite {
        let record = self.page_record(draft);
        let job_compares = draft
            .guarded_jobs()
            .map(|id| {
                let version = self.jobs.get(id).map_or(0, |job| job.record_version);
                Compare::new(job_key(id), version)
            })
            .collect();
        let number = draft.number();
        let version = self.pages.begin_write(number);
        let key = page_key(number);
        PageWrite {
            number,
            job_compares,
            compare: Compare::new(key.clone(), version),
            write: Write::put(key, &record),
            copies: copies_in(&record),
        }
    }

    fn page_record(&self, draft: &PageDraft) -> PageRecord {
        let mut record = PageRecord::default();
        for id in draft.chunks() {
            let Some(chunk) = self.chunk_by_id(id) else {
                continue;
            };
            let (job, part, seq) = (id.job.clone(), id.number, chunk.seq);
            let chunk = chunk.record();
            if self.pages.is_dense() {
                record.dense_entries.push(DensePageEntry {
                    job,
                    chunk_number: part,
                    seq,
                    chunk: DenseChunk::from(&chunk),
                });
            } else {
                record.entries.push(PageEntry {
                    job,
                    chunk_number: part,
                    seq,
                    chunk,
                });
            }
        }
        record
    }
}
