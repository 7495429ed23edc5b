//! Tests of the mapping of machines to partitions, of the records of the ownership table, and of moves of partitions.

use std::collections::BTreeMap;
use vetchmount_partitions::{
    partition_of, OwnershipTable, PartitionMover, TableError, PARTITION_COUNT,
};
use wire::records::{ownership_table_key, OwnershipTableRecord, OWNERSHIP_TABLE_PREFIX};
use wire::state::{Txn, Write};

/// The mapping must not change: a build that maps machines differently must not run at the same time as this one.
#[test]
fn the_mapping_of_machines_is_unchanged() {
    let expected = [
        ("vm-000000", 34),
        ("vm-000001", 21),
        ("vm-000231", 59),
        ("vm-004012", 33),
        ("", 3),
        ("vm-é", 36),
    ];
    let mapped = expected.map(|(machine, _)| (machine, partition_of(machine)));
    assert_eq!(mapped, expected);
}

#[test]
fn four_thousand_machines_spread_evenly() {
    let mut counts: BTreeMap<u16, usize> = BTreeMap::new();
    for number in 0..4_000 {
        *counts
            .entry(partition_of(&format!("vm-{number:06}")))
            .or_default() += 1;
    }
    assert_eq!(counts.len(), usize::from(PARTITION_COUNT));
    let (least, most) = (counts.values().min(), counts.values().max());
    assert!(
        least >= Some(&35) && most <= Some(&95),
        "{least:?} to {most:?}"
    );
}

/// A store of the table's records. It ignores conditions on the leader key.
#[derive(Default)]
struct Store {
    records: BTreeMap<String, (OwnershipTableRecord, u64)>,
    revision: u64,
}

impl Store {
    fn commit(&mut self, txn: &Txn) -> Option<u64> {
        for compare in txn
            .compares
            .iter()
            .filter(|c| c.key.starts_with(OWNERSHIP_TABLE_PREFIX))
        {
            let version = self.records.get(&compare.key).map_or(0, |(_, v)| *v);
            if version != compare.version {
                return None;
            }
        }
        self.revision += 1;
        for write in &txn.writes {
            let Write::Put { key, value, .. } = write else {
                panic!("records of the table are never deleted");
            };
            let record: OwnershipTableRecord = value.deserialized().expect("a record");
            assert!(
                wire::json_size(&record) <= 1_024,
                "the record fits into the smallest value size limit known"
            );
            self.records.insert(key.clone(), (record, self.revision));
        }
        Some(self.revision)
    }

    fn load(&self, mover: &mut PartitionMover) {
        for (key, (record, version)) in &self.records {
            mover
                .load_record(key, record.clone(), *version)
                .expect("a valid record");
        }
        mover.on_loaded();
    }
}

/// Commits writes until none is left, and reloads the table after a write that fails on a condition.
fn commit_all(mover: &mut PartitionMover, store: &mut Store, now: u64) {
    while let Some(txn) = mover.next_write(7, now) {
        match store.commit(&txn) {
            Some(version) => {
                mover.on_write_committed(version);
            }
            None => {
                mover.on_write_unknown();
                store.load(mover);
            }
        }
    }
}

/// A mover of a new leader whose table has been recorded in an empty store.
fn recorded_table(label: &str) -> (PartitionMover, Store) {
    let (mut mover, mut store) = (PartitionMover::new(label), Store::default());
    assert!(mover.must_reload());
    mover.on_loaded();
    assert!(
        mover.grantable_partitions(label).is_empty(),
        "the table is not recorded yet"
    );
    commit_all(&mut mover, &mut store, 0);
    (mover, store)
}

#[test]
fn a_new_table_belongs_to_the_leader_and_moves_raise_epochs() {
    let label = "a-controller-with-a-rather-long-label-0";
    let (mut mover, mut store) = recorded_table(label);
    assert_eq!(
        mover.grantable_partitions(label).len(),
        usize::from(PARTITION_COUNT)
    );
    for partition in [3, 17, 40] {
        assert!(mover.begin_move(partition, "n1", false, 0));
        assert!(
            !mover.begin_move(partition, "n2", false, 0),
            "the partition is moving already"
        );
    }
    assert!(
        !mover.begin_move(5, label, false, 0),
        "the partition has this owner already"
    );
    let left = usize::from(PARTITION_COUNT) - 3;
    assert_eq!(
        mover.grantable_partitions(label).len(),
        left,
        "a moving partition is granted to no controller"
    );
    commit_all(&mut mover, &mut store, 0);
    let entitled = mover.grantable_partitions("n1");
    assert_eq!(entitled.len(), 3);
    assert!(entitled.iter().all(|p| p.epoch == 1));
    // The next leader continues with the recorded table.
    let mut next = PartitionMover::new("n2");
    store.load(&mut next);
    assert_eq!(next.grantable_partitions("n1"), entitled);
    assert!(
        next.next_write(8, 0).is_none(),
        "a new leader changes nothing"
    );
}

