//! Partitions of the fleet between controllers, without I/O.
//!
//! Machines are mapped to a fixed number of *partitions* ([`partition_of`]). An *ownership table* says which
//! controller is the *owner* of each partition, and in which *epoch* ([`OwnershipTable`]). The leader issues *grants*
//! to owners, which are leases on answering workers' reports, and *permits* for machines that are steady, which means
//! that nothing changes on them ([`Delegation`]). An owner answers a report itself if it has both, and forwards all
//! others to the leader ([`Owner`]). [`rebalance`] decides which partitions move, and [`PartitionMover`] executes the
//! moves. `docs/partitions.md` explains why no answer of an owner can break a rule of the protocol.

mod delegation;
mod hash;
mod mover;
mod owner;
pub mod rebalance;
mod table;

pub use delegation::{Delegation, RelinquishedMachine, RequestError};
pub use hash::{partition_of, PARTITION_COUNT, PARTITION_HASH_NAME};
pub use mover::PartitionMover;
pub use owner::{Decision, Owner};
pub use table::{OwnershipTable, PartitionOwner, TableError};
