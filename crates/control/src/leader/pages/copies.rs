//! Copies of parts on pages: finding the newest of each while loading, and identifying those that a write contains.

use super::page::PartId;
use std::collections::HashMap;
use wire::records::{ChunkRecord, PageRecord};

/// Identifies a copy of a part on a page, in either layout.
#[derive(Debug, Clone, PartialEq)]
pub(in crate::leader) struct PartCopy {
    /// The part, numbered as in the copy's layout.
    pub part: PartId,
    /// Number of the part's last change that the copy has.
    pub seq: u64,
    /// Whether it is a wide part, as the version before job dependencies writes them.
    pub is_wide: bool,
}

/// The copies that a page's record contains.
pub(in crate::leader) fn copies_in(record: &PageRecord) -> Vec<PartCopy> {
    let wide = record.entries.iter().map(|entry| PartCopy {
        part: PartId::new(&entry.job, entry.chunk_number),
        seq: entry.seq,
        is_wide: true,
    });
    let small = record.dense_entries.iter().map(|entry| PartCopy {
        part: PartId::new(&entry.job, entry.chunk_number),
        seq: entry.seq,
        is_wide: false,
    });
    wide.chain(small).collect()
}

/// A copy of a part with its content.
pub(super) struct LoadedCopy {
    /// Page that it was read from.
    pub page: u32,
    /// Number of the part's last change that it has.
    pub seq: u64,
    /// Content.
    pub chunk: ChunkRecord,
}

/// The newest copy of each part while pages are being loaded, apart for each layout.
#[derive(Default)]
pub(super) struct Copies {
    /// Wide parts.
    pub wide: HashMap<PartId, LoadedCopy>,
    /// Parts in the dense layout.
    pub small: HashMap<PartId, LoadedCopy>,
}

impl Copies {
    /// Whether a part in the dense layout was found.
    pub fn has_small_parts(&self) -> bool {
        !self.small.is_empty()
    }

    /// Takes in the copies of a page.
    pub fn add_page(&mut self, page: u32, record: PageRecord) {
        for entry in record.entries {
            let part = PartId::new(&entry.job, entry.chunk_number);
            let (seq, chunk) = (entry.seq, entry.chunk);
            insert_if_newest(&mut self.wide, part, LoadedCopy { page, seq, chunk });
        }
        for entry in record.dense_entries {
            let part = PartId::new(&entry.job, entry.chunk_number);
            let Some(chunk) = entry.chunk.decode() else {
                log::error!(
                    "event=part_unreadable job={} part={}",
                    part.job,
                    part.number
                );
                continue;
            };
            let seq = entry.seq;
            insert_if_newest(&mut self.small, part, LoadedCopy { page, seq, chunk });
        }
    }
}

fn insert_if_newest(newest: &mut HashMap<PartId, LoadedCopy>, part: PartId, copy: LoadedCopy) {
    let known = newest.get(&part);
    if known.is_none_or(|known| copy.seq > known.seq) {
        newest.insert(part, copy);
    }
}
