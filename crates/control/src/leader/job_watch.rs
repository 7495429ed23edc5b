//! The watch of the open jobs: how the leader learns of submissions and cancellations.
//!
//! If the watch has fallen too far behind, or fails again and again, all open jobs are read anew, page by page.

use super::Leader;
use crate::effects::Effects;
use crate::requests::{LeaderRequest, Priority, Reread, StateOp, StateReply};
use ciborium::Value;
use constants::{STATE_RETRY_MS, WATCH_EVERY_MS, WATCH_TRIES};
use wire::records::{JobRecord, JOB_PREFIX};
use wire::state::{Change, Changes, Page};

/// State of the watch. Times are of the steady clock, in milliseconds.
#[derive(Debug, Clone, Default)]
pub(super) struct JobWatch {
    /// Revision from which the next watch continues; 0 while nothing has been read.
    pub revision: u64,
    /// Moment up to which every cancellation that was confirmed to a user is known here: when the reading or the last
    /// watch was sent that was answered in full. 0 while nothing has been read.
    pub informed_until: u64,
    /// A watch, or a reading of all open jobs, is under way.
    pub open: bool,
    /// When the next watch may be sent.
    pub retry_at: u64,
    /// Watches that failed in a row.
    pub failures: u32,
}

impl JobWatch {
    /// A watch or reading has ended: everything up to `revision` is known, and every cancellation that was confirmed
    /// before `sent`.
    fn advance(&mut self, revision: u64, sent: u64) {
        self.revision = self.revision.max(revision);
        self.informed_until = self.informed_until.max(sent);
    }
}

impl Leader {
    /// Sends the next watch once the last one has ended.
    pub(super) fn open_job_watch(&mut self, effects: &mut Effects) {
        let now = effects.now.mono;
        if self.job_watch.open || now < self.job_watch.retry_at {
            return;
        }
        self.job_watch.open = true;
        let op = StateOp::Watch {
            prefix: JOB_PREFIX,
            from: self.job_watch.revision,
        };
        // Behind the leader's own writes it could wait for seconds, and cancellations with it.
        self.send_state_request(Priority::Leadership, op, LeaderRequest::Watch(now), effects);
    }

    /// The watch that was sent at `sent` has ended.
    pub(super) fn on_watch(&mut self, sent: u64, reply: StateReply, effects: &mut Effects) {
        self.job_watch.open = false;
        match reply {
            StateReply::Changes(changes) => self.on_changes(sent, changes, effects),
            StateReply::TooOld => self.reread_jobs(effects),
            _ => self.on_watch_failure(effects),
        }
    }

    fn on_changes(&mut self, sent: u64, changes: Changes, effects: &mut Effects) {
        self.job_watch.failures = 0;
        for change in changes.changes {
            self.on_change(change, effects);
        }
        self.job_watch.advance(changes.revision, sent);
        self.job_watch.retry_at = effects.now.mono + WATCH_EVERY_MS;
        self.tick(false, effects);
    }

    fn on_watch_failure(&mut self, effects: &mut Effects) {
        self.job_watch.failures += 1;
        self.job_watch.retry_at = effects.now.mono + STATE_RETRY_MS;
        // A watch's answer has no size limit: one too large to be read would come again and again.
        if self.job_watch.failures >= WATCH_TRIES {
            self.reread_jobs(effects);
        }
    }

    /// Starts to read all open jobs, in place of what has changed.
    fn reread_jobs(&mut self, effects: &mut Effects) {
        log::info!(
            "event=resync from={} fails={}",
            self.job_watch.revision,
            self.job_watch.failures
        );
        self.job_watch.failures = 0;
        self.job_watch.open = true;
        let reread = Reread {
            since: effects.now.mono,
            revision: 0,
        };
        self.request_reread_page(reread, String::new(), effects);
    }

    fn request_reread_page(&self, reread: Reread, from: String, effects: &mut Effects) {
        let op = StateOp::List {
            prefix: JOB_PREFIX,
            from,
        };
        let request = LeaderRequest::Resync(reread);
        self.send_state_request(Priority::LeaderRecords, op, request, effects);
    }

    /// A page of all open jobs has arrived, or the request for it has failed.
    pub(super) fn on_resync(&mut self, reread: Reread, reply: StateReply, effects: &mut Effects) {
        let StateReply::Page(page) = reply else {
            self.job_watch.open = false;
            self.job_watch.retry_at = effects.now.mono + STATE_RETRY_MS;
            return;
        };
        let revision = match reread.revision {
            0 => page.revision,
            first => first,
        };
        match self.on_reread_page(page, effects) {
            Some(from) => {
                let reread = Reread { revision, ..reread };
                self.request_reread_page(reread, from, effects);
            }
            None => {
                self.job_watch.advance(revision, reread.since);
                self.job_watch.open = false;
                self.tick(false, effects);
            }
        }
    }

    /// Takes the jobs of a page; the key to continue from, if more follow.
    fn on_reread_page(&mut self, page: Page, effects: &mut Effects) -> Option<String> {
        let last_key = page.items.last().map(|item| item.key.clone());
        for item in page.items {
            self.on_job_record(&item.key, &item.value, item.version, effects);
        }
        last_key.filter(|_| page.has_more)
    }

    fn on_change(&mut self, change: Change, effects: &mut Effects) {
        // A change without a value deletes a record. Only this leader archives jobs, so it knows of that already.
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
