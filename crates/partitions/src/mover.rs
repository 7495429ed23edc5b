//! Moves of partitions between owners: the leader's copy of the ownership table, the moves under way, and the writes
//! that commit them.

use crate::table::{OwnershipTable, TableError};
use constants::PARTITION_MOVE_TIMEOUT_MS;
use std::collections::BTreeMap;
use wire::partitions::{PartitionEpoch, PartitionId};
use wire::records::{OwnershipTableRecord, LEADER_KEY};
use wire::state::{Compare, Txn, Write};

/// A move under way.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Move {
    to: String,
    pinned: bool,
    begun_at: u64,
}

/// A write in flight: its record, the table after it, and the moves that it commits.
#[derive(Debug)]
struct PendingWrite {
    record: u16,
    table: OwnershipTable,
    moves: Vec<PartitionId>,
}

/// The leader's copy of the ownership table, and the moves under way.
///
/// While a partition is moving, it is granted to no controller. The write that commits a move is conditional on the
/// versions of the leader key and of the record, so that of two leaders, or of two attempts, only one succeeds.
#[derive(Debug)]
pub struct PartitionMover {
    table: OwnershipTable,
    moves: BTreeMap<PartitionId, Move>,
    pending: Option<PendingWrite>,
    is_loaded: bool,
    /// Whether the outcome of a write is unknown, or a stored record may differ from the copy.
    must_reload: bool,
}

impl PartitionMover {
    /// Creates the mover of a new leader, which has not read the table yet.
    pub fn new(leader: &str) -> Self {
        PartitionMover {
            table: OwnershipTable::new(leader),
            moves: BTreeMap::new(),
            pending: None,
            is_loaded: false,
            must_reload: true,
        }
    }

    /// The ownership table as it was last read or written.
    pub fn table(&self) -> &OwnershipTable {
        &self.table
    }

    /// Whether the records have to be read.
    pub fn must_reload(&self) -> bool {
        self.must_reload && self.pending.is_none()
    }

    /// Loads a record that was read under the given key.
    pub fn load_record(
        &mut self,
        key: &str,
        record: OwnershipTableRecord,
        version: u64,
    ) -> Result<(), TableError> {
        self.table.load_record(key, record, version)
    }

    /// Handles the end of a reload of all records. Moves that were committed by a write of unknown outcome are
    /// complete.
    pub fn on_loaded(&mut self) {
        self.is_loaded = true;
        self.must_reload = false;
        let table = &self.table;
        self.moves.retain(|partition, moved| {
            let row = table.row(*partition);
            row.is_some_and(|row| (&row.owner, row.pinned) != (&moved.to, moved.pinned))
        });
    }

    /// Whether a move of a partition is under way.
    pub fn is_moving(&self, partition: PartitionId) -> bool {
        self.moves.contains_key(&partition)
    }

    /// Number of moves under way.
    pub fn move_count(&self) -> usize {
        self.moves.len()
    }

    /// Begins to move a partition. Returns false if the table has not been loaded, or the partition is moving already
    /// or is owned and pinned as requested.
    pub fn begin_move(&mut self, partition: PartitionId, to: &str, pinned: bool, now: u64) -> bool {
        let row = self.table.row(partition);
        let is_unchanged = row.is_none_or(|row| row.owner == to && row.pinned == pinned);
        if !self.is_loaded || is_unchanged || self.is_moving(partition) {
            return false;
        }
        let moved = Move {
            to: to.to_string(),
            pinned,
            begun_at: now,
        };
        self.moves.insert(partition, moved);
        true
    }

    /// Partitions that may be granted to an owner: those that it owns in the recorded table and that are not moving.
    pub fn grantable_partitions(&self, owner: &str) -> Vec<PartitionEpoch> {
        if !self.is_loaded || !self.table.is_recorded() {
            return Vec::new();
        }
        let owned = self.table.rows().filter(|(_, row)| row.owner == owner);
        let stationary = owned.filter(|(partition, _)| !self.is_moving(*partition));
        let grantable = stationary.map(|(partition, row)| PartitionEpoch {
            partition,
            epoch: row.epoch,
        });
        grantable.collect()
    }

    /// The next write, if one is needed and none is in flight. Abandons moves that have waited for
    /// [`PARTITION_MOVE_TIMEOUT_MS`].
    pub fn next_write(&mut self, leader_version: u64, now: u64) -> Option<Txn> {
        if !self.is_loaded || self.must_reload || self.pending.is_some() {
            return None;
        }
        self.moves
            .retain(|_, moved| now < moved.begun_at + PARTITION_MOVE_TIMEOUT_MS);
        let missing = self.table.missing_records().first().copied();
        let changed = OwnershipTable::records_of(self.moves.keys().copied());
        let record = missing.or(changed.first().copied())?;
        let mut table = self.table.clone();
        let mut moves = Vec::new();
        for (partition, moved) in &self.moves {
            if OwnershipTable::records_of([*partition].into_iter()) == [record] {
                table.change_owner(*partition, &moved.to, moved.pinned);
                moves.push(*partition);
            }
        }
        let (key, value, version) = table.record(record);
        self.pending = Some(PendingWrite {
            record,
            table,
            moves,
        });
        Some(Txn {
            compares: vec![
                Compare::new(LEADER_KEY, leader_version),
                Compare::new(key.clone(), version),
            ],
            writes: vec![Write::put(key, &value)],
        })
    }

    /// Handles the commit of the write under the given version. Returns the partitions that have moved.
    pub fn on_write_committed(&mut self, version: u64) -> Vec<PartitionId> {
        let Some(pending) = self.pending.take() else {
            return Vec::new();
        };
        self.table = pending.table;
        self.table.set_record_version(pending.record, version);
        for partition in &pending.moves {
            self.moves.remove(partition);
        }
        pending.moves
    }

    /// Handles a write that was certainly not executed. It may be retried.
    pub fn on_write_rejected(&mut self) {
        self.pending = None;
    }

    /// Handles a write that failed on a condition or whose outcome is unknown. The records have to be read again.
    pub fn on_write_unknown(&mut self) {
        self.pending = None;
        self.must_reload = true;
    }
}
