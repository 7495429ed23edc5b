//! Tests of which partitions move, given load, lost controllers and pins.

use std::collections::{BTreeMap, BTreeSet};
use vetchmount_partitions::rebalance::{Candidate, Pins, Rebalancer};
use vetchmount_partitions::{PartitionMover, PARTITION_COUNT};
use wire::partitions::ControllerLoad;
use wire::state::{Txn, Write};

const STEP_MS: u64 = 500;

/// Controllers with the leader `n0`, whose moves are committed at once.
struct Cluster {
    rebalancer: Rebalancer,
    mover: PartitionMover,
    /// Load of each controller per partition that it owns, in thousandths.
    load_per_partition: BTreeMap<String, f64>,
    /// Load of each controller that does not depend on its partitions, in thousandths.
    other_load: BTreeMap<String, f64>,
    heard_at: BTreeMap<String, u64>,
    silent: BTreeSet<String>,
    unreachable: BTreeSet<String>,
    now: u64,
    moves: usize,
}

fn commit(mover: &mut PartitionMover, txn: &Txn, version: u64) {
    assert!(matches!(txn.writes[0], Write::Put { .. }));
    mover.on_write_committed(version);
}

impl Cluster {
    fn new(controllers: usize, pins: Pins) -> Self {
        let labels = (0..controllers).map(|n| format!("n{n}"));
        let mut mover = PartitionMover::new("n0");
        mover.on_loaded();
        let mut cluster = Cluster {
            rebalancer: Rebalancer::new(pins),
            mover,
            load_per_partition: BTreeMap::new(),
            other_load: BTreeMap::new(),
            heard_at: labels.map(|label| (label, 0)).collect(),
            silent: BTreeSet::new(),
            unreachable: BTreeSet::new(),
            now: 0,
            moves: 0,
        };
        cluster.commit_writes();
        cluster
    }

    fn commit_writes(&mut self) {
        while let Some(txn) = self.mover.next_write(1, self.now) {
            commit(&mut self.mover, &txn, self.now + 1);
        }
    }

    fn count(&self, label: &str) -> usize {
        self.mover.table().owned_by(label).count()
    }

    fn candidates(&self) -> Vec<Candidate> {
        let candidate = |(label, heard_at): (&String, &u64)| {
            let each = self.load_per_partition.get(label).copied().unwrap_or(0.0);
            let other = self.other_load.get(label).copied().unwrap_or(0.0);
            let load = other + each * self.count(label) as f64;
            Candidate {
                label: label.clone(),
                is_leader: label == "n0",
                heard_at: *heard_at,
                is_unreachable: self.unreachable.contains(label),
                load: ControllerLoad {
                    processor_permille: load as u16,
                    ..ControllerLoad::default()
                },
            }
        };
        self.heard_at.iter().map(candidate).collect()
    }

    /// Advances the time. Returns the largest number of moves that began in one step.
    fn run(&mut self, ms: u64) -> usize {
        let mut most = 0;
        let until = self.now + ms;
        while self.now < until {
            self.now += STEP_MS;
            let silent = &self.silent;
            let heard = self
                .heard_at
                .iter_mut()
                .filter(|(l, _)| !silent.contains(*l));
            heard.for_each(|(_, at)| *at = self.now);
            let candidates = self.candidates();
            let table = self.mover.table();
            let planned = self
                .rebalancer
                .plan(table, &candidates, &BTreeSet::new(), self.now);
            most = most.max(planned.len());
            self.moves += planned.len();
            for moved in planned {
                let (partition, to) = (moved.partition, &moved.to);
                assert!(self.mover.begin_move(partition, to, moved.pinned, self.now));
            }
            self.commit_writes();
        }
        most
    }
}

