//! What may be written of an upgrade, as pure functions of what was read and observed.
//!
//! Every transaction computed here has the version of the level record among its conditions, and each writes that record.
//! So of two that were computed from the same reading one at most is executed, whoever computed them and however late
//! they arrive; and an announcement that comes between a reading and a transition fails the transition.

use crate::identity::Identity;
use crate::levels::{Feature, Level, LevelRange};
use crate::observation::Liveness;
use crate::snapshot::{Snapshot, Stored};
use wire::records::{
    member_key, GenerationRecord, LevelRecord, MemberRecord, PauseReason, Phase, TermRecord, LEVEL,
    MARK, TERM,
};
use wire::state::{Compare, Txn, Write};

/// Whether a build with this range may take part: it can run what is final, and what is active is not behind it.
pub fn is_admitted(range: LevelRange, snapshot: &Snapshot) -> bool {
    range.newest() >= snapshot.finalized() && range.oldest() <= snapshot.active()
}

/// The condition that nothing has become final since a snapshot was read. Part of each election: a process that was
/// admitted once, and then stood still, is not elected on the strength of that.
pub fn admission_guard(snapshot: &Snapshot) -> Compare {
    Compare::new(MARK, snapshot.mark.version())
}

/// The announcement of a process, if it is not stored yet. The active level goes back with it to what it can run, in the
/// same transaction, so that the level never exceeds what is announced.
///
/// A build that is not admitted announces nothing; nor does any where the level or the mark can't be read, since what is
/// final would be a guess.
pub fn announcement(identity: &Identity, snapshot: &Snapshot, unix: u64) -> Option<Txn> {
    if !is_admitted(identity.range, snapshot)
        || snapshot.level.is_unreadable()
        || snapshot.mark.is_unreadable()
    {
        return None;
    }
    let key = member_key(&identity.label);
    let stored = snapshot.members.get(&identity.label);
    let member = MemberRecord {
        oldest: identity.range.oldest(),
        newest: identity.range.newest(),
        build: identity.build.clone(),
        boot: identity.boot,
        unknown: stored
            .and_then(Stored::record)
            .map(|record| record.unknown.clone())
            .unwrap_or_default(),
    };
    if stored.and_then(Stored::record) == Some(&member) {
        return None;
    }
    let level = announced_level(identity, snapshot, unix);
    Some(Txn {
        compares: vec![
            Compare::new(LEVEL, snapshot.level.version()),
            Compare::new(MARK, snapshot.mark.version()),
            Compare::new(key.clone(), stored.map_or(0, Stored::version)),
        ],
        writes: vec![Write::put(key, &member), Write::put(LEVEL, &level)],
    })
}

/// The level record as an announcement leaves it.
fn announced_level(identity: &Identity, snapshot: &Snapshot, unix: u64) -> LevelRecord {
    let stored = snapshot.level.record().cloned();
    let mut level = stored.unwrap_or_else(|| LevelRecord::idle(snapshot.finalized(), unix));
    level.announcements += 1;
    level.active = snapshot.active();
    let newest = identity.range.newest();
    if newest < level.active {
        level.active = newest;
        level.phase = Phase::Mixed;
        level.number += 1;
        level.since = unix;
        level.pause = Some(PauseReason::Regressed {
            label: identity.label.clone(),
        });
    }
    level
}

/// A configured controller, as it is observed.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Controller {
    /// Its label.
    pub label: String,
    /// How its heartbeats compare with its announcement.
    pub liveness: Liveness,
}

/// What a transition is decided on.
#[derive(Debug, Clone)]
pub struct View<'a> {
    /// What was read.
    pub snapshot: &'a Snapshot,
    /// All configured controllers, this one included.
    pub controllers: &'a [Controller],
    /// What speaks against going on.
    pub trouble: Option<PauseReason>,
    /// Whether the level has been active long enough without trouble, and may be finalized.
    pub may_finalize: bool,
    /// Time of day in milliseconds.
    pub unix: u64,
}

/// A step of an upgrade.
#[derive(Debug, Clone, PartialEq)]
pub struct Transition {
    /// The level record after it.
    pub level: LevelRecord,
    /// Why, for the log.
    pub why: &'static str,
}

