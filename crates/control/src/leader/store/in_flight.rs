//! Tracks which records are being written or read again.

use crate::leader::Leader;
use crate::requests::RecordId;

impl Leader {
    /// Whether a record is being written or read again.
    pub(super) fn is_in_flight(&self, record: &RecordId) -> bool {
        match record {
            RecordId::Job(id) => self.jobs.get(id).is_some_and(|job| job.record_in_flight),
            RecordId::Rental(name) => {
                let rental = self.rentals.get(name);
                rental.is_some_and(|rental| rental.record.in_flight)
            }
            RecordId::Types => self.machine_types.in_flight,
            RecordId::Page(number) => self.pages.is_in_flight(*number),
        }
    }

    /// Marks whether a record is being written or read again.
    pub(super) fn set_in_flight(&mut self, record: &RecordId, in_flight: bool) {
        match record {
            RecordId::Job(id) => {
                if let Some(job) = self.jobs.get_mut(id) {
                    job.record_in_flight = in_flight;
                }
            }
            RecordId::Rental(name) => {
                if let Some(rental) = self.rentals.get_mut(name) {
                    rental.record.in_flight = in_flight;
                }
            }
            RecordId::Types => self.machine_types.in_flight = in_flight,
            RecordId::Page(number) => self.pages.set_in_flight(*number, in_flight),
        }
    }
}
