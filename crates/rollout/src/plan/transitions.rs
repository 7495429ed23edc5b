//! Which transition of an upgrade is due.

use crate::heartbeats::Liveness;
use crate::levels::Level;
use crate::plan::{Controller, Transition, View};
use crate::snapshot::Stored;
use wire::records::{LevelRecord, PauseReason, Phase};

/// Why a paused upgrade is resumed, for the log.
pub(crate) const RESUMED: &str = "resumed";

impl View<'_> {
    /// Newest level that a controller is known to support. One that has announced nothing, or runs another process
    /// than the one that did, may be any build that what is final admits.
    fn supported(&self, controller: &Controller) -> Level {
        let announced = self.snapshot.member(&controller.label);
        match (announced, controller.liveness) {
            (None, _) | (Some(_), Liveness::Unannounced) => self.snapshot.finalized(),
            (Some(member), _) => member.newest,
        }
    }

    /// The lowest level that a controller supports, and its label.
    fn least_supported(&self) -> (Level, &str) {
        let supported = self.controllers.iter();
        let supported = supported.map(|c| (self.supported(c), c.label.as_str()));
        supported.min().unwrap_or((self.snapshot.finalized(), ""))
    }

    /// Newest level that a configured controller supports.
    fn target(&self) -> Level {
        let supported = self.controllers.iter().map(|c| self.supported(c));
        supported.max().unwrap_or(self.snapshot.finalized())
    }

    /// Whether every controller is heard, as the process that announced itself.
    fn all_confirmed(&self) -> bool {
        let mut controllers = self.controllers.iter();
        controllers.all(|c| c.liveness == Liveness::Confirmed)
    }

    /// Whether the process that leads has announced itself, or nobody leads. Read after the term, whose version is a
    /// condition of finalizing: so no other process can have been elected since.
    fn leader_is_announced(&self) -> bool {
        match &self.snapshot.leader {
            Stored::Missing => true,
            Stored::Unreadable { .. } => false,
            Stored::Known { record, .. } => {
                let member = self.snapshot.member(&record.node);
                member.is_some_and(|member| member.boot == record.boot)
            }
        }
    }

    /// What the upgrade waits for, in a few words.
    pub fn waits_for(&self, level: &LevelRecord) -> String {
        if let Some(pause) = &level.pause {
            return pause.to_string();
        }
        let (least, label) = self.least_supported();
        let not_confirmed = self
            .controllers
            .iter()
            .find(|c| c.liveness != Liveness::Confirmed);
        match (level.phase, not_confirmed) {
            (Phase::Idle | Phase::Finalized, _) => "nothing".into(),
            (Phase::Mixed, _) => format!("{label}, which supports level {least}"),
            (_, Some(controller)) => format!("a heartbeat of {}", controller.label),
            (Phase::Ready, None) => "the next look".into(),
            (Phase::Soaking, None) => "finalization".into(),
        }
    }

    /// The next transition, if one is due.
    pub fn next_transition(&self) -> Option<Transition> {
        let level = self.snapshot.level.record()?;
        if self.snapshot.mark.is_unreadable() {
            return None;
        }
        self.catch_up(level)
            .or_else(|| self.lower(level))
            .or_else(|| self.pause_or_resume(level))
            .or_else(|| self.advance(level))
    }

    /// A transition that changes the phase alone.
    fn transition(&self, from: &LevelRecord, phase: Phase, why: &'static str) -> Transition {
        Transition {
            level: LevelRecord {
                phase,
                number: from.number + 1,
                since: self.unix,
                ..from.clone()
            },
            why,
        }
    }

    /// Phase where no newer level is the target.
    fn resting_phase(&self, active: Level) -> Phase {
        let finalized = self.snapshot.finalized();
        match (active > finalized, finalized > 0) {
            (true, _) => Phase::Soaking,
            (false, true) => Phase::Finalized,
            (false, false) => Phase::Idle,
        }
    }

    /// The mark was raised by a build of generation 1.
    fn catch_up(&self, level: &LevelRecord) -> Option<Transition> {
        let finalized = self.snapshot.finalized();
        (level.active < finalized).then(|| {
            let mut transition =
                self.transition(level, self.resting_phase(finalized), "the mark was raised");
            transition.level.active = finalized;
            transition.level.target = level.target.max(finalized);
            transition
        })
    }

    /// Some controller no longer supports what is active.
    fn lower(&self, level: &LevelRecord) -> Option<Transition> {
        let (least, label) = self.least_supported();
        let active = least.max(self.snapshot.finalized());
        (active < level.active).then(|| {
            let mut transition = self.transition(
                level,
                Phase::Mixed,
                "a controller does not support the level",
            );
            transition.level.active = active;
            transition.level.pause = Some(PauseReason::Regressed {
                label: label.to_string(),
            });
            transition
        })
    }

    /// Pauses the upgrade for a new reason, or resumes it once none is left.
    fn pause_or_resume(&self, level: &LevelRecord) -> Option<Transition> {
        match (&self.trouble, &level.pause) {
            (Some(trouble), pause) if pause.as_ref() != Some(trouble) => {
                let mut transition = self.transition(level, level.phase, "paused");
                transition.level.pause = Some(trouble.clone());
                Some(transition)
            }
            (None, Some(_)) => {
                let mut transition = self.transition(level, level.phase, RESUMED);
                transition.level.pause = None;
                Some(transition)
            }
            _ => None,
        }
    }

    /// The transition of an upgrade that nothing holds up.
    fn advance(&self, level: &LevelRecord) -> Option<Transition> {
        let (common, least_label) = self.least_supported();
        let target = self.target();
        match level.phase {
            Phase::Idle | Phase::Finalized if target > level.active => {
                let mut transition = self.transition(level, Phase::Mixed, "a newer build is there");
                transition.level.target = target;
                Some(transition)
            }
            Phase::Mixed if target <= level.active => {
                let phase = self.resting_phase(level.active);
                let mut transition = self.transition(level, phase, "no newer build is left");
                transition.level.target = level.active;
                transition.level.pause = None;
                Some(transition)
            }
            Phase::Mixed if common > level.active => {
                let mut transition =
                    self.transition(level, Phase::Ready, "every controller supports it");
                transition.level.target = common;
                Some(transition)
            }
            Phase::Ready if common <= level.active => {
                let mut transition = self.transition(level, Phase::Mixed, "a controller went back");
                transition.level.pause = Some(PauseReason::Regressed {
                    label: least_label.to_string(),
                });
                Some(transition)
            }
            _ if level.pause.is_some() || !self.all_confirmed() => None,
            Phase::Ready => {
                let mut transition =
                    self.transition(level, Phase::Soaking, "every controller is heard");
                transition.level.active = common;
                transition.level.target = common;
                Some(transition)
            }
            Phase::Soaking if self.may_finalize && self.leader_is_announced() => {
                Some(self.transition(level, Phase::Finalized, "it soaked without trouble"))
            }
            _ => None,
        }
    }
}
