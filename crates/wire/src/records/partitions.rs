//! Records of the ownership table: which controller owns which partition of the fleet, and in which epoch.

use super::UnknownFields;
use serde::{Deserialize, Serialize};

/// Prefix of the ownership table. Builds without partitions read nothing under it.
pub const PARTITIONS: &str = "p/";

/// Key of a part of the table.
pub fn partitions_key(part: u16) -> String {
    format!("{PARTITIONS}{part:02}")
}

/// A part of the ownership table.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PartitionsRecord {
    /// Number of partitions in the whole table.
    pub count: u16,
    /// Name of the hash that maps machines to partitions.
    pub hash: String,
    /// First partition of this part.
    pub first: u16,
    /// Labels of the owners, to which the rows refer by index.
    pub owners: Vec<String>,
    /// Partitions in order.
    pub rows: Vec<PartitionRow>,
    /// Fields that a newer build has added.
    #[serde(flatten)]
    pub unknown: UnknownFields,
}

/// A row of the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartitionRow {
    /// Index of the owner among the labels.
    #[serde(rename = "o")]
    pub owner: u16,
    /// Epoch, which grows with each change of the owner.
    #[serde(rename = "e")]
    pub epoch: u64,
    /// Whether the partition is pinned to its owner.
    #[serde(rename = "p", default, skip_serializing_if = "std::ops::Not::not")]
    pub pinned: bool,
}
