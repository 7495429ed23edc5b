//! Compares and writes for single records. Pages are handled by [`crate::leader::pages`].

use super::transaction::RecordChange;
use crate::leader::model::RecordCell;
use crate::leader::Leader;
use crate::requests::RecordId;
use constants::TXN_MAX_BYTES;
use wire::records::{final_record_key, job_key, job_overflow_key};
use wire::state::{Compare, Write};

/// Estimated bytes of the record of a rental request.
const RENTAL_BYTES: usize = 512;
/// Estimated bytes of the writes that archive a job.
const ARCHIVE_BYTES: usize = 400;
/// Estimated bytes of the list of machine types. The list is long, so the estimate leaves little room for other writes.
const TYPES_BYTES: usize = TXN_MAX_BYTES / 2;

/// Compares and writes that the change of one record needs, with an estimate of their bytes.
pub(super) struct RecordWrite {
    /// The change.
    pub change: RecordChange,
    /// Compares that ensure that the change is applied at most once.
    pub compares: Vec<Compare>,
    /// Writes to the state service.
    pub writes: Vec<Write>,
    /// Estimated bytes of the writes.
    pub bytes: usize,
}

impl RecordWrite {
    /// Writes or deletes a record so that it matches its desired state.
    fn for_cell<T: serde::Serialize>(
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
    /// The write that a record needs. `None` if it matches its desired state or is not written on its own.
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
        Some(RecordWrite::for_cell(change, cell, RENTAL_BYTES))
    }

    fn types_write(&self) -> Option<RecordWrite> {
        let types = self.machine_types.desired.clone()?;
        // A list that is too long is not written: the list recorded last suffices for nodes that start without a
        // leader.
        let bytes = wire::json_size(&types);
        if bytes > self.limits().value_bytes {
            log::info!("event=types_too_long bytes={bytes}");
            return None;
        }
        if !self.machine_types.is_unsaved() {
            return None;
        }
        let change = RecordChange::MachineTypes(types);
        Some(RecordWrite::for_cell(
            change,
            &self.machine_types,
            TYPES_BYTES,
        ))
    }

    /// Deletes the open records of a finished job and creates its final record.
    fn archive_write(&self, id: &str) -> Option<RecordWrite> {
        let job = self.jobs.get(id)?;
        let outcome = job.final_due()?;
        let mut writes = vec![
            Write::delete(job_key(id)),
            Write::put(final_record_key(id), &outcome),
        ];
        writes.extend(
            (1..=job.overflow_record_count)
                .map(|number| Write::delete(job_overflow_key(id, number))),
        );
        Some(RecordWrite {
            change: RecordChange::ArchiveJob {
                id: id.to_string(),
                outcome,
            },
            compares: vec![
                Compare::new(job_key(id), job.record_version),
                Compare::new(final_record_key(id), 0),
            ],
            writes,
            bytes: ARCHIVE_BYTES,
        })
    }
}
