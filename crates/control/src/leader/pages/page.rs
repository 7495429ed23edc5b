//! What the leader knows of a single page's record.

use std::collections::BTreeMap;

/// Identifies one part of a job's tasks.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(in crate::leader) struct PartId {
    /// Id of the job.
    pub job: String,
    /// Number of the part within the job.
    pub number: u32,
}

impl PartId {
    /// The part of a job with this number.
    pub fn new(job: &str, number: u32) -> Self {
        let job = job.to_string();
        PartId { job, number }
    }
}

/// State of one page's record.
#[derive(Debug, Clone, Default)]
pub(in crate::leader) struct Page {
    /// Version of its record, 0 if there is none.
    pub version: u64,
    /// Whether it is being written or read again.
    pub in_flight: bool,
    /// Parts whose newest recorded copy is here, with the bytes of each.
    parts: BTreeMap<PartId, usize>,
    /// Sum of the bytes of all parts.
    bytes: usize,
}

impl Page {
    /// A page as it was read. Its parts are added once all pages have been read.
    pub fn loaded(version: u64) -> Self {
        Page {
            version,
            ..Page::default()
        }
    }

    /// Estimated bytes of its parts.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Parts whose newest recorded copy is here.
    pub fn parts(&self) -> impl Iterator<Item = &PartId> {
        self.parts.keys()
    }

    /// Adds a part, or replaces the size of one that it has.
    pub fn add_part(&mut self, part: PartId, bytes: usize) {
        self.remove_part(&part);
        self.bytes += bytes;
        self.parts.insert(part, bytes);
    }

    /// Removes a part if it has it.
    pub fn remove_part(&mut self, part: &PartId) {
        if let Some(bytes) = self.parts.remove(part) {
            self.bytes -= bytes;
        }
    }

    /// Removes all parts.
    pub fn clear_parts(&mut self) {
        self.parts.clear();
        self.bytes = 0;
    }

    /// Whether it may be deleted.
    pub fn is_unused(&self) -> bool {
        !self.in_flight && self.parts.is_empty()
    }
}
