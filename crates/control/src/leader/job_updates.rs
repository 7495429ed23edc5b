//! What the leader tells its peers of open jobs.

use super::model::Job;
use super::Leader;
use constants::JOB_UPDATES_PER_MESSAGE_MAX;
use std::ops::Bound;
use wire::peers::JobUpdate;
use wire::workers::TaskPhase;

impl Leader {
    /// The updates of open jobs that the next message to the peers carries.
    ///
    /// Only jobs without open dependencies are included. The version before the pipelines knows no others, and so a
    /// peer that receives an update knows that no dependency of the job can be cancelled any more.
    ///
    /// Where there are more jobs than a message holds, each message continues where the last one ended. When every
    /// message began with the first jobs, all nodes had to read each of the others by itself.
    pub fn next_job_updates(&mut self) -> Vec<JobUpdate> {
        let last = std::mem::take(&mut self.last_updated_job);
        let after = (Bound::Excluded(last.as_str()), Bound::Unbounded);
        let up_to = (Bound::Unbounded, Bound::Included(last.as_str()));
        let all = self.job_updates(after).chain(self.job_updates(up_to));
        let updates: Vec<JobUpdate> = all.take(JOB_UPDATES_PER_MESSAGE_MAX).collect();
        if updates.len() == JOB_UPDATES_PER_MESSAGE_MAX {
            if let Some(last) = updates.last() {
                self.last_updated_job = last.id.clone();
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
        done: job.done as u32,
        running: running as u32,
        version: job.version,
        aborted: job.recorded_abort,
    }
}
