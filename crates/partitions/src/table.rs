//! The ownership table: which controller owns each partition, in which epoch, and how that is recorded.

use crate::hash::{HASH, PARTITION_COUNT};
use std::collections::BTreeMap;
use wire::partitions::PartitionId;
use wire::records::{ownership_table_key, OwnershipTableRecord, PartitionRow, UnknownFields};

/// Partitions of a record. With labels of 40 characters it takes less than the smallest value limit known, 1 KiB.
const ROWS_A_RECORD: PartitionId = 16;
/// Records of the table.
const RECORDS: u16 = PARTITION_COUNT / ROWS_A_RECORD;

/// Why a record of the table can't be used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum TableError {
    /// It is for another number of partitions.
    #[error("{count} partitions are recorded, this build has {PARTITION_COUNT}")]
    Count {
        /// Number that is recorded.
        count: u16,
    },
    /// Machines are mapped in another way.
    #[error("the mapping {hash:?} is recorded, this build has {HASH:?}")]
    Hash {
        /// Mapping that is recorded.
        hash: String,
    },
    /// Its rows do not match its key, or name no owner.
    #[error("the rows of {key} are not as this build writes them")]
    Rows {
        /// Its key.
        key: String,
    },
}

/// The owner of a partition.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PartitionOwner {
    /// Label of the controller.
    pub owner: String,
    /// Epoch, which grows with each change of the owner.
    pub epoch: u64,
    /// Whether it is pinned there.
    pub pinned: bool,
}

/// What is remembered of a record of the table since it was last read or written.
#[derive(Debug, Clone, Default)]
struct StoredRecord {
    version: u64,
    unknown: UnknownFields,
}

/// The table, with the versions of its records.
#[derive(Debug, Clone)]
pub struct OwnershipTable {
    rows: Vec<PartitionOwner>,
    records: BTreeMap<u16, StoredRecord>,
}

impl OwnershipTable {
    /// A table that has not been recorded yet: one controller owns everything.
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

    /// Loads a record that was read under its key.
    pub fn load(
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
        if record.hash_name != HASH {
            return Err(TableError::Hash {
                hash: record.hash_name,
            });
        }
        let number = record.first_partition / ROWS_A_RECORD;
        let is_whole = record.first_partition.is_multiple_of(ROWS_A_RECORD)
            && key == ownership_table_key(number)
            && record.rows.len() == usize::from(ROWS_A_RECORD)
            && number < RECORDS;
        let owner_of = |row: &PartitionRow| record.owners.get(usize::from(row.owner));
        let owners: Option<Vec<&String>> = record.rows.iter().map(owner_of).collect();
        let (true, Some(owners)) = (is_whole, owners) else {
            let key = key.to_string();
            return Err(TableError::Rows { key });
        };
        let first = usize::from(record.first_partition);
        for (offset, (row, owner)) in record.rows.iter().zip(owners).enumerate() {
            let known = &mut self.rows[first + offset];
            // Epochs never decrease. A reading that was overtaken by our own write may be older.
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

    /// The owner of a partition.
    pub fn row(&self, partition: PartitionId) -> Option<&PartitionOwner> {
        self.rows.get(usize::from(partition))
    }

    /// All partitions with their owners.
    pub fn rows(&self) -> impl Iterator<Item = (PartitionId, &PartitionOwner)> {
        (0..PARTITION_COUNT).zip(&self.rows)
    }

    /// Partitions of a controller.
    pub fn owned_by<'a>(&'a self, owner: &'a str) -> impl Iterator<Item = PartitionId> + 'a {
        let rows = self.rows();
        rows.filter(move |(_, row)| row.owner == owner)
            .map(|(partition, _)| partition)
    }

    /// Whether all of its records are in the state service, as far as is known.
    pub fn is_recorded(&self) -> bool {
        self.records.len() == usize::from(RECORDS)
    }

    /// Numbers of the records that hold these partitions.
    pub(crate) fn records_of(partitions: impl Iterator<Item = PartitionId>) -> Vec<u16> {
        let mut numbers: Vec<u16> = partitions.map(|p| p / ROWS_A_RECORD).collect();
        numbers.sort_unstable();
        numbers.dedup();
        numbers
    }

    /// Numbers of the records that are not in the state service.
    pub(crate) fn missing_records(&self) -> Vec<u16> {
        let missing = |number: &u16| !self.records.contains_key(number);
        (0..RECORDS).filter(missing).collect()
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

    /// A record with its key and the version that it has now.
    pub(crate) fn record(&self, number: u16) -> (String, OwnershipTableRecord, u64) {
        let first = number * ROWS_A_RECORD;
        let rows = &self.rows[usize::from(first)..usize::from(first + ROWS_A_RECORD)];
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
            hash_name: HASH.to_string(),
            first_partition: first,
            owners,
            rows,
            unknown: stored.unknown,
        };
        (ownership_table_key(number), record, stored.version)
    }

    /// A record was written as it is in this table.
    pub(crate) fn recorded(&mut self, number: u16, version: u64) {
        self.records.entry(number).or_default().version = version;
    }
}
