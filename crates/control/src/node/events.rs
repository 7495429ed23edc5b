//! Handling of events that concern the whole node.

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
            NodeEvent::JobEnded { job, outcome } => self.heartbeat.on_job_ended(job, outcome),
            NodeEvent::UpgradeEvidence { observation } => {
                self.rollout.on_upgrade_evidence(observation, effects)
            }
            NodeEvent::LevelChanged => self.rollout.reread(effects.now.mono),
            NodeEvent::Upgraded => self.on_upgraded(effects),
            NodeEvent::MachineTypesRead(_) => {}
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

    /// A user is about to receive the confirmation of a cancellation by this node.
    fn on_cancellation(&mut self, job: String, effects: &mut Effects) {
        if let Some(leader) = &mut self.leader {
            leader.on_cancellation_notice(&job, effects.now);
        }
        // Ahead of all that is still to be sent, the user's answer included.
        self.out.push_back(self.heartbeat.on_cancellation(job));
    }

    /// From now on the future limits of the state service may hold at any time.
    fn on_upgraded(&mut self, effects: &mut Effects) {
        let least = self.settings.deployment.state.least();
        self.state.set_rates(least.rps, least.write_rps);
        if let Some(leader) = self.leader.as_mut() {
            leader.upgraded(effects);
        }
    }
}