#[test]
fn partitions_spread_in_small_steps_and_then_stay() {
    let mut cluster = Cluster::new(5, Pins::default());
    let most = cluster.run(60_000);
    assert_eq!(most, 4, "moves in one step");
    assert!(
        (1..=3).contains(&cluster.count("n0")),
        "{}",
        cluster.count("n0")
    );
    for label in ["n1", "n2", "n3", "n4"] {
        assert!((14..=16).contains(&cluster.count(label)));
    }
    let moves = cluster.moves;
    cluster.run(600_000);
    assert_eq!(cluster.moves, moves);
}

#[test]
fn an_overloaded_controller_loses_partitions_until_it_is_no_longer_overloaded() {
    let mut cluster = Cluster::new(4, Pins::default());
    cluster.run(60_000);
    let before = cluster.count("n1");
    // A partition causes several times as much load on this controller as on the others.
    for (label, each) in [("n1", 55.0), ("n2", 12.0), ("n3", 12.0)] {
        cluster.load_per_partition.insert(label.into(), each);
    }
    cluster.run(300_000);
    let after = cluster.count("n1");
    assert!(after * 55 < 850, "from {before} to {after} partitions");
    assert!(after >= 3, "{after} partitions are left");
    // The shares do not oscillate: partitions that return as the weight recovers move away only once in minutes.
    let moves = cluster.moves;
    cluster.run(1_200_000);
    assert!(
        cluster.moves - moves <= 40,
        "{} moves in 20 minutes",
        cluster.moves - moves
    );
}

#[test]
fn nearly_equal_loads_cause_no_moves_however_high() {
    let mut cluster = Cluster::new(4, Pins::default());
    cluster.run(60_000);
    let moves = cluster.moves;
    for (label, load) in [("n0", 830.0), ("n1", 900.0), ("n2", 960.0), ("n3", 870.0)] {
        cluster.other_load.insert(label.into(), load);
    }
    cluster.run(600_000);
    assert_eq!(cluster.moves, moves);
}

#[test]
fn a_lost_controller_loses_all_partitions_and_regains_some_after_a_growing_pause() {
    let mut cluster = Cluster::new(4, Pins::default());
    cluster.run(60_000);
    let mut pauses = Vec::new();
    for _ in 0..4 {
        cluster.silent.insert("n2".into());
        cluster.run(10_000);
        assert_eq!(cluster.count("n2"), 0);
        cluster.silent.clear();
        let back_at = cluster.now;
        while cluster.count("n2") == 0 && cluster.now < back_at + 900_000 {
            cluster.run(STEP_MS);
        }
        pauses.push((cluster.now - back_at) / 1_000);
        cluster.run(60_000);
    }
    assert!(
        pauses.windows(2).all(|pair| pair[1] > pair[0] * 3 / 2),
        "{pauses:?}"
    );
    // A controller that workers do not reach loses its partitions, too.
    cluster.unreachable.insert("n3".into());
    cluster.run(10_000);
    assert_eq!(cluster.count("n3"), 0);
}

#[test]
fn a_leader_without_other_controllers_owns_all_partitions() {
    let mut cluster = Cluster::new(3, Pins::default());
    cluster.run(60_000);
    cluster.silent.extend(["n1".to_string(), "n2".to_string()]);
    cluster.run(20_000);
    assert_eq!(cluster.count("n0"), usize::from(PARTITION_COUNT));
}

#[test]
fn pins_take_precedence_over_load() {
    let pins = Pins {
        partitions: BTreeMap::from([(0, "n1".to_string()), (5, "n1".to_string())]),
        shares: BTreeMap::from([("n2".to_string(), 0.5)]),
    };
    let mut cluster = Cluster::new(4, pins);
    cluster.other_load.insert("n1".into(), 950.0);
    cluster.run(300_000);
    let table = cluster.mover.table();
    for partition in [0, 5] {
        let row = table.row(partition).expect("a row");
        assert_eq!((row.owner.as_str(), row.pinned), ("n1", true));
    }
    assert!(
        (30..=32).contains(&cluster.count("n2")),
        "{}",
        cluster.count("n2")
    );
}
