//! Cache of data about jobs.
//!
//! The outcome of a job is final and may be answered from the cache. The cached version of an open job's record is only
//! a hint for the next request to the state service. It may be answered only after a transaction that was sent after
//! the user's request has found that it is still the stored version.

use crate::recent_map::RecentMap;
use constants::{JOB_UPDATES_PER_MESSAGE_MAX, OUTCOME_CACHE_ENTRIES, VERSION_CACHE_ENTRIES};
use std::collections::HashMap;
use std::rc::Rc;
use wire::peers::JobUpdate;
use wire::records::JobOutcome;

/// Numbers of a job's done and running tasks, for display.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct TaskCounts {
    /// Number of done tasks.
    pub(super) done: u32,
    /// Number of running tasks.
    pub(super) running: u32,
}

/// The last known version of an open job's record.
#[derive(Clone)]
pub(super) struct JobVersion {
    /// Version of the record.
    pub(super) version: u64,
    /// Whether the job is cancelled in this version.
    pub(super) cancelled: bool,
    /// IDs of the job's dependencies. Empty once all of them are known to be done.
    pub(super) needs: Rc<[String]>,
}

impl JobVersion {
    /// Creates the version of a record that was read or written.
    pub(super) fn new(version: u64, cancelled: bool, needs: &[String]) -> Self {
        JobVersion {
            version,
            cancelled,
            needs: needs.into(),
        }
    }

    /// Creates the version of a record whose job is released: it has no dependency left to wait for.
    pub(super) fn released(version: u64, cancelled: bool) -> Self {
        JobVersion {
            version,
            cancelled,
            needs: Rc::default(),
        }
    }

    /// Whether the job is released: it has no dependency left to wait for.
    pub(super) fn is_released(&self) -> bool {
        self.needs.is_empty()
    }

    /// The new cache entry after a further observation, or `None` if the observation changes nothing.
    ///
    /// An observation of an older version is ignored, except that a job that was observed as released stays released.
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

/// Outcomes, record versions and task counts of jobs that this node has seen recently.
pub(super) struct JobCache {
    outcomes: RecentMap<JobOutcome>,
    /// Jobs whose cancellation is recorded, as observed by this node or a peer. A cancellation is final, so it may be
    /// answered immediately. It must be answered even if a read returns an older state.
    cancelled: RecentMap<()>,
    counts: HashMap<String, TaskCounts>,
    versions: RecentMap<JobVersion>,
}

impl JobCache {
    /// Creates an empty cache.
    pub(super) fn new() -> Self {
        JobCache {
            outcomes: RecentMap::new(OUTCOME_CACHE_ENTRIES),
            cancelled: RecentMap::new(OUTCOME_CACHE_ENTRIES),
            counts: HashMap::new(),
            versions: RecentMap::new(VERSION_CACHE_ENTRIES),
        }
    }

    /// Caches the outcome of a job and drops its other entries.
    pub(super) fn remember_outcome(&mut self, id: String, outcome: JobOutcome) {
        self.counts.remove(&id);
        self.versions.remove(&id);
        self.outcomes.insert(id, outcome);
    }

    /// Caches that a job's cancellation is recorded.
    pub(super) fn remember_cancelled(&mut self, id: &str) {
        if !self.cancelled.contains(id) {
            self.cancelled.insert(id.to_string(), ());
        }
    }

    /// IDs of the jobs known to be cancelled.
    pub(super) fn known_cancelled(&self) -> impl Iterator<Item = &String> {
        self.cancelled.keys()
    }

    /// The outcome of a job if it is certain, even if the job has not ended yet.
    pub(super) fn known_outcome(&self, id: &str) -> Option<JobOutcome> {
        let cancelled = || self.cancelled.get(id).map(|()| JobOutcome::Aborted);
        self.outcomes.get(id).copied().or_else(cancelled)
    }

    /// Caches a version of an open job's record. Does nothing if the job's outcome is known.
    pub(super) fn remember_version(&mut self, id: &str, observed: JobVersion) {
        if self.known_outcome(id).is_some() {
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

    /// Caches that all dependencies of an open job are done.
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

    /// Drops a version that is known to be outdated.
    pub(super) fn forget_version(&mut self, id: &str) {
        self.versions.remove(id);
    }

    /// Whether the ID certainly belongs to a job, open or ended.
    pub(super) fn is_known(&self, id: &str) -> bool {
        self.known_outcome(id).is_some() || self.known_version(id).is_some()
    }

    /// Task counts of an open job; zero if they are not known.
    pub(super) fn task_counts(&self, id: &str) -> TaskCounts {
        self.counts.get(id).copied().unwrap_or_default()
    }

    /// Applies the leader's updates about open jobs. The leader sends them only for released jobs.
    pub(super) fn apply_job_updates(&mut self, jobs: &[JobUpdate]) {
        // A message with the maximum number of jobs may omit some jobs; any other message lists all of them.
        if jobs.len() < JOB_UPDATES_PER_MESSAGE_MAX {
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
