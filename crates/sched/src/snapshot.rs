//! The cluster as one round of decisions sees it. Types, zones, images, teams and jobs are numbered by the caller.

use crate::resources::{ResourceBounds, Resources, EPS};

/// Number of the zone of a machine that has not reported yet.
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
    /// Resources that are free now.
    pub free: Resources,
    /// Resources that will be free once the tasks being stopped have ended.
    pub free_after_stops: Resources,
    /// All resources of the machine.
    pub total: Resources,
    /// Whether new tasks may go there.
    pub usable: bool,
    /// How many more tasks it may take, whatever their size.
    pub free_slots: u32,
    /// Pilots running there.
    pub pilots: u32,
    /// Whether it is slower than others of its type.
    pub slow: bool,
    /// Images it has fetched, as the caller numbers them.
    pub images: Vec<usize>,
    /// Seconds until its tasks are expected to have ended.
    pub busy_s: f64,
    /// Seconds until a start can be sent there.
    pub dispatch_delay_s: f64,
    /// Seconds until a booting machine is expected to be up. Nothing can be placed there yet, but a gang may reserve
    /// it.
    pub ready_in_s: Option<f64>,
}

/// Guarantee, limit and usage of a team.
#[derive(Debug, Clone, Default)]
pub struct TeamSnapshot {
    /// Resources it may use ahead of other teams.
    pub guarantee: ResourceBounds,
    /// Resources it may use at most.
    pub limit: ResourceBounds,
    /// Resources in use, orphans included.
    pub used: Resources,
    /// The part of `used` whose tasks are being stopped. It counts against the limit until they have ended.
    pub stopping: Resources,
}

impl TeamSnapshot {
    /// Whether `more` stays within the limit.
    pub fn allows(&self, more: &Resources) -> bool {
        self.limit.allow(&self.used, more, true)
    }

    /// Whether `more` stays within the guarantee. A resource without a guarantee does not count when the other
    /// has one: a team with GPUs guaranteed needs CPUs to use them.
    pub fn entitles(&self, more: &Resources) -> bool {
        let within = |unbounded: bool| self.guarantee.allow(&self.used, more, unbounded);
        match (self.guarantee.cpus, self.guarantee.gpus) {
            (None, None) => false,
            (None, Some(_)) => more.gpus > 0.0 && within(true),
            (Some(_), None) => within(true),
            (Some(_), Some(_)) => within(false),
        }
    }

    /// Whether the team would still have its guarantee filled after losing `less`.
    pub(crate) fn borrows(&self, less: &Resources) -> bool {
        let staying = |used: f64, stopping: f64, less: f64| used - stopping - less;
        let (staying, guaranteed) = if self.guarantee.gpus.is_some() || less.gpus > 0.0 {
            let staying = staying(self.used.gpus, self.stopping.gpus, less.gpus);
            (staying, self.guarantee.gpus)
        } else {
            let staying = staying(self.used.cpus, self.stopping.cpus, less.cpus);
            (staying, self.guarantee.cpus)
        };
        staying >= guaranteed.unwrap_or(0.0) - EPS
    }
}

/// A job, with its tasks that wait for a machine.
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
    pub max_per_zone: Option<u32>,
    /// Tasks that are or may be on machines, by zone.
    pub tasks_by_zone: Vec<(usize, u32)>,
    /// Whether spot machines may be used.
    pub spot: bool,
    /// Whether its tasks take no checkpoints and no GPU: all work is lost with a spot instance, and room beside GPU
    /// work costs nothing.
    pub uncheckpointed: bool,
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
    /// Whether its end matters to anybody: it has a deadline, or its class an objective.
    pub has_objective: bool,
    /// Number of its tasks on machines.
    pub running: u32,
    /// Machines on which its tasks are not placed.
    pub avoid: Vec<usize>,
    /// Machines that an earlier round reserved for it.
    pub reserved_machines: Vec<usize>,
    /// Whether it skips the weighted sharing of queues: it has waited too long for its first start, or is close to the
    /// latest start that meets an objective.
    pub urgent: bool,
    /// Whether it is a gang that has waited in vain for long: for a while nothing is reserved, stopped or rented for
    /// it.
    pub backed_off: bool,
    /// Whether a gang may now set aside part of its team's limit.
    pub may_claim_limit: bool,
}

/// A task on a machine that could be stopped.
#[derive(Debug, Clone)]
pub struct RunningTask {
    /// Job, by its number among all jobs of the snapshot.
    pub job: usize,
    /// Number of the task.
    pub task: u32,
    /// Machine.
    pub machine: usize,
    /// Team.
    pub team: usize,
    /// Priority.
    pub priority: u8,
    /// Resources it takes.
    pub resources: Resources,
    /// Whether it may be preempted: it is not part of a gang, not being stopped, not about to end.
    pub preemptible: bool,
    /// Seconds of work that preemption would cost.
    pub cost_s: f64,
    /// Seconds it is expected to run on.
    pub remaining_s: f64,
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
