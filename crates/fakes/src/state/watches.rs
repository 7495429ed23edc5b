//! Watches: requests that are answered once something changes under a prefix.

use super::FakeState;
use wire::state::{Change, Changes};

/// Who waits for the answer of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Waiter {
    /// The node, or another number that the caller has chosen.
    pub node: usize,
    /// The number of its call.
    pub call: u64,
}

/// An open watch.
pub struct Watch {
    /// Who waits.
    pub waiter: Waiter,
    pub(super) prefix: String,
    /// Revision after which changes are of interest.
    pub(super) from: u64,
    pub(super) until: u64,
}

impl FakeState {
    /// Closes the watches that have changes or whose time is over, and returns their answers. Those of silent nodes
    /// stay open.
    pub fn due_watches(
        &mut self,
        now: u64,
        is_silent: impl Fn(usize) -> bool,
    ) -> Vec<(Waiter, Vec<u8>)> {
        let mut due = Vec::new();
        let (log, revision) = (&self.log, self.revision);
        self.watches.retain(|watch| {
            if is_silent(watch.waiter.node) {
                return true;
            }
            let events = changes_of(watch, log);
            if events.is_empty() && now < watch.until {
                return true;
            }
            let changes = Changes {
                revision,
                changes: events,
            };
            due.push((watch.waiter, wire::encode(&changes)));
            false
        });
        due
    }
}

fn changes_of(watch: &Watch, log: &[Change]) -> Vec<Change> {
    let concerns = |change: &&Change| {
        let key = change.put_key.as_ref().or(change.deleted_key.as_ref());
        change.version > watch.from && key.is_some_and(|key| key.starts_with(&watch.prefix))
    };
    log.iter().filter(concerns).cloned().collect()
}
