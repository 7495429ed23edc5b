//! Checks of the rules at every step, and of waiting tasks once all troubles are over.

use crate::jobs::job_of;
use crate::{FakeWorker, Placed, World, KIND, MACHINE};
use std::collections::{BTreeMap, BTreeSet};
use wire::records::{final_record_key, JobOutcome};
use wire::users::Submission;
use wire::workers::TaskPhase;

/// Amount by which sums of resources may exceed a limit because of rounding.
const ROUNDING: f64 = 1e-6;

impl World {
    /// Checks all rules.
    pub(crate) fn check(&mut self) {
        for (job, at) in &self.cancelled {
            if self.rules.cancelled_at(job).is_none() {
                self.rules.confirm_cancelled(job, *at);
            }
        }
        let mut placed = Vec::new();
        for worker in self.workers.values() {
            placed.extend(worker.live().map(|(task, attempt)| Placed {
                machine: &worker.name,
                kind: KIND,
                zone: &worker.zone,
                spot: worker.spot,
                task,
                attempt,
            }));
        }
        let state = &self.state;
        let ended =
            |id: &str| state.read::<JobOutcome>(&final_record_key(id)) == Some(JobOutcome::Done);
        self.rules
            .check_placement(&placed, &self.jobs, ended, self.now);
        if self.is_healed && self.now.is_multiple_of(1_000) {
            self.check_waiting();
        }
        self.broken.append(&mut self.rules.broken);
    }

    /// Notes jobs of one task that wait although a machine that fits has room and their team may use more.
    fn check_waiting(&mut self) {
        let usage = self.usage();
        let mut waiting = Vec::new();
        for (id, job) in self.jobs.iter().filter(|(_, job)| job.tasks == 1) {
            let waits = self.is_open(id)
                && self.is_within_quota(job, &usage)
                && job.dependencies.is_empty()
                && !usage.jobs.contains(id.as_str())
                && usage.free.iter().any(|machine| machine.fits(job));
            waiting.push((id.clone(), waits));
        }
        for (id, waits) in waiting {
            self.rules.note_waiting(&id, waits, self.now);
        }
    }

    /// What is in use now, and what is free.
    fn usage(&self) -> Usage<'_> {
        let mut usage = Usage::default();
        for worker in self.workers.values() {
            let (mut cpus, mut gpus, mut mem_gb) = MACHINE;
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
            if worker.is_reached(self.now) && worker.taken_at.is_none() {
                usage.free.push(FreeRoom {
                    worker,
                    cpus,
                    gpus,
                    mem_gb,
                });
            }
        }
        usage
    }

    /// Whether a job is accepted, neither final nor to be cancelled.
    fn is_open(&self, id: &str) -> bool {
        self.rules.is_accepted(id)
            && self.rules.end(id).is_none()
            && !self.rules.is_called_off(id)
            && self
                .state
                .read::<JobOutcome>(&final_record_key(id))
                .is_none()
    }

    /// Whether the team of a job of one task may use as much as the job needs.
    fn is_within_quota(&self, job: &Submission, usage: &Usage<'_>) -> bool {
        let teams = &self.settings[0].deployment.teams;
        let used = usage.teams.get(job.team.as_str());
        let (cpus, gpus) = used.copied().unwrap_or_default();
        let is_below = |sum: f64, max: f64| max <= 0.0 || sum <= max + ROUNDING;
        let team = teams.iter().find(|team| team.name == job.team);
        team.is_some_and(|team| {
            is_below(cpus + job.cpus, team.cpus_max) && is_below(gpus + job.gpus, team.gpus_max)
        })
    }
}

/// Resources in use.
#[derive(Default)]
struct Usage<'a> {
    /// Jobs with tasks on machines.
    jobs: BTreeSet<&'a str>,
    /// CPUs and GPUs in use, by team.
    teams: BTreeMap<&'a str, (f64, f64)>,
    free: Vec<FreeRoom<'a>>,
}

/// Room on a machine that tasks can be started on.
struct FreeRoom<'a> {
    worker: &'a FakeWorker,
    cpus: f64,
    gpus: f64,
    mem_gb: f64,
}

impl FreeRoom<'_> {
    /// Whether a task of a job fits.
    fn fits(&self, job: &Submission) -> bool {
        let is_listed = |types: &Vec<String>| types.iter().any(|kind| kind == KIND);
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
