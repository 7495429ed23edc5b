//! Pages: records that hold places and progress of many jobs together.
//!
//! A record a job costs the state service a change for each job that a round touches; on a large fleet starts then
//! wait half a minute for their records. A page takes the changes of a whole round in one. What holds:
//!
//! - Every copy of a part carries the number of the part's last change; the highest counts, wherever it is.
//! - A page is written anew with all that has its home there, so nothing is lost before a newer copy is known to be
//!   recorded elsewhere. The page that keeps least is taken, and what was written there is at home there.
//! - A copy with places that no record has yet is guarded by its job's version: it fails once the job is cancelled.
//!
//! Two layouts are read, one is written: wide parts of 128 tasks, which the version before the pipelines has, and, once
//! none of that version can come back, small parts in the dense form, which fit the limits to come. A part that was
//! split carries on its change number, so the highest counts across both. Pages too large for the new limits are never
//! written again: what they hold moves out as it changes, and what is left empty is deleted.

use super::model::*;
use super::store::PendingTransaction;
use super::*;
use wire::state::{Compare, Write};

/// What is known of a page.
#[derive(Debug, Clone, Default)]
pub(super) struct Page {
    /// Version of its record, 0 if there is none.
    pub version: u64,
    /// Parts at home here, with their bytes.
    held: BTreeMap<(String, u32), usize>,
    bytes: usize,
    /// It is being written, or read again.
    pub busy: bool,
}

impl Page {
    fn hold(&mut self, part: (String, u32), bytes: usize) {
        self.drop_part(&part);
        self.bytes += bytes;
        self.held.insert(part, bytes);
    }

    fn drop_part(&mut self, part: &(String, u32)) {
        if let Some(bytes) = self.held.remove(part) {
            self.bytes -= bytes;
        }
    }
}

/// A page as a transaction is to write it.
pub(super) struct PageDraft {
    number: u32,
    parts: BTreeSet<(String, u32)>,
    bytes: usize,
    compares: BTreeSet<String>,
}

impl PageDraft {
    /// Guards it needs, its own included.
    pub fn compares(&self) -> usize {
        1 + self.compares.len()
    }

    pub fn bytes(&self) -> usize {
        self.bytes
    }

    fn jobs(&self) -> usize {
        let (mut jobs, mut last) = (0, "");
        for (id, _) in &self.parts {
            jobs += usize::from(id != last);
            last = id;
        }
        jobs
    }
}

/// What a transaction writes of one part, in either layout.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct PageEntryId {
    pub job: String,
    part: u32,
    seq: u64,
    wide: bool,
}

/// What a page says it holds.
pub(super) fn copies_in(record: &PageRecord) -> Vec<PageEntryId> {
    let wide = record.parts.iter().map(|e| PageEntryId {
        job: e.job.clone(),
        part: e.part,
        seq: e.seq,
        wide: true,
    });
    let small = record.small.iter().map(|e| PageEntryId {
        job: e.job.clone(),
        part: e.part,
        seq: e.seq,
        wide: false,
    });
    wide.chain(small).collect()
}

/// The newest copies of parts while pages are loaded, by job and number, with their page, change number and content.
#[derive(Default)]
pub(super) struct Copies {
    wide: HashMap<(String, u32), (u32, u64, ChunkRecord)>,
    small: HashMap<(String, u32), (u32, u64, ChunkRecord)>,
}

impl Leader {
    /// Limits that writes are held to.
    pub(super) fn limits(&self) -> crate::settings::Limits {
        match self.dense {
            true => self.settings.deployment.state.least(),
            false => self.settings.deployment.state.now(),
        }
    }

    /// Bytes of a page at most.
    fn page_bytes(&self) -> usize {
        let value = self.limits().value_bytes;
        match self.dense {
            true => ((value as f64 * SMALL_FILL) as usize).min(PAGE_BYTES),
            false => value / 2,
        }
    }

    /// Jobs that may be at home on a page at most: all of them may need a guard in one transaction.
    fn page_jobs(&self) -> usize {
        4 * self.limits().txn_ops - 3
    }

    /// From now on parts are written in the dense form.
    pub(super) fn go_dense(&mut self) {
        if self.dense {
            return;
        }
        self.dense = true;
        for job in self.jobs.values_mut() {
            job.split();
        }
        self.settle_homes();
        log::info!(
            "event=dense_pages term={} pages={} page_bytes={}",
            self.term,
            self.pages.len(),
            self.page_bytes()
        );
        let is_unsaved = self
            .jobs
            .iter()
            .filter(|(_, j)| j.chunks.values().any(Chunk::is_unsaved));
        let is_unsaved: Vec<String> = is_unsaved.map(|(id, _)| id.clone()).collect();
        for id in is_unsaved {
            self.queue_write(RecordId::Job(id));
        }
    }

