//! Staged upgrades of the controllers, without I/O.
//!
//! A build supports a range of *feature levels*. Each controller announces its range in the state service. The
//! *active* level never exceeds what every configured controller supports, and may be lowered until it is *finalized*.
//! The table in [`levels`] says what each level changes and when: while the level is active, or only once it is
//! finalized. No other code compares levels; it asks [`FeatureGates`] whether a feature is enabled.
//!
//! [`RolloutStateMachine`] is the part of one controller: its inputs are the time, replies of the state service and
//! heartbeats; its outputs are requests and events. Pure functions ([`plan`]) compute what it may write from what it
//! has read ([`Snapshot`]), so that a model checker can run the same code. [`GenerationStateMachine`] performs the
//! upgrade from the build without pipelines as it was before this crate, and is used where staged upgrades are not
//! switched on.

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

pub use gates::FeatureGates;
pub use generation::GenerationStateMachine;
pub use heartbeats::Liveness;
pub use identity::{Identity, Policy};
pub use levels::{Feature, LevelRange};
pub use request::{Event, Reply, Request};
pub use snapshot::{Snapshot, Stored};
pub use state_machine::{Output, RolloutStateMachine};
pub use status::{ControllerStatus, RolloutStatus};
