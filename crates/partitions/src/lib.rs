//! Partitions of the fleet between controllers, without I/O.
//!
//! Machines are mapped to a fixed number of *partitions* ([`partition_of`]). An *ownership table* says which
//! controller is the *owner* of each partition, and in which *epoch* ([`OwnershipTable`]). The leader gives owners
//! *grants*, leases on answering workers' reports, and *permits* for machines that are steady ([`Delegation`]); an
//! owner answers under both and forwards everything else ([`Owner`]). [`rebalance`] decides which partitions move,
//! and [`Handover`] executes the moves. Why no answer of an owner can break a rule of the protocol:
//! `docs/partitions.md`.

mod delegation;
mod handover;
mod hash;
mod owner;
pub mod rebalance;
mod table;

pub use delegation::{Delegation, RelinquishedMachine, RequestError};
pub use handover::Handover;
pub use hash::{partition_of, HASH, PARTITION_COUNT};
pub use owner::{Decision, Owner};
pub use table::{OwnershipTable, PartitionOwner, TableError};
