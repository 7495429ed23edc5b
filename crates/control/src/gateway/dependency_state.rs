//! Whether a job that a job needs, directly or not, is cancelled, as far as this node knows.
//!
//! What jobs a job needs is written with it and never changes; done and cancelled are final. So the search through the
//! graph of dependencies rests on what was read before, and only the versions of open records have to be validated
//! again.

use super::job_cache::JobCache;
use super::pending::RecordVersions;
use std::collections::HashSet;
use wire::records::JobOutcome;

/// What is known of some jobs and of all jobs that they need.
pub(super) enum DependencyState {
    /// One of them is cancelled, for good.
    Cancelled,
    /// Nothing is known of this one: it was never read, or has changed since.
    Unknown(String),
    /// None was cancelled, as long as these open records have these versions.
    Open(RecordVersions),
}

impl JobCache {
    /// Searches from some jobs, themselves included, through all that they need. Ends that are known need no
    /// validation.
    pub(super) fn dependency_state<'a>(
        &'a self,
        from: impl Iterator<Item = &'a String>,
    ) -> DependencyState {
        let mut stack: Vec<&String> = from.collect();
        let mut seen: HashSet<&String> = stack.iter().copied().collect();
        let mut versions = RecordVersions::new();
        let mut unknown = None;
        while let Some(id) = stack.pop() {
            match (self.known_final(id), self.known_version(id)) {
                (Some(JobOutcome::Done), _) => {}
                (Some(JobOutcome::Aborted), _) => return DependencyState::Cancelled,
                (None, Some(job)) if job.cancelled => return DependencyState::Cancelled,
                (None, Some(job)) => {
                    versions.insert(id.clone(), job.version);
                    stack.extend(job.needs.iter().filter(|needed| seen.insert(needed)));
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
