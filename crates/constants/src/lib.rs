//! All tunable constants of vetchmount, each with its unit and reason, in one module per subject.
//!
//! No constant describes a particular deployment: values that depend on one are derived from its
//! settings. Every constant is re-exported here, so that callers name it without its module.

mod cloud;
mod election;
mod event_loop;
mod failures;
mod gangs;
mod messages;
mod partitions;
mod peers;
mod rebalancing;
mod records;
mod redirects;
mod rollout;
mod scale_in;
mod scheduling;
mod sockets;
mod state_service;
mod users;
mod workers;

pub use cloud::*;
pub use election::*;
pub use event_loop::*;
pub use failures::*;
pub use gangs::*;
pub use messages::*;
pub use partitions::*;
pub use peers::*;
pub use rebalancing::*;
pub use records::*;
pub use redirects::*;
pub use rollout::*;
pub use scale_in::*;
pub use scheduling::*;
pub use sockets::*;
pub use state_service::*;
pub use users::*;
pub use workers::*;
