//! The watch on the records of open jobs, by which the leader learns of submissions and cancellations.
//!
//! If the watch has fallen too far behind, or fails repeatedly, all open jobs are read again, page by page.

use super::Leader;
use crate::effects::Effects;
use crate::requests::{Priority, Reread, StateOp, StatePurpose, StateReply};
use ciborium::Value;
use constants::{STATE_RETRY_MS, WATCH_FAILURES_MAX, WATCH_HOLD_MS, WATCH_INTERVAL_MIN_MS};
use wire::records::{JobRecord, JOB_PREFIX};
use wire::state::{Change, Changes, Page};

/// State of the watch. Times are of the monotonic clock, in milliseconds.
#[derive(Debug, Clone, Default)]
pub(super) struct JobWatch {
    /// Revision from which the next watch continues; 0 while nothing has been read.
    pub revision: u64,
    /// Time up to which this leader knows every cancellation that was confirmed to a user: when the last watch or
    /// listing that completed was sent. 0 while nothing has been read.
    pub cancellations_known_until: u64,
    /// Whether a watch, or a listing of all open jobs, is in flight.
    pub in_flight: bool,
    /// When the next watch may be sent.
    pub retry_at: u64,
    /// Number of consecutive failed watches.
    pub failures: u32,
}

impl JobWatch {
    /// Records that a watch or listing has completed: everything up to `revision` is known, and every cancellation that
    /// was confirmed before `sent_at`.
    fn advance(&mut self, revision: u64, sent_at: u64) {
        self.revision = self.revision.max(revision);
        self.cancellations_known_until = self.cancellations_known_until.max(sent_at);
    }
}

impl Leader {
    /// Sends the next watch unless one is in flight or the delay before the next one has not passed.
    pub(super) fn open_job_watch(&mut self, effects: &mut Effects) {
        let now = effects.now.mono;
        if self.job_watch.in_flight || now < self.job_watch.retry_at {
            return;
        }
        self.job_watch.in_flight = true;
        let op = StateOp::Watch {
            prefix: JOB_PREFIX,
            from: self.job_watch.revision,
            hold_ms: WATCH_HOLD_MS,
        };
        // With the priority of the leader's own writes, the watch, and with it cancellations, could be delayed by
        // seconds.
        self.send_state_request(Priority::Leadership, op, StatePurpose::Watch(now), effects);
    }

    /// Handles the reply to the watch that was sent at `sent_at`.
    pub(super) fn on_watch_reply(
        &mut self,
        sent_at: u64,
        reply: StateReply,
        effects: &mut Effects,
    ) {
        self.job_watch.in_flight = false;
        match reply {
            StateReply::Changes(changes) => self.on_changes(sent_at, changes, effects),
            StateReply::TooOld => self.reread_jobs(effects),
            _ => self.on_watch_failure(effects),
        }
    }

    fn on_changes(&mut self, sent_at: u64, changes: Changes, effects: &mut Effects) {
        self.job_watch.failures = 0;
        self.apply_changes(sent_at, changes, effects);
        self.job_watch.retry_at = effects.now.mono + WATCH_INTERVAL_MIN_MS;
        self.tick(false, effects);
    }

    /// Applies the changes that a watch or a read, sent at `sent_at`, has returned. Changes that are known already have
    /// no effect.
    pub(super) fn apply_changes(&mut self, sent_at: u64, changes: Changes, effects: &mut Effects) {
        for change in changes.changes {
            self.on_change(change, effects);
        }
        self.job_watch.advance(changes.revision, sent_at);
    }

    fn on_watch_failure(&mut self, effects: &mut Effects) {
        self.job_watch.failures += 1;
        self.job_watch.retry_at = effects.now.mono + STATE_RETRY_MS;
        // The reply to a watch has no size limit: one that is too large to be read would be sent again on every retry.
        if self.job_watch.failures >= WATCH_FAILURES_MAX {
            self.reread_jobs(effects);
        }
    }

    /// Starts to read all open jobs instead of their changes.
    fn reread_jobs(&mut self, effects: &mut Effects) {
        log::info!(
            "event=resync from={} fails={}",
            self.job_watch.revision,
            self.job_watch.failures
        );
        self.job_watch.failures = 0;
        self.job_watch.in_flight = true;
        let reread = Reread {
            started_at: effects.now.mono,
            first_page_revision: 0,
        };
        self.request_reread_page(reread, String::new(), effects);
    }

    fn request_reread_page(&self, reread: Reread, from: String, effects: &mut Effects) {
        let op = StateOp::List {
            prefix: JOB_PREFIX,
            from,
        };
        let request = StatePurpose::Resync(reread);
        self.send_state_request(Priority::LeaderRecords, op, request, effects);
    }

    /// Handles the reply to a request for a page of all open jobs.
    pub(super) fn on_reread_reply(
        &mut self,
        reread: Reread,
        reply: StateReply,
        effects: &mut Effects,
    ) {
        let StateReply::Page(page) = reply else {
            self.job_watch.in_flight = false;
            self.job_watch.retry_at = effects.now.mono + STATE_RETRY_MS;
            return;
        };
        let revision = match reread.first_page_revision {
            0 => page.revision,
            first => first,
        };
        match self.on_reread_page(page, effects) {
            Some(from) => {
                let reread = Reread {
                    first_page_revision: revision,
                    ..reread
                };
                self.request_reread_page(reread, from, effects);
            }
            None => {
                self.job_watch.advance(revision, reread.started_at);
                self.job_watch.in_flight = false;
                self.tick(false, effects);
            }
        }
    }

    /// Handles the jobs of a page. Returns the key to continue from if more pages follow.
    fn on_reread_page(&mut self, page: Page, effects: &mut Effects) -> Option<String> {
        let last_key = page.items.last().map(|item| item.key.clone());
        for item in page.items {
            self.on_job_record(&item.key, &item.value, item.version, effects);
        }
        last_key.filter(|_| page.has_more)
    }

    fn on_change(&mut self, change: Change, effects: &mut Effects) {
        // A change without a value is a deletion. Only this leader archives jobs, so it already knows of the deletion.
        if let (Some(key), Some(value)) = (change.put_key, change.value) {
            self.on_job_record(&key, &value, change.version, effects);
        }
    }

    fn on_job_record(&mut self, key: &str, value: &Value, version: u64, effects: &mut Effects) {
        let Some(id) = key.strip_prefix(JOB_PREFIX) else {
            return;
        };
        let Ok(record) = value.deserialized::<JobRecord>() else {
            log::error!("event=record_unreadable key={key}");
            return;
        };
        self.update_from_job_record(id, record, version, effects);
    }
}
