//! Input of the scheduler: the state of the cluster at one moment. Machine types, zones, images, teams and jobs are
//! numbered by the caller.

use crate::resources::{ResourceBounds, Resources, TOLERANCE};

/// Zone number of machines whose zone is not known because they have not reported yet.
pub const UNKNOWN_ZONE: usize = usize::MAX;

/// A machine of the fleet.
#[derive(Debug, Clone)]
pub struct MachineSnapshot {
    /// Machine type, as numbered by the caller.
    pub machine_type: usize,
    /// Zone, as numbered by the caller.
    pub zone: usize,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Resources that are free now.
    pub free: Resources,
    /// Resources that will be free once the tasks being stopped have ended.
    pub free_after_stops: Resources,
    /// All resources of the machine.
    pub total: Resources,
    /// Whether new tasks may be placed on it.
    pub usable: bool,
    /// Number of further tasks that it may run, regardless of their resources.
    pub free_slots: u32,
    /// Number of pilots running on it.
    pub pilots: u32,
    /// Whether it is slower than other machines of its type.
    pub slow: bool,
    /// Images that it has fetched, as numbered by the caller.
    pub images: Vec<usize>,
    /// Seconds until all of its tasks are expected to have ended.
    pub busy_s: f64,
    /// Seconds until the start of a task can be sent to it.
    pub dispatch_delay_s: f64,
    /// Seconds until a booting machine is expected to be up; `None` for other machines. No task can be placed on a
    /// booting machine yet, but it may be reserved for a gang.
    pub ready_in_s: Option<f64>,
}

/// Guarantee, limit and usage of a team.
#[derive(Debug, Clone, Default)]
pub struct TeamSnapshot {
    /// Resources that it may use with precedence over other teams.
    pub guarantee: ResourceBounds,
    /// The most resources that it may use.
    pub limit: ResourceBounds,
    /// Resources of its tasks that are or may be on machines, orphaned tasks included.
    pub used: Resources,
    /// The part of `used` that belongs to tasks being stopped. It counts against the limit until these tasks have
    /// ended.
    pub stopping: Resources,
}

impl TeamSnapshot {
    /// Whether the team stays within its limit if it uses `more` in addition.
    pub fn is_within_limit(&self, more: &Resources) -> bool {
        self.limit.allow(&self.used, more, true)
    }

    /// Whether the team stays within its guarantee if it uses `more` in addition. If only one of the two resources has
    /// a guarantee, the other does not count: a team with guaranteed GPUs also needs CPUs to use them.
    pub fn is_within_guarantee(&self, more: &Resources) -> bool {
        let within =
            |allow_unbounded: bool| self.guarantee.allow(&self.used, more, allow_unbounded);
        match (self.guarantee.cpus, self.guarantee.gpus) {
            (None, None) => false,
            (None, Some(_)) => more.gpus > 0.0 && within(true),
            (Some(_), None) => within(true),
            (Some(_), Some(_)) => within(false),
        }
    }

    /// Whether the team still uses at least its guarantee after losing `less` and the resources of tasks being stopped.
    /// GPUs decide if they are guaranteed or part of `less`, else CPUs.
    pub(crate) fn keeps_guarantee_without(&self, less: &Resources) -> bool {
        let remaining = |used: f64, stopping: f64, less: f64| used - stopping - less;
        let (remaining, guaranteed) = if self.guarantee.gpus.is_some() || less.gpus > 0.0 {
            let remaining = remaining(self.used.gpus, self.stopping.gpus, less.gpus);
            (remaining, self.guarantee.gpus)
        } else {
            let remaining = remaining(self.used.cpus, self.stopping.cpus, less.cpus);
            (remaining, self.guarantee.cpus)
        };
        remaining >= guaranteed.unwrap_or(0.0) - TOLERANCE
    }
}

/// A job, with its tasks that wait for a machine.
#[derive(Debug, Clone)]
pub struct JobSnapshot {
    /// Team, as numbered by the caller.
    pub team: usize,
    /// Whether it is a gang: all its tasks start together.
    pub gang: bool,
    /// Whether it is a service: it runs until it is cancelled, and skips the queues.
    pub service: bool,
    /// Priority; larger values are more important.
    pub priority: u8,
    /// Resources of each of its tasks.
    pub task_resources: Resources,
    /// Allowed machine types; `None` allows any.
    pub machine_types: Option<Vec<usize>>,
    /// The only allowed zone; `None` allows any.
    pub required_zone: Option<usize>,
    /// Whether all tasks must be in the same zone.
    pub one_zone: bool,
    /// The most tasks in any one zone.
    pub max_per_zone: Option<u32>,
    /// Number of tasks that are or may be on machines, by zone.
    pub tasks_by_zone: Vec<(usize, u32)>,
    /// Whether spot machines may be used.
    pub spot_allowed: bool,
    /// Whether its tasks take no checkpoints and use no GPU. All work of such a task is lost with a spot machine, and
    /// CPUs on machines that run GPU tasks are available to it at no extra cost.
    pub uncheckpointed: bool,
    /// Image, as numbered by the caller.
    pub image: usize,
    /// Numbers of the tasks to place, in order. Contains all missing tasks of a gang; of another job it may be
    /// truncated to what one round can place.
    pub waiting_tasks: Vec<u32>,
    /// Number of pilots that are still to be placed: the first of the waiting tasks.
    pub pilots_due: u32,
    /// Whether pilots of the job are still being sampled to estimate its size.
    pub sampling: bool,
    /// Queue, chosen by the job's estimated size.
    pub queue: usize,
    /// Order within a queue, smallest first.
    pub order: u64,
    /// Whether somebody waits for its end: the job has a deadline, or its class has an objective.
    pub has_objective: bool,
    /// Number of its tasks on machines.
    pub assigned_tasks: u32,
    /// Machines on which its tasks must not be placed.
    pub avoided_machines: Vec<usize>,
    /// Machines that an earlier round reserved for it.
    pub reserved_machines: Vec<usize>,
    /// Whether it is exempt from the weighted sharing of queues, because it has waited too long for its first start or
    /// is close to the latest start that meets an objective.
    pub urgent: bool,
    /// Whether it is a gang that backs off after a long wait without success. During the backoff, no machines are
    /// reserved or rented and no tasks are stopped for it.
    pub backed_off: bool,
    /// Whether a gang may now claim part of its team's limit, which sets that part aside for it.
    pub may_claim_limit: bool,
}

/// A task on a machine that could be stopped.
#[derive(Debug, Clone)]
pub struct RunningTask {
    /// Job, by its index in the snapshot.
    pub job: usize,
    /// Number of the task.
    pub number: u32,
    /// Machine, by its index in the snapshot.
    pub machine: usize,
    /// Team, as numbered by the caller.
    pub team: usize,
    /// Priority.
    pub priority: u8,
    /// Resources that it uses.
    pub resources: Resources,
    /// Whether it may be preempted: it is not part of a gang, is not being stopped and is not about to end.
    pub preemptible: bool,
    /// Cost of preempting it, in seconds of work.
    pub preemption_cost_s: f64,
    /// Seconds for which it is expected to continue to run.
    pub remaining_s: f64,
}

/// The state of the cluster for one scheduling round or one plan of the fleet.
#[derive(Debug, Clone, Default)]
pub struct ClusterSnapshot {
    /// Machines.
    pub machines: Vec<MachineSnapshot>,
    /// Teams.
    pub teams: Vec<TeamSnapshot>,
    /// Jobs, including those without waiting tasks.
    pub jobs: Vec<JobSnapshot>,
    /// Tasks on machines.
    pub running_tasks: Vec<RunningTask>,
}
