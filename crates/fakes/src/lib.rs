//! A simulated cluster in memory for scenario tests: state service, cloud, workers, users, and a network that can be
//! cut, all in simulated time. It checks the rules that matter most at every step.

mod checks;
mod cloud;
mod events;
mod fleet;
mod jobs;
mod network;
mod rules;
mod state;
mod troubles;
mod turns;
mod users;
mod worker;
mod world;

pub use jobs::{array, gang};
pub use rules::{Jobs, Placed, Question, Rules};
pub use state::{FakeLimits, FakeState, RequestCounts, Waiter};
pub use troubles::{CopyTo, Cut, Party, Troubles, LATE_REPORT_MS, LATE_TXN_MS};
pub use turns::{Turn, TurnAbout};
pub use worker::{Behaviour, FakeTask, FakeWorker, Gang};
pub use world::World;

/// Type of every fake machine: 4 GPUs, 32 CPUs.
pub const KIND: &str = "g4";
/// Resources of such a machine: CPUs, GPUs, memory in GB.
pub const MACHINE: (f64, f64, f64) = (32.0, 4.0, 256.0);

/// Milliseconds that a message takes.
const DELAY_MS: u64 = 5;
/// Path of workers' reports.
const HEARTBEAT_PATH: &str = "/v1/report";
