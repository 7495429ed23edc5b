//! The part of a team's limit that is set aside for a waiting gang.
//!
//! Without it, small tasks that rank behind a gang would keep the team at its limit, and the gang would starve.
//! Therefore one gang of each team at a time has a claim on the limit: tasks that rank behind the gang may not use the
//! part of the limit that it needs.

use super::Round;
use crate::Resources;

/// A claim of a gang on part of its team's limit.
#[derive(Debug, Clone, Copy)]
pub(super) struct LimitClaim {
    gang: usize,
    demand: Resources,
}

impl Round<'_> {
    /// Makes claims at the start of a round for gangs that their team's limit keeps from being placed. A gang larger
    /// than its team's guarantee ranks behind all work within the guarantee, and would never be placed otherwise.
    pub(super) fn claim_limits(&mut self) {
        let jobs = 0..self.snapshot.jobs.len();
        let mut gangs: Vec<usize> = jobs.filter(|&job| self.waits_for_limit(job)).collect();
        gangs.sort_by(|a, b| self.compare_in_team(*a, *b));
        for gang in gangs {
            self.claim_limit(gang);
        }
    }

    /// Whether a job is a gang that does not fit its team's limit at present.
    fn waits_for_limit(&self, job: usize) -> bool {
        let job_snapshot = &self.snapshot.jobs[job];
        job_snapshot.gang
            && self.tasks_left(job) > 0
            && !self.snapshot.teams[job_snapshot.team].is_within_limit(&self.next_demand(job))
    }

    /// Makes a claim for a job that may have one, if its team has none yet. No claim is made if long-running tasks,
    /// mostly other gangs, leave too little of the limit for the job in any case.
    pub(super) fn claim_limit(&mut self, job: usize) {
        let job_snapshot = &self.snapshot.jobs[job];
        let demand = self.next_demand(job);
        let limit = &self.snapshot.teams[job_snapshot.team].limit;
        let possible = limit.allow(&self.long_running[job_snapshot.team], &demand, true);
        let may_claim =
            job_snapshot.gang && job_snapshot.may_claim_limit && !job_snapshot.backed_off;
        if may_claim && possible && self.limit_claims[job_snapshot.team].is_none() {
            self.limit_claims[job_snapshot.team] = Some(LimitClaim { gang: job, demand });
        }
    }

    /// The part of the team's limit that is claimed by a gang that ranks before this job. Only resources that the job
    /// itself uses count: a task without GPUs must not wait for the GPUs of a gang.
    pub(super) fn claimed_ahead_of(&self, job: usize) -> Resources {
        let job_snapshot = &self.snapshot.jobs[job];
        let is_ahead = |gang: usize| gang != job && self.compare_in_team(gang, job).is_lt();
        let claim = self.limit_claims[job_snapshot.team].filter(|claim| is_ahead(claim.gang));
        let Some(LimitClaim { demand, .. }) = claim else {
            return Resources::default();
        };
        let if_used = |claimed: f64, used: f64| if used > 0.0 { claimed } else { 0.0 };
        Resources {
            cpus: if_used(demand.cpus, job_snapshot.task_resources.cpus),
            gpus: if_used(demand.gpus, job_snapshot.task_resources.gpus),
            memory_gb: 0.0,
        }
    }
}
