//! Upgrades of the controllers. This actor drives the state machines of the `rollout` crate with the state service's
//! replies, heartbeats of peers and evidence from users' requests, and tells the node which features are enabled.

mod features;
mod logging;

use crate::effects::{Effects, NodeEvent};
use crate::requests::{Priority, StateOp, StateReply, StateTag};
use crate::settings::{Finalization, RolloutSettings, Settings};
use constants::ROLLOUT_LOG_INTERVAL_MS;
use rollout::{
    FeatureGates, GenerationStateMachine, Identity, LevelRange, Output, Policy, Reply, Request,
    RolloutStateMachine, RolloutStatus,
};

/// Version of this build, which controllers announce.
const BUILD_VERSION: &str = env!("CARGO_PKG_VERSION");

/// Milliseconds in a second.
const MS_PER_SECOND: f64 = 1000.0;

/// The state machine for the kind of upgrades that the operators' settings select.
enum UpgradeStateMachine {
    /// Staged upgrades are not switched on: generations are used.
    Generations(GenerationStateMachine),
    /// Staged upgrades are switched on.
    Staged(Box<RolloutStateMachine>),
}

/// The actor for upgrades.
pub(crate) struct Rollout {
    state_machine: UpgradeStateMachine,
    /// Number of the last request to the state service. Replies to earlier requests are dropped.
    request_number: u64,
    /// Whether the node has been told that small values may be written.
    small_values_notified: bool,
    next_status_log_at: u64,
}

impl Rollout {
    /// The actor of a process that has just started. `rollout_settings` are the settings of staged upgrades, if those
    /// are switched on; `boot` is the random number that identifies the process.
    pub fn new(
        settings: &Settings,
        rollout_settings: Option<&RolloutSettings>,
        boot: u64,
        now: u64,
    ) -> Self {
        let siblings = settings.siblings.iter().map(|s| s.label.clone());
        let state_machine = match rollout_settings {
            None => {
                let machine = GenerationStateMachine::new(&settings.label, siblings);
                UpgradeStateMachine::Generations(machine)
            }
            Some(rollout_settings) => {
                let identity = Identity {
                    label: settings.label.clone(),
                    build: BUILD_VERSION.to_string(),
                    boot,
                    // The settings were validated when they were read.
                    range: rollout_settings
                        .announced_levels()
                        .unwrap_or(LevelRange::SUPPORTED),
                };
                let policy = policy_from_settings(rollout_settings);
                let machine = RolloutStateMachine::new(identity, siblings, policy);
                UpgradeStateMachine::Staged(Box::new(machine))
            }
        };
        Rollout {
            state_machine,
            request_number: 0,
            small_values_notified: false,
            next_status_log_at: now + ROLLOUT_LOG_INTERVAL_MS,
        }
    }

    /// The state machine of staged upgrades, if those are switched on.
    fn staged(&self) -> Option<&RolloutStateMachine> {
        match &self.state_machine {
            UpgradeStateMachine::Generations(_) => None,
            UpgradeStateMachine::Staged(machine) => Some(machine),
        }
    }

    fn gates(&self) -> FeatureGates {
        match &self.state_machine {
            UpgradeStateMachine::Generations(machine) => machine.gates(),
            UpgradeStateMachine::Staged(machine) => machine.gates(),
        }
    }

    /// When [`Rollout::tick`] is to be called next.
    pub fn next_wake(&self) -> u64 {
        match &self.state_machine {
            UpgradeStateMachine::Generations(machine) => machine.next_wake(),
            UpgradeStateMachine::Staged(machine) => {
                machine.next_wake().min(self.next_status_log_at)
            }
        }
    }

    /// The state of the upgrade, if staged upgrades are switched on and it has been read.
    pub fn status(&self, now: u64) -> Option<RolloutStatus> {
        self.staged()?.status(now)
    }

    /// Notes a heartbeat of a peer. `boot` is the random number that identifies its process.
    pub fn on_heartbeat(&mut self, label: &str, boot: u64, now: u64) {
        if let UpgradeStateMachine::Staged(machine) = &mut self.state_machine {
            machine.on_heartbeat(label, boot, now);
        }
    }

