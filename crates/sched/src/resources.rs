//! Amounts of CPUs, GPUs and memory, and bounds on them.

/// What a machine has or a task takes.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Resources {
    /// CPUs.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
    /// Memory in GB.
    pub memory_gb: f64,
}

/// Tolerance for sums of decimal amounts.
pub(crate) const EPS: f64 = 1e-6;

/// Amounts up to this count as nothing.
const NOTHING: f64 = 1e-9;

/// CPUs that weigh as much as a GPU.
const CPUS_PER_GPU: f64 = 16.0;

/// Memory in GB that weighs as much as a GPU.
const MEMORY_PER_GPU: f64 = 256.0;

impl Resources {
    /// Whether `other` fits into this amount.
    pub fn can_fit(&self, other: &Resources) -> bool {
        other.cpus <= self.cpus + EPS
            && other.gpus <= self.gpus + EPS
            && other.memory_gb <= self.memory_gb + EPS
    }

    /// Adds `other`.
    pub fn add(&mut self, other: &Resources) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.memory_gb += other.memory_gb;
    }

    /// Subtracts `other`. The result may be negative.
    pub fn sub(&mut self, other: &Resources) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.memory_gb -= other.memory_gb;
    }

    /// Multiplied by a number of tasks.
    pub fn times(&self, tasks: f64) -> Resources {
        Resources {
            cpus: self.cpus * tasks,
            gpus: self.gpus * tasks,
            memory_gb: self.memory_gb * tasks,
        }
    }

    /// How many tasks of that size fit, at most `most`.
    pub fn capacity_for(&self, task: &Resources, most: u32) -> u32 {
        let mut tasks = f64::from(most);
        for (available, needed) in [
            (self.cpus, task.cpus),
            (self.gpus, task.gpus),
            (self.memory_gb, task.memory_gb),
        ] {
            if needed > EPS {
                tasks = tasks.min(((available + EPS) / needed).floor());
            }
        }
        tasks.max(0.0) as u32
    }

    /// The lesser of both, resource by resource.
    pub(crate) fn min(&self, other: &Resources) -> Resources {
        Resources {
            cpus: self.cpus.min(other.cpus),
            gpus: self.gpus.min(other.gpus),
            memory_gb: self.memory_gb.min(other.memory_gb),
        }
    }

    /// All resources as one number. GPUs count most, since they are scarce wherever there are any.
    pub(crate) fn weight(&self) -> f64 {
        self.gpus + self.cpus / CPUS_PER_GPU + self.memory_gb / MEMORY_PER_GPU
    }
}

/// A team's guarantee or limit. A resource without a bound has none, not a bound of nothing.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct ResourceBounds {
    /// CPUs.
    pub cpus: Option<f64>,
    /// GPUs.
    pub gpus: Option<f64>,
}

impl ResourceBounds {
    /// Bounds as settings have them, where 0 stands for none.
    pub fn from_settings(cpus: f64, gpus: f64) -> Self {
        let bound = |amount: f64| (amount > 0.0).then_some(amount);
        ResourceBounds {
            cpus: bound(cpus),
            gpus: bound(gpus),
        }
    }

    /// Whether `used` and `more` together stay within the bounds. `unbounded` says whether a resource without a
    /// bound may be used at all.
    pub(crate) fn allow(&self, used: &Resources, more: &Resources, unbounded: bool) -> bool {
        let within = |bound: Option<f64>, used: f64, more: f64| match bound {
            Some(bound) => used + more <= bound + EPS,
            None => unbounded || more <= NOTHING,
        };
        within(self.cpus, used.cpus, more.cpus) && within(self.gpus, used.gpus, more.gpus)
    }
}
