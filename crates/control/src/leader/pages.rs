//! Pages: records that hold places and progress of many jobs together.
//!
//! A record a job costs the state service a change for each job that a round touches; on a large fleet starts then
//! wait half a minute for their records. A page takes the changes of a whole round in one. What holds:
//!
//! - Every copy of a part carries the number of the part's last change; the highest counts, wherever it is.
//! - A page is written anew with all that has its home there, so nothing is lost before a newer copy is known to be
//!   recorded elsewhere. The page that keeps least is taken, and what was written there is at home there.
//! - A copy with places that no record has yet is guarded by its job's version: it fails once the job is cancelled.

use super::books::*;
use super::store::Flight;
use super::*;
use wire::state::{Guard, Write};

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
pub(super) struct Draft {
    number: u32,
    parts: BTreeSet<(String, u32)>,
    bytes: usize,
    guards: BTreeSet<String>,
}

impl Draft {
    /// Guards it needs, its own included.
    pub fn guards(&self) -> usize {
        1 + self.guards.len()
    }

    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

/// What a transaction writes of one part: job, number and last change.
pub(super) type Copied = (String, u32, u64);

impl Leader {
    /// Bytes of a page at most: half of what a value may have, since sizes are guessed.
    fn page_bytes(&self) -> usize {
        (self.settings.deployment.state.value_kb * 512.0) as usize
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
        for entry in record.parts {
            let part = (entry.job.clone(), entry.part);
            let newer = self
                .copies
                .get(&part)
                .is_none_or(|(_, known)| entry.seq > known.seq);
            if newer {
                self.copies.insert(part, (number, entry));
            }
        }
    }

    /// Gives the open jobs the newest copies of their parts once all pages have been read.
    pub(super) fn settle_copies(&mut self) {
        for (part, (number, entry)) in std::mem::take(&mut self.copies) {
            let Some(job) = self.jobs.get_mut(&part.0) else {
                continue;
            };
            job.load_chunk(entry, number);
            let bytes = job.chunks.get(&part.1).map_or(0, Chunk::bytes);
            if let Some(page) = self.pages.get_mut(&number) {
                page.hold(part, bytes);
            }
        }
    }

    /// Starts to write a page: the one that keeps least, or a new one if all are half full.
    fn open_page(&self, drafts: &[Draft]) -> Draft {
        let idle = |(n, p): &(&u32, &Page)| !p.busy && drafts.iter().all(|d| d.number != **n);
        let least = self.pages.iter().filter(idle).min_by_key(|(_, p)| p.bytes);
        let half = self.page_bytes() / 2;
        match least.filter(|(_, p)| p.bytes <= half) {
            Some((number, page)) => {
                let parts: BTreeSet<(String, u32)> = page.held.keys().cloned().collect();
                // What is carried along is written as it is now.
                let bytes = parts.iter().filter_map(|p| self.chunk(p)).map(Chunk::bytes);
                let bytes = bytes.sum();
                let new = |p: &&(String, u32)| self.chunk(p).is_some_and(Chunk::has_new_places);
                let guards = parts.iter().filter(new).map(|p| p.0.clone()).collect();
                Draft {
                    number: *number,
                    parts,
                    bytes,
                    guards,
                }
            }
            None => {
                let taken = self.pages.keys().copied();
                let taken: BTreeSet<u32> = taken.chain(drafts.iter().map(|d| d.number)).collect();
                let free = (0..).find(|n| !taken.contains(n));
                Draft {
                    number: free.unwrap_or(u32::MAX),
                    parts: BTreeSet::new(),
                    bytes: 0,
                    guards: BTreeSet::new(),
                }
            }
        }
    }

    /// Adds what a job has to record to a transaction's pages; false if it does not fit any more. `spare` is the
    /// number of writes and guards, and of bytes, that the transaction has left for pages.
    pub(super) fn add_parts(
        &self,
        id: &str,
        drafts: &mut Vec<Draft>,
        spare: (usize, usize, usize),
    ) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return true;
        };
        let most = self.page_bytes();
        // A page whose parts all need a guard must still fit into a transaction.
        let most_parts = (4 * self.settings.deployment.state.txn_ops).saturating_sub(8);
        let (writes, guards, bytes) = spare;
        for (n, chunk) in job.chunks.iter().filter(|(_, c)| c.dirty()) {
            let part = (id.to_string(), *n);
            if drafts.iter().any(|d| d.parts.contains(&part)) {
                continue;
            }
            let size = chunk.bytes();
            let full = |d: &Draft| {
                let more = d.bytes + size > most || d.parts.len() >= most_parts;
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
                drafts.push(draft);
            }
            // Each page has a guard of its own.
            let used: usize = drafts.iter().map(Draft::guards).sum();
            let Some(draft) = drafts.last_mut() else {
                return false;
            };
            if draft.parts.contains(&part) {
                continue;
            }
            if used >= guards {
                return false;
            }
            draft.bytes += size;
            if chunk.has_new_places() {
                draft.guards.insert(part.0.clone());
            }
            draft.parts.insert(part);
        }
        true
    }

    /// Puts drafts into a transaction.
    pub(super) fn write_pages(&mut self, drafts: Vec<Draft>, flight: &mut Flight) {
        for draft in drafts {
            let mut record = PageRecord::default();
            let mut copied: Vec<Copied> = Vec::new();
            for part in &draft.parts {
                let Some(chunk) = self.chunk(part) else {
                    continue;
                };
                copied.push((part.0.clone(), part.1, chunk.seq));
                record.parts.push(PageEntry {
                    job: part.0.clone(),
                    part: part.1,
                    seq: chunk.seq,
                    chunk: chunk.record(),
                });
            }
            for id in &draft.guards {
                let version = self.jobs.get(id).map_or(0, |j| j.version);
                let guard = Guard::new(job_key(id), version);
                if !flight.txn.guards.contains(&guard) {
                    flight.txn.guards.push(guard);
                }
            }
            let page = self.pages.entry(draft.number).or_default();
            page.busy = true;
            let key = page_key(draft.number);
            let guard = Guard::new(key.clone(), page.version);
            flight.txn.guards.push(guard);
            flight.txn.writes.push(Write::put(key, &record));
            flight.add_page(draft.number, copied);
        }
    }

    /// What a page is known to hold: newer copies of some parts, which are at home there from now on.
    pub(super) fn page_holds(&mut self, number: u32, version: u64, copied: &[Copied]) {
        let page = self.pages.entry(number).or_default();
        page.busy = false;
        page.version = version;
        for (id, n, seq) in copied {
            let chunk = self.jobs.get_mut(id).and_then(|j| j.chunks.get_mut(n));
            let Some(chunk) = chunk.filter(|c| *seq >= c.saved) else {
                continue;
            };
            let part = (id.clone(), *n);
            let bytes = chunk.bytes();
            chunk.saved = *seq;
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