    /// Notes anew which parts are at home on which page.
    fn settle_homes(&mut self) {
        for page in self.pages.values_mut() {
            page.held.clear();
            page.bytes = 0;
        }
        for (id, job) in &self.jobs {
            for (n, chunk) in &job.chunks {
                let page = chunk.home.and_then(|home| self.pages.get_mut(&home));
                if let Some(page) = page {
                    page.hold((id.clone(), *n), chunk.bytes(job.is_dense()));
                }
            }
        }
    }

    fn chunk(&self, part: &(String, u32)) -> Option<&Chunk> {
        self.jobs.get(&part.0)?.chunks.get(&part.1)
    }

    /// Takes in a page while loading.
    pub(super) fn load_page(&mut self, number: u32, record: PageRecord, version: u64) {
        let page = Page {
            version,
            ..Page::default()
        };
        self.pages.insert(number, page);
        let keep = |into: &mut HashMap<_, (u32, u64, ChunkRecord)>, part, seq, chunk| {
            let older = |(_, known, _): &(u32, u64, ChunkRecord)| seq > *known;
            if into.get(&part).is_none_or(older) {
                into.insert(part, (number, seq, chunk));
            }
        };
        for e in record.parts {
            keep(&mut self.copies.wide, (e.job, e.part), e.seq, e.chunk);
        }
        for e in record.small {
            match e.chunk.read() {
                Some(chunk) => keep(&mut self.copies.small, (e.job, e.part), e.seq, chunk),
                None => log::error!("event=part_unreadable job={} part={}", e.job, e.part),
            }
        }
    }