    /// Schedules a new read of the level, because the process was stalled or a write found the level changed. A reply
    /// that is still awaited is dropped.
    pub fn reread(&mut self, now: u64) {
        if let UpgradeStateMachine::Staged(machine) = &mut self.state_machine {
            machine.reread(now);
            self.request_number += 1;
        }
    }

    /// Notes an observation that is possible only when every controller runs generation 1.
    pub fn on_upgrade_evidence(&mut self, evidence: &'static str, effects: &mut Effects) {
        if self.small_values_enabled() {
            return;
        }
        log::info!("event=upgrade_confirmed why={evidence:?}");
        let now = effects.now.mono;
        match &mut self.state_machine {
            UpgradeStateMachine::Generations(machine) => machine.on_upgrade_evidence(evidence, now),
            UpgradeStateMachine::Staged(machine) => machine.on_upgrade_evidence(evidence, now),
        }
        self.notify_small_values(effects);
    }

    /// Does the work that is due. `leader` is the label of the present leader, if it is known.
    pub fn tick(&mut self, leader: Option<&str>, effects: &mut Effects) {
        let now = effects.now.mono;
        let output = match &mut self.state_machine {
            UpgradeStateMachine::Generations(machine) => machine.tick(now),
            UpgradeStateMachine::Staged(machine) => machine.tick(now, leader),
        };
        self.handle_output(output, effects);
        self.log_status_if_due(now);
    }

    /// Handles the state service's reply to the request with this number.
    pub fn on_reply(&mut self, request_number: u64, reply: StateReply, effects: &mut Effects) {
        if request_number != self.request_number {
            return;
        }
        let now = effects.now;
        let reply = match reply {
            StateReply::Page(page) => Reply::Page(page),
            StateReply::Item(item) => Reply::Item(item),
            StateReply::Missing => Reply::Missing,
            StateReply::Committed { .. } => Reply::Committed,
            _ => Reply::Failed,
        };
        let output = match &mut self.state_machine {
            UpgradeStateMachine::Generations(machine) => machine.on_reply(reply, now.mono),
            UpgradeStateMachine::Staged(machine) => machine.on_reply(reply, now.mono, now.unix),
        };
        self.handle_output(output, effects);
    }

    /// Logs the events of a state machine, and sends its request.
    fn handle_output(&mut self, output: Output, effects: &mut Effects) {
        for event in output.events {
            logging::log_event(&event);
        }
        self.notify_small_values(effects);
        let Some(request) = output.request else {
            return;
        };
        let op = match request {
            Request::List {
                prefix,
                start_after,
            } => StateOp::List {
                prefix,
                from: start_after,
            },
            Request::Get(key) => StateOp::Get(key.to_string()),
            Request::Commit(txn) => StateOp::Txn(txn),
        };
        self.request_number += 1;
        let tag = StateTag::Rollout(self.request_number);
        effects.request_state(Priority::Leadership, op, tag);
    }

    /// Tells the node, once, that small values may be written.
    fn notify_small_values(&mut self, effects: &mut Effects) {
        if !self.small_values_notified && self.small_values_enabled() {
            self.small_values_notified = true;
            effects.emit(NodeEvent::Upgraded);
        }
    }

    /// Periodically logs what an upgrade that is under way waits for.
    fn log_status_if_due(&mut self, now: u64) {
        if now < self.next_status_log_at {
            return;
        }
        self.next_status_log_at = now + ROLLOUT_LOG_INTERVAL_MS;
        let Some(status) = self.status(now) else {
            return;
        };
        let is_complete = status.active == status.target && status.active == status.finalized;
        if !is_complete {
            logging::log_status(&status);
        }
    }
}

/// The policy of the state machine, from the operators' settings.
fn policy_from_settings(rollout_settings: &RolloutSettings) -> Policy {
    let to_ms = |seconds: f64| (seconds * MS_PER_SECOND) as u64;
    Policy {
        finalizes_automatically: rollout_settings.finalize == Finalization::Automatic,
        soak_ms: to_ms(rollout_settings.soak_s),
        stall_ms: to_ms(rollout_settings.stall_s),
    }
}
