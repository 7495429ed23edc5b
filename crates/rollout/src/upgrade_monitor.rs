//! Monitoring of an upgrade: which controllers are alive, for how long a level has soaked, and whether the upgrade must
//! be paused.

use crate::heartbeats::{HeartbeatMonitor, Liveness};
use crate::identity::{Identity, Policy};
use crate::plan::Controller;
use crate::request::Event;
use crate::snapshot::Snapshot;
use constants::RESTART_FREE_RESUME_MS;
use std::collections::BTreeMap;
use wire::records::{PauseReason, RolloutPhase};

/// A value, and since when it is unchanged by the monotonic clock of this controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct TimedValue<T> {
    value: T,
    since: u64,
}

impl<T: PartialEq> TimedValue<T> {
    /// Stores a value. The time restarts if the value has changed.
    fn update(slot: &mut Option<TimedValue<T>>, value: T, now: u64) {
        if slot.as_ref().is_none_or(|stored| stored.value != value) {
            *slot = Some(TimedValue { value, since: now });
        }
    }
}

/// What one controller observes of an upgrade.
pub(crate) struct UpgradeMonitor {
    /// Label and boot number of this controller's process.
    label: String,
    boot: u64,
    /// Labels of all configured controllers, this one included.
    labels: Vec<String>,
    policy: Policy,
    heartbeats: HeartbeatMonitor,
    /// Number of the last transition while a level soaks, and the start of the uninterrupted soak period.
    soak: Option<TimedValue<u64>>,
    /// Numbers of the last transition and of the last announcement, and when they were first seen.
    progress: Option<TimedValue<(u64, u64)>>,
    /// Boot numbers of controllers that are not configured, by label.
    unconfigured: BTreeMap<String, u64>,
    /// The unconfigured controller whose restart was last observed, and when.
    unconfigured_restart: Option<TimedValue<String>>,
    /// Controllers that were reported as unannounced, and still are.
    reported_unannounced: Vec<String>,
}

impl UpgradeMonitor {
    /// A monitor that has observed nothing yet.
    pub fn new(
        identity: &Identity,
        siblings: impl Iterator<Item = String>,
        policy: Policy,
    ) -> Self {
        UpgradeMonitor {
            label: identity.label.clone(),
            boot: identity.boot,
            labels: siblings.chain([identity.label.clone()]).collect(),
            policy,
            heartbeats: HeartbeatMonitor::default(),
            soak: None,
            progress: None,
            unconfigured: BTreeMap::new(),
            unconfigured_restart: None,
            reported_unannounced: Vec::new(),
        }
    }

    /// Labels of all configured controllers, this one included.
    pub fn labels(&self) -> &[String] {
        &self.labels
    }

    /// Notes a heartbeat of another controller.
    pub fn on_heartbeat(&mut self, label: &str, boot: u64, now: u64) {
        self.heartbeats.on_heartbeat(label, boot, now);
    }

    /// Restarts the soak period.
    pub fn reset_soak(&mut self) {
        self.soak = None;
    }

    /// Whether the active level has completed its soak period.
    pub fn has_soaked(&self, now: u64) -> bool {
        let soaked = |soak: TimedValue<u64>| now >= soak.since + self.policy.soak_ms;
        self.soak.is_some_and(soaked)
    }

    /// Updates the observations with the records that were read.
    pub fn on_snapshot(&mut self, snapshot: &Snapshot, now: u64, events: &mut Vec<Event>) {
        if let Some(level) = snapshot.level.record() {
            let progress = (level.transition_count, level.announcement_count);
            TimedValue::update(&mut self.progress, progress, now);
        }
        self.track_unconfigured(snapshot, now, events);
        self.report_unannounced(snapshot, now, events);
        self.track_soak(snapshot, now);
    }

    /// Reports controllers that are not configured, and notes their restarts. The level in their announcements is
    /// ignored, but a new announcement shows that such a controller is running.
    fn track_unconfigured(&mut self, snapshot: &Snapshot, now: u64, events: &mut Vec<Event>) {
        for (label, member) in &snapshot.members {
            let Some(member) = member.record().filter(|_| !self.labels.contains(label)) else {
                continue;
            };
            match self.unconfigured.insert(label.clone(), member.boot) {
                None => events.push(Event::UnconfiguredController {
                    label: label.clone(),
                }),
                Some(boot) if boot != member.boot => {
                    self.unconfigured_restart = Some(TimedValue {
                        value: label.clone(),
                        since: now,
                    });
                }
                Some(_) => {}
            }
        }
    }

    /// Reports controllers that are newly found to run a build that announces nothing.
    fn report_unannounced(&mut self, snapshot: &Snapshot, now: u64, events: &mut Vec<Event>) {
        let controllers = self.controllers(snapshot, now);
        let unannounced = controllers
            .into_iter()
            .filter(|c| c.liveness == Liveness::Unannounced);
        let unannounced: Vec<String> = unannounced.map(|c| c.label).collect();
        let is_new = |label: &&String| !self.reported_unannounced.contains(label);
        for label in unannounced.iter().filter(is_new) {
            events.push(Event::UnannouncedController {
                label: label.clone(),
                finalized: snapshot.finalized(),
            });
        }
        self.reported_unannounced = unannounced;
    }

