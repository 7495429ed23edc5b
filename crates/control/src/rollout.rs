//! Upgrades of the controllers: drives the state machines of the `rollout` crate with the state service, heartbeats and
//! what users' requests prove, and tells the node which features are open.

use crate::effects::{Effects, NodeEvent};
use crate::peers::Peers;
use crate::requests::{Priority, StateOp, StateReply, StateTag};
use crate::settings::{Finalization, RolloutSettings, Settings};
use constants::ROLLOUT_LOG_MS;
use rollout::{
    Event, Feature, Gates, GenerationMachine, Identity, LevelRange, Output, Policy, Reply, Request,
    RolloutMachine, RolloutStatus,
};
use wire::state::Compare;

/// Version of this build, as it is announced.
const BUILD: &str = env!("CARGO_PKG_VERSION");

/// Which kind of upgrade holds.
enum Machine {
    /// As before staged upgrades: they are not switched on.
    Generation(GenerationMachine),
    /// Staged upgrades.
    Levels(Box<RolloutMachine>),
}

/// The actor.
pub(crate) struct Rollout {
    machine: Machine,
    /// Number of the request whose reply is awaited; replies to earlier ones are dropped.
    request: u64,
    /// The node was told that small values may be written.
    small_values_told: bool,
    next_status_log: u64,
}

impl Rollout {
    pub fn new(settings: &Settings, staged: Option<&RolloutSettings>, boot: u64, now: u64) -> Self {
        let siblings = settings.siblings.iter().map(|s| s.label.clone());
        let machine = match staged {
            None => Machine::Generation(GenerationMachine::new(&settings.label, siblings)),
            Some(staged) => {
                let identity = Identity {
                    label: settings.label.clone(),
                    build: BUILD.to_string(),
                    boot,
                    // Checked when the settings were read.
                    range: staged.range().unwrap_or(LevelRange::BUILD),
                };
                let policy = policy(staged);
                let machine = RolloutMachine::new(identity, siblings, policy);
                Machine::Levels(Box::new(machine))
            }
        };
        Rollout {
            machine,
            request: 0,
            small_values_told: false,
            next_status_log: now + ROLLOUT_LOG_MS,
        }
    }

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

    pub fn next_wake(&self) -> u64 {
        match &self.machine {
            Machine::Generation(machine) => machine.next_wake(),
            Machine::Levels(machine) => machine.next_wake().min(self.next_status_log),
        }
    }

    /// Whether what builds before generation 1 can't read may be written.
    pub fn has_small_values(&self) -> bool {
        self.gates().is_open(Feature::SmallValues)
    }

    /// Whether owners of partitions may answer workers.
    pub fn has_partitions(&self) -> bool {
        self.gates().is_open(Feature::Partitions)
    }

    /// Whether a peer's process has announced that it knows partitions.
    pub fn peer_has_partitions(&self, label: &str, now: u64) -> bool {
        let levels = self.levels();
        levels.is_some_and(|machine| machine.peer_has(label, Feature::Partitions, now))
    }

    /// Whether this process may serve users, write and stand for election.
    pub fn is_admitted(&self) -> bool {
        self.levels().is_none_or(RolloutMachine::is_admitted)
    }

    /// Whether it may stand for election: what it knows of the level has been read since it last stood still.
    pub fn may_stand(&self) -> bool {
        self.levels().is_none_or(RolloutMachine::is_up_to_date)
    }

    /// The level that the leader's record is to name, if it may name one.
    pub fn leader_level(&self) -> Option<u32> {
        let (level, _) = self.gates().condition(Feature::LeaderLevel)?;
        Some(level)
    }

    /// Conditions of being elected: nothing has become final since this process was admitted, and the level that its
    /// record names is still active.
    pub fn election_conditions(&self) -> Vec<Compare> {
        let Some(machine) = self.levels() else {
            return Vec::new();
        };
        let level = self.gates().condition(Feature::LeaderLevel);
        let level = level.map(|(_, guard)| guard);
        machine.admission_guard().into_iter().chain(level).collect()
    }

    /// Milliseconds for which an election is left to newer builds.
    pub fn defers_election_ms(&self, now: u64) -> u64 {
        self.levels().map_or(0, |m| m.defers_election_ms(now))
    }

    /// The controller that a leader which stops hands over to: one that the state service answers, of the newest build
    /// that is there.
    pub fn successor(&self, peers: &Peers, now: u64) -> Option<String> {
        let machine = self.levels()?;
        if !self.gates().is_open(Feature::PlannedHandover) {
            return None;
        }
        let able = peers
            .all_with_state(now)
            .filter(|label| machine.peer_has(label, Feature::PlannedHandover, now));
        able.max_by_key(|label| machine.peer_newest(label))
            .map(str::to_string)
    }

    /// The state of the upgrade, if staged upgrades are switched on and it has been read.
    pub fn status(&self, now: u64) -> Option<RolloutStatus> {
        self.levels()?.status(now)
    }

