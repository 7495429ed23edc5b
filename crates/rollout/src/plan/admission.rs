//! Which builds may take part in the cluster, and the announcement of a process.

use crate::identity::Identity;
use crate::levels::LevelRange;
use crate::snapshot::{Snapshot, Stored};
use wire::records::{
    member_key, LevelRecord, MemberRecord, PauseReason, RolloutPhase, CLUSTER_LEVEL_KEY,
    COMMON_GENERATION_KEY,
};
use wire::state::{Compare, Txn, Write};

/// Whether a build with this range may take part: its newest level is not below the finalized level, and its oldest
/// level is not above the active level.
pub fn is_admitted(range: LevelRange, snapshot: &Snapshot) -> bool {
    range.newest() >= snapshot.finalized() && range.oldest() <= snapshot.active()
}

/// The condition that nothing has been finalized since a snapshot was read. Each election has it: a process that was
/// admitted and then stalled must not be elected by that earlier admission.
pub fn admission_condition(snapshot: &Snapshot) -> Compare {
    Compare::new(COMMON_GENERATION_KEY, snapshot.mark.version())
}

/// The transaction that announces a process, if its announcement is not stored yet. If the process does not support the
/// active level, the same transaction lowers that level to its newest one, so that the active level never exceeds what
/// is announced.
///
/// A build that is not admitted announces nothing. Nor does any build that can't read the level or the mark, since it
/// would have to guess the finalized level.
pub fn announcement_transaction(
    identity: &Identity,
    snapshot: &Snapshot,
    unix_ms: u64,
) -> Option<Txn> {
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
    let level = level_after_announcement(identity, snapshot, unix_ms);
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

/// The level record that an announcement writes.
fn level_after_announcement(identity: &Identity, snapshot: &Snapshot, unix_ms: u64) -> LevelRecord {
    let stored = snapshot.level.record().cloned();
    let mut level = stored.unwrap_or_else(|| LevelRecord::idle(snapshot.finalized(), unix_ms));
    level.announcement_count += 1;
    level.active = snapshot.active();
    let newest = identity.range.newest();
    if newest < level.active {
        level.active = newest;
        level.phase = RolloutPhase::Mixed;
        level.transition_count += 1;
        level.last_transition_ms = unix_ms;
        level.pause = Some(PauseReason::Regressed {
            label: identity.label.clone(),
        });
    }
    level
}
