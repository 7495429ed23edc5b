//! Moves of partitions: the leader's copy of the ownership table, the moves under way, and the writes that commit
//! them.

use crate::table::{OwnershipTable, TableError};
use constants::MOVE_TIMEOUT_MS;
use std::collections::BTreeMap;
use wire::partitions::{PartitionEpoch, PartitionId};
use wire::records::{OwnershipTableRecord, LEADER_KEY};
use wire::state::{Compare, Txn, Write};

/// A move under way.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Move {
    to: String,
    pinned: bool,
    since: u64,
}

/// A write under way: the table after it, and the moves that it commits.
#[derive(Debug)]
struct PendingWrite {
    record: u16,
    table: OwnershipTable,
    moves: Vec<PartitionId>,
}

/// The leader's copy of the ownership table, and the moves under way.
///
/// A partition that moves is granted to nobody. The write that commits a move is fenced by the leader key and by the
/// version of the record, so that of two leaders, or of two attempts, one succeeds.
#[derive(Debug)]
pub struct Handover {
    table: OwnershipTable,
    moves: BTreeMap<PartitionId, Move>,
    pending: Option<PendingWrite>,
    is_loaded: bool,
    /// The outcome of a write is unknown, or the stored record differs from the copy.
    must_reload: bool,
}

impl Handover {
    /// The table of a new leader, which has not read it yet.
    pub fn new(leader: &str) -> Self {
        Handover {
            table: OwnershipTable::new(leader),
            moves: BTreeMap::new(),
            pending: None,
            is_loaded: false,
            must_reload: true,
        }
    }

    /// The table as it was last read or written.
    pub fn table(&self) -> &OwnershipTable {
        &self.table
    }

    /// Whether the records have to be read.
    pub fn must_reload(&self) -> bool {
        self.must_reload && self.pending.is_none()
    }

    /// Takes in a record that was read.
    pub fn load(
        &mut self,
        key: &str,
        record: OwnershipTableRecord,
        version: u64,
    ) -> Result<(), TableError> {
        self.table.load(key, record, version)
    }

    /// All records have been read. Moves that were committed by a write of unknown outcome are complete.
    pub fn loaded(&mut self) {
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
    pub fn moves(&self) -> usize {
        self.moves.len()
    }

    /// Begins to move a partition. Returns false if it is moving already or is owned and pinned as requested.
    pub fn begin(&mut self, partition: PartitionId, to: &str, pinned: bool, now: u64) -> bool {
        let row = self.table.row(partition);
        let is_there = row.is_none_or(|row| row.owner == to && row.pinned == pinned);
        if !self.is_loaded || is_there || self.is_moving(partition) {
            return false;
        }
        let moved = Move {
            to: to.to_string(),
            pinned,
            since: now,
        };
        self.moves.insert(partition, moved);
        true
    }

    /// Partitions that an owner may be granted: those it owns in the recorded table, without those that are moving.
    pub fn entitled(&self, owner: &str) -> Vec<PartitionEpoch> {
        if !self.is_loaded || !self.table.is_recorded() {
            return Vec::new();
        }
        let owned = self.table.rows().filter(|(_, row)| row.owner == owner);
        let stationary = owned.filter(|(partition, _)| !self.is_moving(*partition));
        let entitled = stationary.map(|(partition, row)| PartitionEpoch {
            partition,
            epoch: row.epoch,
        });
        entitled.collect()
    }

    /// The next write, if there is one to make and none under way. Moves that have waited for too long are abandoned.
    pub fn next_write(&mut self, leader_version: u64, now: u64) -> Option<Txn> {
        if !self.is_loaded || self.must_reload || self.pending.is_some() {
            return None;
        }
        self.moves
            .retain(|_, moved| now < moved.since + MOVE_TIMEOUT_MS);
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

    /// The write was committed under this version. Returns the partitions that have moved.
    pub fn committed(&mut self, version: u64) -> Vec<PartitionId> {
        let Some(pending) = self.pending.take() else {
            return Vec::new();
        };
        self.table = pending.table;
        self.table.recorded(pending.record, version);
        for partition in &pending.moves {
            self.moves.remove(partition);
        }
        pending.moves
    }

    /// The write was certainly not executed and may be retried.
    pub fn refused(&mut self) {
        self.pending = None;
    }

    /// The write failed on a condition, or its outcome is unknown: the records are read again.
    pub fn unknown(&mut self) {
        self.pending = None;
        self.must_reload = true;
    }
}