    pub fn on_heartbeat(&mut self, label: &str, boot: u64, now: u64) {
        if let Machine::Levels(machine) = &mut self.machine {
            machine.on_heartbeat(label, boot, now);
        }
    }

    /// The process stood still, or a write found the level changed.
    pub fn read_anew(&mut self, now: u64) {
        if let Machine::Levels(machine) = &mut self.machine {
            machine.read_anew(now);
            self.request += 1;
        }
    }

    /// Something happened that happens only when every controller runs generation 1.
    pub fn proven(&mut self, why: &'static str, effects: &mut Effects) {
        if self.has_small_values() {
            return;
        }
        log::info!("event=upgrade_confirmed why={why:?}");
        match &mut self.machine {
            Machine::Generation(machine) => machine.proven(why, effects.now.mono),
            Machine::Levels(machine) => machine.proven(why, effects.now.mono),
        }
        self.tell_small_values(effects);
    }

    pub fn tick(&mut self, leader: Option<&str>, effects: &mut Effects) {
        let now = effects.now.mono;
        let output = match &mut self.machine {
            Machine::Generation(machine) => machine.tick(now),
            Machine::Levels(machine) => machine.tick(now, leader),
        };
        self.carry_out(output, effects);
        self.log_status(now);
    }

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

    fn carry_out(&mut self, output: Output, effects: &mut Effects) {
        for event in output.events {
            log_event(&event);
        }
        self.tell_small_values(effects);
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
        effects.state.push((Priority::Leadership, op, tag));
    }

    /// Tells the node once that small values may be written.
    fn tell_small_values(&mut self, effects: &mut Effects) {
        if !self.small_values_told && self.has_small_values() {
            self.small_values_told = true;
            effects.events.push(NodeEvent::Upgraded);
        }
    }

    /// An upgrade that is under way says now and then what it waits for.
    fn log_status(&mut self, now: u64) {
        if now < self.next_status_log {
            return;
        }
        self.next_status_log = now + ROLLOUT_LOG_MS;
        let Some(status) = self.status(now) else {
            return;
        };
        if status.active == status.target && status.active == status.finalized {
            return;
        }
        let controllers: Vec<String> = status
            .controllers
            .iter()
            .map(|c| match c.levels {
                Some((oldest, newest)) => format!("{}:{oldest}-{newest}:{}", c.label, c.liveness),
                None => format!("{}:?:{}", c.label, c.liveness),
            })
            .collect();
        log::info!(
            "event=rollout_status phase={:?} active={} target={} finalized={} since={} waits_for={:?} controllers={}",
            status.phase,
            status.active,
            status.target,
            status.finalized,
            status.since,
            status.waits_for,
            controllers.join(",")
        );
    }
}

fn policy(staged: &RolloutSettings) -> Policy {
    let ms = |seconds: f64| (seconds * 1000.0) as u64;
    Policy {
        finalizes: staged.finalize == Finalization::Automatic,
        soak_ms: ms(staged.soak_s),
        stall_ms: ms(staged.stall_s),
    }
}

fn log_event(event: &Event) {
    match event {
        Event::Announced { range } => {
            log::info!("event=levels_announced range={range} build={BUILD}");
        }
        Event::LevelRead {
            active,
            finalized,
            phase,
        } => log::info!("event=level_read active={active} finalized={finalized} phase={phase:?}"),
        Event::Moved {
            from,
            to,
            active,
            why,
        } => {
            log::info!("event=rollout_moved from={from:?} to={to:?} active={active} why={why:?}");
        }
        Event::Paused(reason) => log::error!("event=rollout_paused why=\"{reason}\""),
        Event::Resumed => log::info!("event=rollout_resumed"),
        Event::Unannounced {
            label,
            finalized: 0,
        } => log::info!("event=member_unannounced node={label}"),
        Event::Unannounced { label, finalized } => log::error!(
            "event=rollback_impossible node={label} finalized={finalized} \
             why=\"it announces no levels, and what is final stays\""
        ),
        Event::UnknownMember { label } => {
            log::error!("event=member_unknown node={label} why=\"it is not configured here\"");
        }
        Event::Refused {
            range,
            active,
            finalized,
        } => log::error!(
            "event=build_refused range={range} active={active} finalized={finalized} \
             why=\"this build can't run what the cluster runs; it serves and writes nothing\""
        ),
        Event::Unreadable { key } => {
            log::error!("event=record_unreadable key={key} why=\"not as this build writes it\"");
        }
        Event::GenerationTold => log::info!("event=generation_announced generation=1"),
        Event::MarkRaised { missing, proof } => {
            log::info!("event=generation_raised generation=1 missing={missing} proof={proof:?}");
        }
        Event::MarkSeen { generation } => log::info!("event=upgraded generation={generation}"),
    }
}
