//! Scheduling decisions of vetchmount, as pure functions of a view of the cluster.
//!
//! The ordinary path follows Philae (sampling pilots, queues by estimated size, weighted sharing, thin bypass);
//! guarantees, limits, priorities and preemption frame it. Nothing here does I/O or reads a clock.

mod fleet;
mod ranges;
mod round;
mod sampling;

pub use fleet::{plan_fleet, FleetView, Offer, RentWish};
pub use ranges::RangeSet;
pub use round::{
    Decision, JobView, MachineView, Outcome, Round, RunningView, TeamView, View, UNKNOWN_ZONE,
};
pub use sampling::{pilots_of, queue_of, weight_of, Policy};

/// Amounts of a machine or of a task.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Res {
    /// CPUs.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
    /// Memory in GB.
    pub mem: f64,
}

/// Tolerance for sums of decimal amounts.
const EPS: f64 = 1e-6;

impl Res {
    /// Whether `other` fits into this.
    pub fn fits(&self, other: &Res) -> bool {
        other.cpus <= self.cpus + EPS
            && other.gpus <= self.gpus + EPS
            && other.mem <= self.mem + EPS
    }

    /// Adds.
    pub fn add(&mut self, other: &Res) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.mem += other.mem;
    }

    /// Subtracts.
    pub fn sub(&mut self, other: &Res) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.mem -= other.mem;
    }

    /// Multiplied by a number of tasks.
    pub fn times(&self, n: f64) -> Res {
        Res {
            cpus: self.cpus * n,
            gpus: self.gpus * n,
            mem: self.mem * n,
        }
    }

    /// How many of `task` fit, at most `most`.
    pub fn holds(&self, task: &Res, most: u32) -> u32 {
        let mut n = f64::from(most);
        for (have, need) in [
            (self.cpus, task.cpus),
            (self.gpus, task.gpus),
            (self.mem, task.mem),
        ] {
            if need > EPS {
                n = n.min(((have + EPS) / need).floor());
            }
        }
        n.max(0.0) as u32
    }
}
