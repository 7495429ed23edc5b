//! Records of the ownership table: which controller owns which partition of the fleet, and in which epoch.

use super::UnknownFields;
use serde::{Deserialize, Serialize};

/// Prefix of the ownership table. Builds without partitions read nothing under it.
pub const OWNERSHIP_TABLE_PREFIX: &str = "p/";

/// Key of a part of the ownership table.
pub fn ownership_table_key(part: u16) -> String {
    format!("{OWNERSHIP_TABLE_PREFIX}{part:02}")
}

/// A part of the ownership table.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OwnershipTableRecord {
    /// Number of partitions in the whole table.
    #[serde(rename = "count")]
    pub partition_count: u16,
    /// Name of the hash function that maps machines to partitions.
    #[serde(rename = "hash")]
    pub hash_name: String,
    /// First partition of this part.
    #[serde(rename = "first")]
    pub first_partition: u16,
    /// Labels of the owners, to which the rows refer by index.
    pub owners: Vec<String>,
    /// Partitions in ascending order.
    pub rows: Vec<PartitionRow>,
    /// Fields that a newer build has added.
    #[serde(flatten)]
    pub unknown: UnknownFields,
}

/// A row of the ownership table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartitionRow {
    /// Index of the owner in [`OwnershipTableRecord::owners`].
    #[serde(rename = "o")]
    pub owner: u16,
    /// Epoch, which increases with each change of the owner.
    #[serde(rename = "e")]
    pub epoch: u64,
    /// Whether the partition is pinned to its owner.
    #[serde(rename = "p", default, skip_serializing_if = "std::ops::Not::not")]
    pub pinned: bool,
}
