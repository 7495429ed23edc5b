//! The mapping of machines to partitions. It must be the same in every build that may run at the same time.

use wire::partitions::PartitionId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of partitions: some twelve for each of five controllers, so that a move shifts a small part of a share.
pub const PARTITION_COUNT: PartitionId = 64;

/// Name of the mapping, as it is recorded in the ownership table.
pub const PARTITION_HASH_NAME: &str = "xxh3-64/1";

/// Seed of the hash.
const SEED: u64 = 1;

/// The partition of a machine.
pub fn partition_of(machine: &str) -> PartitionId {
    let hash = xxh3_64_with_seed(machine.as_bytes(), SEED);
    (hash % u64::from(PARTITION_COUNT)) as PartitionId
}
