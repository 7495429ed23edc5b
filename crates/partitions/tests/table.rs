//! The mapping of machines to partitions, the ownership table in records, and moves of partitions.

use std::collections::BTreeMap;
use vetchmount_partitions::{partition_of, Handover, OwnershipTable, TableError, PARTITION_COUNT};
use wire::records::{ownership_table_key, OwnershipTableRecord, OWNERSHIP_TABLE_PREFIX};
use wire::state::{Txn, Write};

/// Values of this build: another build that maps otherwise must not run beside it.
#[test]
fn machines_are_mapped_as_ever() {
    let pinned = [
        ("vm-000000", 34),
        ("vm-000001", 21),
        ("vm-000231", 59),
        ("vm-004012", 33),
        ("", 3),
        ("vm-é", 36),
    ];
    let mapped = pinned.map(|(machine, _)| (machine, partition_of(machine)));
    assert_eq!(mapped, pinned);
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

/// A store of the table's records, with the leader key's version ignored.
#[derive(Default)]
struct Store {
    records: BTreeMap<String, (OwnershipTableRecord, u64)>,
    revision: u64,
}

impl Store {
    fn commit(&mut self, txn: &Txn) -> Option<u64> {
        for guard in txn
            .compares
            .iter()
            .filter(|g| g.key.starts_with(OWNERSHIP_TABLE_PREFIX))
        {
            let version = self.records.get(&guard.key).map_or(0, |(_, v)| *v);
            if version != guard.version {
                return None;
            }
        }
        self.revision += 1;
        for write in &txn.writes {
            let Write::Put { key, value, .. } = write else {
                panic!("the table is never deleted");
            };
            let record: OwnershipTableRecord = value.deserialized().expect("a record");
            assert!(
                wire::json_size(&record) <= 1_024,
                "fits the smallest value known"
            );
            self.records.insert(key.clone(), (record, self.revision));
        }
        Some(self.revision)
    }

    fn load(&self, handover: &mut Handover) {
        for (key, (record, version)) in &self.records {
            handover
                .load(key, record.clone(), *version)
                .expect("a good record");
        }
        handover.loaded();
    }
}

/// Writes until there is nothing left to write.
fn settle(handover: &mut Handover, store: &mut Store, now: u64) {
    while let Some(txn) = handover.next_write(7, now) {
        match store.commit(&txn) {
            Some(version) => {
                handover.committed(version);
            }
            None => {
                handover.unknown();
                store.load(handover);
            }
        }
    }
}

fn recorded(label: &str) -> (Handover, Store) {
    let (mut handover, mut store) = (Handover::new(label), Store::default());
    assert!(handover.must_reload());
    handover.loaded();
    assert!(
        handover.entitled(label).is_empty(),
        "nothing is recorded yet"
    );
    settle(&mut handover, &mut store, 0);
    (handover, store)
}

#[test]
fn a_new_table_belongs_to_the_leader_and_moves_raise_epochs() {
    let label = "a-controller-with-a-rather-long-label-0";
    let (mut handover, mut store) = recorded(label);
    assert_eq!(handover.entitled(label).len(), usize::from(PARTITION_COUNT));
    for partition in [3, 17, 40] {
        assert!(handover.begin(partition, "n1", false, 0));
        assert!(
            !handover.begin(partition, "n2", false, 0),
            "it moves already"
        );
    }
    assert!(!handover.begin(5, label, false, 0), "it is there");
    let left = usize::from(PARTITION_COUNT) - 3;
    assert_eq!(
        handover.entitled(label).len(),
        left,
        "granted to nobody meanwhile"
    );
    settle(&mut handover, &mut store, 0);
    let entitled = handover.entitled("n1");
    assert_eq!(entitled.len(), 3);
    assert!(entitled.iter().all(|p| p.epoch == 1));
    // The next leader goes on with what is recorded.
    let mut next = Handover::new("n2");
    store.load(&mut next);
    assert_eq!(next.entitled("n1"), entitled);
    assert!(next.next_write(8, 0).is_none(), "it shuffles nothing");
}

#[test]
fn a_move_goes_on_after_an_unknown_outcome_and_is_given_up_after_a_while() {
    let (mut handover, mut store) = recorded("n0");
    // Executed, with the answer lost.
    assert!(handover.begin(9, "n1", false, 0));
    let txn = handover.next_write(7, 0).expect("a write");
    store.commit(&txn).expect("executed");
    handover.unknown();
    assert!(handover.must_reload() && handover.next_write(7, 0).is_none());
    store.load(&mut handover);
    assert!(!handover.is_moving(9));
    assert_eq!(handover.entitled("n1").len(), 1);
    // Not executed, then executed late, after the move was begun anew elsewhere.
    assert!(handover.begin(10, "n1", false, 0));
    let late = handover.next_write(7, 0).expect("a write");
    handover.unknown();
    store.load(&mut handover);
    assert!(handover.is_moving(10));
    store.commit(&late).expect("executed late");
    settle(&mut handover, &mut store, 0);
    let row = handover.table().row(10).expect("a row").clone();
    assert_eq!((row.owner.as_str(), row.epoch), ("n1", 1));
    // Refused again and again: given up.
    assert!(handover.begin(11, "n1", false, 0));
    handover.next_write(7, 0).expect("a write");
    handover.refused();
    assert!(handover.next_write(7, 60_000).is_none());
    assert!(!handover.is_moving(11));
}

#[test]
fn two_leaders_writes_exclude_each_other() {
    let (mut old, mut store) = recorded("n0");
    let mut new = Handover::new("n1");
    store.load(&mut new);
    assert!(old.begin(1, "n2", false, 0) && new.begin(2, "n2", false, 0));
    let (first, second) = (old.next_write(7, 0), new.next_write(8, 0));
    assert!(store.commit(&first.expect("a write")).is_some());
    assert!(store.commit(&second.expect("a write")).is_none());
}

#[test]
fn records_of_another_shape_are_refused_with_their_reason() {
    let (_, store) = recorded("n0");
    let key = ownership_table_key(1);
    let (good, version) = store.records.get(&key).expect("a record").clone();
    let load = |change: &dyn Fn(&mut OwnershipTableRecord), key: &str| {
        let mut record = good.clone();
        change(&mut record);
        OwnershipTable::new("n0").load(key, record, version)
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

/// What a newer build has added to a record survives its next write here.
#[test]
fn unknown_fields_survive() {
    let (_, mut store) = recorded("n0");
    for (record, _) in store.records.values_mut() {
        record.unknown.insert("since".into(), 5.into());
    }
    let mut handover = Handover::new("n1");
    store.load(&mut handover);
    assert!(handover.begin(20, "n1", true, 0));
    settle(&mut handover, &mut store, 0);
    let (record, _) = &store.records[&ownership_table_key(1)];
    assert_eq!(record.unknown["since"], 5.into());
    assert!(record.rows[4].pinned);
}
