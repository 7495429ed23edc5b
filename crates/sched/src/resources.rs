//! Amounts of CPUs, GPUs and memory.

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

/// CPUs that weigh as much as a GPU.
const CPUS_PER_GPU: f64 = 16.0;

/// Memory in GB that weighs as much as a GPU.
const MEMORY_PER_GPU: f64 = 256.0;

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

    /// The lesser of both, resource by resource.
    pub(crate) fn min(&self, other: &Res) -> Res {
        Res {
            cpus: self.cpus.min(other.cpus),
            gpus: self.gpus.min(other.gpus),
            mem: self.mem.min(other.mem),
        }
    }

    /// One number for all of it: GPUs are what is scarce wherever there are any.
    pub(crate) fn weight(&self) -> f64 {
        self.gpus + self.cpus / CPUS_PER_GPU + self.mem / MEMORY_PER_GPU
    }
}
