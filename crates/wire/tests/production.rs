//! What the version before the pipelines reads and writes, frozen: its bytes and its types, copied once and never
//! changed. Both versions run side by side during the upgrade, so each must read what the other writes.

use constants::{MAX_FRAME_BYTES, PEER_VERSION};
use vetchmount_wire as wire;
use wire::peers::{decode_frame, encode_frame, JobUpdate, PeerMessage};
use wire::records::*;
use wire::users::{Priority, Shape, Submission};

/// The record and frame types of the version in production.
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
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn submission() -> Submission {
    Submission {
        types: Some(vec!["g8".into()]),
        zone: Some("a".into()),
        due_s: Some(900.0),
        ..plain()
    }
}

fn chunk() -> ChunkRecord {
    ChunkRecord {
        done: "0-3,7".into(),
        at: vec![(4, 1, "vm-000231".into())],
        hi: 2,
        secs: 12.5,
        timed: 5,
    }
}

fn records() -> Vec<(&'static str, Vec<u8>)> {
    let job = JobRecord::new(submission(), 1_700_000_000_000);
    let page = PageRecord {
        parts: vec![PageEntry {
            job: "run-000412".into(),
            part: 3,
            seq: 12,
            chunk: chunk(),
        }],
        ..PageRecord::default()
    };
    let rental = RentalRecord {
        kind: "g8".into(),
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
        ("done", wire::encode(&Final::Done)),
        ("aborted", wire::encode(&Final::Aborted)),
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
fn records_have_the_bytes_and_keys_of_the_version_in_production() {
    let golden: Vec<(&str, &str)> = include_str!("golden-records.txt")
        .lines()
        .filter_map(|l| l.split_once(' '))
        .collect();
    let now = records();
    assert_eq!(now.len(), golden.len());
    for ((name, bytes), (was, hexed)) in now.iter().zip(golden) {
        assert_eq!((*name, hex(bytes).as_str()), (was, hexed));
    }
    let keys = [
        job_key("run-1"),
        final_key("run-1"),
        page_key(7),
        rental_key("t1-2"),
    ];
    for (key, (was, what)) in keys.iter().zip(KEYS) {
        assert_eq!(key, was, "{what}");
    }
    assert_eq!((LEADER, TERM, TYPES), ("lead", "term", "types"));
}

#[test]
fn frames_have_the_bytes_of_the_version_in_production() {
    let golden: Vec<(&str, &str)> = include_str!("golden-frames.txt")
        .lines()
        .filter_map(|l| l.split_once(' '))
        .collect();
    let now = frames();
    assert_eq!(now.len(), golden.len());
    for ((name, message), (was, hexed)) in now.iter().zip(golden) {
        let mut bytes = Vec::new();
        encode_frame(&mut bytes, message);
        assert_eq!((*name, hex(&bytes).as_str()), (was, hexed));
        // The old decoder takes the frame apart like this.
        assert_eq!(bytes[4], PEER_VERSION);
        assert!(bytes.len() < MAX_FRAME_BYTES);
        let read: old::PeerMessage = postcard::from_bytes(&bytes[5..]).expect(name);
        let again = postcard::to_stdvec(&read).expect(name);
        assert_eq!(again, bytes[5..], "{name}");
        let back = decode_frame(&mut bytes).expect(name);
        assert_eq!(back.as_ref(), Some(message));
    }
    assert_eq!(PEER_VERSION, 2);
}

#[test]
fn each_version_reads_the_records_that_the_other_writes() {
    for (name, bytes) in records() {
        let same = |again: Vec<u8>| assert_eq!(hex(&again), hex(&bytes), "{name}");
        match name {
            "job" => same(wire::encode(
                &wire::decode::<old::JobRecord>(&bytes).expect(name),
            )),
            "page" => same(wire::encode(
                &wire::decode::<old::PageRecord>(&bytes).expect(name),
            )),
            "rental" => same(wire::encode(
                &wire::decode::<old::RentalRecord>(&bytes).expect(name),
            )),
            "leader" => same(wire::encode(
                &wire::decode::<old::LeaderRecord>(&bytes).expect(name),
            )),
            "term" => same(wire::encode(
                &wire::decode::<old::TermRecord>(&bytes).expect(name),
            )),
            _ => same(wire::encode(&wire::decode::<Final>(&bytes).expect(name))),
        }
    }
}

fn plain() -> Submission {
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
        types: None,
        zone: None,
        one_zone: true,
        spread: false,
        spot: true,
        guess_s: 240.0,
        checkpoint_s: 30.0,
        save_s: 4.0,
        due_s: None,
        needs: Vec::new(),
    }
}
