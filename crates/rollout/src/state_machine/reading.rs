//! Reading the records of an upgrade, one request after the other.

use super::{Output, RolloutMachine, Step};
use crate::request::{Reply, Request};
use crate::snapshot::Stored;
use serde::de::DeserializeOwned;
use wire::records::{Phase, LEVEL, MARK, MEMBERS, ROLLOUT};
use wire::state::Item;

impl RolloutMachine {
    /// The next page of the level and the announcements.
    pub(super) fn list_request(&self) -> Request {
        Request::List {
            prefix: ROLLOUT,
            from: self.read_from.clone(),
        }
    }

    pub(super) fn on_members(&mut self, items: Vec<Item>, more: bool) -> Output {
        let last = items.last().map(|item| item.key.clone());
        for item in items {
            if item.key == LEVEL {
                self.reading.level = stored(Reply::Item(item));
            } else if let Some(label) = item.key.strip_prefix(MEMBERS).map(str::to_string) {
                let member = stored(Reply::Item(item));
                self.reading.members.insert(label, member);
            }
        }
        match last.filter(|_| more) {
            Some(last) => {
                self.read_from = last;
                self.send(Step::ReadMembers, self.list_request())
            }
            None => self.send(Step::ReadMark, Request::Get(MARK)),
        }
    }

    /// Whether the level may be finalized next. Term and leader are read only for that.
    pub(super) fn is_about_to_finalize(&self) -> bool {
        let level = self.reading.level.record();
        level.is_some_and(|level| level.phase == Phase::Soaking) && self.policy.finalizes
    }
}

/// A record as a reply contains it.
pub(super) fn stored<T: DeserializeOwned>(reply: Reply) -> Stored<T> {
    let Reply::Item(item) = reply else {
        return Stored::Missing;
    };
    let version = item.version;
    match item.value.deserialized() {
        Ok(record) => Stored::Known { record, version },
        Err(_) => Stored::Unreadable { version },
    }
}
