//! What the rest of the node, its peers and the leader report to the gateway.

use super::Gateway;
use crate::effects::NodeEvent;
use wire::peers::JobUpdate;
use wire::records::JobOutcome;

impl Gateway {
    /// Takes over what an event of this node says about jobs, machine types or the upgrade.
    pub fn on_event(&mut self, event: &NodeEvent) {
        match event {
            NodeEvent::JobEnded { job, outcome } => self.remember_final(job.clone(), *outcome),
            NodeEvent::JobCancelled { job } => self.remember_cancelled(job),
            NodeEvent::MachineTypesRead(types) => self.admission.set_types(types.clone()),
            NodeEvent::Upgraded | NodeEvent::UpgradeEvidence { .. } => self.records.set_upgraded(),
            _ => {}
        }
    }

    /// Notes how a job ended.
    pub fn remember_final(&mut self, id: String, end: JobOutcome) {
        self.cache.remember_final(id, end);
    }

    /// Notes that a cancellation is recorded: no answer about the job may be older from now on.
    pub fn remember_cancelled(&mut self, id: &str) {
        self.cache.remember_cancelled(id);
    }

    /// Jobs that are known to be cancelled, for a leader that has yet to read its records.
    pub fn known_cancelled(&self) -> impl Iterator<Item = &String> {
        self.cache.known_cancelled()
    }

    /// Takes over what the leader says of open jobs.
    pub fn on_job_updates(&mut self, jobs: &[JobUpdate]) {
        self.cache.apply_job_updates(jobs);
    }
}
