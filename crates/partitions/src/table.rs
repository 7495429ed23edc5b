//! The ownership table: which controller owns each partition in which epoch, and the records that store this.

use crate::hash::{PARTITION_COUNT, PARTITION_HASH_NAME};
use std::collections::BTreeMap;
use wire::partitions::PartitionId;
use wire::records::{ownership_table_key, OwnershipTableRecord, PartitionRow, UnknownFields};

/// Partitions per record. With labels of 40 characters, a record takes less than 1 KiB, the smallest value size limit
/// known.
const PARTITIONS_PER_RECORD: PartitionId = 16;
/// Number of records of the table.
const RECORD_COUNT: u16 = PARTITION_COUNT / PARTITIONS_PER_RECORD;

/// Reason why a record of the table cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum TableError {
    /// The record is for another number of partitions.
    #[error("the table has {count} partitions, this build has {PARTITION_COUNT}")]
    Count {
        /// Recorded number.
        count: u16,
    },
    /// The record is for another mapping of machines to partitions.
    #[error("the table is for mapping {hash:?}, this build uses {PARTITION_HASH_NAME:?}")]
    Hash {
        /// Name of the recorded mapping.
        hash: String,
    },
    /// The rows do not match the record's key, or a row names no owner.
    #[error("the rows of {key} do not match its key, or name no owner")]
    Rows {
        /// Key of the record.
        key: String,
    },
}

/// The owner of a partition.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PartitionOwner {
    /// Label of the controller.
    pub owner: String,
    /// Epoch, which increases with each change of the owner.
    pub epoch: u64,
    /// Whether the partition is pinned to this owner.
    pub pinned: bool,
}

/// Version and unknown fields of a record when it was last read or written.
#[derive(Debug, Clone, Default)]
struct StoredRecord {
    version: u64,
    unknown: UnknownFields,
}

/// The ownership table, with the versions of its records.
#[derive(Debug, Clone)]
pub struct OwnershipTable {
    rows: Vec<PartitionOwner>,
    records: BTreeMap<u16, StoredRecord>,
}

impl OwnershipTable {
    /// Creates a table that has not been recorded yet. One controller owns all partitions.
    pub fn new(owner: &str) -> Self {
        let row = PartitionOwner {
            owner: owner.to_string(),
            epoch: 0,
            pinned: false,
        };
        OwnershipTable {
            rows: vec![row; usize::from(PARTITION_COUNT)],
            records: BTreeMap::new(),
        }
    }

    /// Loads a record that was read under the given key.
    pub fn load_record(
        &mut self,
        key: &str,
        record: OwnershipTableRecord,
        version: u64,
    ) -> Result<(), TableError> {
        if record.partition_count != PARTITION_COUNT {
            return Err(TableError::Count {
                count: record.partition_count,
            });
        }
        if record.hash_name != PARTITION_HASH_NAME {
            return Err(TableError::Hash {
                hash: record.hash_name,
            });
        }
        let number = record.first_partition / PARTITIONS_PER_RECORD;
        let is_whole = record.first_partition.is_multiple_of(PARTITIONS_PER_RECORD)
            && key == ownership_table_key(number)
            && record.rows.len() == usize::from(PARTITIONS_PER_RECORD)
            && number < RECORD_COUNT;
        let owner_of = |row: &PartitionRow| record.owners.get(usize::from(row.owner));
        let owners: Option<Vec<&String>> = record.rows.iter().map(owner_of).collect();
        let (true, Some(owners)) = (is_whole, owners) else {
            let key = key.to_string();
            return Err(TableError::Rows { key });
        };
        let first = usize::from(record.first_partition);
        for (offset, (row, owner)) in record.rows.iter().zip(owners).enumerate() {
            let known = &mut self.rows[first + offset];
            // Epochs never decrease. A read may be older than this table if one of its writes was executed meanwhile.
            if row.epoch >= known.epoch {
                *known = PartitionOwner {
                    owner: owner.clone(),
                    epoch: row.epoch,
                    pinned: row.pinned,
                };
            }
        }
        let stored = StoredRecord {
            version,
            unknown: record.unknown,
        };
        self.records.insert(number, stored);
        Ok(())
    }

    /// The owner of a partition. `None` if the partition does not exist.
    pub fn row(&self, partition: PartitionId) -> Option<&PartitionOwner> {
        self.rows.get(usize::from(partition))
    }

    /// All partitions with their owners.
    pub fn rows(&self) -> impl Iterator<Item = (PartitionId, &PartitionOwner)> {
        (0..PARTITION_COUNT).zip(&self.rows)
    }

    /// Partitions that a controller owns.
    pub fn owned_by<'a>(&'a self, owner: &'a str) -> impl Iterator<Item = PartitionId> + 'a {
        let rows = self.rows();
        rows.filter(move |(_, row)| row.owner == owner)
            .map(|(partition, _)| partition)
    }

    /// Whether all records of the table are in the state service, as far as is known.
    pub fn is_recorded(&self) -> bool {
        self.records.len() == usize::from(RECORD_COUNT)
    }

    /// Numbers of the records that hold these partitions.
    pub(crate) fn records_of(partitions: impl Iterator<Item = PartitionId>) -> Vec<u16> {
        let mut numbers: Vec<u16> = partitions.map(|p| p / PARTITIONS_PER_RECORD).collect();
        numbers.sort_unstable();
        numbers.dedup();
        numbers
    }

    /// Numbers of the records that are not in the state service.
    pub(crate) fn missing_records(&self) -> Vec<u16> {
        let missing = |number: &u16| !self.records.contains_key(number);
        (0..RECORD_COUNT).filter(missing).collect()
    }

    /// Assigns a partition to another owner, under the next epoch.
    pub(crate) fn change_owner(&mut self, partition: PartitionId, owner: &str, pinned: bool) {
        if let Some(row) = self.rows.get_mut(usize::from(partition)) {
            *row = PartitionOwner {
                owner: owner.to_string(),
                epoch: row.epoch + 1,
                pinned,
            };
        }
    }

    /// A record of the table, with its key and its version in the state service.
    pub(crate) fn record(&self, number: u16) -> (String, OwnershipTableRecord, u64) {
        let first = number * PARTITIONS_PER_RECORD;
        let rows = &self.rows[usize::from(first)..usize::from(first + PARTITIONS_PER_RECORD)];
        let mut owners: Vec<String> = rows.iter().map(|row| row.owner.clone()).collect();
        owners.sort_unstable();
        owners.dedup();
        let index = |owner: &String| owners.binary_search(owner).unwrap_or(0) as u16;
        let rows = rows.iter().map(|row| PartitionRow {
            owner: index(&row.owner),
            epoch: row.epoch,
            pinned: row.pinned,
        });
        let rows = rows.collect();
        let stored = self.records.get(&number).cloned().unwrap_or_default();
        let record = OwnershipTableRecord {
            partition_count: PARTITION_COUNT,
            hash_name: PARTITION_HASH_NAME.to_string(),
            first_partition: first,
            owners,
            rows,
            unknown: stored.unknown,
        };
        (ownership_table_key(number), record, stored.version)
    }

    /// Notes the version under which a record of this table was written.
    pub(crate) fn set_record_version(&mut self, number: u16, version: u64) {
        self.records.entry(number).or_default().version = version;
    }
}
