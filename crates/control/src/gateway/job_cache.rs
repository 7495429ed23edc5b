//! What this node knows of jobs without asking the state service.
//!
//! How a job ended is final, so it may be answered from here. The version of an open job's record is a hint about
//! what to ask and never an answer: only a transaction that compares it with the store, sent after the question came,
//! makes it one.

use crate::recent_map::RecentMap;
use constants::{FINAL_CACHE, JOB_UPDATES_MAX, VERSION_CACHE};
use std::collections::HashMap;
use std::rc::Rc;
use wire::peers::JobUpdate;
use wire::records::JobOutcome;

/// How many of a job's tasks are done and running, for display.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct TaskCounts {
    /// Tasks that are done.
    pub(super) done: u32,
    /// Tasks that run.
    pub(super) running: u32,
}

/// An open job's record as last seen.
#[derive(Clone)]
pub(super) struct JobVersion {
    /// Version of the record.
    pub(super) version: u64,
    /// Whether that version says that the job is cancelled.
    pub(super) cancelled: bool,
    /// Jobs that it needs; none once all of them are known to be done.
    pub(super) needs: Rc<[String]>,
}

impl JobVersion {
    /// A record that was read or written.
    pub(super) fn new(version: u64, cancelled: bool, needs: &[String]) -> Self {
        JobVersion {
            version,
            cancelled,
            needs: needs.into(),
        }
    }

    /// A record of which it is known that no job before it is left to wait for.
    pub(super) fn released(version: u64, cancelled: bool) -> Self {
        JobVersion {
            version,
            cancelled,
            needs: Rc::default(),
        }
    }

    /// Whether no job before it is left to wait for.
    pub(super) fn is_released(&self) -> bool {
        self.needs.is_empty()
    }

    /// What is known after a further observation; `None` if that is nothing new.
    ///
    /// An older version changes nothing, except that a job stays released once it has been seen released.
    fn merge(&self, observed: JobVersion) -> Option<JobVersion> {
        let released = self.is_released() || observed.is_released();
        if observed.version > self.version {
            return Some(if released {
                JobVersion::released(observed.version, observed.cancelled)
            } else {
                observed
            });
        }
        let newly_released = released && !self.is_released();
        newly_released.then(|| JobVersion::released(self.version, self.cancelled))
    }
}

/// Ends, versions and counts of the jobs that this node has seen lately.
pub(super) struct JobCache {
    finals: RecentMap<JobOutcome>,
    /// Jobs whose cancellation is recorded, as this node or a peer has seen. That is final, so it may be answered at
    /// once, and it must be wherever a read tells something older.
    cancelled: RecentMap<()>,
    counts: HashMap<String, TaskCounts>,
    versions: RecentMap<JobVersion>,
}

impl JobCache {
    /// An empty cache.
    pub(super) fn new() -> Self {
        JobCache {
            finals: RecentMap::new(FINAL_CACHE),
            cancelled: RecentMap::new(FINAL_CACHE),
            counts: HashMap::new(),
            versions: RecentMap::new(VERSION_CACHE),
        }
    }

    /// Notes how a job ended.
    pub(super) fn remember_final(&mut self, id: String, end: JobOutcome) {
        self.counts.remove(&id);
        self.versions.remove(&id);
        self.finals.insert(id, end);
    }

    /// Notes that a job's cancellation is recorded.
    pub(super) fn remember_cancelled(&mut self, id: &str) {
        if !self.cancelled.contains(id) {
            self.cancelled.insert(id.to_string(), ());
        }
    }

    /// Jobs that are known to be cancelled.
    pub(super) fn known_cancelled(&self) -> impl Iterator<Item = &String> {
        self.cancelled.keys()
    }

    /// How a job ends or has ended, where that is certain.
    pub(super) fn known_final(&self, id: &str) -> Option<JobOutcome> {
        let cancelled = || self.cancelled.get(id).map(|()| JobOutcome::Aborted);
        self.finals.get(id).copied().or_else(cancelled)
    }

    /// Notes a version of an open job's record. What is known to be final is not overwritten by it.
    pub(super) fn remember_version(&mut self, id: &str, observed: JobVersion) {
        if self.known_final(id).is_some() {
            return;
        }
        let entry = match self.versions.get(id) {
            Some(known) => known.merge(observed),
            None => Some(observed),
        };
        if let Some(entry) = entry {
            self.versions.insert(id.to_string(), entry);
        }
    }

    /// Notes that all jobs before an open job are done.
    pub(super) fn remember_released(&mut self, id: &str) {
        if let Some(known) = self.versions.get(id) {
            let released = JobVersion::released(known.version, known.cancelled);
            self.remember_version(id, released);
        }
    }

    /// The last known version of an open job's record.
    pub(super) fn known_version(&self, id: &str) -> Option<&JobVersion> {
        self.versions.get(id)
    }

    /// Drops a version that is known to be out of date.
    pub(super) fn forget_version(&mut self, id: &str) {
        self.versions.remove(id);
    }

    /// Whether the id is certainly that of a job, open or over.
    pub(super) fn is_known(&self, id: &str) -> bool {
        self.known_final(id).is_some() || self.known_version(id).is_some()
    }

    /// Counts of an open job's tasks; zeros if nothing is known of it.
    pub(super) fn task_counts(&self, id: &str) -> TaskCounts {
        self.counts.get(id).copied().unwrap_or_default()
    }

    /// Takes over what the leader says of open jobs: only of those for which no job before them is left to wait for.
    pub(super) fn apply_job_updates(&mut self, jobs: &[JobUpdate]) {
        // A full message names some of the jobs, any other names all of them.
        if jobs.len() < JOB_UPDATES_MAX {
            self.counts.clear();
        }
        for job in jobs {
            let observed = JobVersion::released(job.version, job.aborted);
            self.remember_version(&job.id, observed);
            if job.done + job.running == 0 {
                self.counts.remove(&job.id);
                continue;
            }
            let counts = TaskCounts {
                done: job.done,
                running: job.running,
            };
            self.counts.insert(job.id.clone(), counts);
        }
    }
}
