//! Compatibility of records between builds of different levels: each build reads what another one writes, and preserves
//! the fields that it does not know.

use ciborium::Value;
use proptest::collection::btree_map;
use proptest::prelude::*;
use serde::{Deserialize, Serialize};
use vetchmount_rollout::levels::{RangeError, NEWEST_LEVEL};
use vetchmount_rollout::{Feature, LevelRange};
use wire::records::*;
use wire::state::to_value;
use wire::users::{Priority, Shape, Submission};

/// The record types of builds from before staged upgrades. They never change.
mod legacy {
    use super::*;

    #[derive(Debug, PartialEq, Serialize, Deserialize)]
    pub struct LeaderRecord {
        pub node: String,
        pub term: u64,
        pub boot: u64,
    }
    #[derive(Debug, PartialEq, Serialize, Deserialize)]
    pub struct TermRecord {
        pub term: u64,
    }
    #[derive(Debug, PartialEq, Serialize, Deserialize)]
    pub struct GenerationRecord {
        pub generation: u32,
    }
    #[derive(Debug, PartialEq, Serialize, Deserialize)]
    pub struct JobRecord {
        pub spec: Submission,
        pub at: u64,
        #[serde(default)]
        pub aborted: bool,
        #[serde(default, skip_serializing_if = "String::is_empty")]
        pub needs: String,
        #[serde(default, skip_serializing_if = "is_zero")]
        pub more: u32,
    }

    fn is_zero(n: &u32) -> bool {
        *n == 0
    }
}

fn values() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        any::<bool>().prop_map(Value::Bool),
        any::<u64>().prop_map(|n| Value::Integer(n.into())),
        (-1e9..1e9).prop_map(Value::Float),
        "[a-z ]{0,12}".prop_map(Value::Text),
        Just(Value::Null),
    ];
    leaf.prop_recursive(2, 12, 4, |inner| {
        prop_oneof![
            proptest::collection::vec(inner.clone(), 0..4).prop_map(Value::Array),
            proptest::collection::vec(("[a-z]{1,5}", inner), 0..4).prop_map(|pairs| {
                let pairs = pairs.into_iter();
                Value::Map(pairs.map(|(k, v)| (Value::Text(k), v)).collect())
            }),
        ]
    })
}

/// Fields that a later build may add. No field of this build has a name with this prefix.
fn unknown_fields() -> impl Strategy<Value = UnknownFields> {
    btree_map("later_[a-z]{1,6}", values(), 0..4)
}

prop_compose! {
    fn submissions()(
        number in 0..1_000_000u32,
        tasks in 1..100_000u64,
        cpus in 0.25..96.0f64,
        needs in proptest::collection::vec(0..1_000_000u32, 0..20),
        types in proptest::option::of(proptest::collection::vec("[a-z0-9]{1,8}", 0..4)),
        due_s in proptest::option::of(1.0..1e6f64),
    ) -> Submission {
        Submission {
            id: format!("run-{number:06}"),
            class: "c".into(),
            team: "t".into(),
            shape: Shape::Array,
            priority: Priority::Normal,
            tasks,
            cpus,
            gpus: 0.0,
            mem_gb: 1.5,
            image: "i".into(),
            image_gb: 1.0,
            machine_types: types,
            zone: None,
            one_zone: false,
            spread: false,
            spot_allowed: true,
            estimated_run_s: 10.0,
            checkpoint_interval_s: 0.0,
            checkpoint_write_s: 0.0,
            due_s,
            dependencies: needs.into_iter().map(|n| format!("run-{n:06}")).collect(),
        }
    }
}

/// A record with fields that a later build has added.
fn with_fields<T: Serialize>(record: &T, fields: &UnknownFields) -> Value {
    let Value::Map(mut map) = to_value(record) else {
        panic!("a record encodes as a map");
    };
    let added = fields.iter();
    map.extend(added.map(|(k, v)| (Value::Text(k.clone()), v.clone())));
    Value::Map(map)
}

