//! Determines from the cache whether a direct or transitive dependency of a job is cancelled.
//!
//! A job's dependencies are written when it is created and never change, and the states done and cancelled are final.
//! The search through the dependency graph can therefore use cached data; only the versions of open records have to be
//! validated.

use super::job_cache::JobCache;
use super::pending::RecordVersions;
use std::collections::HashSet;
use wire::records::JobOutcome;

/// Cached state of some jobs and of all their transitive dependencies.
pub(super) enum DependencyState {
    /// One of the jobs is cancelled, which is final.
    Cancelled,
    /// The cache has no data on the job with this ID: it was never read, or has changed since.
    Unknown(String),
    /// None of the jobs is cancelled, provided that these open records still have these versions.
    Open(RecordVersions),
}

impl JobCache {
    /// Searches the dependency graph from the root jobs, which are included. Jobs whose outcome is known need no
    /// validation.
    pub(super) fn dependency_state<'a>(
        &'a self,
        roots: impl Iterator<Item = &'a String>,
    ) -> DependencyState {
        let mut stack: Vec<&String> = roots.collect();
        let mut seen: HashSet<&String> = stack.iter().copied().collect();
        let mut versions = RecordVersions::new();
        let mut unknown = None;
        while let Some(id) = stack.pop() {
            match (self.known_outcome(id), self.known_version(id)) {
                (Some(JobOutcome::Done), _) => {}
                (Some(JobOutcome::Aborted), _) => return DependencyState::Cancelled,
                (None, Some(job)) if job.cancelled => return DependencyState::Cancelled,
                (None, Some(job)) => {
                    versions.insert(id.clone(), job.version);
                    stack.extend(
                        job.needs
                            .iter()
                            .filter(|dependency| seen.insert(dependency)),
                    );
                }
                (None, None) => unknown = Some(id),
            }
        }
        match unknown {
            Some(id) => DependencyState::Unknown(id.clone()),
            None => DependencyState::Open(versions),
        }
    }
}