    /// Gives the open jobs the newest copies of their parts once all pages have been read.
    pub(super) fn settle_copies(&mut self) {
        let copies = std::mem::take(&mut self.copies);
        // Whoever wrote these knew that nobody is left who can't read them.
        self.dense |= !copies.small.is_empty();
        for ((id, part), (page, seq, chunk)) in copies.wide {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.load_chunk(part, seq, chunk, page);
            }
        }
        if self.dense {
            for job in self.jobs.values_mut() {
                job.split();
            }
        }
        for ((id, part), (page, seq, chunk)) in copies.small {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            if job.chunks.get(&part).is_none_or(|c| seq >= c.seq) {
                job.load_chunk(part, seq, chunk, page);
            }
        }
        for job in self.jobs.values_mut() {
            job.count_chunks();
            job.failed_under_earlier_leaders = job.has_failed_under_earlier_leaders();
        }
        self.settle_homes();
    }

    /// Starts to write a page: the one that keeps least, or a new one if all keep too much. What is carried along is
    /// room that new content lacks: with small pages and few changes a second, starts waited for it.
    fn open_page(&self, drafts: &[PageDraft]) -> PageDraft {
        let idle = |(n, p): &(&u32, &Page)| !p.busy && drafts.iter().all(|d| d.number != **n);
        let least = self.pages.iter().filter(idle).min_by_key(|(_, p)| p.bytes);
        let most = match self.dense {
            true => self.page_bytes() / CARRIED_PART,
            false => self.page_bytes() / 2,
        };
        match least.filter(|(_, p)| p.bytes <= most) {
            Some((number, page)) => {
                let parts: BTreeSet<(String, u32)> = page.held.keys().cloned().collect();
                // What is carried along is written as it is now.
                let bytes = parts.iter().filter_map(|p| self.chunk(p));
                let bytes = bytes.map(|c| c.bytes(self.dense)).sum();
                let new =
                    |p: &&(String, u32)| self.chunk(p).is_some_and(Chunk::has_new_assignments);
                let compares = parts.iter().filter(new).map(|p| p.0.clone()).collect();
                PageDraft {
                    number: *number,
                    parts,
                    bytes,
                    compares,
                }
            }
            None => {
                let taken = self.pages.keys().copied();
                let taken: BTreeSet<u32> = taken.chain(drafts.iter().map(|d| d.number)).collect();
                let free = (0..).find(|n| !taken.contains(n));
                PageDraft {
                    number: free.unwrap_or(u32::MAX),
                    parts: BTreeSet::new(),
                    bytes: 0,
                    compares: BTreeSet::new(),
                }
            }
        }
    }

    /// Adds what a job has to record to a transaction's pages; false if it does not fit any more. `spare` is the
    /// number of writes and guards, and of bytes, that the transaction has left for pages.
    pub(super) fn add_parts(
        &self,
        id: &str,
        drafts: &mut Vec<PageDraft>,
        spare: (usize, usize, usize),
    ) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return true;
        };
        let most = self.page_bytes();
        let most_jobs = self.page_jobs();
        let (writes, compares, bytes) = spare;
        for (n, chunk) in job.chunks.iter().filter(|(_, c)| c.is_unsaved()) {
            let part = (id.to_string(), *n);
            if drafts.iter().any(|d| d.parts.contains(&part)) {
                continue;
            }
            let size = chunk.bytes(self.dense);
            let full = |d: &PageDraft| {
                let more = d.bytes + size > most || d.jobs() >= most_jobs;
                more && !d.parts.is_empty()
            };
            let fresh = drafts.last().is_none_or(full);
            if fresh {
                if drafts.len() >= writes
                    || (!drafts.is_empty() && (drafts.len() + 1) * most > bytes)
                {
                    return false;
                }
                let draft = self.open_page(drafts);
                // What it carries along may need guards too.
                let used: usize = drafts.iter().map(PageDraft::compares).sum();
                if used + draft.compares() > compares {
                    return false;
                }
                drafts.push(draft);
            }
            // Each page has a guard of its own.
            let used: usize = drafts.iter().map(PageDraft::compares).sum();
            let Some(draft) = drafts.last_mut() else {
                return false;
            };
            if draft.parts.contains(&part) {
                continue;
            }
            if used >= compares {
                return false;
            }
            draft.bytes += size;
            if chunk.has_new_assignments() {
                draft.compares.insert(part.0.clone());
            }
            draft.parts.insert(part);
        }
        true
    }

    /// Puts drafts into a transaction.
    pub(super) fn write_pages(
        &mut self,
        drafts: Vec<PageDraft>,
        transaction: &mut PendingTransaction,
    ) {
        for draft in drafts {
            let mut record = PageRecord::default();
            for part in &draft.parts {
                let Some(chunk) = self.chunk(part) else {
                    continue;
                };
                let (job, part, seq) = (part.0.clone(), part.1, chunk.seq);
                let chunk = chunk.record();
                match self.dense {
                    true => record.small.push(SmallEntry {
                        job,
                        part,
                        seq,
                        chunk: SmallPart::from(&chunk),
                    }),
                    false => record.parts.push(PageEntry {
                        job,
                        part,
                        seq,
                        chunk,
                    }),
                }
            }
            for id in &draft.compares {
                let version = self.jobs.get(id).map_or(0, |j| j.version);
                let guard = Compare::new(job_key(id), version);
                if !transaction.txn.compares.contains(&guard) {
                    transaction.txn.compares.push(guard);
                }
            }
            let page = self.pages.entry(draft.number).or_default();
            page.busy = true;
            let key = page_key(draft.number);
            let guard = Compare::new(key.clone(), page.version);
            transaction.txn.compares.push(guard);
            transaction.txn.writes.push(Write::put(key, &record));
            transaction.add_page(draft.number, copies_in(&record));
        }
    }

    /// What a page is known to hold: newer copies of some parts, which are at home there from now on.
    pub(super) fn page_holds(&mut self, number: u32, version: u64, copied: &[PageEntryId]) {
        let page = self.pages.entry(number).or_default();
        page.busy = false;
        page.version = version;
        for copy in copied {
            let Some(job) = self.jobs.get_mut(&copy.job) else {
                continue;
            };
            let dense = job.is_dense();
            // It may have been written before the job's parts were split.
            let parts = job.parts_in(copy.part, copy.wide);
            for n in parts {
                let Some(chunk) = job.chunks.get_mut(&n).filter(|c| copy.seq >= c.saved) else {
                    continue;
                };
                let part = (copy.job.clone(), n);
                let bytes = chunk.bytes(dense);
                chunk.saved = copy.seq;
                let old = chunk.home.replace(number);
                if let Some(old) = old.filter(|o| *o != number) {
                    if let Some(page) = self.pages.get_mut(&old) {
                        page.drop_part(&part);
                    }
                }
                if let Some(page) = self.pages.get_mut(&number) {
                    page.hold(part, bytes);
                }
            }
        }
    }

    /// Forgets where the parts of a job that is over were at home; what its pages say of it means nothing now.
    pub(super) fn leave_pages(&mut self, id: &str, job: &Job) {
        for (n, chunk) in &job.chunks {
            let page = chunk.home.and_then(|home| self.pages.get_mut(&home));
            if let Some(page) = page {
                page.drop_part(&(id.to_string(), *n));
            }
        }
    }

    /// A page that holds nothing any more, beyond the one that is written next: a new leader need not read it.
    pub(super) fn spare_page(&self) -> Option<(u32, u64)> {
        let mut empty = self
            .pages
            .iter()
            .rev()
            .filter(|(_, p)| !p.busy && p.held.is_empty());
        let last = empty.next().filter(|(_, p)| p.version > 0);
        last.filter(|_| empty.next().is_some())
            .map(|(n, p)| (*n, p.version))
    }
}