#[test]
fn a_move_continues_after_an_unknown_outcome_and_is_abandoned_after_a_timeout() {
    let (mut mover, mut store) = recorded_table("n0");
    // The write is executed, but its answer is lost.
    assert!(mover.begin_move(9, "n1", false, 0));
    let txn = mover.next_write(7, 0).expect("a write");
    store.commit(&txn).expect("executed");
    mover.on_write_unknown();
    assert!(mover.must_reload() && mover.next_write(7, 0).is_none());
    store.load(&mut mover);
    assert!(!mover.is_moving(9));
    assert_eq!(mover.grantable_partitions("n1").len(), 1);
    // The write is executed late, after the outcome was treated as unknown and the table was read again.
    assert!(mover.begin_move(10, "n1", false, 0));
    let late = mover.next_write(7, 0).expect("a write");
    mover.on_write_unknown();
    store.load(&mut mover);
    assert!(mover.is_moving(10));
    store.commit(&late).expect("executed late");
    commit_all(&mut mover, &mut store, 0);
    let row = mover.table().row(10).expect("a row").clone();
    assert_eq!((row.owner.as_str(), row.epoch), ("n1", 1));
    // A write that is rejected until the move times out is abandoned.
    assert!(mover.begin_move(11, "n1", false, 0));
    mover.next_write(7, 0).expect("a write");
    mover.on_write_rejected();
    assert!(mover.next_write(7, 60_000).is_none());
    assert!(!mover.is_moving(11));
}

#[test]
fn two_leaders_writes_exclude_each_other() {
    let (mut old, mut store) = recorded_table("n0");
    let mut new = PartitionMover::new("n1");
    store.load(&mut new);
    assert!(old.begin_move(1, "n2", false, 0) && new.begin_move(2, "n2", false, 0));
    let (first, second) = (old.next_write(7, 0), new.next_write(8, 0));
    assert!(store.commit(&first.expect("a write")).is_some());
    assert!(store.commit(&second.expect("a write")).is_none());
}

#[test]
fn unusable_records_are_rejected_with_the_reason() {
    let (_, store) = recorded_table("n0");
    let key = ownership_table_key(1);
    let (good, version) = store.records.get(&key).expect("a record").clone();
    let load = |change: &dyn Fn(&mut OwnershipTableRecord), key: &str| {
        let mut record = good.clone();
        change(&mut record);
        OwnershipTable::new("n0").load_record(key, record, version)
    };
    assert_eq!(load(&|_| {}, &key), Ok(()));
    assert_eq!(
        load(&|r| r.partition_count = 32, &key),
        Err(TableError::Count { count: 32 })
    );
    let hash = "md5".to_string();
    assert_eq!(
        load(&|r| r.hash_name = "md5".into(), &key),
        Err(TableError::Hash { hash })
    );
    let rows = Err(TableError::Rows { key: key.clone() });
    assert_eq!(load(&|r| r.rows.truncate(3), &key), rows);
    assert_eq!(load(&|r| r.rows[0].owner = 9, &key), rows);
    assert_eq!(load(&|r| r.first_partition = 8, &key), rows);
    assert_eq!(load(&|r| r.first_partition = u16::MAX - 15, &key), rows);
    assert!(load(&|_| {}, &ownership_table_key(2)).is_err());
}

/// Fields that a newer build has added to a record are kept when this build writes the record.
#[test]
fn unknown_fields_are_preserved() {
    let (_, mut store) = recorded_table("n0");
    for (record, _) in store.records.values_mut() {
        record.unknown.insert("since".into(), 5.into());
    }
    let mut mover = PartitionMover::new("n1");
    store.load(&mut mover);
    assert!(mover.begin_move(20, "n1", true, 0));
    commit_all(&mut mover, &mut store, 0);
    let (record, _) = &store.records[&ownership_table_key(1)];
    assert_eq!(record.unknown["since"], 5.into());
    assert!(record.rows[4].pinned);
}
