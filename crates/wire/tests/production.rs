//! Compatibility with the build in production, which has no job dependencies. The golden files and the types in `old`
//! are copies of its bytes and types, and are never changed. During an upgrade both builds run side by side, so each must
//! read what the other writes.

use constants::{MAX_FRAME_BYTES, PEER_VERSION};
use vetchmount_wire as wire;
use wire::peers::{decode_frame, encode_frame, JobUpdate, PeerMessage};
use wire::records::*;
use wire::users::{Priority, Shape, Submission};

/// The record and frame types of the build in production.
mod old {
    use serde::{Deserialize, Serialize};
    use vetchmount_wire::users::{Priority, Shape};

    #[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
    pub struct Submission {
        pub id: String,
        pub cohort: String,
        pub tenant: String,
        pub shape: Shape,
        pub rank: Priority,
        pub shards: u64,
        pub cpus: f64,
        pub gpus: f64,
        pub mem_gb: f64,
        pub bundle: String,
        pub pull_gb: f64,
        #[serde(default)]
        pub breeds: Option<Vec<String>>,
        #[serde(default)]
        pub valley: Option<String>,
        pub same_place: bool,
        pub apart: bool,
        pub loaners: bool,
        pub guess_s: f64,
        pub stow_every_s: f64,
        pub stow_s: f64,
        #[serde(default)]
        pub due_s: Option<f64>,
    }
    #[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
    pub struct JobRecord {
        pub spec: Submission,
        pub at: u64,
        #[serde(default)]
        pub aborted: bool,
    }
    #[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
    pub struct ChunkRecord {
        #[serde(default)]
        pub done: String,
        #[serde(default)]
        pub at: Vec<(u32, u64, String)>,
        #[serde(default)]
        pub hi: u64,
        #[serde(default)]
        pub secs: f64,
        #[serde(default)]
        pub timed: u32,
    }
    #[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
    pub struct PageEntry {
        pub job: String,
        pub part: u32,
        pub seq: u64,
        pub chunk: ChunkRecord,
    }
    #[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
    pub struct PageRecord {
        pub parts: Vec<PageEntry>,
    }
    #[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
    pub struct RentalRecord {
        pub kind: String,
        pub zone: String,
        pub spot: bool,
        pub count: u32,
    }
    #[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
    pub struct LeaderRecord {
        pub node: String,
        pub term: u64,
        pub boot: u64,
    }
    #[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
    pub struct TermRecord {
        pub term: u64,
    }
    #[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
    pub struct JobUpdate {
        pub id: String,
        pub done: u32,
        pub running: u32,
        pub version: u64,
        pub aborted: bool,
    }
    #[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
    pub enum PeerMessage {
        Hello {
            node: String,
        },
        Heartbeat {
            term: u64,
            state_ago_ms: u64,
            leads: bool,
            worker_ago_ms: Option<u64>,
            sent: u64,
            echo: u64,
            boot: u64,
            aborts: u64,
        },
        Aborted {
            number: u64,
            job: String,
        },
        Counts {
            term: u64,
            jobs: Vec<JobUpdate>,
        },
        Over {
            jobs: Vec<(String, bool)>,
        },
        Forward {
            call: u64,
            method: String,
            target: String,
            body: Vec<u8>,
        },
        Forwarded {
            call: u64,
            status: u16,
            body: Vec<u8>,
        },
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn submission() -> Submission {
    Submission {
        machine_types: Some(vec!["g8".into()]),
        zone: Some("a".into()),
        due_s: Some(900.0),
        ..base_submission()
    }
}

fn chunk() -> ChunkRecord {
    ChunkRecord {
        done_ranges: "0-3,7".into(),
        assignments: vec![(4, 1, "vm-000231".into())],
        highest_attempt: 2,
        timed_run_s: 12.5,
        timed_tasks: 5,
    }
}

fn records() -> Vec<(&'static str, Vec<u8>)> {
    let job = JobRecord::new(submission(), 1_700_000_000_000);
    let page = PageRecord {
        entries: vec![PageEntry {
            job: "run-000412".into(),
            chunk_number: 3,
            seq: 12,
            chunk: chunk(),
        }],
        ..PageRecord::default()
    };
    let rental = RentalRecord {
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: true,
        count: 12,
    };
    let leader = LeaderRecord {
        node: "steading-2".into(),
        term: 41,
        boot: 7,
        level: None,
    };
    vec![
        ("job", wire::encode(&job)),
        ("page", wire::encode(&page)),
        ("rental", wire::encode(&rental)),
        ("leader", wire::encode(&leader)),
        ("term", wire::encode(&TermRecord::new(41))),
        ("done", wire::encode(&JobOutcome::Done)),
        ("aborted", wire::encode(&JobOutcome::Aborted)),
    ]
}

fn frames() -> Vec<(&'static str, PeerMessage)> {
    vec![
        ("Hello", PeerMessage::Hello { node: "n".into() }),
        (
            "Beat",
            PeerMessage::Heartbeat {
                term: 300,
                state_ago_ms: 5,
                leads: true,
                worker_ago_ms: Some(9),
                sent: 70_000,
                echo: 1,
                boot: 8,
                aborts: 2,
            },
        ),
        (
            "Aborted",
            PeerMessage::Aborted {
                number: 3,
                job: "run-1".into(),
            },
        ),
        (
            "Counts",
            PeerMessage::Counts {
                term: 41,
                jobs: vec![JobUpdate {
                    id: "run-1".into(),
                    done: 1,
                    running: 2,
                    version: 400,
                    aborted: false,
                }],
            },
        ),
        (
            "Over",
            PeerMessage::Over {
                jobs: vec![("run-1".into(), true)],
            },
        ),
        (
            "Forward",
            PeerMessage::Forward {
                call: 5,
                method: "GET".into(),
                target: "/submissions/run-1".into(),
                body: vec![1, 2],
            },
        ),
        (
            "Forwarded",
            PeerMessage::Forwarded {
                call: 5,
                status: 200,
                body: vec![3],
            },
        ),
    ]
}

const KEYS: [(&str, &str); 4] = [
    ("j/run-1", "open job"),
    ("f/run-1", "final"),
    ("b/00007", "page"),
    ("r/t1-2", "rental"),
];

#[test]
fn records_have_the_bytes_and_keys_of_the_build_in_production() {
    let golden: Vec<(&str, &str)> = include_str!("golden-records.txt")
        .lines()
        .filter_map(|line| line.split_once(' '))
        .collect();
    let records = records();
    assert_eq!(records.len(), golden.len());
    for ((name, bytes), expected) in records.iter().zip(golden) {
        assert_eq!((*name, hex(bytes).as_str()), expected);
    }
    let keys = [
        job_key("run-1"),
        final_record_key("run-1"),
        page_key(7),
        rental_key("t1-2"),
    ];
    for (key, (expected, record)) in keys.iter().zip(KEYS) {
        assert_eq!(key, expected, "{record}");
    }
    assert_eq!(
        (LEADER_KEY, TERM_KEY, MACHINE_TYPES_KEY),
        ("lead", "term", "types")
    );
}

#[test]
fn frames_have_the_bytes_of_the_build_in_production() {
    let golden: Vec<(&str, &str)> = include_str!("golden-frames.txt")
        .lines()
        .filter_map(|line| line.split_once(' '))
        .collect();
    let frames = frames();
    assert_eq!(frames.len(), golden.len());
    for ((name, message), expected) in frames.iter().zip(golden) {
        let mut bytes = Vec::new();
        encode_frame(&mut bytes, message);
        assert_eq!((*name, hex(&bytes).as_str()), expected);
        // The old decoder reads the frame in these steps.
        assert_eq!(bytes[4], PEER_VERSION);
        assert!(bytes.len() < MAX_FRAME_BYTES);
        let old_message: old::PeerMessage = postcard::from_bytes(&bytes[5..]).expect(name);
        let reencoded = postcard::to_stdvec(&old_message).expect(name);
        assert_eq!(reencoded, bytes[5..], "{name}");
        let decoded = decode_frame(&mut bytes).expect(name);
        assert_eq!(decoded.as_ref(), Some(message));
    }
    assert_eq!(PEER_VERSION, 2);
}

#[test]
fn each_build_reads_the_records_that_the_other_writes() {
    for (name, bytes) in records() {
        let assert_same = |reencoded: Vec<u8>| assert_eq!(hex(&reencoded), hex(&bytes), "{name}");
        match name {
            "job" => assert_same(wire::encode(
                &wire::decode::<old::JobRecord>(&bytes).expect(name),
            )),
            "page" => assert_same(wire::encode(
                &wire::decode::<old::PageRecord>(&bytes).expect(name),
            )),
            "rental" => assert_same(wire::encode(
                &wire::decode::<old::RentalRecord>(&bytes).expect(name),
            )),
            "leader" => assert_same(wire::encode(
                &wire::decode::<old::LeaderRecord>(&bytes).expect(name),
            )),
            "term" => assert_same(wire::encode(
                &wire::decode::<old::TermRecord>(&bytes).expect(name),
            )),
            _ => assert_same(wire::encode(
                &wire::decode::<JobOutcome>(&bytes).expect(name),
            )),
        }
    }
}

fn base_submission() -> Submission {
    Submission {
        id: "run-000412".into(),
        class: "train".into(),
        team: "vision".into(),
        shape: Shape::Gang,
        priority: Priority::Urgent,
        tasks: 16,
        cpus: 8.0,
        gpus: 1.0,
        mem_gb: 64.0,
        image: "img-07".into(),
        image_gb: 6.2,
        machine_types: None,
        zone: None,
        one_zone: true,
        spread: false,
        spot_allowed: true,
        estimated_run_s: 240.0,
        checkpoint_interval_s: 30.0,
        checkpoint_write_s: 4.0,
        due_s: None,
        dependencies: Vec::new(),
    }
}
