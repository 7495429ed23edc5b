//! Copies of chunks on pages: selects the newest copy of each chunk while loading, and lists the copies in a record.

use super::page::ChunkId;
use std::collections::HashMap;
use wire::records::{ChunkRecord, PageRecord};

/// Identifies a copy of a chunk on a page, in either layout.
#[derive(Debug, Clone, PartialEq)]
pub(in crate::leader) struct ChunkCopy {
    /// The chunk, numbered as in the copy's layout.
    pub id: ChunkId,
    /// Number of the last change of the chunk that the copy includes.
    pub seq: u64,
    /// Whether the copy is in the wide layout, which the version before job dependencies writes.
    pub is_wide: bool,
}

/// The copies that a page's record contains.
pub(in crate::leader) fn copies_in(record: &PageRecord) -> Vec<ChunkCopy> {
    let wide = record.entries.iter().map(|entry| ChunkCopy {
        id: ChunkId::new(&entry.job, entry.chunk_number),
        seq: entry.seq,
        is_wide: true,
    });
    let dense = record.dense_entries.iter().map(|entry| ChunkCopy {
        id: ChunkId::new(&entry.job, entry.chunk_number),
        seq: entry.seq,
        is_wide: false,
    });
    wide.chain(dense).collect()
}

/// A copy of a chunk with its content.
pub(super) struct LoadedCopy {
    /// Page that it was read from.
    pub page: u32,
    /// Number of the last change of the chunk that the copy includes.
    pub seq: u64,
    /// Content of the chunk.
    pub chunk: ChunkRecord,
}

/// The newest copy of each chunk among the pages loaded so far, separately for each layout.
#[derive(Default)]
pub(super) struct NewestCopies {
    /// Copies in the wide layout.
    pub wide: HashMap<ChunkId, LoadedCopy>,
    /// Copies in the dense layout.
    pub dense: HashMap<ChunkId, LoadedCopy>,
}

impl NewestCopies {
    /// Whether a copy in the dense layout was found.
    pub fn has_dense_copies(&self) -> bool {
        !self.dense.is_empty()
    }

    /// Adds the copies of a page, keeping the newest copy of each chunk.
    pub fn add_page(&mut self, page: u32, record: PageRecord) {
        for entry in record.entries {
            let id = ChunkId::new(&entry.job, entry.chunk_number);
            let (seq, chunk) = (entry.seq, entry.chunk);
            insert_if_newest(&mut self.wide, id, LoadedCopy { page, seq, chunk });
        }
        for entry in record.dense_entries {
            let id = ChunkId::new(&entry.job, entry.chunk_number);
            let Some(chunk) = entry.chunk.decode() else {
                log::error!("event=part_unreadable job={} part={}", id.job, id.number);
                continue;
            };
            let seq = entry.seq;
            insert_if_newest(&mut self.dense, id, LoadedCopy { page, seq, chunk });
        }
    }
}

fn insert_if_newest(newest: &mut HashMap<ChunkId, LoadedCopy>, id: ChunkId, copy: LoadedCopy) {
    let known = newest.get(&id);
    if known.is_none_or(|known| copy.seq > known.seq) {
        newest.insert(id, copy);
    }
}
