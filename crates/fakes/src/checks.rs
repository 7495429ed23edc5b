//! Checks of the rules at every step, and of waiting tasks once all faults have ended.

use crate::jobs::job_of;
use crate::{FakeWorker, PlacedTask, World, MACHINE_RESOURCES};
use std::collections::{BTreeMap, BTreeSet};
use wire::records::{final_record_key, JobOutcome};
use wire::users::Submission;
use wire::workers::TaskPhase;

/// Tolerance for rounding errors in sums of resources.
const ROUNDING_TOLERANCE: f64 = 1e-6;

impl World {
    /// Checks all rules on the current state.
    pub(crate) fn check_rules(&mut self) {
        for (job, at) in &self.externally_cancelled {
            if self.rules.cancelled_at(job).is_none() {
                self.rules.record_cancellation(job, *at);
            }
        }
        let mut placed = Vec::new();
        for worker in self.workers.values() {
            placed.extend(worker.active_tasks().map(|(task, attempt)| PlacedTask {
                machine: &worker.name,
                machine_type: &worker.machine_type,
                zone: &worker.zone,
                spot: worker.spot,
                task,
                attempt,
            }));
        }
        let state = &self.state_service;
        let is_done =
            |id: &str| state.read::<JobOutcome>(&final_record_key(id)) == Some(JobOutcome::Done);
        self.rules
            .check_placement(&placed, &self.jobs, is_done, self.now);
        if self.have_faults_ended && self.now.is_multiple_of(1_000) {
            self.check_waiting();
        }
        self.violations.append(&mut self.rules.violations);
    }

    /// Records the jobs of one task that wait although a suitable machine has enough free resources and their team's
    /// quota allows the task.
    fn check_waiting(&mut self) {
        let usage = self.usage();
        let mut waiting = Vec::new();
        for (id, job) in self.jobs.iter().filter(|(_, job)| job.tasks == 1) {
            let is_waiting = self.is_open(id)
                && self.is_within_quota(job, &usage)
                && job.dependencies.is_empty()
                && !usage.jobs.contains(id.as_str())
                && usage.free.iter().any(|machine| machine.fits(job));
            waiting.push((id.clone(), is_waiting));
        }
        for (id, is_waiting) in waiting {
            self.rules.observe_waiting(&id, is_waiting, self.now);
        }
    }

    /// Resources in use and free resources.
    fn usage(&self) -> Usage<'_> {
        let mut usage = Usage::default();
        for worker in self.workers.values() {
            let (mut cpus, mut gpus, mut mem_gb) = MACHINE_RESOURCES;
            for ((task, _), state) in &worker.tasks {
                if state.phase == TaskPhase::Ended {
                    continue;
                }
                let id = job_of(task);
                usage.jobs.insert(id);
                if let Some(job) = self.jobs.get(id) {
                    let (team_cpus, team_gpus) = usage.teams.entry(&job.team).or_default();
                    *team_cpus += job.cpus;
                    *team_gpus += job.gpus;
                    cpus -= job.cpus;
                    gpus -= job.gpus;
                    mem_gb -= job.mem_gb;
                }
            }
            if worker.is_reachable(self.now) && worker.reclaim_at.is_none() {
                usage.free.push(FreeResources {
                    worker,
                    cpus,
                    gpus,
                    mem_gb,
                });
            }
        }
        usage
    }

    /// Whether a job is accepted and neither final nor requested to be cancelled.
    fn is_open(&self, id: &str) -> bool {
        self.rules.is_accepted(id)
            && self.rules.final_phase(id).is_none()
            && !self.rules.is_cancel_requested(id)
            && self
                .state_service
                .read::<JobOutcome>(&final_record_key(id))
                .is_none()
    }

    /// Whether a job of one task fits into the remaining quota of its team.
    fn is_within_quota(&self, job: &Submission, usage: &Usage<'_>) -> bool {
        let teams = &self.settings[0].deployment.teams;
        let used = usage.teams.get(job.team.as_str());
        let (cpus, gpus) = used.copied().unwrap_or_default();
        let is_below = |sum: f64, max: f64| max <= 0.0 || sum <= max + ROUNDING_TOLERANCE;
        let team = teams.iter().find(|team| team.name == job.team);
        team.is_some_and(|team| {
            is_below(cpus + job.cpus, team.cpus_max) && is_below(gpus + job.gpus, team.gpus_max)
        })
    }
}

/// Resources in use and free resources.
#[derive(Default)]
struct Usage<'a> {
    /// Jobs with tasks on machines.
    jobs: BTreeSet<&'a str>,
    /// CPUs and GPUs in use, by team.
    teams: BTreeMap<&'a str, (f64, f64)>,
    free: Vec<FreeResources<'a>>,
}

/// Free resources of a machine on which tasks can be started.
struct FreeResources<'a> {
    worker: &'a FakeWorker,
    cpus: f64,
    gpus: f64,
    mem_gb: f64,
}

impl FreeResources<'_> {
    /// Whether a task of the job can be placed on the machine.
    fn fits(&self, job: &Submission) -> bool {
        let is_listed = |types: &Vec<String>| types.contains(&self.worker.machine_type);
        self.cpus >= job.cpus
            && self.gpus >= job.gpus
            && self.mem_gb >= job.mem_gb
            && job
                .zone
                .as_ref()
                .is_none_or(|zone| *zone == self.worker.zone)
            && job.machine_types.as_ref().is_none_or(is_listed)
            && (job.spot_allowed || !self.worker.spot)
    }
}