    /// Tracks the soak period. It is measured by the monotonic clock of the controller that writes the transitions,
    /// from when that controller first reads that the level is active. It restarts whenever a controller restarts or
    /// falls silent.
    fn track_soak(&mut self, snapshot: &Snapshot, now: u64) {
        let level = snapshot.level.record();
        let Some(level) = level.filter(|l| l.phase == RolloutPhase::Soaking && l.pause.is_none())
        else {
            self.soak = None;
            return;
        };
        let controllers = self.controllers(snapshot, now);
        let all_confirmed = controllers
            .iter()
            .all(|c| c.liveness == Liveness::Confirmed);
        let restarted = |soak: &TimedValue<u64>| {
            let last = self.heartbeats.last_restart_at();
            last.is_some_and(|at| at > soak.since)
        };
        if !all_confirmed || self.soak.as_ref().is_some_and(restarted) {
            self.soak = None;
        }
        if all_confirmed {
            TimedValue::update(&mut self.soak, level.transition_count, now);
        }
    }

    /// How the heartbeats of a controller compare with its announcement.
    pub fn liveness(&self, label: &str, snapshot: &Snapshot, now: u64) -> Liveness {
        let announced_boot = snapshot.member(label).map(|m| m.boot);
        if label == self.label {
            return match announced_boot == Some(self.boot) {
                true => Liveness::Confirmed,
                false => Liveness::Starting,
            };
        }
        self.heartbeats.liveness(label, announced_boot, now)
    }

    /// All configured controllers, as they are observed.
    pub fn controllers(&self, snapshot: &Snapshot, now: u64) -> Vec<Controller> {
        let controller = |label: &String| Controller {
            label: label.clone(),
            liveness: self.liveness(label, snapshot, now),
        };
        self.labels.iter().map(controller).collect()
    }

    /// Why the upgrade must be paused, if it must.
    ///
    /// `last_snapshot` is the snapshot before `snapshot`.
    pub fn pause_reason(
        &self,
        last_snapshot: Option<&Snapshot>,
        snapshot: &Snapshot,
        now: u64,
    ) -> Option<PauseReason> {
        let controllers = &self.controllers(snapshot, now);
        let level = snapshot.level.record()?;
        if level.target <= level.active && level.phase != RolloutPhase::Soaking {
            return None;
        }
        let unconfigured = self.unconfigured_restart.as_ref();
        if let Some(restarted) =
            unconfigured.filter(|restart| now < restart.since + RESTART_FREE_RESUME_MS)
        {
            let label = restarted.value.clone();
            return Some(PauseReason::Unknown { label });
        }
        if let Some(label) = self.heartbeats.restarting_controller(now) {
            let label = label.to_string();
            return Some(PauseReason::Restarting { label });
        }
        if let Some(pause @ PauseReason::Regressed { .. }) = &level.pause {
            let supports_target = |c: &Controller| {
                let member = snapshot.member(&c.label);
                member.is_some_and(|m| m.newest_level >= level.target)
                    && c.liveness == Liveness::Confirmed
            };
            let have_returned = controllers.iter().all(supports_target);
            if !have_returned || !self.heartbeats.is_restart_free(now) {
                return Some(pause.clone());
            }
        }
        self.stall_reason(last_snapshot, snapshot, controllers, now)
    }

    /// The reason to pause an upgrade that has made no progress for too long.
    fn stall_reason(
        &self,
        last_snapshot: Option<&Snapshot>,
        snapshot: &Snapshot,
        controllers: &[Controller],
        now: u64,
    ) -> Option<PauseReason> {
        let level = snapshot.level.record()?;
        let may_stall = matches!(level.phase, RolloutPhase::Mixed | RolloutPhase::Ready);
        // A pause is itself a transition but no progress. So a stalled upgrade stays paused until a
        // controller announces itself.
        let was_stalled = matches!(level.pause, Some(PauseReason::Stalled { .. }));
        let is_overdue = self.progress.is_some_and(|progress| {
            now >= progress.since + self.policy.stall_ms
                || (was_stalled && !has_new_announcement(last_snapshot, snapshot))
        });
        if !may_stall || !is_overdue {
            return None;
        }
        let target = level.target;
        let lacks_target = |c: &&Controller| {
            let member = snapshot.member(&c.label);
            member.is_none_or(|m| m.newest_level < target) || c.liveness != Liveness::Confirmed
        };
        // If no controller is awaited, only an earlier pause has held the upgrade up.
        let awaited = controllers.iter().find(lacks_target)?;
        Some(PauseReason::Stalled {
            label: awaited.label.clone(),
        })
    }
}

/// Whether a controller has announced itself since the last snapshot.
fn has_new_announcement(last_snapshot: Option<&Snapshot>, snapshot: &Snapshot) -> bool {
    let last_level = last_snapshot.and_then(|last| last.level.record());
    let (Some(last_level), Some(level)) = (last_level, snapshot.level.record()) else {
        return false;
    };
    level.announcement_count > last_level.announcement_count
}
