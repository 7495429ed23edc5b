//! Reports to the gateway from the rest of the node, its peers and the leader.

use super::Gateway;
use crate::effects::NodeEvent;
use wire::peers::JobUpdate;
use wire::records::JobOutcome;

impl Gateway {
    /// Handles a node event that concerns jobs, machine types or the upgrade.
    pub fn on_event(&mut self, event: &NodeEvent) {
        match event {
            NodeEvent::JobEnded { job, outcome } => self.remember_outcome(job.clone(), *outcome),
            NodeEvent::JobCancelled { job } => self.remember_cancelled(job),
            NodeEvent::MachineTypesRead(types) => self.admission.set_recorded_types(types.clone()),
            NodeEvent::Upgraded | NodeEvent::UpgradeEvidence { .. } => self.records.set_upgraded(),
            _ => {}
        }
    }

    /// Caches the outcome of a job.
    pub fn remember_outcome(&mut self, id: String, outcome: JobOutcome) {
        self.cache.remember_outcome(id, outcome);
    }

    /// Caches that a job's cancellation is recorded. From now on no answer may show an older state of the job.
    pub fn remember_cancelled(&mut self, id: &str) {
        self.cache.remember_cancelled(id);
    }

    /// IDs of the jobs known to be cancelled, for a leader that has not read its records yet.
    pub fn known_cancelled(&self) -> impl Iterator<Item = &String> {
        self.cache.known_cancelled()
    }

    /// Applies the leader's updates about open jobs.
    pub fn on_job_updates(&mut self, jobs: &[JobUpdate]) {
        self.cache.apply_job_updates(jobs);
    }
}
