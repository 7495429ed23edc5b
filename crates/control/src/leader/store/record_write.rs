//! What the write of a single record consists of. Pages are not among them: see [`crate::leader::pages`].

use super::transaction::RecordChange;
use crate::leader::model::RecordCell;
use crate::leader::Leader;
use crate::requests::RecordId;
use constants::TXN_BYTES;
use wire::records::{final_record_key, job_key, job_overflow_key};
use wire::state::{Compare, Write};

/// Estimated bytes of the record of a rental request.
const RENTAL_BYTES: usize = 512;
/// Estimated bytes of what archiving a job takes.
const ARCHIVE_BYTES: usize = 400;
/// Estimated bytes of the list of machine types. It is long, so that little else goes with it.
const TYPES_BYTES: usize = TXN_BYTES / 2;

/// Compares, writes and an estimate of the bytes that the change of one record needs.
pub(super) struct RecordWrite {
    /// The change.
    pub change: RecordChange,
    /// Guards that let it be applied once at most.
    pub compares: Vec<Compare>,
    /// Writes to the state service.
    pub writes: Vec<Write>,
    /// Estimated bytes of the writes.
    pub bytes: usize,
}

impl RecordWrite {
    /// Brings a record to what is desired.
    fn of_cell<T: serde::Serialize>(
        change: RecordChange,
        cell: &RecordCell<T>,
        bytes: usize,
    ) -> Self {
        let key = change.key();
        let write = match &cell.desired {
            Some(record) => Write::put(key.clone(), record),
            None => Write::delete(key.clone()),
        };
        RecordWrite {
            change,
            compares: vec![Compare::new(key, cell.version)],
            writes: vec![write],
            bytes,
        }
    }
}

impl Leader {
    /// The write that a record needs; nothing if it is as desired or has no write of its own.
    pub(super) fn record_write(&self, record: &RecordId) -> Option<RecordWrite> {
        match record {
            RecordId::Job(id) => self.archive_write(id),
            RecordId::Rental(name) => self.rental_write(name),
            RecordId::Types => self.types_write(),
            RecordId::Page(_) => None,
        }
    }

    fn rental_write(&self, name: &str) -> Option<RecordWrite> {
        let cell = &self.rentals.get(name)?.record;
        if !cell.is_unsaved() {
            return None;
        }
        let change = RecordChange::Rental {
            name: name.to_string(),
            record: cell.desired.clone(),
        };
        Some(RecordWrite::of_cell(change, cell, RENTAL_BYTES))
    }

    fn types_write(&self) -> Option<RecordWrite> {
        let types = self.types.desired.clone()?;
        // The types recorded last suffice: they are for nodes that start without a leader.
        let bytes = wire::json_size(&types);
        if bytes > self.limits().value_bytes {
            log::info!("event=types_too_long bytes={bytes}");
            return None;
        }
        if !self.types.is_unsaved() {
            return None;
        }
        let change = RecordChange::MachineTypes(types);
        Some(RecordWrite::of_cell(change, &self.types, TYPES_BYTES))
    }

    /// Moves a finished job from the open ones to the final ones.
    fn archive_write(&self, id: &str) -> Option<RecordWrite> {
        let job = self.jobs.get(id)?;
        let outcome = job.final_due()?;
        let mut writes = vec![
            Write::delete(job_key(id)),
            Write::put(final_record_key(id), &outcome),
        ];
        writes.extend((1..=job.more).map(|number| Write::delete(job_overflow_key(id, number))));
        Some(RecordWrite {
            change: RecordChange::ArchiveJob {
                id: id.to_string(),
                outcome,
            },
            compares: vec![
                Compare::new(job_key(id), job.version),
                Compare::new(final_record_key(id), 0),
            ],
            writes,
            bytes: ARCHIVE_BYTES,
        })
    }
}
