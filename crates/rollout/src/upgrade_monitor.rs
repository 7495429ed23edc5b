//! Supervision of an upgrade: which controllers are alive, for how long a level has been active without trouble, and
//! which reasons there are to pause.

use crate::heartbeats::{Liveness, Observations};
use crate::identity::{Identity, Policy};
use crate::plan::Controller;
use crate::request::Event;
use crate::snapshot::Snapshot;
use constants::CALM_MS;
use std::collections::BTreeMap;
use wire::records::{PauseReason, Phase};

/// A value of the level record, and since when it has been unchanged by our own monotonic clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Since<T> {
    value: T,
    at: u64,
}

impl<T: PartialEq> Since<T> {
    /// Notes a value. The time restarts if the value has changed.
    fn note(slot: &mut Option<Since<T>>, value: T, now: u64) {
        if slot.as_ref().is_none_or(|known| known.value != value) {
            *slot = Some(Since { value, at: now });
        }
    }
}

/// What one controller observes of an upgrade.
pub(crate) struct Supervision {
    /// Label and process of this controller.
    label: String,
    boot: u64,
    /// Labels of all configured controllers, this one included.
    labels: Vec<String>,
    policy: Policy,
    observations: Observations,
    /// Number of the transition with which the soak began, and since when there was no trouble.
    soak: Option<Since<u64>>,
    /// Numbers of the last transition and announcement, and when they were first seen.
    progress: Option<Since<(u64, u64)>>,
    /// Processes of controllers that are not configured, by label.
    unconfigured: BTreeMap<String, u64>,
    /// The last of those that was seen to restart, and when.
    unconfigured_restart: Option<Since<String>>,
    /// Controllers that were reported as unannounced.
    unannounced: Vec<String>,
}

impl Supervision {
    /// Nothing has been observed yet.
    pub fn new(
        identity: &Identity,
        siblings: impl Iterator<Item = String>,
        policy: Policy,
    ) -> Self {
        Supervision {
            label: identity.label.clone(),
            boot: identity.boot,
            labels: siblings.chain([identity.label.clone()]).collect(),
            policy,
            observations: Observations::default(),
            soak: None,
            progress: None,
            unconfigured: BTreeMap::new(),
            unconfigured_restart: None,
            unannounced: Vec::new(),
        }
    }

    /// Labels of all configured controllers.
    pub fn labels(&self) -> &[String] {
        &self.labels
    }

    /// A heartbeat of another controller arrived.
    pub fn on_heartbeat(&mut self, label: &str, boot: u64, now: u64) {
        self.observations.on_heartbeat(label, boot, now);
    }

    /// Restarts the time without trouble.
    pub fn forget_soak(&mut self) {
        self.soak = None;
    }

    /// Whether a level has been active without trouble for as long as it must.
    pub fn has_soaked(&self, now: u64) -> bool {
        let soaked = |soak: Since<u64>| now >= soak.at + self.policy.soak_ms;
        self.soak.is_some_and(soaked)
    }

    /// Notes what was read.
    pub fn note(&mut self, snapshot: &Snapshot, now: u64, events: &mut Vec<Event>) {
        if let Some(level) = snapshot.level.record() {
            let moved = (level.number, level.announcements);
            Since::note(&mut self.progress, moved, now);
        }
        self.note_unconfigured(snapshot, now, events);
        self.note_unannounced(snapshot, now, events);
        self.note_soak(snapshot, now);
    }

    /// Announcements of controllers that are not configured are ignored. But a new one shows that such a controller is
    /// running.
    fn note_unconfigured(&mut self, snapshot: &Snapshot, now: u64, events: &mut Vec<Event>) {
        for (label, member) in &snapshot.members {
            let Some(member) = member.record().filter(|_| !self.labels.contains(label)) else {
                continue;
            };
            match self.unconfigured.insert(label.clone(), member.boot) {
                None => events.push(Event::UnknownMember {
                    label: label.clone(),
                }),
                Some(boot) if boot != member.boot => {
                    self.unconfigured_restart = Some(Since {
                        value: label.clone(),
                        at: now,
                    });
                }
                Some(_) => {}
            }
        }
    }

    /// Reports controllers that were found to run a build which announces nothing.
    fn note_unannounced(&mut self, snapshot: &Snapshot, now: u64, events: &mut Vec<Event>) {
        let controllers = self.controllers(snapshot, now);
        let unannounced = controllers
            .into_iter()
            .filter(|c| c.liveness == Liveness::Unannounced);
        let unannounced: Vec<String> = unannounced.map(|c| c.label).collect();
        for label in unannounced.iter().filter(|l| !self.unannounced.contains(l)) {
            events.push(Event::Unannounced {
                label: label.clone(),
                finalized: snapshot.finalized(),
            });
        }
        self.unannounced = unannounced;
    }

