//! Upgrades of the controllers. This actor drives the state machines of the `rollout` crate with the state service's
//! replies, peers' heartbeats and what users' requests prove, and tells the node which features are open.

mod features;
mod logging;

use crate::effects::{Effects, NodeEvent};
use crate::requests::{Priority, StateOp, StateReply, StateTag};
use crate::settings::{Finalization, RolloutSettings, Settings};
use constants::ROLLOUT_LOG_INTERVAL_MS;
use rollout::{
    Gates, GenerationMachine, Identity, LevelRange, Output, Policy, Reply, Request, RolloutMachine,
    RolloutStatus,
};

/// Version of this build, as it is announced.
const BUILD: &str = env!("CARGO_PKG_VERSION");

/// Milliseconds in a second.
const MS_PER_SECOND: f64 = 1000.0;

/// The kind of upgrades that the operators' settings ask for.
enum Machine {
    /// Staged upgrades are not switched on: generations, as before them.
    Generation(GenerationMachine),
    /// Staged upgrades.
    Levels(Box<RolloutMachine>),
}

/// The actor for upgrades.
pub(crate) struct Rollout {
    machine: Machine,
    /// Number of the request whose reply is awaited; replies to earlier ones are dropped.
    request: u64,
    /// Whether the node has been told that small values may be written.
    small_values_announced: bool,
    next_status_log: u64,
}

impl Rollout {
    /// The actor of a process that has just started. `staged` are the settings of staged upgrades, if those
    /// are switched on; `boot` is the number of the process.
    pub fn new(settings: &Settings, staged: Option<&RolloutSettings>, boot: u64, now: u64) -> Self {
        let siblings = settings.siblings.iter().map(|s| s.label.clone());
        let machine = match staged {
            None => Machine::Generation(GenerationMachine::new(&settings.label, siblings)),
            Some(staged) => {
                let identity = Identity {
                    label: settings.label.clone(),
                    build: BUILD.to_string(),
                    boot,
                    // The settings were validated when they were read.
                    range: staged.announced_levels().unwrap_or(LevelRange::BUILD),
                };
                let machine = RolloutMachine::new(identity, siblings, policy(staged));
                Machine::Levels(Box::new(machine))
            }
        };
        Rollout {
            machine,
            request: 0,
            small_values_announced: false,
            next_status_log: now + ROLLOUT_LOG_INTERVAL_MS,
        }
    }

    /// The machine of staged upgrades, if those are switched on.
    fn levels(&self) -> Option<&RolloutMachine> {
        match &self.machine {
            Machine::Generation(_) => None,
            Machine::Levels(machine) => Some(machine),
        }
    }

    fn gates(&self) -> Gates {
        match &self.machine {
            Machine::Generation(machine) => machine.gates(),
            Machine::Levels(machine) => machine.gates(),
        }
    }

    /// When [`Rollout::tick`] wants to be called.
    pub fn next_wake(&self) -> u64 {
        match &self.machine {
            Machine::Generation(machine) => machine.next_wake(),
            Machine::Levels(machine) => machine.next_wake().min(self.next_status_log),
        }
    }

    /// The state of the upgrade, if staged upgrades are switched on and it has been read.
    pub fn status(&self, now: u64) -> Option<RolloutStatus> {
        self.levels()?.status(now)
    }

    /// A peer has sent a heartbeat. `boot` is the number of its process.
    pub fn on_heartbeat(&mut self, label: &str, boot: u64, now: u64) {
        if let Machine::Levels(machine) = &mut self.machine {
            machine.on_heartbeat(label, boot, now);
        }
    }

    /// Reads the level again, since the process was stalled or a write found the level changed. A reply
    /// that is still awaited is dropped.
    pub fn reread(&mut self, now: u64) {
        if let Machine::Levels(machine) = &mut self.machine {
            machine.reread(now);
            self.request += 1;
        }
    }

    /// Something was observed that occurs only when every controller runs generation 1.
    pub fn proven(&mut self, reason: &'static str, effects: &mut Effects) {
        if self.has_small_values() {
            return;
        }
        log::info!("event=upgrade_confirmed why={reason:?}");
        match &mut self.machine {
            Machine::Generation(machine) => machine.proven(reason, effects.now.mono),
            Machine::Levels(machine) => machine.proven(reason, effects.now.mono),
        }
        self.announce_small_values(effects);
    }

    /// Does what is due by the clock. `leader` is the label of the present leader, if it is known.
    pub fn tick(&mut self, leader: Option<&str>, effects: &mut Effects) {
        let now = effects.now.mono;
        let output = match &mut self.machine {
            Machine::Generation(machine) => machine.tick(now),
            Machine::Levels(machine) => machine.tick(now, leader),
        };
        self.carry_out(output, effects);
        self.log_status_if_due(now);
    }

    /// The state service has replied to the request of this number.
    pub fn on_reply(&mut self, request: u64, reply: StateReply, effects: &mut Effects) {
        if request != self.request {
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
        let output = match &mut self.machine {
            Machine::Generation(machine) => machine.on_reply(reply, now.mono),
            Machine::Levels(machine) => machine.on_reply(reply, now.mono, now.unix),
        };
        self.carry_out(output, effects);
    }

    /// Logs the events of a state machine, and sends its request.
    fn carry_out(&mut self, output: Output, effects: &mut Effects) {
        for event in output.events {
            logging::log_event(&event);
        }
        self.announce_small_values(effects);
        let Some(request) = output.request else {
            return;
        };
        let op = match request {
            Request::List { prefix, from } => StateOp::List { prefix, from },
            Request::Get(key) => StateOp::Get(key.to_string()),
            Request::Commit(txn) => StateOp::Txn(txn),
        };
        self.request += 1;
        let tag = StateTag::Rollout(self.request);
        effects.request_state(Priority::Leadership, op, tag);
    }

    /// Tells the node, once, that small values may be written.
    fn announce_small_values(&mut self, effects: &mut Effects) {
        if !self.small_values_announced && self.has_small_values() {
            self.small_values_announced = true;
            effects.emit(NodeEvent::Upgraded);
        }
    }

    /// Logs from time to time what an upgrade that is under way waits for.
    fn log_status_if_due(&mut self, now: u64) {
        if now < self.next_status_log {
            return;
        }
        self.next_status_log = now + ROLLOUT_LOG_INTERVAL_MS;
        let Some(status) = self.status(now) else {
            return;
        };
        let is_complete = status.active == status.target && status.active == status.finalized;
        if !is_complete {
            logging::log_status(&status);
        }
    }
}

/// The policy of the state machine by the operators' settings.
fn policy(staged: &RolloutSettings) -> Policy {
    let to_ms = |seconds: f64| (seconds * MS_PER_SECOND) as u64;
    Policy {
        finalizes: staged.finalize == Finalization::Automatic,
        soak_ms: to_ms(staged.soak_s),
        stall_ms: to_ms(staged.stall_s),
    }
}
