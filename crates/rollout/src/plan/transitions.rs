//! Which transition of an upgrade is due.

use crate::heartbeats::Liveness;
use crate::levels::Level;
use crate::plan::{Controller, PlanningInput, Transition};
use crate::snapshot::Stored;
use wire::records::{LevelRecord, PauseReason, RolloutPhase};

/// Reason of the transition that resumes a paused upgrade, for the log.
pub(crate) const RESUMED: &str = "resumed";

impl PlanningInput<'_> {
    /// Newest level that a controller is known to support. A controller that has announced nothing, or runs another
    /// process than the one that announced, may run any build that is admitted at the finalized level.
    fn supported_level(&self, controller: &Controller) -> Level {
        let announced = self.snapshot.member(&controller.label);
        match (announced, controller.liveness) {
            (None, _) | (Some(_), Liveness::Unannounced) => self.snapshot.finalized(),
            (Some(member), _) => member.newest_level,
        }
    }

    /// The newest level that every controller supports, and the label of a controller that supports no newer one.
    fn common_level(&self) -> (Level, &str) {
        let supported = self.controllers.iter();
        let supported = supported.map(|c| (self.supported_level(c), c.label.as_str()));
        supported.min().unwrap_or((self.snapshot.finalized(), ""))
    }

    /// The newest level that any configured controller supports.
    fn target_level(&self) -> Level {
        let supported = self.controllers.iter().map(|c| self.supported_level(c));
        supported.max().unwrap_or(self.snapshot.finalized())
    }

    /// Whether every controller sends heartbeats from the process that announced itself.
    fn all_confirmed(&self) -> bool {
        let mut controllers = self.controllers.iter();
        controllers.all(|c| c.liveness == Liveness::Confirmed)
    }

    /// Whether the process that leads has announced itself, or there is no leader. The leader is read after the term,
    /// whose version is a condition of finalization, so no other process can have been elected since.
    fn leader_has_announced(&self) -> bool {
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
        let (common, label) = self.common_level();
        let not_confirmed = self
            .controllers
            .iter()
            .find(|c| c.liveness != Liveness::Confirmed);
        match (level.phase, not_confirmed) {
            (RolloutPhase::Idle | RolloutPhase::Finalized, _) => "nothing".into(),
            (RolloutPhase::Mixed, _) => format!("{label}, which supports level {common}"),
            (_, Some(controller)) => format!("a heartbeat of {}", controller.label),
            (RolloutPhase::Ready, None) => "the next look".into(),
            (RolloutPhase::Soaking, None) => "finalization".into(),
        }
    }

    /// The next transition, if one is due.
    pub fn next_transition(&self) -> Option<Transition> {
        let level = self.snapshot.level.record()?;
        if self.snapshot.mark.is_unreadable() {
            return None;
        }
        self.catch_up_with_mark(level)
            .or_else(|| self.lower_active_level(level))
            .or_else(|| self.pause_or_resume(level))
            .or_else(|| self.advance(level))
    }

    /// A transition that changes only the phase.
    fn transition(
        &self,
        from: &LevelRecord,
        phase: RolloutPhase,
        reason: &'static str,
    ) -> Transition {
        Transition {
            level: LevelRecord {
                phase,
                transition_count: from.transition_count + 1,
                last_transition_ms: self.unix_ms,
                ..from.clone()
            },
            reason,
        }
    }

    /// The phase while the target is not above the active level.
    fn phase_at_target(&self, active: Level) -> RolloutPhase {
        let finalized = self.snapshot.finalized();
        match (active > finalized, finalized > 0) {
            (true, _) => RolloutPhase::Soaking,
            (false, true) => RolloutPhase::Finalized,
            (false, false) => RolloutPhase::Idle,
        }
    }

    /// Raises the active level if the mark is above it, since a build of generation 1 has raised the mark.
    fn catch_up_with_mark(&self, level: &LevelRecord) -> Option<Transition> {
        let finalized = self.snapshot.finalized();
        (level.active < finalized).then(|| {
            let mut transition = self.transition(
                level,
                self.phase_at_target(finalized),
                "the finalized level is above the active level",
            );
            transition.level.active = finalized;
            transition.level.target = level.target.max(finalized);
            transition
        })
    }

    /// Lowers the active level if some controller no longer supports it.
    fn lower_active_level(&self, level: &LevelRecord) -> Option<Transition> {
        let (common, label) = self.common_level();
        let active = common.max(self.snapshot.finalized());
        (active < level.active).then(|| {
            let mut transition = self.transition(
                level,
                RolloutPhase::Mixed,
                "a controller does not support the active level",
            );
            transition.level.active = active;
            transition.level.pause = Some(PauseReason::Regressed {
                label: label.to_string(),
            });
            transition
        })
    }

    /// Pauses the upgrade for a new reason, or resumes it if there is no reason anymore.
    fn pause_or_resume(&self, level: &LevelRecord) -> Option<Transition> {
        match (&self.pause_reason, &level.pause) {
            (Some(reason), pause) if pause.as_ref() != Some(reason) => {
                let mut transition = self.transition(level, level.phase, "paused");
                transition.level.pause = Some(reason.clone());
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

    /// The next step of the upgrade if no other transition is due.
    fn advance(&self, level: &LevelRecord) -> Option<Transition> {
        let (common, label) = self.common_level();
        let target = self.target_level();
        match level.phase {
            RolloutPhase::Idle | RolloutPhase::Finalized if target > level.active => {
                let mut transition = self.transition(
                    level,
                    RolloutPhase::Mixed,
                    "a controller supports a newer level",
                );
                transition.level.target = target;
                Some(transition)
            }
            RolloutPhase::Mixed if target <= level.active => {
                let phase = self.phase_at_target(level.active);
                let mut transition =
                    self.transition(level, phase, "no controller supports a newer level");
                transition.level.target = level.active;
                transition.level.pause = None;
                Some(transition)
            }
            RolloutPhase::Mixed if common > level.active => {
                let mut transition = self.transition(
                    level,
                    RolloutPhase::Ready,
                    "every controller supports a newer level",
                );
                transition.level.target = common;
                Some(transition)
            }
            RolloutPhase::Ready if common <= level.active => {
                let mut transition = self.transition(
                    level,
                    RolloutPhase::Mixed,
                    "a controller no longer supports the newer level",
                );
                transition.level.pause = Some(PauseReason::Regressed {
                    label: label.to_string(),
                });
                Some(transition)
            }
            _ if level.pause.is_some() || !self.all_confirmed() => None,
            RolloutPhase::Ready => {
                let mut transition = self.transition(
                    level,
                    RolloutPhase::Soaking,
                    "every controller sends heartbeats",
                );
                transition.level.active = common;
                transition.level.target = common;
                Some(transition)
            }
            RolloutPhase::Soaking if self.may_finalize && self.leader_has_announced() => {
                Some(self.transition(
                    level,
                    RolloutPhase::Finalized,
                    "the soak period is complete",
                ))
            }
            _ => None,
        }
    }
}