impl View<'_> {
    /// Newest level that a controller is known to support. One that has announced nothing, or runs another process than
    /// the one that did, may be any build that what is final admits.
    fn supported(&self, controller: &Controller) -> Level {
        let announced = self.snapshot.member(&controller.label);
        match (announced, controller.liveness) {
            (None, _) | (Some(_), Liveness::Unannounced) => self.snapshot.finalized(),
            (Some(member), _) => member.newest,
        }
    }

    /// The controller that supports least, and what.
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

    /// The next step, if one is due.
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

    fn step(&self, from: &LevelRecord, phase: Phase, why: &'static str) -> Transition {
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

    /// Phase where nothing newer is aimed at.
    fn settled(&self, active: Level) -> Phase {
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
            let mut step = self.step(level, self.settled(finalized), "the mark was raised");
            step.level.active = finalized;
            step.level.target = level.target.max(finalized);
            step
        })
    }

    /// Some controller no longer supports what is active.
    fn lower(&self, level: &LevelRecord) -> Option<Transition> {
        let (least, label) = self.least_supported();
        let active = least.max(self.snapshot.finalized());
        (active < level.active).then(|| {
            let mut step = self.step(
                level,
                Phase::Mixed,
                "a controller does not support the level",
            );
            step.level.active = active;
            step.level.pause = Some(PauseReason::Regressed {
                label: label.to_string(),
            });
            step
        })
    }

    fn pause_or_resume(&self, level: &LevelRecord) -> Option<Transition> {
        match (&self.trouble, &level.pause) {
            (Some(trouble), pause) if pause.as_ref() != Some(trouble) => {
                let mut step = self.step(level, level.phase, "paused");
                step.level.pause = Some(trouble.clone());
                Some(step)
            }
            (None, Some(_)) => {
                let mut step = self.step(level, level.phase, "resumed");
                step.level.pause = None;
                Some(step)
            }
            _ => None,
        }
    }

    fn advance(&self, level: &LevelRecord) -> Option<Transition> {
        let (common, least_label) = self.least_supported();
        let target = self.target();
        match level.phase {
            Phase::Idle | Phase::Finalized if target > level.active => {
                let mut step = self.step(level, Phase::Mixed, "a newer build is there");
                step.level.target = target;
                Some(step)
            }
            Phase::Mixed if target <= level.active => {
                let phase = self.settled(level.active);
                let mut step = self.step(level, phase, "no newer build is left");
                step.level.target = level.active;
                step.level.pause = None;
                Some(step)
            }
            Phase::Mixed if common > level.active => {
                let mut step = self.step(level, Phase::Ready, "every controller supports it");
                step.level.target = common;
                Some(step)
            }
            Phase::Ready if common <= level.active => {
                let mut step = self.step(level, Phase::Mixed, "a controller went back");
                step.level.pause = Some(PauseReason::Regressed {
                    label: least_label.to_string(),
                });
                Some(step)
            }
            _ if level.pause.is_some() || !self.all_confirmed() => None,
            Phase::Ready => {
                let mut step = self.step(level, Phase::Soaking, "every controller is heard");
                step.level.active = common;
                step.level.target = common;
                Some(step)
            }
            Phase::Soaking if self.may_finalize && self.leader_is_announced() => {
                Some(self.step(level, Phase::Finalized, "it soaked without trouble"))
            }
            _ => None,
        }
    }
}

/// The transaction of a step. Finalizing raises the mark, and writes the term in the layout that keeps builds without
/// rollouts from leading, if the level has it; `None` if the term can't be read.
pub fn transaction(snapshot: &Snapshot, step: &Transition) -> Option<Txn> {
    let mut txn = Txn {
        compares: vec![
            Compare::new(LEVEL, snapshot.level.version()),
            Compare::new(MARK, snapshot.mark.version()),
        ],
        writes: vec![Write::put(LEVEL, &step.level)],
    };
    let finalizes =
        step.level.phase == Phase::Finalized && step.level.active > snapshot.finalized();
    if finalizes {
        let term = snapshot.term.record()?;
        txn.compares
            .push(Compare::new(TERM, snapshot.term.version()));
        txn.writes
            .push(Write::put(MARK, &raised_mark(snapshot, step.level.active)));
        if Feature::FencedTerm.is_in(step.level.active) && !term.fenced {
            let fenced = TermRecord {
                fenced: true,
                ..term.clone()
            };
            txn.writes.push(Write::put(TERM, &fenced));
        }
    }
    Some(txn)
}

/// The transaction that makes a level final by proof, whoever has announced what.
pub fn proven(snapshot: &Snapshot, level: Level) -> Txn {
    Txn {
        compares: vec![Compare::new(MARK, snapshot.mark.version())],
        writes: vec![Write::put(MARK, &raised_mark(snapshot, level))],
    }
}

fn raised_mark(snapshot: &Snapshot, level: Level) -> GenerationRecord {
    let unknown = snapshot.mark.record().map(|mark| mark.unknown.clone());
    GenerationRecord {
        generation: level,
        unknown: unknown.unwrap_or_default(),
    }
}