proptest! {
    #![proptest_config(ProptestConfig {
        // The seed is fixed, like all inputs in CI. No regression file is written.
        rng_seed: proptest::test_runner::RngSeed::Fixed(24),
        failure_persistence: None,
        ..ProptestConfig::with_cases(256)
    })]

    /// If this build cancels a job that a later build has written, the fields that this build does not know are kept.
    #[test]
    fn a_job_keeps_unknown_fields_through_a_rewrite(
        spec in submissions(),
        at in any::<u32>(),
        fields in unknown_fields(),
    ) {
        let written = with_fields(&JobRecord::new(spec, at.into()), &fields);
        let read: JobRecord = written.deserialized().expect("a readable record");
        prop_assert_eq!(&read.unknown, &fields);
        let cancelled = JobRecord { aborted: true, ..read };
        let again: JobRecord = to_value(&cancelled).deserialized().expect("a readable record");
        prop_assert_eq!(again, cancelled);
    }

    /// A job record without unknown fields is encoded to the same bytes by this build and by builds from before staged
    /// upgrades, and each reads the other's.
    #[test]
    fn a_job_without_unknown_fields_has_the_same_bytes_as_before_staged_upgrades(
        spec in submissions(),
        at in any::<u32>(),
    ) {
        let record = JobRecord::new(spec, at.into());
        let bytes = wire::encode(&record);
        let legacy: legacy::JobRecord = wire::decode(&bytes).expect("a readable record");
        prop_assert_eq!(&wire::encode(&legacy), &bytes);
        let read: JobRecord = wire::decode(&bytes).expect("a readable record");
        prop_assert_eq!(read, record);
    }

    /// Builds from before staged upgrades ignore the level in the leader's record.
    #[test]
    fn the_leaders_record_is_read_by_builds_from_before_staged_upgrades(
        term in any::<u32>(),
        boot in any::<u32>(),
        level in proptest::option::of(0..9u32),
    ) {
        let leader = LeaderRecord { node: "n1".into(), term: term.into(), boot: boot.into(), level };
        let legacy: legacy::LeaderRecord = to_value(&leader).deserialized().expect("a readable record");
        prop_assert_eq!((legacy.term, legacy.boot), (leader.term, leader.boot));
        let read: LeaderRecord = to_value(&legacy).deserialized().expect("a readable record");
        prop_assert_eq!(read, LeaderRecord { level: None, ..leader });
    }

    /// Builds from before staged upgrades can read the term until it is fenced, and never afterwards.
    #[test]
    fn only_a_fenced_term_is_unreadable_to_builds_from_before_staged_upgrades(
        term in any::<u64>(),
        fields in unknown_fields(),
    ) {
        let open = TermRecord { unknown: fields, ..TermRecord::new(term) };
        let legacy: legacy::TermRecord = to_value(&open).deserialized().expect("a readable record");
        prop_assert_eq!(legacy.term, term);
        let fenced = TermRecord { fenced: true, ..open.clone() };
        prop_assert!(to_value(&fenced).deserialized::<legacy::TermRecord>().is_err());
        for record in [open, fenced] {
            let read: TermRecord = to_value(&record).deserialized().expect("a readable record");
            prop_assert_eq!(read, record);
        }
    }

    /// Builds of generation 1 read the mark of any finalized level as their generation or a later one.
    #[test]
    fn the_mark_is_read_by_builds_of_generation_1(generation in 1..100u32, fields in unknown_fields()) {
        let mark = GenerationRecord { generation, unknown: fields };
        let legacy: legacy::GenerationRecord = to_value(&mark).deserialized().expect("a readable record");
        prop_assert_eq!(legacy.generation, generation);
        let read: GenerationRecord = to_value(&mark).deserialized().expect("a readable record");
        prop_assert_eq!(read, mark);
    }

    /// The level record and announcements keep the fields that later builds add.
    #[test]
    fn level_and_announcement_keep_unknown_fields(
        active in 0..9u32,
        number in any::<u32>(),
        fields in unknown_fields(),
    ) {
        let mut level = LevelRecord::idle(active, 5);
        level.transition_count = number.into();
        level.phase = RolloutPhase::Soaking;
        level.pause = Some(PauseReason::Stalled { label: "n1".into() });
        level.unknown = fields.clone();
        let read: LevelRecord = to_value(&level).deserialized().expect("a readable record");
        prop_assert_eq!(read, level);
        let member = MemberRecord {
            oldest_level: 0,
            newest_level: active,
            build: "b".into(),
            boot: number.into(),
            unknown: fields,
        };
        let read: MemberRecord = to_value(&member).deserialized().expect("a readable record");
        prop_assert_eq!(read, member);
    }

    /// A valid range is accepted, and the error for an invalid one says what is wrong.
    #[test]
    fn ranges_are_checked(oldest in 0..6u32, newest in 0..6u32) {
        match LevelRange::restricted(oldest, newest) {
            Ok(range) => {
                prop_assert!(oldest <= newest && newest <= NEWEST_LEVEL);
                prop_assert_eq!((range.oldest(), range.newest()), (oldest, newest));
            }
            Err(RangeError::Unsupported { .. }) => prop_assert!(newest > NEWEST_LEVEL),
            Err(RangeError::Reversed { .. }) => prop_assert!(oldest > newest),
        }
    }
}

#[test]
fn every_feature_is_in_the_table_and_every_level_has_a_feature() {
    use vetchmount_rollout::levels::FEATURES;
    for feature in [
        Feature::SmallValues,
        Feature::LeaderLevel,
        Feature::PlannedHandover,
        Feature::FencedTerm,
    ] {
        assert_eq!(feature.entry().feature, feature);
    }
    for level in 1..=NEWEST_LEVEL {
        assert!(FEATURES.iter().any(|entry| entry.level == level), "{level}");
    }
}
