//! The order in which jobs are placed.

use super::Round;
use crate::queue_weight;
use std::cmp::Ordering;

/// Class of a job's next task, in the order in which classes are placed.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum PlacementClass {
    /// A pilot, or a service.
    PilotOrService,
    /// A task of a job that is not being sampled: its size has been estimated, or it skips sampling.
    Queued,
    /// A task that is deferred while its job is being sampled. The job has an objective.
    DeferredWithObjective,
    /// A task that is deferred while its job is being sampled. The job has no objective. Ordered by arrival, it would
    /// go before jobs with an objective for as long as its pilots run.
    DeferredWithoutObjective,
}

/// Rank of a job, compared field by field. The job with the smallest rank goes first.
#[derive(Clone, Copy, PartialEq, PartialOrd)]
pub(super) struct Rank {
    /// Whether the job's next placement exceeds its team's guarantee.
    beyond_guarantee: bool,
    /// `u8::MAX` minus the priority, so that a higher priority ranks first.
    inverse_priority: u8,
    class: PlacementClass,
    /// Usage of the job's queue divided by the queue's weight; 0 for jobs that are not subject to weighted sharing.
    queue_share: f64,
    /// Order within a queue, smallest first.
    order: u64,
}

/// A job with its rank. Jobs of equal rank are ordered by their index.
pub(super) type RankedJob = (Rank, usize);

impl Round<'_> {
    /// The job's current rank. It may change with each placement.
    pub(super) fn rank(&self, job: usize) -> Rank {
        let job_snapshot = &self.snapshot.jobs[job];
        let entitled =
            self.snapshot.teams[job_snapshot.team].is_within_guarantee(&self.next_demand(job));
        let class = self.class(job);
        let queue_share = if class == PlacementClass::Queued && !job_snapshot.urgent {
            let usage = self
                .queue_usage
                .get(job_snapshot.queue)
                .copied()
                .unwrap_or(0.0);
            usage / queue_weight(self.policy, job_snapshot.queue)
        } else {
            0.0
        };
        Rank {
            beyond_guarantee: !entitled,
            inverse_priority: u8::MAX - job_snapshot.priority,
            class,
            queue_share,
            order: job_snapshot.order,
        }
    }

    /// The class of the job's next task.
    fn class(&self, job: usize) -> PlacementClass {
        let job_snapshot = &self.snapshot.jobs[job];
        if self.next_is_pilot(job) || job_snapshot.service {
            PlacementClass::PilotOrService
        } else if !job_snapshot.sampling {
            PlacementClass::Queued
        } else if job_snapshot.has_objective {
            PlacementClass::DeferredWithObjective
        } else {
            PlacementClass::DeferredWithoutObjective
        }
    }

    /// The two jobs with the smallest ranks among those given.
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

    /// Compares two jobs of the same team by rank without regard to the team's guarantee.
    pub(super) fn compare_in_team(&self, a: usize, b: usize) -> Ordering {
        let rank = |job: usize| Rank {
            beyond_guarantee: false,
            ..self.rank(job)
        };
        let order = rank(a).partial_cmp(&rank(b));
        order.unwrap_or(Ordering::Equal).then(a.cmp(&b))
    }
}
