//! The cluster as one round of decisions sees it.

use crate::Res;

/// Number of the zone of a place whose machine has not been heard of yet.
pub const UNKNOWN_ZONE: usize = usize::MAX;

/// A machine that tasks could be placed on.
#[derive(Debug, Clone)]
pub struct MachineView {
    /// Type, as the caller numbers them.
    pub kind: usize,
    /// Zone, as the caller numbers them.
    pub zone: usize,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// What is free now.
    pub free: Res,
    /// What will be free once the tasks that are being stopped have gone.
    pub soon: Res,
    /// What it has in all.
    pub total: Res,
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
    /// gang may keep it.
    pub coming_s: Option<f64>,
}

/// A team.
#[derive(Debug, Clone, Default)]
pub struct TeamView {
    /// Guaranteed CPUs and GPUs; 0 for none.
    pub guarantee: (f64, f64),
    /// Most CPUs and GPUs; 0 for no limit.
    pub limit: (f64, f64),
    /// In use, unsure places included.
    pub used: Res,
    /// Of that, what is being stopped. It still counts against the limit until it has gone.
    pub leaving: Res,
}

impl TeamView {
    pub(crate) fn within(bound: (f64, f64), all: bool, used: &Res, more: &Res) -> bool {
        let ok = |bound: f64, used: f64, more: f64| {
            if bound <= 0.0 {
                all || more <= 1e-9
            } else {
                used + more <= bound + 1e-6
            }
        };
        ok(bound.0, used.cpus, more.cpus) && ok(bound.1, used.gpus, more.gpus)
    }

    /// Whether `more` stays within the limit.
    pub fn allows(&self, more: &Res) -> bool {
        Self::within(self.limit, true, &self.used, more)
    }

    /// Whether `more` stays within the guarantee. A resource without a guarantee does not count when the other
    /// has one: a team with GPUs guaranteed needs CPUs to use them.
    pub fn entitles(&self, more: &Res) -> bool {
        if self.guarantee.0 <= 0.0 && self.guarantee.1 <= 0.0 {
            return false;
        }
        if self.guarantee.1 > 0.0 && self.guarantee.0 <= 0.0 {
            return more.gpus > 0.0
                && Self::within((0.0, self.guarantee.1), true, &self.used, more);
        }
        Self::within(self.guarantee, self.guarantee.1 <= 0.0, &self.used, more)
    }

    /// Whether the team would still have its guarantee filled after losing `less`.
    pub(crate) fn borrows(&self, less: &Res) -> bool {
        let over = |bound: f64, used: f64, less: f64| used - less >= bound - 1e-6;
        if self.guarantee.1 > 0.0 || less.gpus > 0.0 {
            over(
                self.guarantee.1,
                self.used.gpus - self.leaving.gpus,
                less.gpus,
            )
        } else {
            over(
                self.guarantee.0,
                self.used.cpus - self.leaving.cpus,
                less.cpus,
            )
        }
    }
}

/// A job with tasks to place.
#[derive(Debug, Clone)]
pub struct JobView {
    /// Team, as the caller numbers them.
    pub team: usize,
    /// Whether all its tasks start together.
    pub gang: bool,
    /// Whether it runs until cancelled: it skips the queues.
    pub service: bool,
    /// Priority, larger is more important.
    pub priority: u8,
    /// What a task takes.
    pub task: Res,
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
    /// Machines an earlier round kept for it.
    pub kept: Vec<usize>,
    /// Whether it has waited so long without a start that the queues' weights count no more.
    pub aged: bool,
    /// A gang that has waited in vain for long: nothing is kept, stopped or rented for it for a while.
    pub resting: bool,
    /// Whether a gang may at this time keep its team's other work from what is left of the team's limit.
    pub claims: bool,
}

/// A task on a machine that could be stopped.
#[derive(Debug, Clone)]
pub struct RunningView {
    /// Job, by its number among all jobs of the view.
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
    pub res: Res,
    /// Whether it may be stopped: not a gang's, not being stopped, not about to end.
    pub movable: bool,
    /// Seconds of work that stopping would cost.
    pub cost_s: f64,
    /// Seconds it is expected to go on for.
    pub left_s: f64,
}

/// The cluster as one round sees it.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// Machines.
    pub machines: Vec<MachineView>,
    /// Teams.
    pub teams: Vec<TeamView>,
    /// Jobs, those without waiting tasks included.
    pub jobs: Vec<JobView>,
    /// Tasks on machines.
    pub running: Vec<RunningView>,
}
