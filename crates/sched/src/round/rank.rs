//! The order in which jobs are placed.

use super::Round;
use crate::weight_of;
use std::cmp::Ordering;

/// Class of a job's next task, in the order in which classes are placed.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Class {
    /// A pilot, or a service.
    PilotOrService,
    /// Work whose size is known.
    Queued,
    /// Deferred while the job is sampled; the job has an objective.
    DeferredWithObjective,
    /// Deferred while the job is sampled; the job has no objective. In order of arrival it would go before jobs that
    /// have one, for as long as its pilots run.
    DeferredWithoutObjective,
}

/// Where a job stands: the smallest rank goes first.
#[derive(Clone, Copy, PartialEq, PartialOrd)]
pub(super) struct Rank {
    beyond_guarantee: bool,
    /// Larger is less important.
    unimportance: u8,
    class: Class,
    /// Usage of the job's queue divided by the queue's weight.
    queue_share: f64,
    order: u64,
}

/// A job with its rank. Jobs of the same rank go by number.
pub(super) type RankedJob = (Rank, usize);

impl Round<'_> {
    /// The job's present rank. It changes with each placement.
    pub(super) fn rank(&self, job: usize) -> Rank {
        let spec = &self.snapshot.jobs[job];
        let entitled = self.snapshot.teams[spec.team].entitles(&self.demand(job));
        let class = self.class(job);
        let queue_share = if class == Class::Queued && !spec.urgent {
            let usage = self.queue_usage.get(spec.queue).copied().unwrap_or(0.0);
            usage / weight_of(self.policy, spec.queue)
        } else {
            0.0
        };
        Rank {
            beyond_guarantee: !entitled,
            unimportance: u8::MAX - spec.priority,
            class,
            queue_share,
            order: spec.order,
        }
    }

    fn class(&self, job: usize) -> Class {
        let spec = &self.snapshot.jobs[job];
        if self.next_is_pilot(job) || spec.service {
            Class::PilotOrService
        } else if !spec.sampling {
            Class::Queued
        } else if spec.has_objective {
            Class::DeferredWithObjective
        } else {
            Class::DeferredWithoutObjective
        }
    }

    /// The two jobs that come first, of those given.
    pub(super) fn first_two(&self, jobs: &[usize]) -> (Option<RankedJob>, Option<RankedJob>) {
        let mut first: Option<RankedJob> = None;
        let mut second: Option<RankedJob> = None;
        for &job in jobs {
            let ranked = (self.rank(job), job);
            if first.is_none_or(|first| ranked < first) {
                (first, second) = (Some(ranked), first);
            } else if second.is_none_or(|second| ranked < second) {
                second = Some(ranked);
            }
        }
        (first, second)
    }

    /// Order of two jobs of the same team, for which the guarantee makes no difference.
    pub(super) fn compare_in_team(&self, a: usize, b: usize) -> Ordering {
        let rank = |job: usize| Rank {
            beyond_guarantee: false,
            ..self.rank(job)
        };
        let order = rank(a).partial_cmp(&rank(b));
        order.unwrap_or(Ordering::Equal).then(a.cmp(&b))
    }
}
