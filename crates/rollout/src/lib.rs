//! Staged upgrades of the controllers, without I/O.
//!
//! A build can run a range of *feature levels*. Each controller announces its range in the state service; the level
//! that is *active* never exceeds what every configured controller supports, and may go back until it is *finalized*.
//! The table in [`levels`] says what each level changes and when: while it is active, or only once it is final. No
//! other code compares levels; it asks [`Gates`] whether a feature is open.
//!
//! [`RolloutMachine`] is one controller's part: it is fed time, replies of the state service and heartbeats, and
//! yields requests and events. What it may write is computed by pure functions ([`plan`]) on what it has read
//! ([`Snapshot`]), so that a model checker can run the same code. [`GenerationMachine`] is the upgrade from the build
//! without pipelines as it was before this crate, and holds where rollouts are not switched on.

pub mod levels;

mod gates;
mod generation;
mod heartbeats;
mod identity;
pub mod plan;
mod request;
mod snapshot;
mod state_machine;
mod status;
mod upgrade_monitor;

pub use gates::Gates;
pub use generation::GenerationMachine;
pub use heartbeats::Liveness;
pub use identity::{Identity, Policy};
pub use levels::{Feature, LevelRange};
pub use request::{Event, Reply, Request};
pub use snapshot::{Snapshot, Stored};
pub use state_machine::{Output, RolloutMachine};
pub use status::{ControllerStatus, RolloutStatus};
