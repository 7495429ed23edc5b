//! A transaction whose outcome is not known yet, and the changes of records that it makes.

use crate::leader::pages::PartCopy;
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
        /// Copies of parts that it holds then.
        copies: Vec<PartCopy>,
    },
    /// A page that holds nothing is deleted.
    DeletePage(u32),
    /// A finished job moves from the open ones to the final ones.
    ArchiveJob {
        /// Id of the job.
        id: String,
        /// How it ended.
        outcome: JobOutcome,
    },
    /// A rental request is written or deleted.
    Rental {
        /// Name of the request.
        name: String,
        /// Its record, if it is written.
        record: Option<RentalRecord>,
    },
    /// The list of machine types is written.
    MachineTypes(Vec<MachineType>),
}

impl RecordChange {
    /// The record that is changed.
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

    /// Key of the record that is changed.
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
    /// What is sent to the state service.
    pub txn: Txn,
    /// The changes of records that it makes.
    pub changes: Vec<RecordChange>,
    /// Whether it was sent before with an unknown outcome.
    pub is_ambiguous: bool,
}
