//! The order of jobs.

use super::Round;
use crate::weight_of;
use std::cmp::Ordering;

/// What a job's next task is, in the order in which they are placed.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Class {
    /// A pilot, or a service.
    PilotOrService,
    /// Work whose size is known.
    Queued,
    /// Held back while the job is sampled, with an aim.
    HeldWithAim,
    /// Held back while the job is sampled, without any aim: by arrival it would go before all that has one, for as long
    /// as its pilots run.
    HeldWithoutAim,
}

/// Where a job stands: the smallest rank goes first.
#[derive(Clone, Copy, PartialEq, PartialOrd)]
pub(super) struct Rank {
    beyond_guarantee: bool,
    /// Larger is less important.
    unimportance: u8,
    class: Class,
    /// What runs of the job's queue, by the queue's weight.
    queue_share: f64,
    order: u64,
}

/// A job with its rank. Jobs of the same rank go by number.
pub(super) type RankedJob = (Rank, usize);

impl Round<'_> {
    pub(super) fn rank(&self, job: usize) -> Rank {
        let spec = &self.snapshot.jobs[job];
        let entitled = self.snapshot.teams[spec.team].entitles(&self.demand(job));
        let class = self.class(job);
        let queue_share = if class == Class::Queued && !spec.overdue {
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
        } else if spec.aims {
            Class::HeldWithAim
        } else {
            Class::HeldWithoutAim
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

    /// Order within a team, where its guarantee is of no account.
    pub(super) fn compare_in_team(&self, a: usize, b: usize) -> Ordering {
        let rank = |job: usize| Rank {
            beyond_guarantee: false,
            ..self.rank(job)
        };
        let order = rank(a).partial_cmp(&rank(b));
        order.unwrap_or(Ordering::Equal).then(a.cmp(&b))
    }
}
