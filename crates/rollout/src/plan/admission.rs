//! Which builds may take part, and how a process announces itself.

use crate::identity::Identity;
use crate::levels::LevelRange;
use crate::snapshot::{Snapshot, Stored};
use wire::records::{
    member_key, LevelRecord, MemberRecord, PauseReason, RolloutPhase, CLUSTER_LEVEL_KEY,
    COMMON_GENERATION_KEY,
};
use wire::state::{Compare, Txn, Write};

/// Whether a build with this range may take part: it can run what is final, and what is active is not behind it.
pub fn is_admitted(range: LevelRange, snapshot: &Snapshot) -> bool {
    range.newest() >= snapshot.finalized() && range.oldest() <= snapshot.active()
}

/// The condition that nothing has become final since a snapshot was read. Part of each election: a process that was
/// admitted once, and then stood still, must not be elected because of that admission.
pub fn admission_guard(snapshot: &Snapshot) -> Compare {
    Compare::new(COMMON_GENERATION_KEY, snapshot.mark.version())
}

/// The announcement of a process, if it is not stored yet. The active level goes back with it to what it can run, in
/// the same transaction, so that the level never exceeds what is announced.
///
/// A build that is not admitted announces nothing; nor does any where the level or the mark can't be read, since the
/// final level would be a guess.
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
        oldest_level: identity.range.oldest(),
        newest_level: identity.range.newest(),
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
            Compare::new(CLUSTER_LEVEL_KEY, snapshot.level.version()),
            Compare::new(COMMON_GENERATION_KEY, snapshot.mark.version()),
            Compare::new(key.clone(), stored.map_or(0, Stored::version)),
        ],
        writes: vec![
            Write::put(key, &member),
            Write::put(CLUSTER_LEVEL_KEY, &level),
        ],
    })
}

/// The level record as an announcement leaves it.
fn announced_level(identity: &Identity, snapshot: &Snapshot, unix: u64) -> LevelRecord {
    let stored = snapshot.level.record().cloned();
    let mut level = stored.unwrap_or_else(|| LevelRecord::idle(snapshot.finalized(), unix));
    level.announcement_count += 1;
    level.active = snapshot.active();
    let newest = identity.range.newest();
    if newest < level.active {
        level.active = newest;
        level.phase = RolloutPhase::Mixed;
        level.transition_count += 1;
        level.last_transition_ms = unix;
        level.pause = Some(PauseReason::Regressed {
            label: identity.label.clone(),
        });
    }
    level
}
