//! Handles events that concern the whole node.

use super::Node;
use crate::effects::{Effects, NodeEvent};
use crate::leader::Leader;

impl Node {
    /// Passes an event to all actors that it concerns.
    pub(super) fn on_event(&mut self, event: NodeEvent, effects: &mut Effects) {
        self.gateway.on_event(&event);
        match event {
            NodeEvent::Elected { term, version } => self.on_elected(term, version, effects),
            NodeEvent::SteppedDown { reason } => self.on_stepped_down(reason, effects),
            NodeEvent::JobCancelled { job } => self.on_cancellation(job, effects),
            NodeEvent::JobEnded { job, outcome } => self.peer_heartbeats.on_job_ended(job, outcome),
            NodeEvent::UpgradeEvidence { observation } => {
                self.rollout.on_upgrade_evidence(observation, effects)
            }
            NodeEvent::LevelChanged => self.rollout.reread(effects.now.mono),
            NodeEvent::Upgraded => self.on_upgraded(effects),
            NodeEvent::MachineTypesRead(_) => {}
            NodeEvent::MachineTypesListed(types) => {
                self.gateway.on_machine_types_listed(types, effects);
            }
            NodeEvent::MachineTypesNeeded => {
                if let Some(leader) = &mut self.leader {
                    leader.list_machine_types_now(effects);
                }
            }
        }
    }

    fn on_elected(&mut self, term: u64, version: u64, effects: &mut Effects) {
        log::info!("event=elected term={term}");
        self.cloud.clear();
        self.state.drop_leader_requests();
        let mut leader = Leader::new(
            &self.settings,
            &self.operator,
            self.stopwatch,
            term,
            version,
            self.rollout.small_values_enabled(),
            effects.now,
        );
        for job in self.gateway.known_cancelled() {
            leader.on_cancellation_notice(job, effects.now);
        }
        leader.tick(false, effects);
        self.leader = Some(leader);
        if let Some(partitions) = &mut self.partitions {
            partitions.on_elected(term, version, effects.now);
        }
    }

    fn on_stepped_down(&mut self, reason: &str, effects: &mut Effects) {
        log::info!("event=stepped_down why={reason:?}");
        self.leader = None;
        if let Some(partitions) = &mut self.partitions {
            partitions.on_stepped_down();
        }
        self.cloud.clear();
        self.state.drop_leader_requests();
        self.election.on_fenced(effects);
    }

    /// Handles a cancellation that this node is about to confirm to a user.
    fn on_cancellation(&mut self, job: String, effects: &mut Effects) {
        if let Some(leader) = &mut self.leader {
            leader.on_cancellation_notice(&job, effects.now);
        }
        // Peers are notified before all other pending outputs are sent, including the answer to the
        // user.
        self.outputs
            .push_back(self.peer_heartbeats.on_cancellation(job));
    }

    /// Handles the completion of the rollout. From now on the future limits of the state service
    /// may apply at any time.
    fn on_upgraded(&mut self, effects: &mut Effects) {
        let strictest_limits = self.settings.deployment.state.strictest();
        self.state
            .set_rates(strictest_limits.rps, strictest_limits.write_rps);
        if let Some(leader) = self.leader.as_mut() {
            leader.on_upgrade_complete(effects);
        }
    }
}
