//! The transactions that write transitions.

use crate::levels::{Feature, Level};
use crate::plan::Transition;
use crate::snapshot::Snapshot;
use wire::records::{
    GenerationRecord, RolloutPhase, TermRecord, CLUSTER_LEVEL_KEY, COMMON_GENERATION_KEY, TERM_KEY,
};
use wire::state::{Compare, Txn, Write};

/// The transaction that writes a transition. Finalization also raises the mark and, if the level has
/// [`Feature::FencedTerm`], rewrites the term in the layout that keeps builds without staged upgrades from leading.
/// `None` if finalization is due and the term can't be read.
pub fn transition_transaction(snapshot: &Snapshot, transition: &Transition) -> Option<Txn> {
    let mut txn = Txn {
        compares: vec![
            Compare::new(CLUSTER_LEVEL_KEY, snapshot.level.version()),
            Compare::new(COMMON_GENERATION_KEY, snapshot.mark.version()),
        ],
        writes: vec![Write::put(CLUSTER_LEVEL_KEY, &transition.level)],
    };
    let finalizes = transition.level.phase == RolloutPhase::Finalized
        && transition.level.active > snapshot.finalized();
    if finalizes {
        let term = snapshot.term.record()?;
        txn.compares
            .push(Compare::new(TERM_KEY, snapshot.term.version()));
        txn.writes.push(Write::put(
            COMMON_GENERATION_KEY,
            &raised_mark(snapshot, transition.level.active),
        ));
        if Feature::FencedTerm.is_supported_at(transition.level.active) && !term.fenced {
            let fenced = TermRecord {
                fenced: true,
                ..term.clone()
            };
            txn.writes.push(Write::put(TERM_KEY, &fenced));
        }
    }
    Some(txn)
}

/// The transaction that finalizes a level because there is evidence that every controller runs it, regardless of the
/// announcements.
pub fn finalize_by_evidence(snapshot: &Snapshot, level: Level) -> Txn {
    Txn {
        compares: vec![Compare::new(COMMON_GENERATION_KEY, snapshot.mark.version())],
        writes: vec![Write::put(
            COMMON_GENERATION_KEY,
            &raised_mark(snapshot, level),
        )],
    }
}

/// The mark after a level is finalized. It keeps the fields that this build does not know.
fn raised_mark(snapshot: &Snapshot, level: Level) -> GenerationRecord {
    let unknown = snapshot.mark.record().map(|mark| mark.unknown.clone());
    GenerationRecord {
        generation: level,
        unknown: unknown.unwrap_or_default(),
    }
}