    /// The time without trouble is measured by the monotonic clock of the controller that decides, from when it first
    /// saw the level active. It restarts after each restart or silence of a controller.
    fn note_soak(&mut self, snapshot: &Snapshot, now: u64) {
        let level = snapshot.level.record();
        let Some(level) = level.filter(|l| l.phase == Phase::Soaking && l.pause.is_none()) else {
            self.soak = None;
            return;
        };
        let controllers = self.controllers(snapshot, now);
        let confirmed = controllers
            .iter()
            .all(|c| c.liveness == Liveness::Confirmed);
        let restarted = |soak: &Since<u64>| {
            let last = self.observations.last_restart();
            last.is_some_and(|at| at > soak.at)
        };
        if !confirmed || self.soak.as_ref().is_some_and(restarted) {
            self.soak = None;
        }
        if confirmed {
            Since::note(&mut self.soak, level.number, now);
        }
    }

    /// How a controller's heartbeats compare with what it has announced.
    pub fn liveness(&self, label: &str, snapshot: &Snapshot, now: u64) -> Liveness {
        let announced = snapshot.member(label).map(|m| m.boot);
        if label == self.label {
            return match announced == Some(self.boot) {
                true => Liveness::Confirmed,
                false => Liveness::Starting,
            };
        }
        self.observations.liveness(label, announced, now)
    }

    /// All configured controllers, as they are observed.
    pub fn controllers(&self, snapshot: &Snapshot, now: u64) -> Vec<Controller> {
        let controller = |label: &String| Controller {
            label: label.clone(),
            liveness: self.liveness(label, snapshot, now),
        };
        self.labels.iter().map(controller).collect()
    }

    /// A reason to pause the upgrade, if there is one.
    ///
    /// `before` is what was read before `snapshot`.
    pub fn trouble(
        &self,
        before: Option<&Snapshot>,
        snapshot: &Snapshot,
        now: u64,
    ) -> Option<PauseReason> {
        let controllers = &self.controllers(snapshot, now);
        let level = snapshot.level.record()?;
        if level.target <= level.active && level.phase != Phase::Soaking {
            return None;
        }
        let unconfigured = self.unconfigured_restart.as_ref();
        if let Some(running) = unconfigured.filter(|seen| now < seen.at + CALM_MS) {
            let label = running.value.clone();
            return Some(PauseReason::Unknown { label });
        }
        if let Some(label) = self.observations.restarting(now) {
            let label = label.to_string();
            return Some(PauseReason::Restarting { label });
        }
        if let Some(pause @ PauseReason::Regressed { .. }) = &level.pause {
            let supports = |c: &Controller| {
                let member = snapshot.member(&c.label);
                member.is_some_and(|m| m.newest >= level.target)
                    && c.liveness == Liveness::Confirmed
            };
            let returned = controllers.iter().all(supports);
            if !returned || !self.observations.is_calm(now) {
                return Some(pause.clone());
            }
        }
        self.stall(before, snapshot, controllers, now)
    }

    /// An upgrade that has made no progress for too long.
    fn stall(
        &self,
        before: Option<&Snapshot>,
        snapshot: &Snapshot,
        controllers: &[Controller],
        now: u64,
    ) -> Option<PauseReason> {
        let level = snapshot.level.record()?;
        let may_stall = matches!(level.phase, Phase::Mixed | Phase::Ready);
        // A pause is itself a transition, but no progress.
        let was_stalled = matches!(level.pause, Some(PauseReason::Stalled { .. }));
        let is_overdue = self.progress.is_some_and(|progress| {
            let waits_ms = self.policy.stall_ms;
            now >= progress.at + waits_ms || (was_stalled && !has_announced(before, snapshot))
        });
        if !may_stall || !is_overdue {
            return None;
        }
        let target = level.target;
        let lacks = |c: &&Controller| {
            let member = snapshot.member(&c.label);
            member.is_none_or(|m| m.newest < target) || c.liveness != Liveness::Confirmed
        };
        let label = controllers.iter().find(lacks).map(|c| c.label.clone());
        Some(PauseReason::Stalled {
            label: label.unwrap_or_else(|| self.label.clone()),
        })
    }
}

/// Whether a controller has announced itself since what was read before.
fn has_announced(before: Option<&Snapshot>, snapshot: &Snapshot) -> bool {
    let before = before.and_then(|s| s.level.record());
    let (Some(before), Some(level)) = (before, snapshot.level.record()) else {
        return false;
    };
    level.announcements > before.announcements
}
