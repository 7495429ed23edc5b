//! Reading the records of an upgrade, one request after the other.

use super::{Output, RolloutStateMachine, Step};
use crate::request::{Reply, Request};
use crate::snapshot::Stored;
use serde::de::DeserializeOwned;
use wire::records::{
    RolloutPhase, CLUSTER_LEVEL_KEY, COMMON_GENERATION_KEY, MEMBER_PREFIX, ROLLOUT_PREFIX,
};
use wire::state::Item;

impl RolloutStateMachine {
    /// The request for the next page of the level and the announcements.
    pub(super) fn list_request(&self) -> Request {
        Request::List {
            prefix: ROLLOUT_PREFIX,
            start_after: self.list_after.clone(),
        }
    }

    /// Adds a page of the level and the announcements to the partial snapshot.
    pub(super) fn on_members(&mut self, items: Vec<Item>, more: bool) -> Output {
        let last_key = items.last().map(|item| item.key.clone());
        for item in items {
            if item.key == CLUSTER_LEVEL_KEY {
                self.partial_snapshot.level = stored_record(Reply::Item(item));
            } else if let Some(label) = item.key.strip_prefix(MEMBER_PREFIX).map(str::to_string) {
                let member = stored_record(Reply::Item(item));
                self.partial_snapshot.members.insert(label, member);
            }
        }
        match last_key.filter(|_| more) {
            Some(last_key) => {
                self.list_after = last_key;
                self.send(Step::ReadMembers, self.list_request())
            }
            None => self.send(Step::ReadMark, Request::Get(COMMON_GENERATION_KEY)),
        }
    }

    /// Whether the level may be finalized next. Term and leader are read only in that case.
    pub(super) fn may_finalize_next(&self) -> bool {
        let level = self.partial_snapshot.level.record();
        level.is_some_and(|level| level.phase == RolloutPhase::Soaking)
            && self.policy.finalizes_automatically
    }
}

/// The record that a reply contains.
pub(super) fn stored_record<T: DeserializeOwned>(reply: Reply) -> Stored<T> {
    let Reply::Item(item) = reply else {
        return Stored::Missing;
    };
    let version = item.version;
    match item.value.deserialized() {
        Ok(record) => Stored::Known { record, version },
        Err(_) => Stored::Unreadable { version },
    }
}
