//! The state of the upgrade, for operators.

use super::RolloutStateMachine;
use crate::heartbeats::Liveness;
use crate::plan::Controller;
use crate::snapshot::Snapshot;
use crate::status::{ControllerStatus, RolloutStatus};

impl RolloutStateMachine {
    /// The state of the upgrade, if it has been read.
    pub fn status(&self, now: u64) -> Option<RolloutStatus> {
        let snapshot = self.last_snapshot.as_ref()?;
        let level = snapshot.level.record()?;
        let controllers = self.monitor.controllers(snapshot, now);
        let input = self.planning_input(snapshot, &controllers, now, level.last_transition_ms);
        let statuses = controllers.iter();
        let statuses = statuses.map(|controller| controller_status(controller, snapshot));
        Some(RolloutStatus {
            phase: level.phase,
            active: snapshot.active(),
            target: level.target,
            finalized: snapshot.finalized(),
            since: level.last_transition_ms,
            pause: level.pause.clone(),
            waits_for: input.waits_for(level),
            admitted: self.is_admitted(),
            controllers: statuses.collect(),
        })
    }
}

fn controller_status(controller: &Controller, snapshot: &Snapshot) -> ControllerStatus {
    let member = snapshot.member(&controller.label);
    ControllerStatus {
        label: controller.label.clone(),
        levels: member.map(|member| (member.oldest_level, member.newest_level)),
        build: member.map(|member| member.build.clone()),
        liveness: match controller.liveness {
            Liveness::Confirmed => "confirmed",
            Liveness::Silent => "silent",
            Liveness::Starting => "settling",
            Liveness::Unannounced => "unannounced",
        },
    }
}
