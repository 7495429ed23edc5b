//! Updates of open jobs that the leader sends to its peers.

use super::model::Job;
use super::Leader;
use constants::JOB_UPDATES_PER_MESSAGE_MAX;
use std::ops::Bound;
use wire::peers::JobUpdate;
use wire::workers::TaskPhase;

impl Leader {
    /// The updates of open jobs that the next message to the peers carries.
    ///
    /// Only jobs without open dependencies are included. The version before job dependencies supports no others, and a
    /// peer that receives an update can conclude that no dependency of the job can be cancelled any more.
    ///
    /// If there are more jobs than fit into a message, each message continues where the last one ended. When every
    /// message began with the first jobs, every node had to read each of the remaining jobs individually.
    pub fn next_job_updates(&mut self) -> Vec<JobUpdate> {
        let last = std::mem::take(&mut self.job_update_cursor);
        let after = (Bound::Excluded(last.as_str()), Bound::Unbounded);
        let up_to = (Bound::Unbounded, Bound::Included(last.as_str()));
        let all = self.job_updates(after).chain(self.job_updates(up_to));
        let updates: Vec<JobUpdate> = all.take(JOB_UPDATES_PER_MESSAGE_MAX).collect();
        if updates.len() == JOB_UPDATES_PER_MESSAGE_MAX {
            if let Some(last) = updates.last() {
                self.job_update_cursor = last.id.clone();
            }
        }
        updates
    }

    fn job_updates<'a>(
        &'a self,
        range: (Bound<&str>, Bound<&str>),
    ) -> impl Iterator<Item = JobUpdate> + 'a {
        self.jobs
            .range::<str, _>(range)
            .filter(|(_, job)| !job.awaits_dependencies())
            .map(|(id, job)| job_update(id, job))
    }
}

fn job_update(id: &str, job: &Job) -> JobUpdate {
    let running = job
        .assignments()
        .filter(|(_, assignment)| assignment.phase == Some(TaskPhase::Running))
        .count();
    JobUpdate {
        id: id.to_string(),
        done: job.done_count as u32,
        running: running as u32,
        version: job.record_version,
        aborted: job.recorded_abort,
    }
}
