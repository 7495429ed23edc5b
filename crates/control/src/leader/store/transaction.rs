//! A transaction whose outcome is not known yet, and the record changes that it makes.

use crate::leader::pages::ChunkCopy;
use crate::requests::RecordId;
use wire::cloud::MachineType;
use wire::records::{job_key, page_key, rental_key, JobOutcome, RentalRecord, MACHINE_TYPES_KEY};
use wire::state::Txn;

/// The change that a transaction makes to one record.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum RecordChange {
    /// A page is written.
    WritePage {
        /// Number of the page.
        number: u32,
        /// Copies of chunks that the page holds after the write.
        copies: Vec<ChunkCopy>,
    },
    /// An empty page is deleted.
    DeletePage(u32),
    /// A finished job is archived: its open record is deleted and its final record created.
    ArchiveJob {
        /// Id of the job.
        id: String,
        /// How the job ended.
        outcome: JobOutcome,
    },
    /// A rental request is written or deleted.
    Rental {
        /// Name of the request.
        name: String,
        /// The record to write; `None` if it is deleted.
        record: Option<RentalRecord>,
    },
    /// The list of machine types is written.
    MachineTypes(Vec<MachineType>),
}

impl RecordChange {
    /// Id of the changed record.
    pub fn record_id(&self) -> RecordId {
        match self {
            RecordChange::WritePage { number, .. } | RecordChange::DeletePage(number) => {
                RecordId::Page(*number)
            }
            RecordChange::ArchiveJob { id, .. } => RecordId::Job(id.clone()),
            RecordChange::Rental { name, .. } => RecordId::Rental(name.clone()),
            RecordChange::MachineTypes(_) => RecordId::Types,
        }
    }

    /// Key of the changed record.
    pub fn key(&self) -> String {
        match self {
            RecordChange::WritePage { number, .. } | RecordChange::DeletePage(number) => {
                page_key(*number)
            }
            RecordChange::ArchiveJob { id, .. } => job_key(id),
            RecordChange::Rental { name, .. } => rental_key(name),
            RecordChange::MachineTypes(_) => MACHINE_TYPES_KEY.into(),
        }
    }
}

/// A transaction in flight.
#[derive(Debug, Clone)]
pub(super) struct PendingTransaction {
    /// The transaction as it is sent to the state service.
    pub txn: Txn,
    /// When it was first sent; 0 before (monotonic clock, milliseconds).
    pub first_sent_at: u64,
    /// The record changes that it makes.
    pub changes: Vec<RecordChange>,
    /// Whether an earlier send had an unknown outcome.
    pub is_ambiguous: bool,
}
