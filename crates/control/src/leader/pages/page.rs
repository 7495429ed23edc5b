//! State of a single page's record, as the leader knows it.

use std::collections::BTreeMap;

/// Identifies a chunk of a job's tasks.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(in crate::leader) struct ChunkId {
    /// Id of the job.
    pub job: String,
    /// Number of the chunk within the job.
    pub number: u32,
}

impl ChunkId {
    /// The chunk of a job with this number.
    pub fn new(job: &str, number: u32) -> Self {
        let job = job.to_string();
        ChunkId { job, number }
    }
}

/// State of one page's record.
#[derive(Debug, Clone, Default)]
pub(in crate::leader) struct Page {
    /// Version of its record in the store, 0 if there is none.
    pub version: u64,
    /// Whether its record is being written or read again.
    pub in_flight: bool,
    /// Chunks whose newest recorded copy is on this page, with the estimated bytes of each.
    chunks: BTreeMap<ChunkId, usize>,
    /// Sum of the bytes of all chunks.
    bytes: usize,
}

impl Page {
    /// A page that was read at this version. Its chunks are added once all pages have been read.
    pub fn loaded(version: u64) -> Self {
        Page {
            version,
            ..Page::default()
        }
    }

    /// Estimated bytes of its chunks.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Chunks whose newest recorded copy is on this page.
    pub fn chunks(&self) -> impl Iterator<Item = &ChunkId> {
        self.chunks.keys()
    }

    /// Adds a chunk, or updates the size of one that the page already has.
    pub fn add_chunk(&mut self, id: ChunkId, bytes: usize) {
        self.remove_chunk(&id);
        self.bytes += bytes;
        self.chunks.insert(id, bytes);
    }

    /// Removes a chunk if the page has it.
    pub fn remove_chunk(&mut self, id: &ChunkId) {
        if let Some(bytes) = self.chunks.remove(id) {
            self.bytes -= bytes;
        }
    }

    /// Removes all chunks.
    pub fn clear_chunks(&mut self) {
        self.chunks.clear();
        self.bytes = 0;
    }

    /// Whether the page has no chunks and is not in flight, so that its record may be deleted.
    pub fn is_deletable(&self) -> bool {
        !self.in_flight && self.chunks.is_empty()
    }
}
