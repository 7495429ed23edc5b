//! An in-memory simulation of a cluster for scenario tests: state service, cloud, workers, users, and a network with
//! injectable faults, all in simulated time. It checks the most important rules of the protocol at every step.

mod checks;
mod cloud;
mod events;
mod faults;
mod fleet;
mod jobs;
mod network;
mod rules;
mod state;
mod turns;
mod users;
mod worker;
mod world;

pub use cloud::machine_type;
pub use faults::{
    ConnectionFault, DuplicateTarget, Faults, Party, LATE_TXN_DELAY_MS, MIN_DUPLICATE_DELAY_MS,
};
pub use jobs::{array_job, gang_job};
pub use rules::{JobsByName, PlacedTask, RequestKind, RuleChecker};
pub use state::{Caller, FakeStateService, RequestCounts, StateServiceLimits};
pub use turns::{Turn, TurnKind};
pub use worker::{FakeTask, FakeWorker, GangState, TaskBehaviour};
pub use world::World;

/// Type of the simulated machines, unless a scenario sets another one: 4 GPUs, 32 CPUs.
pub const MACHINE_TYPE: &str = "g4";
/// Resources of a machine of type [`MACHINE_TYPE`]: CPUs, GPUs, memory in GB.
pub const MACHINE_RESOURCES: (f64, f64, f64) = (32.0, 4.0, 256.0);

/// Network delay of a message in milliseconds, without injected faults.
const MESSAGE_DELAY_MS: u64 = 5;
/// HTTP path of workers' reports.
const HEARTBEAT_PATH: &str = "/v1/report";
