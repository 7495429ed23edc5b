//! The part of a team's limit that is left to a gang waiting for it.
//!
//! Small tasks that rank behind a gang would keep its team at the limit, and the gang would starve. So one gang of a
//! team at a time has a claim: tasks behind it do not get what it needs of the limit.

use super::Round;
use crate::Resources;

/// A part of a team's limit set aside for a gang.
#[derive(Debug, Clone, Copy)]
pub(super) struct LimitClaim {
    gang: usize,
    demand: Resources,
}

impl Round<'_> {
    /// Claims for gangs that wait only for their team's limit. A gang larger than its team's guarantee ranks behind all
    /// work within the guarantee, and would never be placed.
    pub(super) fn claim_limits(&mut self) {
        let jobs = 0..self.snapshot.jobs.len();
        let mut gangs: Vec<usize> = jobs.filter(|&job| self.waits_for_limit(job)).collect();
        gangs.sort_by(|a, b| self.compare_in_team(*a, *b));
        for gang in gangs {
            self.claim_limit(gang);
        }
    }

    fn waits_for_limit(&self, job: usize) -> bool {
        let spec = &self.snapshot.jobs[job];
        spec.gang
            && self.tasks_left(job) > 0
            && !self.snapshot.teams[spec.team].allows(&self.demand(job))
    }

    /// Makes a claim for a job that may have one, if its team has none yet. There is none if tasks that run for long,
    /// mostly other gangs, exhaust the limit in any case.
    pub(super) fn claim_limit(&mut self, job: usize) {
        let spec = &self.snapshot.jobs[job];
        let demand = self.demand(job);
        let limit = &self.snapshot.teams[spec.team].limit;
        let possible = limit.allow(&self.long_running[spec.team], &demand, true);
        let may_claim = spec.gang && spec.may_claim_limit && !spec.backed_off;
        if may_claim && possible && self.limit_claims[spec.team].is_none() {
            self.limit_claims[spec.team] = Some(LimitClaim { gang: job, demand });
        }
    }

    /// The part of its team's limit claimed by a gang that ranks before this job. Only resources that the job takes
    /// itself count: a task without GPUs must not wait for those of a gang.
    pub(super) fn claimed_ahead_of(&self, job: usize) -> Resources {
        let spec = &self.snapshot.jobs[job];
        let is_ahead = |gang: usize| gang != job && self.compare_in_team(gang, job).is_lt();
        let claim = self.limit_claims[spec.team].filter(|claim| is_ahead(claim.gang));
        let Some(LimitClaim { demand, .. }) = claim else {
            return Resources::default();
        };
        let if_taken = |claimed: f64, takes: f64| if takes > 0.0 { claimed } else { 0.0 };
        Resources {
            cpus: if_taken(demand.cpus, spec.task.cpus),
            gpus: if_taken(demand.gpus, spec.task.gpus),
            memory_gb: 0.0,
        }
    }
}
