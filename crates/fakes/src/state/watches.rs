//! Watches: requests that are answered once a key under a prefix changes.

use super::FakeStateService;
use wire::state::{Change, Changes};

/// Identifies the call that awaits the response to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Caller {
    /// Index of the calling node, or another number that the caller has chosen.
    pub node: usize,
    /// Number of the call.
    pub call: u64,
}

/// An open watch.
pub struct Watch {
    /// The call that awaits the response.
    pub caller: Caller,
    pub(super) prefix: String,
    /// Revision after which changes are reported.
    pub(super) after_revision: u64,
    /// Time at which the watch is answered without changes.
    pub(super) expires_at: u64,
}

impl FakeStateService {
    /// Closes the watches that have changes or have expired, and returns their responses. Watches of nodes for which
    /// `is_silent` is true stay open.
    pub fn take_due_watches(
        &mut self,
        now: u64,
        is_silent: impl Fn(usize) -> bool,
    ) -> Vec<(Caller, Vec<u8>)> {
        let mut due = Vec::new();
        let (log, revision) = (&self.log, self.revision);
        self.watches.retain(|watch| {
            if is_silent(watch.caller.node) {
                return true;
            }
            let events = changes_of(watch, log);
            if events.is_empty() && now < watch.expires_at {
                return true;
            }
            let changes = Changes {
                revision,
                changes: events,
            };
            due.push((watch.caller, wire::encode(&changes)));
            false
        });
        due
    }
}

fn changes_of(watch: &Watch, log: &[Change]) -> Vec<Change> {
    let concerns = |change: &&Change| {
        let key = change.put_key.as_ref().or(change.deleted_key.as_ref());
        change.version > watch.after_revision
            && key.is_some_and(|key| key.starts_with(&watch.prefix))
    };
    log.iter().filter(concerns).cloned().collect()
}
