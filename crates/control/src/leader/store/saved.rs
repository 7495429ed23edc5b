//! Updates the leader's state once a change is known to be recorded.

use super::transaction::RecordChange;
use crate::effects::{Effects, NodeEvent};
use crate::leader::model::Job;
use crate::leader::Leader;
use crate::requests::RecordId;
use wire::cloud::MachineType;
use wire::records::{JobOutcome, RentalRecord};

/// Milliseconds per second.
const MS_PER_SECOND: f64 = 1000.0;

impl Leader {
    /// Handles a change that is known to be recorded.
    pub(super) fn on_change_saved(
        &mut self,
        change: RecordChange,
        version: u64,
        effects: &mut Effects,
    ) {
        self.set_in_flight(&change.record_id(), false);
        match change {
            RecordChange::WritePage { number, copies } => {
                self.on_page_saved(number, version, &copies);
            }
            RecordChange::DeletePage(number) => self.pages.remove(number),
            RecordChange::ArchiveJob { id, outcome } => self.on_archived(&id, outcome, effects),
            RecordChange::Rental { name, record } => {
                self.on_rental_saved(name, record, version, effects);
            }
            RecordChange::MachineTypes(types) => self.on_types_saved(types, version),
        }
    }

    /// Handles the saved record of a rental request. A request is sent to the cloud only once it is recorded.
    fn on_rental_saved(
        &mut self,
        name: String,
        record: Option<RentalRecord>,
        version: u64,
        effects: &mut Effects,
    ) {
        let Some(rental) = self.rentals.get_mut(&name) else {
            return;
        };
        let cell = &mut rental.record;
        cell.version = if record.is_some() { version } else { 0 };
        cell.saved = record;
        if cell.is_unsaved() {
            self.queue_write(RecordId::Rental(name));
        } else if cell.saved.is_none() {
            self.rentals.remove(&name);
        } else {
            self.send_rental_request(&name, effects);
        }
    }

    fn on_types_saved(&mut self, types: Vec<MachineType>, version: u64) {
        self.machine_types.version = version;
        self.machine_types.saved = Some(types);
        if self.machine_types.is_unsaved() {
            self.queue_write(RecordId::Types);
        }
    }

    /// Removes an archived job from the open jobs and everything that refers to it as open.
    fn on_archived(&mut self, id: &str, outcome: JobOutcome, effects: &mut Effects) {
        let Some(job) = self.jobs.remove(id) else {
            return;
        };
        let age_ms = effects.now.unix.saturating_sub(job.submitted_at) as f64;
        log::info!(
            "event=job_finished job={id} end={outcome:?} took_s={:.1} class={}",
            age_ms / MS_PER_SECOND,
            job.spec.class
        );
        self.remove_from_machines(id, &job);
        self.remove_from_pages(id, &job);
        if outcome == JobOutcome::Aborted {
            self.clear_job_failures(id, &job);
        }
        self.round_due = true;
        for dependency in &job.unmet_dependencies {
            self.remove_dependent(dependency, id);
        }
        self.on_job_archived(id, outcome, effects.now);
        effects.emit(NodeEvent::JobEnded {
            job: id.to_string(),
            outcome,
        });
        self.cancellation_notices.remove(id);
        self.archived_jobs.insert(id.to_string(), outcome);
    }

    fn remove_from_machines(&mut self, id: &str, job: &Job) {
        for (task, assignment) in job.assignments() {
            if let Some(machine) = self.machines.get_mut(&assignment.machine) {
                machine.assignments.remove(&(id.to_string(), task));
            }
        }
    }

    /// How a job ended, if it is known to be archived. The watch may still report a change of it.
    pub(in crate::leader) fn archived_outcome(&self, id: &str) -> Option<JobOutcome> {
        self.archived_jobs.get(id).copied()
    }
}
