//! Tests that need the leader's internals, with their common fixtures.

mod job_watch;
mod page_writes;
mod rereads;
mod start_proofs;

use super::loading::Loading;
use super::Leader;
use crate::effects::{Effects, Now};
use crate::requests::StateReply;
use crate::settings::{Operator, Settings};
use wire::records::{job_key, JobRecord};
use wire::state::{to_value, Change, Changes};

const SETTINGS: &str = r#"
label = "n0"
area = "a"
public_addr = "10.0.0.1:1"
back = "10.0.0.1:2"
[outside]
cloud = "10.0.1.1:1"
state = "10.0.1.2:1"
[deployment.workers]
report_s = 2.0
lease_s = 12.0
gang_wait_s = 35.0
gang_peer_s = 8.0
cancel_s = 30.0
[deployment.state]
rps = 150.0
write_rps = 50.0
value_kb = 16.0
txn_ops = 12
next = { value_kb = 2.0, txn_ops = 4 }
[deployment.cloud]
rps = 5.0
list_lag_s = 3.0
[deployment.quota]
cpu = 0.1
mem_mb = 72.0
max_connections = 1200
"#;

const SUBMISSION: &str = r#"{"id":"run-1","cohort":"c","tenant":"t","shape":"array","rank":"low","shards":300,"cpus":1,
"gpus":0,"mem_gb":1,"bundle":"i","pull_gb":1,"same_place":false,"apart":false,"loaners":true,"guess_s":1,
"stow_every_s":0,"stow_s":0}"#;

/// Empty effects of a turn at `mono` milliseconds.
fn at(mono: u64) -> Effects {
    Effects::new(Now { mono, unix: mono })
}

/// A leader that has finished loading and has no records.
fn leader() -> Leader {
    let settings: Settings = toml::from_str(SETTINGS).expect("settings");
    let mut leader = Leader::new(&settings, &Operator::default(), || 0, 1, 7, true, at(1).now);
    leader.loading = Loading::complete();
    leader
}

/// The record of a job of 300 tasks.
fn job_record() -> JobRecord {
    JobRecord::new(serde_json::from_str(SUBMISSION).expect("submission"), 0)
}

/// The reply to a watch or a read of changed jobs that reports the record of `run-1` with this version.
fn reported_record(record: &JobRecord, version: u64) -> StateReply {
    StateReply::Changes(Changes {
        revision: version,
        changes: vec![Change {
            put_key: Some(job_key("run-1")),
            deleted_key: None,
            value: Some(to_value(record)),
            version,
        }],
    })
}
