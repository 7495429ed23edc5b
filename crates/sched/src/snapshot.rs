//! The cluster as one round of decisions sees it.

use crate::resources::{ResourceBounds, Resources, EPS};

/// Number of the zone of a place whose machine has not been heard of yet.
pub const UNKNOWN_ZONE: usize = usize::MAX;

/// A machine that tasks could be placed on.
#[derive(Debug, Clone)]
pub struct MachineSnapshot {
    /// Type, as the caller numbers them.
    pub kind: usize,
    /// Zone, as the caller numbers them.
    pub zone: usize,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// What is free now.
    pub free: Resources,
    /// What will be free once the tasks that are being stopped have gone.
    pub soon: Resources,
    /// What it has in all.
    pub total: Resources,
    /// Whether new tasks may go there.
    pub usable: bool,
    /// How many more tasks it may hold, whatever their size.
    pub slots: u32,
    /// Pilots running there.
    pub pilots: u32,
    /// Whether it is slower than its kin.
    pub slow: bool,
    /// Images it holds, as the caller numbers them.
    pub images: Vec<usize>,
    /// Seconds until its tasks are expected to be over.
    pub busy_s: f64,
    /// Seconds until a start can be sent there.
    pub reach_s: f64,
    /// Of a machine on its way: seconds until it is expected to be up. Nothing can be placed there yet, but a
    /// gang may reserve it.
    pub coming_s: Option<f64>,
}

/// A team.
#[derive(Debug, Clone, Default)]
pub struct TeamSnapshot {
    /// What it may use ahead of other teams.
    pub guarantee: ResourceBounds,
    /// What it may use at most.
    pub limit: ResourceBounds,
    /// In use, unsure places included.
    pub used: Resources,
    /// Of that, what is being stopped. It still counts against the limit until it has gone.
    pub leaving: Resources,
}

impl TeamSnapshot {
    /// Whether `more` stays within the limit.
    pub fn allows(&self, more: &Resources) -> bool {
        self.limit.contain(&self.used, more, true)
    }

    /// Whether `more` stays within the guarantee. A resource without a guarantee does not count when the other
    /// has one: a team with GPUs guaranteed needs CPUs to use them.
    pub fn entitles(&self, more: &Resources) -> bool {
        let within = |unbounded: bool| self.guarantee.contain(&self.used, more, unbounded);
        match (self.guarantee.cpus, self.guarantee.gpus) {
            (None, None) => false,
            (None, Some(_)) => more.gpus > 0.0 && within(true),
            (Some(_), None) => within(true),
            (Some(_), Some(_)) => within(false),
        }
    }

    /// Whether the team would still have its guarantee filled after losing `less`.
    pub(crate) fn borrows(&self, less: &Resources) -> bool {
        let staying = |used: f64, leaving: f64, less: f64| used - leaving - less;
        let (staying, guaranteed) = if self.guarantee.gpus.is_some() || less.gpus > 0.0 {
            let staying = staying(self.used.gpus, self.leaving.gpus, less.gpus);
            (staying, self.guarantee.gpus)
        } else {
            let staying = staying(self.used.cpus, self.leaving.cpus, less.cpus);
            (staying, self.guarantee.cpus)
        };
        staying >= guaranteed.unwrap_or(0.0) - EPS
    }
}

/// A job with tasks to place.
#[derive(Debug, Clone)]
pub struct JobSnapshot {
    /// Team, as the caller numbers them.
    pub team: usize,
    /// Whether all its tasks start together.
    pub gang: bool,
    /// Whether it runs until cancelled: it skips the queues.
    pub service: bool,
    /// Priority, larger is more important.
    pub priority: u8,
    /// What a task takes.
    pub task: Resources,
    /// Allowed types, `None` for any.
    pub kinds: Option<Vec<usize>>,
    /// The only allowed zone.
    pub zone: Option<usize>,
    /// All tasks in one zone.
    pub one_zone: bool,
    /// At most this many tasks in one zone.
    pub zone_cap: Option<u32>,
    /// Tasks that are or may be on machines, by zone.
    pub zones_used: Vec<(usize, u32)>,
    /// Whether spot machines may be used.
    pub spot: bool,
    /// Its tasks never save and take no GPU: all is lost with a spot machine, and room beside GPU work costs nothing.
    pub fragile: bool,
    /// Image, as the caller numbers them.
    pub image: usize,
    /// Tasks to place, in order; of a gang all that are missing. May be cut to what one round can use.
    pub waiting: Vec<u32>,
    /// How many of the first waiting tasks are pilots yet to be placed.
    pub pilots_due: u32,
    /// Whether the job's size is still being sampled.
    pub sampling: bool,
    /// Queue by estimated size.
    pub queue: usize,
    /// Order within a queue, smallest first.
    pub order: u64,
    /// Whether anybody asks when it is over: it has a deadline, or its class an aim.
    pub aims: bool,
    /// Tasks of it on machines.
    pub running: u32,
    /// Machines its tasks should keep away from.
    pub avoid: Vec<usize>,
    /// Machines that an earlier round reserved for it.
    pub reserved_machines: Vec<usize>,
    /// Whether it has waited so long without a start, or is so near the latest one, that the queues' weights count no
    /// more.
    pub overdue: bool,
    /// A gang that has waited in vain for long: nothing is reserved, stopped or rented for it for a while.
    pub resting: bool,
    /// Whether a gang may at this time keep its team's other work from what is left of the team's limit.
    pub may_claim_limit: bool,
}

/// A task on a machine that could be stopped.
#[derive(Debug, Clone)]
pub struct RunningTask {
    /// Job, by its number among all jobs of the snapshot.
    pub job: usize,
    /// Task.
    pub task: u32,
    /// Machine.
    pub machine: usize,
    /// Team.
    pub team: usize,
    /// Priority.
    pub priority: u8,
    /// What it takes.
    pub resources: Resources,
    /// Whether it may be stopped: not a gang's, not being stopped, not about to end.
    pub movable: bool,
    /// Seconds of work that stopping would cost.
    pub cost_s: f64,
    /// Seconds it is expected to go on for.
    pub left_s: f64,
}

/// The cluster as one round sees it.
#[derive(Debug, Clone, Default)]
pub struct ClusterSnapshot {
    /// Machines.
    pub machines: Vec<MachineSnapshot>,
    /// Teams.
    pub teams: Vec<TeamSnapshot>,
    /// Jobs, those without waiting tasks included.
    pub jobs: Vec<JobSnapshot>,
    /// Tasks on machines.
    pub running: Vec<RunningTask>,
}
