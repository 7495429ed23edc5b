//! Amounts of CPUs, GPUs and memory, and bounds on CPUs and GPUs.

/// Resources of a machine, or resources that a task uses.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Resources {
    /// Number of CPUs.
    pub cpus: f64,
    /// Number of GPUs.
    pub gpus: f64,
    /// Memory in GB.
    pub memory_gb: f64,
}

/// Tolerance for rounding errors in sums of amounts that are given as decimal fractions.
pub(crate) const TOLERANCE: f64 = 1e-6;

/// Amounts up to this count as zero.
const ZERO_TOLERANCE: f64 = 1e-9;

/// Number of CPUs that have the same weight as one GPU.
const CPUS_PER_GPU: f64 = 16.0;

/// Memory in GB that has the same weight as one GPU.
const MEMORY_GB_PER_GPU: f64 = 256.0;

impl Resources {
    /// Whether these resources are sufficient for `other`.
    pub fn can_fit(&self, other: &Resources) -> bool {
        other.cpus <= self.cpus + TOLERANCE
            && other.gpus <= self.gpus + TOLERANCE
            && other.memory_gb <= self.memory_gb + TOLERANCE
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

    /// The resources of so many tasks, each of which uses this amount.
    pub fn times(&self, tasks: f64) -> Resources {
        Resources {
            cpus: self.cpus * tasks,
            gpus: self.gpus * tasks,
            memory_gb: self.memory_gb * tasks,
        }
    }

    /// How many tasks that each use `task` fit into these resources, at most `max_tasks`.
    pub fn capacity_for(&self, task: &Resources, max_tasks: u32) -> u32 {
        let mut tasks = f64::from(max_tasks);
        for (available, needed) in [
            (self.cpus, task.cpus),
            (self.gpus, task.gpus),
            (self.memory_gb, task.memory_gb),
        ] {
            if needed > TOLERANCE {
                tasks = tasks.min(((available + TOLERANCE) / needed).floor());
            }
        }
        tasks.max(0.0) as u32
    }

    /// The lesser amount of each resource.
    pub(crate) fn min(&self, other: &Resources) -> Resources {
        Resources {
            cpus: self.cpus.min(other.cpus),
            gpus: self.gpus.min(other.gpus),
            memory_gb: self.memory_gb.min(other.memory_gb),
        }
    }

    /// A weighted sum of all resources. GPUs have the largest weight, since they are scarce wherever there are any.
    pub(crate) fn weight(&self) -> f64 {
        self.gpus + self.cpus / CPUS_PER_GPU + self.memory_gb / MEMORY_GB_PER_GPU
    }
}

/// A team's guarantee or limit. `None` means that the resource is not bounded, not that the bound is zero.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct ResourceBounds {
    /// Bound on CPUs.
    pub cpus: Option<f64>,
    /// Bound on GPUs.
    pub gpus: Option<f64>,
}

impl ResourceBounds {
    /// Creates bounds from values of the settings, where 0 means that there is no bound.
    pub fn from_settings(cpus: f64, gpus: f64) -> Self {
        let bound = |amount: f64| (amount > 0.0).then_some(amount);
        ResourceBounds {
            cpus: bound(cpus),
            gpus: bound(gpus),
        }
    }

    /// Whether `used` and `more` together stay within the bounds. `allow_unbounded` states whether `more` may contain
    /// a resource that has no bound.
    pub(crate) fn allow(&self, used: &Resources, more: &Resources, allow_unbounded: bool) -> bool {
        let within = |bound: Option<f64>, used: f64, more: f64| match bound {
            Some(bound) => used + more <= bound + TOLERANCE,
            None => allow_unbounded || more <= ZERO_TOLERANCE,
        };
        within(self.cpus, used.cpus, more.cpus) && within(self.gpus, used.gpus, more.gpus)
    }
}
